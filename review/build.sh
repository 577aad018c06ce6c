#!/bin/sh
# Puts the stand-ins of the scripts where the scripts import them. They need nothing
# beyond the run-time packages that deploy/build.sh has installed under target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp review/standins.py target/review/
PYTHONPATH=target/deps python3 -m py_compile target/review/standins.py
