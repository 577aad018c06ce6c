"""Structured log events and OpenTelemetry metrics."""

from . import events, metrics
from .events import Event
from .logs import log, start_logs
from .metrics import METRICS_CONTENT_TYPE, scrape, start_metrics

__all__ = [
    "METRICS_CONTENT_TYPE",
    "Event",
    "events",
    "log",
    "metrics",
    "scrape",
    "start_logs",
    "start_metrics",
]
