"""mallowvalve, a global load balancer: directories, proxies and a replicated control plane."""

__version__ = "0.1.0"
