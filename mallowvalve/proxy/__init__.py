"""The proxy: it takes clients' requests and sends them to upstreams."""
