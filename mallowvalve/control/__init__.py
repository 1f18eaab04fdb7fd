"""The control plane: the replicated state, who holds it, and its HTTP."""
