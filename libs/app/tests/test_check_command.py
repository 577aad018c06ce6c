import subprocess
import sys
from pathlib import Path

import pytest

from bilberryhitch.main import execute

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"


@pytest.mark.parametrize("path", sorted(EXAMPLES.glob("*.jsonc")), ids=lambda p: p.name)
def test_examples_are_accepted(path):
    # Guards against examples that fall behind the schema.
    assert execute(["check", str(path)]) == 0


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('{"identity": 4}', "$.identity"),
        ('{"identity": {"host": "a", "host": "b"}}', "host"),
        ('{"routes": [{"name": "r"}], "pools": []}', "r."),
        ("{", "1:"),
    ],
)
def test_bad_files_are_refused_with_place_and_rule(tmp_path, capsys, text, words):
    # Guards against a process that starts with half a file.
    path = tmp_path / "file.jsonc"
    path.write_text(text)
    assert execute(["check", str(path)]) == 2
    found = capsys.readouterr().err
    assert str(path) in found
    assert words in found


def test_serve_refuses_a_missing_file_before_it_starts():
    # A process of its own, because aiomisc asks for the descriptor of stderr.
    words = [sys.executable, "-m", "bilberryhitch", "serve", "no-such-file.jsonc"]
    found = subprocess.run(words, capture_output=True, text=True, check=False)
    assert found.returncode == 2
    assert "no-such-file.jsonc" in found.stderr
    assert "Traceback" not in found.stderr
