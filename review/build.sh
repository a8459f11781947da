#!/bin/sh
# Builds what the scripts under review/ start, after the build of the deploy file:
# the project's stand-ins and the support module, copied under target/review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
cp -r src/rattanhollow_standins target/review/
mkdir target/review/review_support
cp review/*.py target/review/review_support/
python3 -m compileall -q target/review
