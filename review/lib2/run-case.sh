#!/usr/bin/env bash
# Runs review/N/case.py with the libraries that the deploy file's build installed.
set -u
folder="$1"
cd "$(dirname "$0")/../.."
if [ ! -d target/deps ]; then
    echo "target/deps is missing; run the build of deploy/system.toml first"
    exit 2
fi
export PYTHONPATH="$PWD:$PWD/target/deps"
exec timeout --signal=TERM --kill-after=5 118 python3 "review/$folder/case.py"
