"""Where clients are told which proxies to use."""
