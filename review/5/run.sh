#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it
# couldn't run.
command -v python3 >/dev/null || { echo "python3 is missing"; exit 2; }
export TROUBLE="${TROUBLE:-1}"
exec python3 -B "$(dirname "$0")/case.py"
