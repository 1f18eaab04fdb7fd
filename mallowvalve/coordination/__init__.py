"""Locks, numbers and watched keys, as parts of the replicated state."""
