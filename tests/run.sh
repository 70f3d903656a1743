#!/usr/bin/env bash
# Runs tests side by side, each with its output kept together.
#
# usage: run.sh JOBS COMMAND...   each command is one word or quoted
set -u
JOBS=$1
shift
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT

run_one() {
	local out=$1 command=$2 start=$SECONDS status=0
	$command >"$out" 2>&1 || status=$?
	echo "== $command: status $status, $((SECONDS - start)) s"
	cat "$out"
	[ $status = 0 ] || touch "$OUT/failed"
}
export -f run_one
export OUT
number=0
for command in "$@"; do
	number=$((number + 1))
	printf '%s\0%s\0' "$OUT/$number" "$command"
done | xargs -0 -n 2 -P "$JOBS" bash -c 'text=$(run_one "$1" "$2"); echo "$text"' run_one
[ ! -e "$OUT/failed" ]
