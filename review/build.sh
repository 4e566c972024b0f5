#!/bin/sh
# Builds what the scripts of the cases start beside the dispatcher: stand-ins in Python, standard library only.
# To be run after the `build` of deploy/balancer.toml; needs no network.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "review: run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review
