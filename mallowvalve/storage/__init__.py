"""Durable storage of a control process: a log of batches with a snapshot, and the identity of the disk.

`disk` provides the file operations under the log and specifies which effects survive a power loss. `log` builds on them
a log that returns every saved batch at the next start, and no partial one. Neither interprets the batches
(mallowvalve/control/store.py does).
"""
