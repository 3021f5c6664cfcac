#!/usr/bin/env bash
# Measures the relay with every part in a process of its own.
#
#   benchmarks/overhead.sh [OPTION OF rhubarblock measure overhead]...
#
# PRESENT and EARLIER hold further options of the two instances, such as
# "--batch-ms 20"; GAP_MS has the milliseconds between two tokens of a stream at
# the source.
set -euo pipefail
cd "$(dirname "$0")/.."

overhead=(.venv/bin/rhubarblock measure overhead)
gap="${GAP_MS:-12}"
port="${PORT:-7300}"
url="http://127.0.0.1:$port"
started=()

stop() {
  for ((number = ${#started[@]} - 1; number >= 0; number--)); do
    kill "${started[number]}" 2>/dev/null || true
    wait "${started[number]}" 2>/dev/null || true
  done
}
trap stop EXIT

"${overhead[@]}" surroundings --port "$port" --gap-ms "$gap" &
started+=("$!")
sleep 3
# The options are split into words on purpose.
# shellcheck disable=SC2086
"${overhead[@]}" entry --platform "$url" --name present \
  --port "$((port + 1))" ${PRESENT:-} &
started+=("$!")
# shellcheck disable=SC2086
"${overhead[@]}" entry --platform "$url" --name earlier \
  --port "$((port + 2))" ${EARLIER:---parsed} &
started+=("$!")
sleep 4
"${overhead[@]}" --platform "$url" --gap-ms "$gap" \
  --present "127.0.0.1:$((port + 1))" "${started[1]}" \
  --earlier "127.0.0.1:$((port + 2))" "${started[2]}" "$@"
