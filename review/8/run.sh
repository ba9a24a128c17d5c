#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
TROUBLE="${TROUBLE:-1}" PYTHONPATH="$here/.." exec python3 "$here/play.py"
