#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 to 8: they need nothing but Python, and
# are compiled here so that an error shows before a case runs.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q common2 [4-8]
