#!/bin/sh
# Installs the pinned run-time requirements and the workspace's libraries under target/deps.
set -eu
stamp=target/deps/.installed
if [ ! -e "$stamp" ] || [ requirements.txt -nt "$stamp" ]; then
    rm -rf target/deps
    python3 -m pip install -q --require-hashes --no-deps --target target/deps -r deploy/requirements.txt
    touch "$stamp"
fi
for library in jobs planner model telemetry; do
    cp -R "libs/$library/src/." target/deps/
done
cp -R platform/src/bilberryhitch_adapter target/deps/
