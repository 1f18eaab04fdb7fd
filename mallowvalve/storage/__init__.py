"""What a control machine keeps on its disk: a log of batches beside a snapshot, and its identity.

`disk` holds the few operations on files that the log is made of, and says which of them survive a loss of power;
`log` builds on them a log of which everything whose save returned is read back, and nothing half. Neither knows what
the batches mean (mallowvalve/control/store.py does).
"""
