#!/usr/bin/env bash
# Sets up, then runs lint, the format check, types and the README's test command; no test found is a failure.
# Tests that KNOWN-RED.txt lists run too, are printed, and do not fail it. `make test` and `.ci/run` both run this.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/setup.sh requirements.txt requirements-all.txt requirements-dev.txt
.venv/bin/ruff check .
.venv/bin/ruff format --check .
.venv/bin/mypy
command=$(sed -n 's/^    \(.venv\/bin\/python -m unittest .*\)$/\1/p' README.md | head -n 1)
test -n "$command" || { echo "no test command in README.md" >&2; exit 1; }
.venv/bin/python .ci/known_red.py check KNOWN-RED.txt
out=$(mktemp)
trap 'rm -f "$out"' EXIT
code=0
bash -c "$command" 2>&1 | tee "$out" || code=${PIPESTATUS[0]}
grep -Eq '^Ran [1-9][0-9]* tests?' "$out" || { echo "no test found" >&2; exit 1; }
.venv/bin/python .ci/known_red.py judge KNOWN-RED.txt "$out" "$code"
