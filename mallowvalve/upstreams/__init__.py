"""The upstreams: their registry, their heartbeats and the detection of silent ones."""
