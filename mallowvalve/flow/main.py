from __future__ import annotations

from mallowvalve.flow.claims import Claims
from mallowvalve.flow.draw import emptied
from mallowvalve.flow.pool import Pool
from mallowvalve.flow.repeats import RepeatTask
from mallowvalve.flow.serve import Bounces, Serve
from mallowvalve.law.echotask import EchoTask
from mallowvalve.node import Node
from mallowvalve.params import Params


def run(params: Params) -> None:
    node = Node(params)
    echo = EchoTask(node)
    pool = Pool(node.beats, echo, params.locality, node.counts)
    claims = Claims(echo, f"{params.mesh}#{node.boot}", node.counts)
    repeats = RepeatTask(node.mesh, echo.echo.roster)
    serve = Serve(node, echo, pool, claims, repeats)
    node.app.add_route("/-/bounces", Bounces(serve))
    node.app.add_sink(serve, "/")
    node.gauge("busy", lambda: sum(pool.draw.busy.values()))
    with node, echo, pool, repeats:
        node.run(lambda: echo.admits() and not emptied(params.locality, echo.echo.state.params.evacuated))
