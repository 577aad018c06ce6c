"""Processes of the command-line program, for the tests of the whole path."""

import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Sequence

START_TIMEOUT_S = 60.0


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
    """Return TCP ports that the kernel chose and that are free at present."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(("127.0.0.1", 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports
