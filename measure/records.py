"""Writes a measurement's figures as a JSON line."""

import json
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

FOLDER = Path(__file__).resolve().parent.parent / "measures"


def write_record(name: str, seed: int, figures: Mapping[str, Any]) -> None:
    """Print one line and append it to ``measures/<name>.jsonl``.

    The line starts with commit, command and seed, so that it can be repeated.
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
    FOLDER.mkdir(exist_ok=True)
    with (FOLDER / f"{name}.jsonl").open("a", encoding="utf-8") as stream:
        stream.write(line + "\n")


def _commit() -> str:
    words = ["git", "-C", str(FOLDER.parent), "rev-parse", "--short", "HEAD"]
    found = subprocess.run(words, capture_output=True, text=True, check=False)
    return found.stdout.strip() or "unknown"


def _rounded(value: Any) -> Any:
    return float(f"{value:.5g}") if isinstance(value, float) else value
