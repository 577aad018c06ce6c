"""Commands and options of the command line."""

import argparse

from .exit_codes import EXIT_CODE_MEANINGS

DEFAULT_API = "http://127.0.0.1:8470"

USAGE_EXAMPLES = """examples:
  bilberryhitch demo
  bilberryhitch check examples/muscat-ruwi-1.jsonc
  bilberryhitch serve examples/muscat-ruwi-1.jsonc
  bilberryhitch routes get > routes.json
  bilberryhitch routes put routes.json --base 41
  bilberryhitch submit clasp-simulation --tasks 16 --accelerators 1 --wait
  bilberryhitch explain ruwi.renders.0c5b"""


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    codes = "\n".join(
        f"  {int(code)}  {text}" for code, text in EXIT_CODE_MEANINGS.items()
    )
    parser = argparse.ArgumentParser(
        prog="bilberryhitch",
        description="Scheduler for multi-accelerator jobs under client-account "
        "guarantees.",
        epilog=f"{USAGE_EXAMPLES}\n\nexit codes:\n{codes}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_process_commands(commands)
    _add_operator_commands(commands)
    _add_caller_commands(commands)
    return parser


Subparsers = "argparse._SubParsersAction[argparse.ArgumentParser]"


def _add_process_commands(commands: Subparsers) -> None:  # type: ignore[valid-type]
    serve = _add_command(commands, "serve", "run an entry host", "serve host.jsonc")
    serve.add_argument("settings", metavar="SETTINGS")
    check = _add_command(
        commands,
        "check",
        "validate a settings file or a tables file",
        "check tables.jsonc",
    )
    check.add_argument("file", metavar="SETTINGS|TABLES")
    demo = _add_command(
        commands,
        "demo",
        "run a simulated workload on two deployments in one process",
        "demo",
    )
    demo.add_argument("--seed", type=int, default=1)
    demo.add_argument(
        "--seconds",
        type=float,
        default=12.0,
        help="duration of the workload of a deployment",
    )
    _add_standin_command(commands)


def _add_standin_command(commands: Subparsers) -> None:  # type: ignore[valid-type]
    standin = _add_command(
        commands,
        "standin",
        "run a stand-in for an external system",
        "standin worker --name w1 --data-centre ruwi --platform http://127.0.0.1:9000",
    )
    standin.add_argument("kind", choices=("platform", "executor", "worker"))
    standin.add_argument("--bind", default="127.0.0.1")
    standin.add_argument(
        "--port", type=int, default=0, help="TCP port; 0: any free port"
    )
    standin.add_argument(
        "--platform", default="", help="URL of the platform to register with"
    )
    standin.add_argument("--name", default="")
    standin.add_argument("--data-centre", default="")
    standin.add_argument("--rack", default="")
    standin.add_argument("--position", type=int, default=0)
    standin.add_argument("--accelerators", type=int, default=8)
    standin.add_argument("--cores", type=int, default=32)
    standin.add_argument("--memory-gb", type=int, default=64)


def _add_operator_commands(commands: Subparsers) -> None:  # type: ignore[valid-type]
    for table in ("routes", "pools"):
        command = _add_command(
            commands, table, f"read or replace the {table} table", f"{table} get"
        )
        _add_api_options(command)
        actions = command.add_subparsers(dest="action", required=True)
        actions.add_parser("get", help="print the table as JSON")
        put = actions.add_parser("put", help="replace the table")
        put.add_argument("file", metavar="FILE")
        put.add_argument(
            "--base",
            type=int,
            required=True,
            help="revision on which the edit is based",
        )
        put.add_argument(
            "--dry-run", action="store_true", help="only print the differences"
        )
    config = _add_command(
        commands,
        "config",
        "print the revisions of the tables on all hosts, or the history",
        "config status",
    )
    _add_api_options(config)
    config.add_argument("action", choices=("status", "history"))
    config.add_argument("--limit", type=int, default=20)
    for name, text in (
        ("drain", "stop placing work on a host"),
        ("undrain", "cancel the drain of a host"),
    ):
        drain = _add_command(commands, name, text, f"{name} ruwi-2")
        _add_api_options(drain)
        drain.add_argument("host", metavar="HOST")
    audit = _add_command(
        commands, "audit", "print the latest drains and undrains", "audit --limit 50"
    )
    _add_api_options(audit)
    audit.add_argument("--limit", type=int, default=20)


def _add_caller_commands(commands: Subparsers) -> None:  # type: ignore[valid-type]
    request = _add_command(
        commands,
        "request",
        "send a request and print its response",
        "request fit-check",
    )
    _add_api_options(request)
    request.add_argument("route", metavar="ROUTE")
    request.add_argument("--body", default="")
    request.add_argument("--key", default="", help="idempotency key")
    submit = _add_command(
        commands, "submit", "submit a job", "submit renders --tasks 16 --accelerators 1"
    )
    _add_api_options(submit)
    submit.add_argument("route", metavar="ROUTE")
    submit.add_argument("--tasks", type=int, default=1)
    submit.add_argument("--accelerators", type=int, default=0, help="per task")
    submit.add_argument("--cores", type=int, default=1, help="per task")
    submit.add_argument("--memory-gb", type=int, default=1, help="per task")
    submit.add_argument("--run", default="", help="text passed unchanged to every task")
    submit.add_argument("--key", default="", help="idempotency key")
    submit.add_argument("--wait", action="store_true", help="wait for the outcome")
    for name, text in (
        ("status", "print the state of a job"),
        ("cancel", "cancel a job"),
        ("explain", "print the reason for the state of a job"),
    ):
        command = _add_command(commands, name, text, f"{name} ruwi.renders.0c5b")
        _add_api_options(command)
        command.add_argument("job", metavar="JOB")
    trace = _add_command(
        commands,
        "trace",
        "print the log lines of a request from the logs of several hosts",
        "trace 5c0e7a21d94b36f8 --log host-1.log host-2.log",
    )
    trace.add_argument("request", metavar="ID")
    trace.add_argument("--log", nargs="+", required=True, metavar="FILE")
    wait = _add_command(
        commands, "wait", "wait until a job has finished", "wait ruwi.renders.0c5b"
    )
    _add_api_options(wait)
    wait.add_argument("job", metavar="JOB")
    wait.add_argument("--timeout", type=float, default=0.0, help="seconds; 0: no limit")


def _add_command(
    commands: Subparsers,  # type: ignore[valid-type]
    name: str,
    text: str,
    example: str,
) -> argparse.ArgumentParser:
    parser: argparse.ArgumentParser = commands.add_parser(  # type: ignore[attr-defined]
        name,
        help=text,
        description=text[0].upper() + text[1:] + ".",
        epilog=f"example:\n  bilberryhitch {example}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    return parser


def _add_api_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--api",
        default="",
        help=f"URL of an entry host (BILBERRYHITCH_API, else {DEFAULT_API})",
    )
    parser.add_argument(
        "--token-file",
        default="",
        help="file with the token (else BILBERRYHITCH_TOKEN)",
    )
