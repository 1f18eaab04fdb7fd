"""Requests and commands that take effect once: claims of idempotency keys, and outcomes of deduplicated commands."""
