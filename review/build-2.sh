#!/usr/bin/env bash
# Checks that the stand-ins of cases 6 to 10 can be loaded. They need only the
# standard library; the nodes need what the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/stand_ins_2"
export PYTHONDONTWRITEBYTECODE=1
for module in *.py; do
  python3 -c "import ${module%.py}"
done
