"""Processes of the command-line program, for the tests of the whole path."""

import os
import random
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Sequence

START_TIMEOUT_S = 60.0
# The kernel gives ports from 32768 on to outgoing connections.
PORTS = (15_000, 32_000)
# Seeds of the tests do not decide ports, which other processes share.
_random = random.SystemRandom()
_given: set[int] = set()


class Process:
    """A running command that prints its address on stdout once it listens."""

    def __init__(self, name: str, arguments: Sequence[str]) -> None:
        self.name = name
        self.address = ""
        self._errors: list[str] = []
        self._started = threading.Event()
        self._popen = subprocess.Popen(
            [sys.executable, "-m", "bilberryhitch", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            env={**os.environ, "PYTHONUNBUFFERED": "1"},
        )
        self._readers = [
            threading.Thread(target=self._read_output, daemon=True),
            threading.Thread(target=self._read_errors, daemon=True),
        ]
        for reader in self._readers:
            reader.start()

    @property
    def pid(self) -> int:
        return self._popen.pid

    @property
    def errors(self) -> list[str]:
        """Lines of stderr read so far."""
        return self._errors

    def wait_until_listening(self) -> str:
        """Return the address; fails if the process ends before it listens."""
        self._started.wait(START_TIMEOUT_S)
        assert self.address, f"{self.name} did not start: {self._errors[-20:]}"
        return self.address

    def signal(self, number: signal.Signals) -> None:
        self._popen.send_signal(number)

    def wait(self, timeout_s: float = START_TIMEOUT_S) -> int:
        return self._popen.wait(timeout_s)

    def close(self) -> None:
        """Kill the process, also a stopped one, and close its pipes."""
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.kill()
        self._popen.wait()
        for reader in self._readers:
            reader.join()
        for stream in (self._popen.stdout, self._popen.stderr):
            if stream is not None:
                stream.close()

    def _read_output(self) -> None:
        assert self._popen.stdout is not None
        for line in self._popen.stdout:
            if line.startswith("listening on "):
                self.address = line.split()[-1]
                self._started.set()
        self._started.set()

    def _read_errors(self) -> None:
        assert self._popen.stderr is not None
        self._errors.extend(line.rstrip() for line in self._popen.stderr)


def free_ports(count: int) -> list[int]:
    """Return TCP ports that the kernel lets a process bind at present.

    They lie below those that it gives to outgoing connections, one of which could take
    a port before the process listens on it, or between two of its lives.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = _random.randrange(*PORTS)
        if port not in _given and _can_be_bound(port):
            _given.add(port)
            ports.append(port)
    return ports


def _can_be_bound(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True
