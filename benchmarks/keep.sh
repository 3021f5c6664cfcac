#!/usr/bin/env bash
# Runs the kept scenarios and keeps their results under the present commit.
#
#   benchmarks/keep.sh [SEED]...
#
# Results land in benchmarks/COMMIT/SCENARIO.json, a line for each seed; compare
# two commits with
#   rhubarblock compare benchmarks/OLD/SCENARIO.json benchmarks/NEW/SCENARIO.json
set -euo pipefail
cd "$(dirname "$0")/.."

seeds=("$@")
if [ "${#seeds[@]}" -eq 0 ]; then
  seeds=(1 2 3)
fi
commit="$(git rev-parse --short=10 HEAD)"
if [ -n "$(git status --porcelain -- rhubarblock)" ]; then
  echo "rhubarblock/ has changes that are in no commit" >&2
  exit 1
fi
folder="benchmarks/$commit"
mkdir -p "$folder"

keep() {
  local scenario="$1"
  shift
  for seed in "${seeds[@]}"; do
    echo "$scenario, seed $seed" >&2
    .venv/bin/rhubarblock measure "$scenario" --seed "$seed" --json "$@" \
      >> "$folder/$scenario.json"
  done
}

keep mixed-adwoa --policy length_aware
keep mixed-adwoa --policy naive
keep mixed-hofbauer --policy length_aware
keep mixed-hofbauer --policy naive
keep limits
keep fleet
