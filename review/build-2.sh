#!/bin/sh
# Builds what the cases 6 to 10 start, after `build` of deploy/balancer.toml. The operator's files of these
# cases need the project's extras (requirements-all.txt), and so does the stand-in proxy; nothing else is
# installed, and nothing at all where they are there.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python || python3 -m venv .venv
.venv/bin/python -c "import review.lib2.caller, spurdeal.cli.running, spurdeal.settings.reading" 2>/dev/null ||
    .venv/bin/pip -q install -r requirements.txt -r requirements-all.txt
.venv/bin/python -m compileall -q spurdeal review/lib2 review/6 review/7 review/8 review/9 review/10
.venv/bin/python -c "import review.lib2.caller, review.lib2.client, spurdeal.cli.running"
