#!/bin/sh
# Plays one case: run-case.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# Gateways are started with the run command of the deploy file. All processes that were started end with this script.
folder=$1
ROOT=$(cd "$folder/../.." && pwd) || exit 2
RUN=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' "$ROOT/deploy/balancer.toml")
export ROOT RUN
[ -n "$RUN" ] && [ -x "$ROOT/review/bin/standin" ] && [ -x "$ROOT/bin/gateway" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
temporary=$(mktemp -d) || exit 2
standin=
finish() {
  [ -z "$standin" ] || kill "$standin" 2>/dev/null
  [ ! -f "$temporary/pids" ] || while read -r pid; do
    grep -qa gateway "/proc/$pid/comm" 2>/dev/null && kill -9 "$pid" 2>/dev/null
  done <"$temporary/pids"
  rm -rf "$temporary"
}
trap finish EXIT
trap 'exit 2' INT TERM
timeout -k 2 116 "$ROOT/review/bin/standin" "$2" "$folder/record.txt" "$temporary" &
standin=$!
wait "$standin"
code=$?
standin=
[ "$code" -le 2 ] || code=2
exit "$code"
