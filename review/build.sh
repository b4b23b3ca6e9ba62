#!/usr/bin/env bash
# The stand-ins of the scripts are Python files of the standard library; this
# checks that they compile. The scripts need the build of the deploy file too.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand_ins/*.py further/*.py [1-5]/*.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file"
done
