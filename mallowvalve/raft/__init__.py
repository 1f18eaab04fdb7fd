"""Raft consensus (Ongaro and Ousterhout): a state machine without sockets, clocks or files."""
