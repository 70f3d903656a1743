#!/usr/bin/env bash
# Measures latency and log appends of non-idempotent requests with a key (guard
# on) and without one (guard off), in alternating windows of one run.
#
# PLANK_BENCH_WINDOW   length of each window in seconds (6)
# PLANK_BENCH_ENTRIES  number of entry hosts of each run (3 8)
# PLANK_BENCH_RATE     requests per second (200)
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

WINDOW=${PLANK_BENCH_WINDOW:-6}
RATE=${PLANK_BENCH_RATE:-200}

appends() {
	local i sum=0
	for ((i = 0; i < ENTRIES; i++)); do
		sum=$((sum + $(metric "$(entry_url $i)" claims_appends_total)))
	done
	echo $sum
}

# window GUARD SEED OPTION...: one window of load, with options for plank-load
window() {
	local guard=$1 seed=$2 before i urls=()
	shift 2
	for ((i = 0; i < ENTRIES; i++)); do urls+=(-u "$(entry_url $i)"); done
	before=$(appends)
	"$BUILD/plank-load" "${urls[@]}" --once 1 --sleep-ms 5,5,5 \
		-r "$RATE" -d "$WINDOW" --seed "$seed" "$@" >"$WORK/load"
	echo "entry hosts $ENTRIES, guard $guard, seed $seed, appends $(($(appends) - before)), window $WINDOW s"
	cat "$WORK/load"
}

for entries in ${PLANK_BENCH_ENTRIES:-3 8}; do
	start_cluster "$entries" 15 || exit 1
	team_settings 15 0 >"$WORK/team.json"
	ctl publish crew-shares "$WORK/team.json" --base -1 >/dev/null || exit 1
	for ((i = 0; i < entries; i++)); do
		wait_until 20 curl -sf "$(entry_url $i)/crew-shares/payouts/ping" || exit 1
	done
	window off 1 --no-keys
	window on 2
	window off 3 --no-keys
	window on 4
	for name in "${!PIDS[@]}"; do stop "$name" KILL; done
done 2>/dev/null
