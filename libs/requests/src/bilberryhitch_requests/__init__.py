"""Executor slots, dispatch, idempotency claims and forwarding."""
