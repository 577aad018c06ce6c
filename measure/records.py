"""Writes benchmark results as JSON lines."""

import json
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

RECORDS_FOLDER = Path(__file__).resolve().parent.parent / "measures"


def write_record(name: str, seed: int, figures: Mapping[str, Any]) -> None:
    """Print a result line and append it to ``measures/<name>.jsonl``.

    The line starts with commit, command and seed, so that the run can be reproduced.
    """
    line = json.dumps(
        {
            "commit": _commit(),
            "command": f"python -m measure.{name} --seed {seed}",
            "seed": seed,
            **{key: _rounded(value) for key, value in figures.items()},
        }
    )
    sys.stdout.write(line + "\n")
    sys.stdout.flush()
    RECORDS_FOLDER.mkdir(exist_ok=True)
    with (RECORDS_FOLDER / f"{name}.jsonl").open("a", encoding="utf-8") as stream:
        stream.write(line + "\n")


def _commit() -> str:
    command = ["git", "-C", str(RECORDS_FOLDER.parent), "rev-parse", "--short", "HEAD"]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    return result.stdout.strip() or "unknown"


def _rounded(value: Any) -> Any:
    return float(f"{value:.5g}") if isinstance(value, float) else value
