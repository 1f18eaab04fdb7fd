"""Stand-in clients and upstreams, for trying and testing a fleet."""
