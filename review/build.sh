#!/bin/sh
# Builds what the scripts of the cases start beside the dispatcher: stand-ins in Python, standard library only.
# To be run after the `build` of deploy/balancer.toml. One case runs the dispatcher with an operator's file, which needs
# the project's extras (requirements-all.txt): they are installed where they are missing, and that needs the package
# index. Where it can't be reached, that case exits with 2, and the others run.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "review: run the build of deploy/balancer.toml first" >&2; exit 2; }
.venv/bin/python -m compileall -q review
.venv/bin/python -c "import click, pydantic, ruamel.yaml, structlog" 2>/dev/null ||
    .venv/bin/python -m pip -q --disable-pip-version-check install -r requirements-all.txt ||
    echo "review: the extras are missing; the case with an operator's file will exit with 2" >&2
