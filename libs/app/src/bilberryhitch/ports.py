"""Finds free TCP ports on loopback."""

import socket


def free_ports(count: int) -> list[int]:
    """Return distinct TCP ports on loopback that are currently free."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for sock in sockets:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in sockets]
    finally:
        for sock in sockets:
            sock.close()
