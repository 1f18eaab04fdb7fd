"""The directory's daemon: a replica of the state, and the pages for clients."""

from __future__ import annotations

from mallowvalve.configuration.items import Items
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.directory import pages
from mallowvalve.node import Node
from mallowvalve.settings import Settings


def run(settings: Settings) -> None:
    """Run until the process is told to stop; it is ready once it has a state."""
    node = Node(settings)
    replica = ReplicaTask(node)

    def evacuated() -> dict[str, int]:
        state = replica.replica.state
        return state.settings.evacuated if state else {}

    def items() -> Items | None:
        state = replica.replica.state
        return state.items if state else None

    contact = pages.AnswerFreshness(node, lambda: replica.replica.sure)
    shared = pages.DirectoryService(node, lambda: replica.tree, items, evacuated, contact)
    pages.add_routes(node.app, shared)
    node.app.add_route("/-/named", pages.NamedResource(shared))
    with node, replica:
        node.run(lambda: replica.replica.state is not None)
