"""The ``standin`` command: runs one stand-in for an external system."""

import argparse
import asyncio
import signal
import sys
import uuid
from typing import Protocol

import aiohttp
import uvloop
from bilberryhitch_model import Address, Host, HostKind, encode

from .exit_codes import ExitCode


class Standin(Protocol):
    """The interface of all stand-ins."""

    async def start(self) -> Address:
        """Start listening and return the address."""

    async def close(self) -> None:
        """Stop the server."""


def standin(arguments: argparse.Namespace) -> ExitCode:
    """Run a stand-in until SIGTERM or SIGINT."""
    if arguments.kind != "platform" and not (arguments.name and arguments.data_centre):
        sys.stderr.write("--name and --data-centre are required\n")
        return ExitCode.BAD_INPUT
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_run(arguments))


async def _run(arguments: argparse.Namespace) -> ExitCode:
    host = _make_host(arguments)
    server = _make_standin(arguments, host)
    # Installed first: a parent process may send SIGTERM once the address is printed.
    stop = catch_stop_signals()
    address = await server.start()
    try:
        if arguments.platform and arguments.kind != "platform":
            await register_host(
                arguments.platform,
                host._replace(address=f"{address.ip}:{address.port}"),
            )
        sys.stdout.write(f"listening on {address.ip}:{address.port}\n")
        sys.stdout.flush()
        await stop.wait()
    finally:
        await server.close()
    return ExitCode.OK


def _make_host(arguments: argparse.Namespace) -> Host:
    kind: HostKind = "executor" if arguments.kind == "executor" else "worker"
    return Host(
        name=arguments.name,
        kind=kind,
        data_centre=arguments.data_centre,
        address="",
        boot_id=uuid.uuid4().hex,
        rack=arguments.rack,
        position=arguments.position,
        accelerators=arguments.accelerators if kind == "worker" else 0,
        cores=arguments.cores,
        memory_gb=arguments.memory_gb,
    )


def _make_standin(arguments: argparse.Namespace, host: Host) -> Standin:
    if arguments.kind == "platform":
        from bilberryhitch_standins import PlatformStandin

        return PlatformStandin(arguments.bind, arguments.port)
    if arguments.kind == "executor":
        from bilberryhitch_standins import ExecutorStandin

        return ExecutorStandin(host, arguments.bind, arguments.port)
    from bilberryhitch_standins import WorkerStandin

    return WorkerStandin(host, arguments.bind, arguments.port)


async def register_host(platform_url: str, host: Host) -> None:
    """Add a host to the host list of the stand-in platform.

    :raises aiohttp.ClientError: the platform did not accept the host
    """
    url = f"{platform_url.rstrip('/')}/v1/hosts/{host.name}"
    async with (
        aiohttp.ClientSession() as session,
        session.put(url, data=encode(host)) as response,
    ):
        response.raise_for_status()


def catch_stop_signals() -> asyncio.Event:
    """Return an event that is set on SIGTERM and SIGINT."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    return stop
