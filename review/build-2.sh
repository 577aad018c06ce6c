#!/bin/sh
# Puts the stand-ins of the cases 6 to 10 under target/review-2; needs no network. To be
# run at the repository's root, after the build of the deploy file.
set -eu
rm -rf target/review-2
mkdir -p target/review-2
cp -R platform/src/bilberryhitch_adapter_standins target/review-2/
# Only this module of the project's stand-ins needs nothing beyond the build.
mkdir target/review-2/bilberryhitch_standins
cp libs/standins/src/bilberryhitch_standins/simulated_fleet.py \
    target/review-2/bilberryhitch_standins/
touch target/review-2/bilberryhitch_standins/__init__.py
cp review/standins_2.py target/review-2/
