#!/usr/bin/env bash
# Builds the stand-ins of the cases. They use Python's own library only, so
# that it checks that they compile and that the deploy file's build is there.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
python3 -m compileall -q review
