#!/usr/bin/env bash
# Compiles the stand-ins that the scripts start: those of the project's tests and those here.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q waxwingpitch review
