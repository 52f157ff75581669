#!/usr/bin/env bash
# Exit code 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: no disruption.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$here/../.." && pwd)"
python=python3
# Processes get the libraries of the users' build; without one, those of the developers' setup.
if [ ! -d "$root/target/deps" ]; then
    python="$root/.venv/bin/python"
    [ -x "$python" ] || exit 2
fi
exec "$python" -B "$here/case.py"
