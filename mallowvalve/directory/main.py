"""The directory daemon: a replica of the control state, and the HTTP resources for clients."""

from __future__ import annotations

from mallowvalve.configuration.items import Items
from mallowvalve.control.replica_task import ReplicaTask
from mallowvalve.directory import pages
from mallowvalve.node import Node
from mallowvalve.settings import Settings


def run(settings: Settings) -> None:
    """Runs until the process is asked to stop; the process is ready once its replica has a state."""
    node = Node(settings)
    replica = ReplicaTask(node)

    def evacuated() -> dict[str, int]:
        state = replica.replica.state
        return state.settings.evacuated if state else {}

    def items() -> Items | None:
        state = replica.replica.state
        return state.items if state else None

    freshness = pages.AnswerFreshness(node, lambda: replica.replica.confirmed_at)
    service = pages.DirectoryService(node, lambda: replica.tree, items, evacuated, freshness)
    pages.add_routes(node.app, service)
    node.app.add_route("/-/named", pages.NamedResource(service))
    with node, replica:
        node.run(lambda: replica.replica.state is not None)
