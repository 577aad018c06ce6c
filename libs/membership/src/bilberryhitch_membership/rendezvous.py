"""Rendezvous hashing: every process selects the same host for a key.

Thaler and Ravishankar, Using name-based mappings to increase hit rates, 1998.
"""

import hashlib
from collections.abc import Iterable

SCORE_BYTES = 8


def owner(key: str, hosts: Iterable[str]) -> str:
    """Return the host with the highest score for ``key``.

    :raises ValueError: ``hosts`` is empty
    """
    return max(hosts, key=lambda host: _score(key, host))


def ranked(key: str, hosts: Iterable[str]) -> list[str]:
    """Return the hosts by descending score; the first is the owner."""
    return sorted(hosts, key=lambda host: _score(key, host), reverse=True)


def _score(key: str, host: str) -> tuple[bytes, str]:
    """Return a score that is equal in all processes, unlike :func:`hash`."""
    data = f"{host}\0{key}".encode()
    return hashlib.blake2b(data, digest_size=SCORE_BYTES).digest(), host
