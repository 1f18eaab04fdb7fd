"""The proxy: forwards clients' requests to upstreams."""
