#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start: the project's own.
# They run beside the libraries that the build of the deploy file puts into target/deps.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp -r src/rattanhollow_standins target/review-2/
python3 -m compileall -q target/review-2
