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

# aiomisc would cut a shutdown short after 60 s; requests in flight and the
# settings' own limit decide how long it takes.
SHUTDOWN_LIMIT_S = 30 * 24 * 3600.0
THREADS = 2


class EntryHostService(aiomisc.Service):
    """Runs an entry host as a service of the entry point."""

    def __init__(self, settings: Settings, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self._settings = settings
        self._host: EntryHost | None = None
        self._stop: asyncio.Event | None = None

    async def start(self) -> None:
        """Start the entry host and say where it listens."""
        self._stop = catch_stop_signals()
        self._host = EntryHost(self._settings)
        await self._host.start()
        address = self._host.api_address
        sys.stdout.write(f"listening on {address.ip}:{address.port}\n")
        sys.stdout.flush()

    async def wait_for_stop(self) -> None:
        """Return when the process is asked to stop."""
        if self._stop is not None:
            await self._stop.wait()

    async def stop(self, exception: Exception | None = None) -> None:
        """Finish what is in flight and stop."""
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
        pool_size=THREADS,
        catch_signals=(),
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=SHUTDOWN_LIMIT_S,
    ) as loop:
        loop.run_until_complete(service.wait_for_stop())
    return ExitCode.OK
