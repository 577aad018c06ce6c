"""The ``check`` command: validates a settings file or a tables file."""

import argparse
import sys
from pathlib import Path

from bilberryhitch_model import parse_jsonc, parse_tables, validate_tables
from bilberryhitch_model.errors import BadInput, SettingsInvalid, TableInvalid
from bilberryhitch_settings import load_settings

from .exit_codes import ExitCode


def check(arguments: argparse.Namespace) -> ExitCode:
    """Validate a settings file, or a tables file with ``routes`` or ``pools``.

    Rules that need the platform's host list are only checked when an entry host
    receives the table.
    """
    path = Path(arguments.file)
    if _is_tables_file(path):
        return _check_tables(path)
    loaded = load_settings(path)
    if loaded.is_error():
        return print_settings_error(loaded.error)
    sys.stdout.write(f"{path}: ok, settings of {loaded.ok.host}\n")
    return ExitCode.OK


def print_settings_error(error: SettingsInvalid) -> ExitCode:
    """Print the error in a settings file to stderr."""
    sys.stderr.write(f"{error.file}: {error.path}: {error.value!r}: {error.rule}\n")
    return ExitCode.BAD_INPUT


def _is_tables_file(path: Path) -> bool:
    try:
        plain = parse_jsonc(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, BadInput):
        return False
    return isinstance(plain, dict) and ("routes" in plain or "pools" in plain)


def _check_tables(path: Path) -> ExitCode:
    parsed = parse_tables(path.read_text(encoding="utf-8"))
    if parsed.is_error():
        return _print_table_error(path, parsed.error)
    checked = validate_tables(parsed.ok, (), check_capacity_of=())
    if checked.is_error():
        return _print_table_error(path, checked.error)
    rows = len(parsed.ok.routes), len(parsed.ok.pools)
    sys.stdout.write(f"{path}: ok, {rows[0]} routes and {rows[1]} pools\n")
    return ExitCode.OK


def _print_table_error(path: Path, error: TableInvalid) -> ExitCode:
    location = f"{error.row}.{error.field}" if error.row else error.field
    sys.stderr.write(f"{path}: {location}: {error.value!r}: {error.rule}\n")
    return ExitCode.BAD_INPUT
