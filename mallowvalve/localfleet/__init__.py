"""A whole fleet on one machine, for development: started, hurt, and judged by what clients and upstreams wrote."""
