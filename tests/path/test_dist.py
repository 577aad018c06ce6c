"""Test of the single-file executable."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import psutil

ROOT = Path(__file__).resolve().parents[2]


def test_built_file_serves_from_one_process_in_an_empty_directory(tmp_path):
    # Guards against a bootstrapper that starts a child process, and against reads of
    # files in the repository.
    output = tmp_path / "bilberryhitch"
    script = str(ROOT / "scripts" / "build_dist.py")
    subprocess.run([sys.executable, script, str(output)], check=True)
    process = subprocess.Popen(
        [sys.executable, "-I", str(output), "standin", "platform"],
        cwd=tmp_path,
        env={"SHIV_ROOT": str(tmp_path / "unpacked"), "PATH": os.environ["PATH"]},
        stdout=subprocess.PIPE,
        text=True,
    )
    try:
        assert process.stdout.readline().startswith("listening on ")
        assert psutil.Process(process.pid).children(recursive=True) == []
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
