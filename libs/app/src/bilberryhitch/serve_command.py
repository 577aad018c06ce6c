"""The ``serve`` command: one entry host per process."""

import argparse
import asyncio
import sys
from pathlib import Path
from typing import Any

import aiomisc
import uvloop
from bilberryhitch_settings import Settings, load_settings
from bilberryhitch_telemetry import start_logs, start_metrics

from .check_command import print_settings_error
from .entry_host import EntryHost
from .exit_codes import ExitCode
from .standin_command import catch_stop_signals

# Effectively unlimited: the default of aiomisc aborts a shutdown after 60 s, but the
# settings limit its duration (limits.shutdown_wait_s).
AIOMISC_SHUTDOWN_TIMEOUT_S = 30 * 24 * 3600.0
THREAD_COUNT = 2


class EntryHostService(aiomisc.Service):
    """Runs an entry host as a service of the aiomisc entry point."""

    def __init__(self, settings: Settings, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._settings = settings
        self._host: EntryHost | None = None
        self._stop: asyncio.Event | None = None

    async def start(self) -> None:
        """Start the entry host and print the address on which it listens."""
        self._stop = catch_stop_signals()
        self._host = EntryHost(self._settings)
        await self._host.start()
        address = self._host.api_address
        sys.stdout.write(f"listening on {address.ip}:{address.port}\n")
        sys.stdout.flush()

    async def wait_for_stop(self) -> None:
        """Wait until the process receives SIGTERM or SIGINT."""
        if self._stop is not None:
            await self._stop.wait()

    async def stop(self, exception: Exception | None = None) -> None:
        """Complete work in progress and stop."""
        if self._host is not None:
            await self._host.close()


def serve(arguments: argparse.Namespace) -> ExitCode:
    """Run an entry host until SIGTERM or SIGINT, then shut down gracefully."""
    loaded = load_settings(Path(arguments.settings))
    if loaded.is_error():
        return print_settings_error(loaded.error)
    settings = loaded.ok
    start_logs(settings.log_level, {"host": settings.host})
    start_metrics(settings.otlp_endpoint)
    service = EntryHostService(settings)
    with aiomisc.entrypoint(
        service,
        log_config=False,
        pool_size=THREAD_COUNT,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=AIOMISC_SHUTDOWN_TIMEOUT_S,
    ) as loop:
        loop.run_until_complete(service.wait_for_stop())
    return ExitCode.OK
