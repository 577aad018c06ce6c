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

SETTINGS_RELOADED = Event(
    1102, "settings_reloaded", "INFO", "The settings file was read again."
)
DEPENDENCY_LOST = Event(
    1201,
    "dependency_lost",
    "WARNING",
    "A store, table or worker does not answer as it should.",
    "See the error; calls are repeated until one succeeds.",
)
DEPENDENCY_REGAINED = Event(
    1202, "dependency_regained", "INFO", "A lost dependency answers again."
)
LINES_DROPPED = Event(
    1203,
    "lines_dropped",
    "WARNING",
    "More lines were written than the limit allows; the rest were left out.",
)
WORKER_LISTED = Event(
    3201, "worker_listed", "INFO", "A worker registered itself or changed its entry."
)
WORKER_UNLISTED = Event(
    3202,
    "worker_unlisted",
    "INFO",
    "A worker's registration is gone; its runs may go on until its lease lapses.",
)
WORKER_SYNCED = Event(
    3203, "worker_synced", "INFO", "A worker listed its runs to this planner."
)
WORKER_GONE = Event(
    3204,
    "worker_gone",
    "WARNING",
    "A worker's incarnation has ended; its runs are released.",
)
WORKER_LAPSED = Event(
    3205,
    "worker_lapsed",
    "WARNING",
    "A worker's lease lapsed while it could not be reached; its runs are released.",
    "Check the network between the planner's host and the worker.",
)
MACHINES_UNKNOWN = Event(
    3206,
    "machines_unknown",
    "WARNING",
    "The list of machines could not be read; silent workers are waited for.",
)
WAVE_BEGUN = Event(
    3207, "wave_begun", "INFO", "The operator asked for the upkeep of some machines."
)
UPKEEP_ORDERED = Event(
    3208, "upkeep_ordered", "INFO", "A machine was ordered down for its upkeep."
)
WAVE_DONE = Event(3209, "wave_done", "INFO", "Every machine of a wave had its upkeep.")
PLANNER_LEASE_WON = Event(
    4221, "planner_lease_won", "INFO", "This host acquired the planner's lease."
)
PLANNER_PROCESS_ENDED = Event(
    4224,
    "planner_process_ended",
    "WARNING",
    "The planner's process has ended without giving its lease up.",
)
PLANNER_STARTED = Event(4222, "planner_started", "INFO", "This host plans from now on.")
PLANNER_ENDED = Event(4223, "planner_ended", "INFO", "This host no longer plans.")
PLANNER_ISOLATED = Event(
    4204,
    "planner_isolated",
    "WARNING",
    "Most workers are out of this planner's reach; it gives its lease up.",
    "Check the network of this host.",
)
PLANNER_RELEASE_FAILED = Event(
    4205,
    "planner_release_failed",
    "WARNING",
    "The lease could not be given up; another host takes it after its silence.",
)
JOBS_LOADED = Event(4206, "jobs_loaded", "INFO", "The planner has read all jobs.")
UNIT_STARTED = Event(4211, "unit_started", "INFO", "A gang or a task was placed.")
RUN_ENDED = Event(4212, "run_ended", "INFO", "A worker listed the end of a run.")
RUN_ADOPTED = Event(
    4213, "run_adopted", "INFO", "A worker runs what this planner has not ordered."
)
RUN_STALLED = Event(
    4214, "run_stalled", "WARNING", "A run shows no progress and is stopped."
)
RUN_PACED = Event(
    4219, "run_paced", "INFO", "The pace of a task that fills was changed."
)
START_NOT_DONE = Event(
    4215, "start_not_done", "WARNING", "A worker did not confirm a start."
)
UNITS_EVICTED = Event(
    4216, "units_evicted", "INFO", "Work was stopped for a guaranteed job."
)
ADVICE_TAKEN = Event(
    4217, "advice_taken", "INFO", "The advice service named workers for a step."
)
ADVICE_MISSING = Event(
    4218, "advice_missing", "WARNING", "The advice service gave no usable answer."
)
SWEEP_FAILED = Event(
    5104,
    "sweep_failed",
    "WARNING",
    "A finished job past its time could not be removed; it is tried again.",
)
JOB_SUBMITTED = Event(5101, "job_submitted", "INFO", "A caller submitted a job.")
JOB_CANCEL_ASKED = Event(
    5102, "job_cancel_asked", "INFO", "A caller asked for a job's cancellation."
)
JOB_ENDED = Event(5103, "job_ended", "INFO", "A job has reached its final state.")
STORE_CALL_FAILED = Event(
    6101, "store_call_failed", "WARNING", "A store call for a caller failed."
)
STORE_HISTORY_LOST = Event(
    6102,
    "store_history_lost",
    "WARNING",
    "The store dropped the changes after the last one read; the table is read anew.",
)
ROW_UNREADABLE = Event(
    6103, "row_unreadable", "WARNING", "A row cannot be read and is left out."
)
CALL_REFUSED = Event(
    7105, "call_refused", "INFO", "A call was refused and has not run."
)
BAD_REQUEST = Event(
    7104, "bad_request", "INFO", "A call breaks a rule of the interface."
)


def all_events() -> list[Event]:
    """Return every event of this module in order of its number."""
    events = [value for value in globals().values() if isinstance(value, Event)]
    return sorted(events)
