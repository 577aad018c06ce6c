"""Interfaces and clients of the platform: table service, object store, host list."""

from .commit import abandon, commit
from .http_client import PlatformClient
from .interfaces import (
    Delete,
    Expect,
    HostList,
    ObjectStore,
    Page,
    Put,
    Row,
    TableService,
    Write,
)
from .memory import MemoryHostList, MemoryObjects, MemoryTables
from .retry_budget import RetryBudget
from .sweeper import OperationsSweeper

__all__ = [
    "Delete",
    "Expect",
    "HostList",
    "MemoryHostList",
    "MemoryObjects",
    "MemoryTables",
    "ObjectStore",
    "OperationsSweeper",
    "Page",
    "PlatformClient",
    "Put",
    "RetryBudget",
    "Row",
    "TableService",
    "Write",
    "abandon",
    "commit",
]
