"""Builds the single executable file: ``build_dist.py OUTPUT``.

shiv is used because its archive runs as a single process; a PyInstaller one-file
build starts the program as a child of its bootloader. The distributions are copied
from the environment that runs this script, so that the build needs no network.
"""

import re
import shutil
import subprocess
import sys
import tempfile
from importlib import metadata
from pathlib import Path

from packaging.requirements import Requirement

ROOT = Path(__file__).resolve().parent.parent
RUNTIME_SECTION = re.compile(r"^# Run time\n(.*?)^#", re.MULTILINE | re.DOTALL)


def runtime_distributions() -> list[str]:
    """Return the distributions in the ``# Run time`` section of requirements.in."""
    text = (ROOT / "requirements.in").read_text(encoding="utf-8")
    found = RUNTIME_SECTION.search(text)
    if found is None:
        raise SystemExit("requirements.in has no section '# Run time'")
    return found.group(1).split()


def dependency_closure(names: list[str]) -> set[str]:
    """Return the distributions and their transitive dependencies.

    Requirements whose markers do not apply to this environment are left out.
    """
    found: set[str] = set()
    pending = list(names)
    while pending:
        name = pending.pop()
        if name in found:
            continue
        found.add(name)
        for text in metadata.requires(name) or []:
            requirement = Requirement(text)
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""}):
                pending.append(requirement.name)
    return found


def copy_distribution(name: str, site: Path) -> None:
    """Copy the files of an installed distribution, except those outside ``site``."""
    for file in metadata.files(name) or []:
        source = Path(str(file.locate()))
        if ".." in file.parts or "__pycache__" in file.parts or not source.exists():
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, target)


def copy_libraries(site: Path) -> None:
    """Copy the workspace packages from ``libs/*/src``."""
    ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
    for source in ROOT.glob("libs/*/src"):
        shutil.copytree(source, site, dirs_exist_ok=True, ignore=ignore)


def main() -> None:
    """Build the executable at the path given on the command line."""
    output = Path(sys.argv[1]).resolve()
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site = Path(folder)
        for name in sorted(dependency_closure(runtime_distributions())):
            copy_distribution(name, site)
        copy_libraries(site)
        subprocess.run(
            [
                str(Path(sys.executable).parent / "shiv"),
                "--site-packages",
                str(site),
                "--entry-point",
                "bilberryhitch.main:run",
                "--python",
                "/usr/bin/env python3.11",
                "--compressed",
                "--output-file",
                str(output),
            ],
            check=True,
        )


if __name__ == "__main__":
    main()
