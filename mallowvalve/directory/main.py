"""The directory's daemon: a replica of the state, and the pages for clients."""

from __future__ import annotations

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

    pages.add_routes(node.app, node, lambda: replica.tree, evacuated, lambda: replica.replica.sure)
    node.app.add_route("/-/named", pages.Named(node))
    with node, replica:
        node.run(lambda: replica.replica.state is not None)
