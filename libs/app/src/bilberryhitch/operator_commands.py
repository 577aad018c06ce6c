"""Commands for operators: tables, drains and the audit trail."""

import argparse
from pathlib import Path

from .api_client import ApiClient
from .exit_codes import ExitCode
from .printing import print_answer


async def routes_or_pools(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Print or replace one table."""
    path = f"/v1/admin/{arguments.command}"
    if arguments.action == "get":
        return print_answer(await client.call("GET", path))
    rows = _read(arguments.file)
    query = f"?base_revision={arguments.base}"
    if arguments.dry_run:
        query += "&dry_run=1"
    return print_answer(await client.call("PUT", path + query, rows))


async def config(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Print where which revision is in force, or the committed changes."""
    if arguments.action == "status":
        return print_answer(await client.call("GET", "/v1/admin/config"))
    return print_answer(
        await client.call("GET", f"/v1/admin/history?limit={arguments.limit}")
    )


async def drain(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Drain a host or undo its drain."""
    method = "PUT" if arguments.command == "drain" else "DELETE"
    return print_answer(await client.call(method, f"/v1/admin/drains/{arguments.host}"))


async def audit(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Print the latest operator actions."""
    return print_answer(
        await client.call("GET", f"/v1/admin/audit?limit={arguments.limit}")
    )


def _read(path: str) -> bytes:
    return Path(path).read_bytes()
