"""Commands for operators: tables, drains and the audit log."""

import argparse
from pathlib import Path

from .api_client import ApiClient
from .exit_codes import ExitCode
from .printing import print_response


async def get_or_put_table(
    client: ApiClient, arguments: argparse.Namespace
) -> ExitCode:
    """Print or replace one table."""
    path = f"/v1/admin/{arguments.command}"
    if arguments.action == "get":
        return print_response(await client.call("GET", path))
    rows = _read_file(arguments.file)
    query = f"?base_revision={arguments.base}"
    if arguments.dry_run:
        query += "&dry_run=1"
    return print_response(await client.call("PUT", path + query, rows))


async def show_config(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Print the current revision on all hosts, or the last committed changes."""
    if arguments.action == "status":
        return print_response(await client.call("GET", "/v1/admin/config"))
    return print_response(
        await client.call("GET", f"/v1/admin/history?limit={arguments.limit}")
    )


async def drain_or_undrain(
    client: ApiClient, arguments: argparse.Namespace
) -> ExitCode:
    """Drain a host or cancel its drain."""
    method = "PUT" if arguments.command == "drain" else "DELETE"
    return print_response(
        await client.call(method, f"/v1/admin/drains/{arguments.host}")
    )


async def show_audit(client: ApiClient, arguments: argparse.Namespace) -> ExitCode:
    """Print the latest operator actions."""
    return print_response(
        await client.call("GET", f"/v1/admin/audit?limit={arguments.limit}")
    )


def _read_file(path: str) -> bytes:
    return Path(path).read_bytes()
