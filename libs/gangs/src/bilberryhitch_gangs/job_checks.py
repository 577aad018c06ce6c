"""Checks a caller's job before it is accepted."""

import hashlib
import re
from collections.abc import Iterable

from bilberryhitch_model import Host, JobCall, Route, Shape, Tables, encode
from bilberryhitch_model.errors import BadInput, ShapeImpossible
from expression import Error, Ok, Result

# Printable ASCII without the separator of row keys.
KEY = re.compile(r"[!-.0-~]([ -.0-~]{0,126}[!-.0-~])?")


def check_call(call: JobCall, tables: Tables) -> Result[Route, BadInput]:
    """Return the call's route when every field keeps its rule."""
    route = tables.routes.get(call.route)
    if route is None or route.client_account != call.client_account:
        return _bad("route", call.route, "names a route of the client account")
    if route.work != "job":
        return _bad("route", call.route, "names a route for jobs")
    if call.key and not KEY.fullmatch(call.key):
        return _bad("key", call.key, "is 1 to 128 printable ASCII without /")
    if len(call.run.encode()) > route.max_body_bytes:
        return _bad("run", "", f"has at most {route.max_body_bytes} bytes")
    return _check_shape(call.shape, route)


def fitting_tasks(shape: Shape, host: Host) -> int:
    """Return how many tasks the host could hold if it were empty."""
    needs = [
        (shape.accelerators, host.accelerators),
        (shape.cores, host.cores),
        (shape.memory_gb, host.memory_gb),
    ]
    return min((has // need for need, has in needs if need), default=0)


def check_fits(shape: Shape, hosts: Iterable[Host]) -> Result[None, ShapeImpossible]:
    """Refuse a shape that the hosts could not hold even when they are empty."""
    room = sum(fitting_tasks(shape, host) for host in hosts)
    if room >= shape.tasks:
        return Ok(None)
    rule = f"the pool's hosts can hold {room} such tasks"
    return Error(ShapeImpossible(shape, rule))


def call_digest(call: JobCall) -> str:
    """Return a digest that equal calls share."""
    plain = encode([call.route, call.shape, call.run])
    return hashlib.sha256(plain).hexdigest()


def _check_shape(shape: Shape, route: Route) -> Result[Route, BadInput]:
    for field in Shape._fields:
        value, most = getattr(shape, field), getattr(route.max_shape, field)
        least = 0 if field == "accelerators" else 1
        if not least <= value <= most:
            return _bad(f"shape.{field}", value, f"is between {least} and {most}")
    return Ok(route)


def _bad(field: str, value: object, rule: str) -> Result[Route, BadInput]:
    return Error(BadInput(field, value, rule))
