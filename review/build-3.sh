#!/bin/sh
# Builds what the scripts of review/11 to review/15 start: the libraries of the deploy
# file, if they are not there yet, and the project's stand-in of the store, which needs
# no more than them.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    mkdir -p target
    sh -c "$(python3 -c 'import tomllib; print(tomllib.load(open("deploy/system.toml", "rb"))["build"])')"
fi
PYTHONPATH=target/deps python3 -c 'import standins.key_value, h11, pykka, structlog'
echo "the stand-ins are built"
