#!/usr/bin/env bash
# Installs the libraries that pyproject.toml declares below target/ and compiles the
# package, so that no process has to compile at its start.
set -eu
if [ ! target/deps/.installed -nt pyproject.toml ]; then
    mkdir -p target
    python3 -c 'import tomllib
with open("pyproject.toml", "rb") as file:
    print("\n".join(tomllib.load(file)["project"]["dependencies"]))' \
        > target/requirements.txt
    python3 -m pip install --quiet --upgrade --target target/deps \
        -r target/requirements.txt
    python3 -m compileall -q target/deps || true
    touch target/deps/.installed
fi
python3 -m compileall -q waxwingpitch
