"""Clients of the platform: table service, object store and host list."""

from .commit import abandon, commit
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

__all__ = [
    "Delete",
    "Expect",
    "HostList",
    "MemoryHostList",
    "MemoryObjects",
    "MemoryTables",
    "ObjectStore",
    "Page",
    "Put",
    "Row",
    "TableService",
    "Write",
    "abandon",
    "commit",
]
