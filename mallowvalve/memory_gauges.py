"""Gauges of a process's memory and of the room that request bodies take of it."""

from __future__ import annotations

from mallowvalve.node import Node
from mallowvalve.resident_memory import resident_bytes


def register_memory_gauges(node: Node) -> None:
    """Registers the gauges at a node; all are in bytes but `bodies_waiting`, a number of bodies."""
    budget = node.body_budget
    node.gauge("resident_bytes", resident_bytes)
    node.gauge("body_room_bytes", lambda: budget.total_bytes)
    node.gauge("body_room_used_bytes", lambda: budget.used_bytes)
    node.gauge("bodies_waiting", lambda: budget.waiting)
