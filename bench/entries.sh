#!/usr/bin/env bash
# Measures how the cost of the control plane depends on the number of entry
# hosts: CPU time, network bytes and memory of the idle daemons of entry host 0,
# appends to the log, and the time until a change is in force at every entry host.
#
# PLANK_BENCH_ENTRIES  number of entry hosts of each run (4 8 16 32)
# PLANK_BENCH_WINDOW   length of the idle measurement in seconds (10)
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
. bench/measure.sh
trap stop_all EXIT

WINDOW=${PLANK_BENCH_WINDOW:-10}
CHANGES=5

appends() { curl -s -d '{}' "$(platform_url)/control" | sed 's/.*"appends":\([0-9]*\).*/\1/'; }
in_force() { # OFFSET: whether it is in force at every entry host
	local i
	for ((i = 0; i < ENTRIES; i++)); do
		[ "$(metric "$(entry_url $i)" next_offset)" -gt "$1" ] || return 1
	done
}
change_ms() {
	local start=${EPOCHREALTIME/./}
	VERSION=$(ctl publish crew-shares "$WORK/team.json" --base "$VERSION" --json |
		sed 's/.*"offset":\([0-9]*\).*/\1/')
	until in_force "$VERSION"; do :; done
	echo $(((${EPOCHREALTIME/./} - start) / 1000))
}

for entries in ${PLANK_BENCH_ENTRIES:-4 8 16 32}; do
	start_cluster "$entries" 15 || exit 1
	team_settings 15 1 >"$WORK/team.json"
	VERSION=-1
	change_ms >/dev/null
	VERSION=$(ctl teams --json | sed 's/.*"version":\([0-9]*\).*/\1/')
	before=$(appends)
	measure "$entries entries" sleep "$WINDOW" | sed "s/^hosts //"
	echo "$entries entries: $(($(appends) - before)) appends in $WINDOW s"
	for ((k = 0; k < CHANGES; k++)); do
		echo "$entries entries: a change in force everywhere after $(change_ms) ms"
		VERSION=$(ctl teams --json | sed 's/.*"version":\([0-9]*\).*/\1/')
	done
	for name in "${!PIDS[@]}"; do stop "$name" KILL; done
done
