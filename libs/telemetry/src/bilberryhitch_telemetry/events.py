"""Numbered log events.

A number is never given to another event: operators write alerts against it.
Numbers are grouped by area: 1xxx process, 2xxx configuration, 3xxx peers and
hosts, 4xxx planners and gangs, 5xxx jobs, 6xxx store, 7xxx requests and callers.
"""

from typing import Literal, NamedTuple

Level = Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class Event(NamedTuple):
    """A kind of log line.

    :param number: stable number of the event
    :param name: stable name of the event, in snake case
    :param meaning: what has happened
    :param action: what an operator should do
    """

    number: int
    name: str
    level: Level
    meaning: str
    action: str = "None."


PROCESS_STARTED = Event(
    1001, "process_started", "INFO", "The process has started and is not ready yet."
)
PROCESS_READY = Event(
    1002, "process_ready", "INFO", "The process serves callers and operators."
)
PROCESS_STOPPING = Event(
    1003,
    "process_stopping",
    "INFO",
    "The process refuses new work and finishes what is in flight.",
)
PROCESS_STOPPED = Event(
    1004, "process_stopped", "INFO", "Everything in flight is finished."
)
SHUTDOWN_LIMIT_REACHED = Event(
    1005,
    "shutdown_limit_reached",
    "WARNING",
    "The limit of the shutdown wait passed while work was in flight.",
    "Raise limits.shutdown_wait_s or leave it out.",
)
TASK_FAILED = Event(
    1006,
    "task_failed",
    "ERROR",
    "A background task ended with an unexpected error and is started again.",
    "Report the logged error.",
)
LIBRARY_MESSAGE = Event(
    1007, "library_message", "WARNING", "A library wrote a log message of its own."
)
SETTINGS_INVALID = Event(
    1101,
    "settings_invalid",
    "ERROR",
    "The settings file cannot be used; the process ends.",
    "Correct the named field of the settings file.",
)

CONFIG_ADOPTED = Event(
    2001, "config_adopted", "INFO", "A configuration revision is in force here."
)
CONFIG_REFUSED = Event(
    2002,
    "config_refused",
    "WARNING",
    "An operator's change breaks a rule; nothing changed.",
    "Correct the named row and field.",
)
CONFIG_CONFLICT = Event(
    2003,
    "config_conflict",
    "INFO",
    "Another operator committed first; nothing changed.",
    "Read the tables again and repeat the change.",
)
CONFIG_COMMITTED = Event(
    2004, "config_committed", "INFO", "An operator's change was accepted."
)
CONFIG_OFFER_DROPPED = Event(
    2005,
    "config_offer_dropped",
    "WARNING",
    "A peer's configuration offer could not be used.",
    "Compare the program versions of both hosts.",
)
CONFIG_ROWS_UNREADABLE = Event(
    2006,
    "config_rows_unreadable",
    "ERROR",
    "Configuration rows in the store do not decode; the revision in force stays.",
    "Restore the named row or upgrade this process.",
)

PEER_UP = Event(3001, "peer_up", "INFO", "Heartbeats of a peer arrive.")
PEER_SILENT = Event(
    3002,
    "peer_silent",
    "WARNING",
    "No heartbeat of a peer arrived for 2 s.",
    "Check the host and the network when it stays silent.",
)
PEER_MESSAGE_DROPPED = Event(
    3003,
    "peer_message_dropped",
    "WARNING",
    "A peer message did not decode or exceeded a limit.",
    "Compare the program versions of both hosts.",
)
PEER_QUEUE_FULL = Event(
    3004,
    "peer_queue_full",
    "WARNING",
    "The queue to a peer is full; the newest message was refused to its sender.",
    "Check the peer and the network.",
)
HOST_LEAVING = Event(
    3101, "host_leaving", "INFO", "A host is leaving and receives no new work."
)
HOST_DRAINED = Event(3102, "host_drained", "INFO", "An operator drained a host.")
HOST_UNDRAINED = Event(
    3103, "host_undrained", "INFO", "An operator undid the drain of a host."
)
HOST_BACK = Event(
    3104, "host_back", "INFO", "A host that was leaving is live with a new boot id."
)
HOST_LIST_STALE = Event(
    3105,
    "host_list_stale",
    "WARNING",
    "The platform's host list could not be read; the last one stays in use.",
    "Check the platform when this repeats.",
)

