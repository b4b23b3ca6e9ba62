#!/usr/bin/env bash
# Runs one of the scripts of this folder, which are no cases, by its name.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH=../stand_ins exec python3 "$1.py"
