"""The key under which a request is scheduled in a fair queue."""

from typing import NamedTuple

from bilberryhitch_model import RequestCall, Route, Urgency


class QueueKey(NamedTuple):
    """Client account, kind of work and caller of a request, and its urgency."""

    client_account: str
    kind: str
    caller: str
    urgency: Urgency = "normal"


def queue_key_of(call: RequestCall, route: Route) -> QueueKey:
    """Return the key of a call on its route."""
    return QueueKey(call.client_account, route.kind, call.caller, route.urgency)