PLANNER_ACQUIRED = Event(
    4001, "planner_acquired", "INFO", "This process plans a pool of its data centre."
)
PLANNER_LOST = Event(
    4002,
    "planner_lost",
    "WARNING",
    "Another process took over the planner lease; planning stops here.",
    "Check for pauses of this host when this repeats.",
)
PLANNER_RELEASED = Event(
    4003, "planner_released", "INFO", "The planner lease was handed over."
)
GANG_RESERVED = Event(
    4101, "gang_reserved", "DEBUG", "Every worker of a gang holds its lease."
)
GANG_STARTED = Event(4102, "gang_started", "INFO", "All tasks of a gang started.")
GANG_START_UNDONE = Event(
    4103,
    "gang_start_undone",
    "WARNING",
    "A gang could not start whole and its leases were given back.",
    "Check the named worker when this repeats.",
)
GANG_PARTIAL_STOPPED = Event(
    4104,
    "gang_partial_stopped",
    "WARNING",
    "Part of a gang was lost and the rest was stopped.",
)
GANG_EVICTED = Event(
    4105, "gang_evicted", "INFO", "A borrower was stopped to give a cell back."
)
WORKER_LOST = Event(
    4201,
    "worker_lost",
    "WARNING",
    "A worker does not answer; its leases run out.",
    "Replace the host when it stays lost.",
)
WORKER_QUARANTINED = Event(
    4202,
    "worker_quarantined",
    "WARNING",
    "A worker failed the starts of several jobs and receives no more work.",
    "Inspect the host.",
)
WORKER_RELEASED = Event(
    4203, "worker_released", "INFO", "A quarantined worker passed its probes."
)
GUARANTEE_SHORTFALL = Event(
    4301,
    "guarantee_shortfall",
    "ERROR",
    "The hosts left cannot hold a guarantee; it is reduced by the stated rule.",
    "Replace hosts of the pool or lower the guarantee.",
)
GUARANTEE_RESTORED = Event(
    4302, "guarantee_restored", "INFO", "All guarantees of a pool fit again."
)

JOB_ACCEPTED = Event(5001, "job_accepted", "INFO", "A job row was created.")
JOB_FINISHED = Event(5002, "job_finished", "INFO", "A job has its outcome.")
JOB_CANCELLED = Event(5003, "job_cancelled", "INFO", "A job was cancelled.")
JOB_REQUEUED = Event(
    5004, "job_requeued", "INFO", "A job went back to the queue for another attempt."
)

STORE_UNAVAILABLE = Event(
    6001,
    "store_unavailable",
    "WARNING",
    "The table service or object store does not take calls.",
    "Check the platform; this process retries.",
)
STORE_ANSWER_LOST = Event(
    6002,
    "store_answer_lost",
    "WARNING",
    "A store answer was lost; the call is resolved by its operation id.",
)
STORE_RECOVERED = Event(6003, "store_recovered", "INFO", "The store takes calls again.")

REQUEST_REFUSED = Event(
    7001, "request_refused", "INFO", "A request was refused before it ran."
)
REQUEST_UNKNOWN = Event(
    7002,
    "request_unknown",
    "WARNING",
    "A request may have run and its answer was lost.",
    "Ask for the outcome under the logged handle.",
)
REQUEST_RETRIED = Event(
    7003, "request_retried", "INFO", "An idempotent request was sent again."
)
EXECUTOR_LOST = Event(
    7004,
    "executor_lost",
    "WARNING",
    "An executor does not answer and is out of service until a probe answers.",
    "Replace the host when it stays lost.",
)
EXECUTOR_BACK = Event(
    7005, "executor_back", "INFO", "A probe of an executor was answered."
)
UNAUTHENTICATED_CALL = Event(
    7101,
    "unauthenticated_call",
    "WARNING",
    "A call had no valid credential and changed nothing.",
    "Check the caller's token.",
)
HANDLER_FAILED = Event(
    7102,
    "handler_failed",
    "ERROR",
    "A call ended with an unexpected error; the caller received status 500.",
    "Report the logged error.",
)


def all_events() -> list[Event]:
    """Return every event of this module in order of its number."""
    events = [value for value in globals().values() if isinstance(value, Event)]
    return sorted(events)
