"""The upstreams: who they are, who was heard when, and whose silence has lasted too long."""
