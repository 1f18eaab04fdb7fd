"""Stand-in clients and upstreams for testing a fleet."""
