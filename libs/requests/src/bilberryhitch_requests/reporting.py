"""Log events and metrics for requests."""

from bilberryhitch_model import Outcome, RequestCall, Route
from bilberryhitch_telemetry import events, log, metrics


def report_outcome(call: RequestCall, outcome: Outcome, seconds: float) -> None:
    """Record the metrics of an outcome; log it if it is ``not_run`` or ``unknown``."""
    labels = {"route": call.route, "outcome": outcome.status}
    metrics.REQUESTS.add(1, labels)
    metrics.REQUEST_SECONDS.record(seconds, labels)
    if outcome.status == "not_run":
        log(
            events.REQUEST_REFUSED,
            route=call.route,
            client_account=call.client_account,
            reason=outcome.detail,
        )
    if outcome.status == "unknown":
        log(
            events.REQUEST_UNKNOWN,
            route=call.route,
            client_account=call.client_account,
            handle=outcome.handle,
            reason=outcome.detail,
        )


def report_retry(call: RequestCall, route: Route, handle: str) -> None:
    """Count and log a retry of an idempotent request."""
    metrics.REQUEST_RETRIES.add(1, {"route": route.name})
    log(events.REQUEST_RETRIED, route=call.route, handle=handle)
