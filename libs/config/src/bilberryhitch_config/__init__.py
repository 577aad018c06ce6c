"""Configuration tables (routes and pools): commits, replication and audit log."""

from .audit import AuditEntry, read_audit
from .commits import ConfigError
from .host_revisions import HostRevision
from .service import ConfigService

__all__ = ["AuditEntry", "ConfigError", "ConfigService", "HostRevision", "read_audit"]
