"""Jobs as graphs of steps: records, their storage, submission and cancellation."""

from .configuration import (
    Account,
    AdvicePolicy,
    Configuration,
    Limits,
    Queue,
    Service,
)
from .job_api import AdmittedCall, JobApi, JobReply, JobSubmission, ReplyKind
from .job_operations import JobOperations, OperationResult
from .progress import (
    GANG_INDEX,
    CrashCount,
    JobProgress,
    Placement,
    UnitProgress,
    decode_progress,
    decode_request,
    encode_progress,
    encode_request,
)
from .records import (
    FINISHED_STATES,
    JobRequest,
    JobState,
    Resources,
    Schedule,
    Step,
    TaskName,
)
from .relaying_store import RelayingStore
from .row_values import read_json_row
from .rows import ExpectedRevision, RowRemoval, RowSnapshot, RowWrite, Store, StoreRow
from .store_health import StoreHealth, probe_while_silent
from .table_watcher import TableWatcher, apply_row

__all__ = [
    "RelayingStore",
    "StoreHealth",
    "probe_while_silent",
    "read_json_row",
    "apply_row",
    "FINISHED_STATES",
    "GANG_INDEX",
    "JobOperations",
    "Account",
    "AdmittedCall",
    "AdvicePolicy",
    "Configuration",
    "Resources",
    "JobApi",
    "CrashCount",
    "ExpectedRevision",
    "Placement",
    "TableWatcher",
    "JobSubmission",
    "JobProgress",
    "JobRequest",
    "JobState",
    "Limits",
    "ReplyKind",
    "Queue",
    "RowRemoval",
    "JobReply",
    "StoreRow",
    "Schedule",
    "Service",
    "RowSnapshot",
    "Step",
    "Store",
    "TaskName",
    "UnitProgress",
    "OperationResult",
    "RowWrite",
    "decode_progress",
    "decode_request",
    "encode_progress",
    "encode_request",
]
