#!/bin/sh
# Sets up, then runs the dispatcher on its embedded stand-ins under load; words go on to `spurdeal lab demo`.
set -eu
cd "$(dirname "$0")/.."
tools/setup.sh requirements.txt requirements-all.txt
exec .venv/bin/python -m spurdeal lab demo "$@"
