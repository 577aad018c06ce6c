"""Executor slots, dispatch, idempotency claims and forwarding."""

from .executor_client import (
    ExecutorAnswer,
    ExecutorClient,
    HttpExecutorClient,
    check_answer,
)
from .interfaces import ConfigView, MembershipView, PeerCalls
from .service import RequestService

__all__ = [
    "ConfigView",
    "ExecutorAnswer",
    "ExecutorClient",
    "HttpExecutorClient",
    "MembershipView",
    "PeerCalls",
    "RequestService",
    "check_answer",
]
