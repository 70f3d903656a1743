#!/usr/bin/env bash
# Measures CPU time, memory and network bytes of the daemons on loopback: idle,
# during settings changes, and, for the cost of a request in plank-entryd, under
# load that doubles twice.
#
# PLANK_BENCH_SIZES   number of listed worker hosts of each run (15 150 600); the
#                     first 15 of them are real processes
# PLANK_BENCH_WINDOW  length of each measurement in seconds (5)
#
# Bytes are those of the process's open TCP connections, from ss; a connection
# that opens or closes within the window is counted only in part.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

WINDOW=${PLANK_BENCH_WINDOW:-5}
. bench/measure.sh

changes() {
	local i version=$VERSION
	for ((i = 0; i < 10; i++)); do
		version=$(ctl publish crew-shares "$WORK/team.json" \
			--base "$version" --json |
			sed 's/.*"offset":\([0-9]*\).*/\1/')
		sleep 0.4
	done
	VERSION=$version
}

load() {
	"$BUILD/plank-load" --url "$(entry_url 0)" --rate "$1" \
		--duration "$WINDOW" --sleep-ms 5,5,5 --once 0 --seed 1
}

# all_listed COUNT: whether plank-fleetd shows at least COUNT hosts with a port
# or a data centre
all_listed() {
	local known
	known=$(ctl hosts --json | grep -o '"port":[1-9]' | wc -l)
	[ "$known" -ge "$1" ] ||
		[ "$(ctl hosts --json | grep -o '"data_centre":"[a-z]' | wc -l)" -ge "$1" ]
}

for size in ${PLANK_BENCH_SIZES:-15 150 600}; do
	start_cluster 3 15 || exit 1
	host_list 3 "$size" >"$WORK/hosts.json"
	curl -sf -o "$WORK/control" -d @"$WORK/hosts.json" \
		"$(platform_url)/control" || exit 1
	wait_until 60 all_listed "$size" || echo "hosts $size: not all listed"
	team_settings 15 2 >"$WORK/team.json"
	VERSION=$(ctl publish crew-shares "$WORK/team.json" --base -1 --json |
		sed 's/.*"offset":\([0-9]*\).*/\1/')
	sleep 2
	measure "$size idle" sleep "$WINDOW"
	measure "$size 2-changes/s" changes
	if [ "$size" = 15 ]; then
		for rate in 100 200 400; do
			measure "$size load-$rate" load $rate
			sed -n 2p "$WORK/measured"
		done
	fi
	for name in "${!PIDS[@]}"; do stop "$name" KILL 2>/dev/null; done
done
