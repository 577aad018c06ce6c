"""Writes the pinned requirements of an entry host: a part of requirements.txt."""

import re
from importlib.metadata import requires
from pathlib import Path

ROOTS = (
    "aiohttp",
    "aiomisc",
    "expression",
    "json-with-comments",
    "loguru",
    "msgspec",
    "opentelemetry-exporter-prometheus",
    "opentelemetry-sdk",
    "uvloop",
)
SOURCE = Path("requirements.txt")
TARGET = Path("deploy/requirements.txt")


def closure(roots: tuple[str, ...], pinned: set[str]) -> set[str]:
    """Return the roots and all that they need, as far as it is pinned."""
    found: set[str] = set()
    pending = list(roots)
    while pending:
        name = re.sub(r"[-_.]+", "-", pending.pop()).lower()
        if name in found or name not in pinned:
            continue
        found.add(name)
        for requirement in requires(name) or ():
            if "extra ==" not in requirement:
                pending.append(re.split(r"[\s;<>=!~\[(]", requirement, maxsplit=1)[0])
    return found


def main() -> None:
    """Copy the blocks of the packages that an entry host imports."""
    text = SOURCE.read_text(encoding="utf-8")
    bodies = {
        match.group(1).lower(): match.group(0)
        for match in re.finditer(r"(?m)^([A-Za-z0-9_.\-]+)==(?:.*\\\n)*.*\n", text)
    }
    wanted = closure(ROOTS, set(bodies))
    head = "# Written by scripts/runtime_requirements.py; do not edit.\n"
    TARGET.write_text(
        head + "".join(bodies[name] for name in sorted(wanted)), encoding="utf-8"
    )


if __name__ == "__main__":
    main()
