"""Writes the pinned requirements of an entry host, a subset of requirements.txt."""

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
    """Return the roots and their transitive dependencies that are pinned."""
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
    """Copy the requirement blocks, hashes included, that an entry host needs."""
    text = SOURCE.read_text(encoding="utf-8")
    blocks = {
        match.group(1).lower(): match.group(0)
        for match in re.finditer(r"(?m)^([A-Za-z0-9_.\-]+)==(?:.*\\\n)*.*\n", text)
    }
    required = closure(ROOTS, set(blocks))
    header = "# Written by scripts/runtime_requirements.py; do not edit.\n"
    TARGET.write_text(
        header + "".join(blocks[name] for name in sorted(required)), encoding="utf-8"
    )


if __name__ == "__main__":
    main()
