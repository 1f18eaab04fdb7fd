"""Model checker: runs the product's own state machines under every order of events that the bounds allow.

`python -m verification --help` lists the commands; docs/verification.md explains them.
"""
