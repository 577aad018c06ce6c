"""OpenTelemetry instruments and their export.

Values that are recorded before :func:`start_metrics` is called are dropped.
"""

from opentelemetry import metrics as otel
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import MetricReader
from prometheus_client import REGISTRY, generate_latest

OTLP_EXPORT_INTERVAL_MS = 15_000
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

_meter = otel.get_meter("bilberryhitch")

REQUESTS = _meter.create_counter(
    "bilberryhitch_requests",
    description="Requests answered, by route and outcome.",
)
REQUEST_SECONDS = _meter.create_histogram(
    "bilberryhitch_request_duration",
    unit="s",
    description="Time from a request's arrival to its answer, by route and outcome.",
)
CONNECTIONS_CLOSED = _meter.create_counter(
    "bilberryhitch_connections_closed",
    description="Connections closed to keep a limit, by listener and reason.",
)
REQUEST_RETRIES = _meter.create_counter(
    "bilberryhitch_request_retries",
    description="Requests sent to an executor again, by route.",
)
JOBS_ACCEPTED = _meter.create_counter(
    "bilberryhitch_jobs_accepted",
    description="Jobs whose row was created, by pool.",
)
JOBS = _meter.create_counter(
    "bilberryhitch_jobs",
    description="Jobs finished, by pool and outcome.",
)
LOST_WORK = _meter.create_counter(
    "bilberryhitch_lost_work_core_seconds",
    description="Unsaved work of runs that ended without success, by cause and queue.",
)
QUEUE_LENGTH = _meter.create_gauge(
    "bilberryhitch_queue_length",
    description="Entries in a queue, by pool and queue.",
)
DECISIONS = _meter.create_counter(
    "bilberryhitch_decisions",
    description="Decisions of the planner, by pool and decision.",
)
STORE_CALLS = _meter.create_counter(
    "bilberryhitch_store_calls",
    description="Calls to the platform's stores, by call.",
)
STORE_ERRORS = _meter.create_counter(
    "bilberryhitch_store_errors",
    description="Failed calls to the platform's stores, by call and error.",
)
STORE_RECEIVED_BYTES = _meter.create_counter(
    "bilberryhitch_store_received_bytes",
    unit="By",
    description="Bytes of the store's responses, of lost ones too, by call.",
)
STORE_SECONDS = _meter.create_histogram(
    "bilberryhitch_store_call_duration",
    unit="s",
    description="Duration of calls to the platform's stores, by call.",
)
LEASE_RENEWALS = _meter.create_counter(
    "bilberryhitch_lease_renewals",
    description="Renewals of planner and worker leases, by lease and outcome.",
)
CONFIG_REVISION = _meter.create_gauge(
    "bilberryhitch_config_revision",
    description="Configuration revision in force in this process.",
)
PEER_MESSAGES = _meter.create_counter(
    "bilberryhitch_peer_messages",
    description="Peer messages, by direction and outcome.",
)
GUARANTEE_MISSING = _meter.create_gauge(
    "bilberryhitch_guarantee_missing_cells",
    description="Guaranteed cells that the hosts cannot hold, by pool and account.",
)
MACHINE_SPEEDS = _meter.create_gauge(
    "bilberryhitch_machine_speeds",
    description="Machines that the planner knows, by class of their speed.",
)
HEADROOM_WORKERS = _meter.create_gauge(
    "bilberryhitch_headroom_workers",
    description="Idle workers that are set aside for urgent work, by service.",
)


def start_metrics(otlp_endpoint: str = "") -> MeterProvider:
    """Start the export of the instruments, to Prometheus and optionally to OTLP.

    :param otlp_endpoint: URL that receives OTLP over HTTP; empty for none
    :returns: the meter provider, which the caller shuts down at the end
    """
    readers: list[MetricReader] = [PrometheusMetricReader()]
    if otlp_endpoint:
        readers.append(_create_otlp_reader(otlp_endpoint))
    provider = MeterProvider(metric_readers=readers)
    otel.set_meter_provider(provider)
    return provider


def scrape() -> bytes:
    """Return all metrics in the Prometheus text format."""
    return generate_latest(REGISTRY)


def _create_otlp_reader(endpoint: str) -> MetricReader:
    # Imported only if an endpoint is configured, as the exporter and its protocol
    # library take memory from the daemon's budget.
    from opentelemetry.exporter.otlp.proto.http.metric_exporter import (  # noqa: PLC0415
        OTLPMetricExporter,
    )
    from opentelemetry.sdk.metrics.export import (  # noqa: PLC0415
        PeriodicExportingMetricReader,
    )

    return PeriodicExportingMetricReader(
        OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=OTLP_EXPORT_INTERVAL_MS,
    )
