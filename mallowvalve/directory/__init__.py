"""The directory: tells clients which proxies to use."""
