"""Ports on loopback."""

import socket


def free_ports(count: int) -> list[int]:
    """Return TCP ports on loopback that the kernel chose and that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()
