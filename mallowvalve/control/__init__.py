"""The control plane: the replicated state, the processes that keep it, and their HTTP pages."""
