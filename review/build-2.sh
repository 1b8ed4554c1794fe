#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10: bytecode only, as all are Python modules.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q review/lib2 waxwingpitch
python3 -c 'import review.lib2.stage, waxwingpitch.tests.platform_standin'
