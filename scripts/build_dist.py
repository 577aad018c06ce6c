"""Builds the single executable file: ``build_dist.py OUTPUT``.

shiv is used because its file runs as one process; a PyInstaller one-file build
starts the program as a child of its bootloader.
"""

import glob
import re
import subprocess
import sys
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
BIN = Path(sys.executable).parent
NOT_AT_RUN_TIME = re.compile(r"^# Tests, checks", re.MULTILINE)


def run_time_requirements() -> list[str]:
    """Return the names of the first part of requirements.in."""
    text = (ROOT / "requirements.in").read_text(encoding="utf-8")
    first = NOT_AT_RUN_TIME.split(text)[0]
    return [line for line in first.splitlines() if line and line[0] != "#"]


def build_site(site: Path) -> None:
    """Install the pinned requirements and the workspace's libraries."""
    pip = [sys.executable, "-m", "pip", "install", "--quiet", "--target", str(site)]
    subprocess.run(
        [*pip, "-c", str(_constraints(site)), *run_time_requirements()], check=True
    )
    libs = sorted(glob.glob(str(ROOT / "libs" / "*")))
    subprocess.run([*pip, "--no-deps", "--no-build-isolation", *libs], check=True)


def _constraints(site: Path) -> Path:
    """Write the pinned versions without hashes, which constraints cannot carry."""
    lines = (ROOT / "requirements.txt").read_text(encoding="utf-8").splitlines()
    pins = [line.split(" ")[0] for line in lines if "==" in line and line[0] != " "]
    path = site.parent / "constraints.txt"
    path.write_text("\n".join(pins) + "\n", encoding="utf-8")
    return path


def main() -> None:
    """Build the file named on the command line."""
    output = Path(sys.argv[1]).resolve()
    output.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        site = Path(folder) / "site"
        site.mkdir()
        build_site(site)
        subprocess.run(
            [
                str(BIN / "shiv"),
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
