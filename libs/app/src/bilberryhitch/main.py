"""Entry point of the command line."""

import argparse
import asyncio
import os
import sys
from collections.abc import Awaitable, Callable

import aiohttp

from .arguments import build_parser
from .exit_codes import ExitCode

# Set by the completion function of the shell while it requests candidates.
COMPLETION_VARIABLE = "_ARGCOMPLETE"
Command = Callable[[argparse.Namespace], ExitCode]


def run() -> None:
    """Run the command line and exit with its exit code."""
    sys.exit(int(execute(sys.argv[1:])))


def execute(argv: list[str]) -> ExitCode:
    """Run one command.

    :param argv: arguments without the program name
    """
    parser = build_parser()
    if COMPLETION_VARIABLE in os.environ:
        import argcomplete

        argcomplete.autocomplete(parser)
    arguments = parser.parse_args(argv)
    return _load_command(arguments.command)(arguments)


def _load_command(name: str) -> Command:
    """Import a command and return it.

    Only the modules that the command needs are imported, so that client commands
    use little memory.
    """
    if name == "serve":
        from .serve_command import serve

        return serve
    if name == "check":
        from .check_command import check

        return check
    if name == "trace":
        from .trace_command import trace

        return trace
    if name == "standin":
        from .standin_command import standin

        return standin
    if name == "demo":
        from .demo_command import demo

        return demo
    return _api_command(name)


def _api_command(name: str) -> Command:
    from . import caller_commands, operator_commands
    from .api_client import ApiClient

    commands: dict[
        str, Callable[[ApiClient, argparse.Namespace], Awaitable[ExitCode]]
    ] = {
        "routes": operator_commands.get_or_put_table,
        "pools": operator_commands.get_or_put_table,
        "config": operator_commands.show_config,
        "drain": operator_commands.drain_or_undrain,
        "undrain": operator_commands.drain_or_undrain,
        "audit": operator_commands.show_audit,
        "request": caller_commands.send_request,
        "submit": caller_commands.submit_job,
        "status": caller_commands.job_status,
        "wait": caller_commands.wait_for_job,
        "cancel": caller_commands.cancel_job,
        "explain": caller_commands.explain_job,
    }
    command = commands[name]
    return lambda arguments: asyncio.run(_run_api_command(command, arguments))


async def _run_api_command(
    command: Callable[..., Awaitable[ExitCode]], arguments: argparse.Namespace
) -> ExitCode:
    from .api_client import make_client

    try:
        client = make_client(arguments)
    except OSError as error:
        sys.stderr.write(f"{error.filename}: {error.strerror}\n")
        return ExitCode.BAD_INPUT
    await client.start()
    try:
        return await command(client, arguments)
    except OSError as error:
        if isinstance(error, aiohttp.ClientError):
            return _report_unreachable(error)
        sys.stderr.write(f"{error.filename}: {error.strerror}\n")
        return ExitCode.BAD_INPUT
    except aiohttp.ClientError as error:
        return _report_unreachable(error)
    finally:
        await client.close()


def _report_unreachable(error: Exception) -> ExitCode:
    sys.stderr.write(f"no entry host responded: {error}\n")
    return ExitCode.UNREACHABLE
