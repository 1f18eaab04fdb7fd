"""The TCP transport between the nodes of a fleet: calls, which are answered, and one-way casts."""
