#!/bin/sh
# Makes .venv with the pinned packages of the given requirements files. Usage: tools/setup.sh FILE...
# What is missing is said in one line on standard error, with exit code 1.
# PYTHON names another interpreter than python3; pip's own environment variables choose the package index.
set -eu
cd "$(dirname "$0")/.."

PYTHON=${PYTHON:-python3}
VERSION_OF='import sys; print("%d.%d" % sys.version_info[:2])'

fail() {
    echo "spurdeal: $1" >&2
    exit 1
}

version_of() {
    "$1" -c "$VERSION_OF" 2>/dev/null || echo "no Python that runs"
}

is_new_enough() {
    case $1 in
        3.1[1-9] | 3.[2-9][0-9]) return 0 ;;
        *) return 1 ;;
    esac
}

environment_is_usable() {
    is_new_enough "$(version_of .venv/bin/python)" && .venv/bin/python -m pip --version >/dev/null 2>&1
}

make_environment() {
    command -v "$PYTHON" >/dev/null || fail "Python 3.11 or newer is missing: there is no $PYTHON on the PATH"
    found=$(version_of "$PYTHON")
    is_new_enough "$found" || fail "Python 3.11 or newer is missing: $PYTHON is $found"
    echo "Setting up .venv with the pinned packages; this is done once."
    "$PYTHON" -m venv .venv >"$log" 2>&1 ||
        fail "Python's venv or ensurepip module is missing: $PYTHON -m venv failed: $(tail -n 1 "$log")"
}

install() {
    .venv/bin/python -m pip -q --disable-pip-version-check install "$@" >"$log" 2>&1 ||
        fail "packages are missing: pip could not install $requirements: $(grep '^ERROR' "$log" | tail -n 1)"
}

log=$(mktemp)
trap 'rm -f "$log"' EXIT
environment_is_usable || make_environment
requirements=$*
for file in "$@"; do
    shift
    set -- "$@" -r "$file"
done
install "$@"
