#!/usr/bin/env bash
# Processor time, memory and bytes of the daemons on loopback: idle, during
# settings changes, and plank-entryd for a request as the load doubles.
#
# PLANK_BENCH_SIZES  listed worker hosts of each run (15 150 600); the first
#                    15 of them are real processes
# Bytes are those of the open TCP connections of the process, from ss; a
# connection that opens or closes within the window is not counted whole.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

WINDOW=${PLANK_BENCH_WINDOW:-5}
HZ=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/${PIDS[$1]}/stat"; }
rss_kib() { awk '/^VmRSS/ {print $2}' "/proc/${PIDS[$1]}/status"; }
tcp_bytes() {
	ss -tinpH | awk -v pid="pid=${PIDS[$1]}," '
		/^[A-Z]/ {own = index($0, pid) > 0}
		own {
			for (i = 1; i <= NF; i++)
				if ($i ~ /^bytes_(sent|received):/) {
					split($i, part, ":")
					sum += part[2]
				}
		}
		END {printf "%d", sum}'
}

# measure LABEL COMMAND...: figures of the daemons of entry host 0 meanwhile
measure() {
	local label=$1 name
	declare -A cpu bytes
	shift
	for name in fleet0 entry0; do
		cpu[$name]=$(cpu_ticks $name)
		bytes[$name]=$(tcp_bytes $name)
	done
	local start=${EPOCHREALTIME/./}
	"$@" >"$WORK/measured" 2>&1
	local took=$((${EPOCHREALTIME/./} - start))
	for name in fleet0 entry0; do
		echo "$label $name" \
			$(($(cpu_ticks $name) - cpu[$name])) $HZ $took \
			$(($(tcp_bytes $name) - bytes[$name])) \
			"$(rss_kib $name)" |
			awk '{printf "hosts %s %s %s: cpu %.2f%% of a core, %.1f KB/s, rss %d KiB, cpu_ms %.0f\n",
				$1, $2, $3, 100 * $4 / $5 / ($6 / 1e6),
				$7 / ($6 / 1e3), $8, 1000 * $4 / $5}'
	done
}

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

listed_all() {
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
	wait_until 60 listed_all "$size" || echo "hosts $size: not all known"
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
