"""Frames over TCP between the nodes of a fleet: calls that are answered, and casts that are not."""
