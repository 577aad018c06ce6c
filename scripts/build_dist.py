"""Builds the single executable file: ``build_dist.py OUTPUT``.

shiv is used because its file runs as one process; a PyInstaller one-file build
starts the program as a child of its bootloader. The file holds what is installed
in the environment that runs this script, so that the build needs no network.
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
RUN_TIME_PART = re.compile(r"^# Run time\n(.*?)^#", re.MULTILINE | re.DOTALL)


def run_time_names() -> list[str]:
    """Return the distributions named in the first part of requirements.in."""
    text = (ROOT / "requirements.in").read_text(encoding="utf-8")
    found = RUN_TIME_PART.search(text)
    if found is None:
        raise SystemExit("requirements.in has no part '# Run time'")
    return found.group(1).split()


def with_dependencies(names: list[str]) -> set[str]:
    """Return the distributions and everything that they need here."""
    found: set[str] = set()
    waiting = list(names)
    while waiting:
        name = waiting.pop()
        if name in found:
            continue
        found.add(name)
        for text in metadata.requires(name) or []:
            requirement = Requirement(text)
            if requirement.marker is None or requirement.marker.evaluate({"extra": ""}):
                waiting.append(requirement.name)
    return found


def copy_distribution(name: str, site: Path) -> None:
    """Copy the files of one installed distribution."""
    for file in metadata.files(name) or []:
        source = Path(str(file.locate()))
        if ".." in file.parts or "__pycache__" in file.parts or not source.exists():
            continue
        target = site / file
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(source, target)


def copy_libraries(site: Path) -> None:
    """Copy the packages of the workspace."""
    ignore = shutil.ignore_patterns("__pycache__", "*.egg-info")
    for source in ROOT.glob("libs/*/src"):
        shutil.copytree(source, site, dirs_exist_ok=True, ignore=ignore)


def main() -> None:
    """Build the file named on the command line."""
    output = Path(sys.argv[1]).resolve()
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site = Path(folder)
        for name in sorted(with_dependencies(run_time_names())):
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
