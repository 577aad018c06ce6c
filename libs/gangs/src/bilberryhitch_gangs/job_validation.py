"""Validation of a caller's job before it is accepted."""

import hashlib
import re
from collections.abc import Iterable

from bilberryhitch_model import Host, JobCall, Route, Shape, Tables, encode
from bilberryhitch_model.errors import BadInput, ShapeImpossible
from expression import Error, Ok, Result

# Printable ASCII without the separator of row keys; no space at either end.
KEY_PATTERN = re.compile(r"[!-.0-~]([ -.0-~]{0,126}[!-.0-~])?")


def check_call(call: JobCall, tables: Tables) -> Result[Route, BadInput]:
    """Return the call's route, or the first field that is invalid."""
    route = tables.routes.get(call.route)
    if route is None or route.client_account != call.client_account:
        return _bad_input("route", call.route, "names a route of the client account")
    if route.work != "job":
        return _bad_input("route", call.route, "names a route for jobs")
    if call.key and not KEY_PATTERN.fullmatch(call.key):
        return _bad_input("key", call.key, "is 1 to 128 printable ASCII without /")
    if len(call.run.encode()) > route.max_body_bytes:
        return _bad_input("run", "", f"has at most {route.max_body_bytes} bytes")
    return _check_shape(call.shape, route)


def task_capacity(shape: Shape, host: Host) -> int:
    """Return how many tasks the host can run when it is empty."""
    needs = [
        (shape.accelerators, host.accelerators),
        (shape.cores, host.cores),
        (shape.memory_gb, host.memory_gb),
    ]
    return min((has // need for need, has in needs if need), default=0)


def check_capacity(
    shape: Shape, hosts: Iterable[Host]
) -> Result[None, ShapeImpossible]:
    """Refuse a shape that does not fit the hosts even when they are empty."""
    capacity = sum(task_capacity(shape, host) for host in hosts)
    if capacity >= shape.tasks:
        return Ok(None)
    rule = f"the pool's hosts can hold {capacity} such tasks"
    return Error(ShapeImpossible(shape, rule))


def call_digest(call: JobCall) -> str:
    """Return a digest of the call's route, shape and payload."""
    encoded = encode([call.route, call.shape, call.run])
    return hashlib.sha256(encoded).hexdigest()


def _check_shape(shape: Shape, route: Route) -> Result[Route, BadInput]:
    for field in Shape._fields:
        value, most = getattr(shape, field), getattr(route.max_shape, field)
        least = 0 if field == "accelerators" else 1
        if not least <= value <= most:
            return _bad_input(f"shape.{field}", value, f"is between {least} and {most}")
    return Ok(route)


def _bad_input(field: str, value: object, rule: str) -> Result[Route, BadInput]:
    return Error(BadInput(field, value, rule))
