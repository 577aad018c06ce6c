import subprocess
import sys
from pathlib import Path

import pytest

from bilberryhitch.main import execute

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.jsonc")), ids=lambda p: p.name)
def test_examples_are_valid(path):
    """Guards against examples that do not match the current schema."""
    assert execute(["check", str(path)]) == 0


@pytest.mark.parametrize(
    ("text", "location"),
    [
        ('{"identity": 4}', "$.identity"),
        ('{"identity": {"host": "a", "host": "b"}}', "host"),
        ('{"routes": [{"name": "r"}], "pools": []}', "r."),
        ("{", "1:"),
    ],
)
def test_invalid_files_are_rejected_with_the_location(tmp_path, capsys, text, location):
    """Guards against a process that starts with an incomplete file."""
    path = tmp_path / "file.jsonc"
    path.write_text(text)
    assert execute(["check", str(path)]) == 2
    found = capsys.readouterr().err
    assert str(path) in found
    assert location in found


def test_serve_rejects_a_missing_settings_file():
    # Runs in a subprocess, because aiomisc needs the file descriptor of stderr.
    argv = [sys.executable, "-m", "bilberryhitch", "serve", "no-such-file.jsonc"]
    found = subprocess.run(argv, capture_output=True, text=True, check=False)
    assert found.returncode == 2
    assert "no-such-file.jsonc" in found.stderr
    assert "Traceback" not in found.stderr
