"""Whose turn a request takes in a fair queue."""

from typing import NamedTuple

from bilberryhitch_model import RequestCall, Route, Urgency


class Place(NamedTuple):
    """Whose request it is."""

    client_account: str
    kind: str
    caller: str
    urgency: Urgency = "normal"


def place_of(call: RequestCall, route: Route) -> Place:
    """Return whose turn the call takes."""
    return Place(call.client_account, route.kind, call.caller, route.urgency)
