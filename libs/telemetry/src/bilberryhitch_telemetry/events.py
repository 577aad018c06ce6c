"""Numbered log events.

A number is never reused for another event, as operators' alerts match it.
Numbers are grouped by area: 1xxx process, 2xxx configuration, 3xxx peers and
hosts, 4xxx planners and gangs, 5xxx jobs, 6xxx store, 7xxx requests and callers.
"""

from typing import Literal, NamedTuple

Level = Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class Event(NamedTuple):
    """A kind of log event.

    :param number: stable number of the event
    :param name: stable name of the event, in snake case
    :param meaning: what the event reports
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
    "The process refuses new work and finishes the work in progress.",
)
PROCESS_STOPPED = Event(
    1004,
    "process_stopped",
    "INFO",
    "The work in progress is finished and the process ends.",
)
SHUTDOWN_LIMIT_REACHED = Event(
    1005,
    "shutdown_limit_reached",
    "WARNING",
    "The shutdown wait reached its limit while work was still in progress.",
    "Raise limits.shutdown_wait_s or leave it out.",
)
TASK_FAILED = Event(
    1006,
    "task_failed",
    "ERROR",
    "A background task failed with an unexpected error and is restarted.",
    "Report the logged error.",
)
LIBRARY_MESSAGE = Event(
    1007, "library_message", "WARNING", "A library wrote a log message."
)
UNEXPECTED_ERROR = Event(
    1008,
    "unexpected_error",
    "ERROR",
    "An unexpected error was confined to the named row, job, worker or call.",
    "Report the logged error.",
)
CLOCK_CORRECTED = Event(
    1009,
    "clock_corrected",
    "WARNING",
    "A new planner took over the Unix time of the other hosts; its own differs.",
    "Check the time synchronization of the named host.",
)
SETTINGS_INVALID = Event(
    1101,
    "settings_invalid",
    "ERROR",
    "The settings file is invalid; a starting process exits, a running one ignores it.",
    "Correct the named field of the settings file.",
)

CONFIG_ADOPTED = Event(
    2001, "config_adopted", "INFO", "This process has applied a configuration revision."
)
CONFIG_REFUSED = Event(
    2002,
    "config_refused",
    "WARNING",
    "An operator's change was rejected as invalid; nothing changed.",
    "Correct the named row and field.",
)
CONFIG_CONFLICT = Event(
    2003,
    "config_conflict",
    "INFO",
    "An operator's change conflicts with a newer revision; nothing changed.",
    "Read the tables again and retry the change.",
)
CONFIG_COMMITTED = Event(
    2004, "config_committed", "INFO", "An operator's change was committed."
)
CONFIG_OFFER_DROPPED = Event(
    2005,
    "config_offer_dropped",
    "WARNING",
    "A configuration offer of a peer was invalid and was dropped.",
    "Compare the program versions of both hosts.",
)
CONFIG_ROWS_UNREADABLE = Event(
    2006,
    "config_rows_unreadable",
    "ERROR",
    "Configuration rows in the store cannot be decoded; the current revision stays.",
    "Restore the named row or upgrade this process.",
)

PEER_UP = Event(3001, "peer_up", "INFO", "Heartbeats of a peer are received.")
PEER_SILENT = Event(
    3002,
    "peer_silent",
    "WARNING",
    "No heartbeat of a peer was received for 2 s.",
    "Check the host and the network if no heartbeat follows.",
)
PEER_MESSAGE_DROPPED = Event(
    3003,
    "peer_message_dropped",
    "WARNING",
    "A peer message could not be decoded or exceeded a limit.",
    "Compare the program versions of both hosts.",
)
PEER_QUEUE_FULL = Event(
    3004,
    "peer_queue_full",
    "WARNING",
    "The send queue of a peer is full; the newest message was rejected.",
    "Check the peer and the network.",
)
HOST_LEAVING = Event(
    3101, "host_leaving", "INFO", "A host is leaving and receives no new work."
)
HOST_DRAINED = Event(3102, "host_drained", "INFO", "An operator drained a host.")
HOST_UNDRAINED = Event(
    3103, "host_undrained", "INFO", "An operator cancelled the drain of a host."
)
HOST_BACK = Event(
    3104,
    "host_back",
    "INFO",
    "A host that was leaving is live again with a new boot id.",
)
HOST_LIST_STALE = Event(
    3105,
    "host_list_stale",
    "WARNING",
    "The platform's host list could not be read; the last known list is used.",
    "Check the platform if this recurs.",
)

PLANNER_ACQUIRED = Event(
    4001,
    "planner_acquired",
    "INFO",
    "This process acquired the planner lease of a pool in its data centre.",
)
PLANNER_LOST = Event(
    4002,
    "planner_lost",
    "WARNING",
    "Another process took over the planner lease; this one stops planning.",
    "Check this host for pauses if this recurs.",
)
PLANNER_RELEASED = Event(
    4003, "planner_released", "INFO", "This process released the planner lease."
)
GANG_RESERVED = Event(
    4101, "gang_reserved", "DEBUG", "All workers of a gang hold leases for it."
)
GANG_STARTED = Event(4102, "gang_started", "INFO", "All tasks of a gang started.")
GANG_START_UNDONE = Event(
    4103,
    "gang_start_undone",
    "WARNING",
    "Not all tasks of a gang could be started; its leases were released.",
    "Check the named worker if this recurs.",
)
GANG_PARTIAL_STOPPED = Event(
    4104,
    "gang_partial_stopped",
    "WARNING",
    "Some tasks of a gang were lost and the others were stopped.",
)
GANG_EVICTED = Event(
    4105,
    "gang_evicted",
    "INFO",
    "A job that used borrowed capacity was stopped to reclaim a cell.",
)
WORKER_LOST = Event(
    4201,
    "worker_lost",
    "WARNING",
    "A worker does not respond; its leases will expire.",
    "Replace the host if it does not recover.",
)
WORKER_QUARANTINED = Event(
    4202,
    "worker_quarantined",
    "WARNING",
    "A worker failed to start several jobs and receives no more work.",
    "Inspect the host.",
)
WORKER_RELEASED = Event(
    4203, "worker_released", "INFO", "A quarantined worker passed its probes."
)
GUARANTEE_SHORTFALL = Event(
    4301,
    "guarantee_shortfall",
    "ERROR",
    "The remaining hosts cannot satisfy a guarantee; it is reduced by the given rule.",
    "Replace hosts of the pool or lower the guarantee.",
)
GUARANTEE_RESTORED = Event(
    4302,
    "guarantee_restored",
    "INFO",
    "The hosts of a pool can satisfy all guarantees again.",
)

JOB_ACCEPTED = Event(5001, "job_accepted", "INFO", "A job row was created.")
JOB_FINISHED = Event(5002, "job_finished", "INFO", "A job has finished.")
JOB_CANCELLED = Event(5003, "job_cancelled", "INFO", "A job was cancelled.")
JOB_REQUEUED = Event(
    5004, "job_requeued", "INFO", "A job was requeued for another attempt."
)

STORE_UNAVAILABLE = Event(
    6001,
    "store_unavailable",
    "WARNING",
    "The table service or object store does not accept calls.",
    "Check the platform; this process retries.",
)
STORE_ANSWER_LOST = Event(
    6002,
    "store_answer_lost",
    "WARNING",
    "A response of the store was lost; the outcome is found by the operation id.",
)
STORE_RECOVERED = Event(
    6003, "store_recovered", "INFO", "The store accepts calls again."
)

REQUEST_REFUSED = Event(
    7001, "request_refused", "INFO", "A request was refused and did not run."
)
REQUEST_UNKNOWN = Event(
    7002,
    "request_unknown",
    "WARNING",
    "A request may have run; its response was lost.",
    "Query the outcome by the logged handle.",
)
REQUEST_RETRIED = Event(
    7003, "request_retried", "INFO", "An idempotent request was retried."
)
EXECUTOR_LOST = Event(
    7004,
    "executor_lost",
    "WARNING",
    "An executor does not respond; it gets no requests until a probe succeeds.",
    "Replace the host if it does not recover.",
)
EXECUTOR_BACK = Event(
    7005,
    "executor_back",
    "INFO",
    "A probe of an executor succeeded; it gets requests again.",
)
UNAUTHENTICATED_CALL = Event(
    7101,
    "unauthenticated_call",
    "WARNING",
    "A call had no valid credential and had no effect.",
    "Check the caller's token.",
)
HANDLER_FAILED = Event(
    7102,
    "handler_failed",
    "ERROR",
    "A call failed with an unexpected error; the caller received status 500.",
    "Report the logged error.",
)

SETTINGS_RELOADED = Event(
    1102, "settings_reloaded", "INFO", "The settings file was reloaded."
)
DEPENDENCY_LOST = Event(
    1201,
    "dependency_lost",
    "WARNING",
    "A call to a store, table or worker failed.",
    "See the logged error; calls are retried until one succeeds.",
)
DEPENDENCY_REGAINED = Event(
    1202, "dependency_regained", "INFO", "A dependency that had failed responds again."
)
LINES_DROPPED = Event(
    1203,
    "lines_dropped",
    "WARNING",
    "Log lines beyond the rate limit were dropped.",
)
WORKER_LISTED = Event(
    3201,
    "worker_listed",
    "INFO",
    "A worker registered itself or changed its registration.",
)
WORKER_UNLISTED = Event(
    3202,
    "worker_unlisted",
    "INFO",
    "A worker was unregistered; its runs may continue until its lease expires.",
)
WORKER_SYNCED = Event(
    3203, "worker_synced", "INFO", "This planner received a worker's list of runs."
)
WORKER_GONE = Event(
    3204,
    "worker_gone",
    "WARNING",
    "A worker's incarnation has ended; its runs are released.",
)
WORKER_CRASHED = Event(
    3210,
    "worker_crashed",
    "WARNING",
    "A worker ended without notice, or its lease expired; it counts for its tasks.",
    "Compare the named tasks with those of other crashes.",
)
WORKER_LAPSED = Event(
    3205,
    "worker_lapsed",
    "WARNING",
    "A worker's lease expired while it was unreachable; its runs are released.",
    "Check the network between the planner's host and the worker.",
)
WORKER_RESTARTED = Event(
    3212,
    "worker_restarted",
    "WARNING",
    "A worker lists its runs with another time of start; those of before are lost.",
)
JOB_JUDGED = Event(
    3213,
    "job_judged",
    "WARNING",
    "The failures of a job are its own fault, as it failed on most of the workers that"
    " it was tried on, or count against the workers again.",
    "Ask the caller what the job does.",
)
MACHINES_UNKNOWN = Event(
    3206,
    "machines_unknown",
    "WARNING",
    "The list of machines could not be read; leases of lost workers must expire.",
)
WAVE_BEGUN = Event(
    3207, "wave_begun", "INFO", "The operator requested a wave of machine upkeep."
)
UPKEEP_ORDERED = Event(
    3208, "upkeep_ordered", "INFO", "A machine was taken down for its upkeep."
)
EVACUATION_CHANGED = Event(
    3211,
    "evacuation_changed",
    "INFO",
    "The operator evacuates a data centre or takes that back.",
)
WAVE_DONE = Event(
    3209, "wave_done", "INFO", "The upkeep of all machines of a wave is completed."
)
PLANNER_LEASE_WON = Event(
    4221, "planner_lease_won", "INFO", "This host acquired the planner's lease."
)
PLANNER_PROCESS_ENDED = Event(
    4224,
    "planner_process_ended",
    "WARNING",
    "The process of the planner has ended without releasing its lease.",
)
PLANNER_LEASE_FOUND = Event(
    4226,
    "planner_lease_found",
    "WARNING",
    "The planner's lease names this process already: an acquisition was not answered,"
    " or an earlier term ended without a release.",
)
PLANNER_STARTED = Event(
    4222, "planner_started", "INFO", "This host has started to plan."
)
PLANNER_ENDED = Event(4223, "planner_ended", "INFO", "This host has stopped planning.")
PLANNER_ISOLATED = Event(
    4204,
    "planner_isolated",
    "WARNING",
    "Most workers are unreachable for this planner; it releases its lease.",
    "Check the network of this host.",
)
PLANNER_RELEASE_FAILED = Event(
    4205,
    "planner_release_failed",
    "WARNING",
    "The planner's lease could not be released; another host acquires it on expiry.",
)
JOBS_LOADED = Event(4206, "jobs_loaded", "INFO", "The planner has loaded all jobs.")
SPEEDS_LOADED = Event(
    4227,
    "speeds_loaded",
    "INFO",
    "The planner has loaded the speeds of machines that an earlier one had stored.",
)
MACHINE_SPEEDS_CHANGED = Event(
    4228,
    "machine_speeds_changed",
    "INFO",
    "Machines turned out to be slow or fast, or no longer are; 1.0 is the average.",
    "Look for the cause on a slow machine if its kind is not known to be slow.",
)
UNIT_STARTED = Event(
    4211, "unit_started", "INFO", "A gang or a single task was placed on workers."
)
TASK_GIVEN_UP = Event(
    4220,
    "task_given_up",
    "WARNING",
    "A task crashes the workers that start it; its job has failed.",
    "Tell the caller; correct the task.",
)
RUN_ENDED = Event(4212, "run_ended", "INFO", "A worker reported the end of a run.")
RUN_RELEASED = Event(
    4225,
    "run_released",
    "WARNING",
    "A run that no worker has listed as ended is held for over; its task may start"
    " again. The proof and the ages of what it rests on are given.",
)
RUN_ADOPTED = Event(
    4213,
    "run_adopted",
    "INFO",
    "A worker reported a run that this planner had not started.",
)
RUN_STALLED = Event(
    4214, "run_stalled", "WARNING", "A run makes no progress and is stopped."
)
RUN_PACED = Event(
    4219,
    "run_paced",
    "INFO",
    "The pace of a task that uses idle processor time was changed.",
)
START_NOT_DONE = Event(
    4215, "start_not_done", "WARNING", "A worker did not confirm a start."
)
UNITS_EVICTED = Event(
    4216, "units_evicted", "INFO", "Running work was evicted for a guaranteed job."
)
WORK_LOST = Event(
    4231,
    "work_lost",
    "INFO",
    "A run has ended without success; its unsaved work is lost for the given cause.",
    "If one cause grows, see OPERATIONS.md, Why work was thrown away.",
)
ADVICE_TAKEN = Event(
    4217, "advice_taken", "INFO", "The advice service granted workers for a step."
)
ADVICE_MISSING = Event(
    4218, "advice_missing", "WARNING", "The advice service gave no valid response."
)
SWEEP_FAILED = Event(
    5104,
    "sweep_failed",
    "WARNING",
    "A finished job could not be deleted after its retention; it will be retried.",
)
JOB_SUBMITTED = Event(5101, "job_submitted", "INFO", "A caller submitted a job.")
JOB_CANCEL_ASKED = Event(
    5102, "job_cancel_asked", "INFO", "A caller requested the cancellation of a job."
)
JOB_ENDED = Event(5103, "job_ended", "INFO", "A job has reached its final state.")
STORE_CALL_FAILED = Event(
    6101, "store_call_failed", "WARNING", "A store call on behalf of a caller failed."
)
STORE_HISTORY_LOST = Event(
    6102,
    "store_history_lost",
    "WARNING",
    "The store no longer retains the changes to continue from; the table is reloaded.",
)
STORE_TRANSFER_SLOW = Event(
    6105,
    "store_transfer_slow",
    "WARNING",
    "A response of the store arrived for more than a second.",
    "Compare its size with the bandwidth of the host's link.",
)
ROW_UNREADABLE = Event(
    6103, "row_unreadable", "WARNING", "A row could not be decoded and is ignored."
)
CALL_REFUSED = Event(
    7105, "call_refused", "INFO", "A call was refused and had no effect."
)
CONNECTION_CLOSED = Event(
    7106,
    "connection_closed",
    "WARNING",
    "Connections were closed to keep a limit; their number since the last such line.",
    "See the section on clients that press in docs/OPERATIONS.md.",
)
BAD_REQUEST = Event(7104, "bad_request", "INFO", "A call was rejected as invalid.")


def all_events() -> list[Event]:
    """Return all events of this module, sorted by number."""
    events = [value for value in globals().values() if isinstance(value, Event)]
    return sorted(events)
