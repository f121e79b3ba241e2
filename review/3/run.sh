#!/bin/sh
# Plays the case once; SEED draws the times. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../.venv/bin/python ] || exit 2
exec ../../.venv/bin/python -B scenario.py . "${SEED:-1}"
