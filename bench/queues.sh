#!/usr/bin/env bash
# Measures goodput and urgent latency of plank-entryd and of the baseline (round
# robin, unbounded queues) at one, two and five times the capacity. Both run
# concurrently, each with three workers (24 slots) of its own and the same seeded
# load. Then measures the memory of plank-entryd over many short requests.
#
# Bounds, set before the first run: at two and five times the capacity, urgent
# p99 is at most 6,000 ms and at most half of the baseline's, and at least as
# many requests are answered as by the baseline; at the capacity, at least 95% as
# many. In the long run, the resident size grows by less than 5% after the first
# tenth.
#
# PLANK_BENCH_TIMES    multiples of the capacity ("1 2 5")
# PLANK_BENCH_SECONDS  length of each load in seconds (20)
# PLANK_BENCH_LONG     length of the long run in seconds, at 1,500 requests per
#                      second (150); 0: none
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

SECONDS_EACH=${PLANK_BENCH_SECONDS:-20}
POOL_OF_ENTRY=(payouts settlements)
# The mean run time is 0.1 * 100 + 0.7 * 300 + 0.2 * 900 = 400 ms, so the capacity
# of 24 slots is 60 requests per second.
CAPACITY=60

start_entry() {
	local program=plank-entryd
	[ "$1" = 0 ] || program=plank-entryd-baseline
	start "entry$1" "$BUILD/$program" --settings "$WORK/entry$1.json"
}
pool_serves() { curl -sf "$(entry_url "$1")/crew-shares/${POOL_OF_ENTRY[$1]}/ping"; }
load() { # ENTRY RATE
	"$BUILD/plank-load" -j --url "$(entry_url "$1")" --pools "${POOL_OF_ENTRY[$1]}" \
		--seed 21 --mix 10,70,20 --sleep-ms 100,300,900 --once 0 \
		--deadline-ms 6000,10000,30000 -d "$SECONDS_EACH" -r "$2" >"$WORK/load$1.json"
}
outcome() { sed "s/.*\"$2\":\([0-9]*\).*/\1/" "$WORK/load$1.json"; }
of_priority() { # ENTRY PRIORITY FIELD
	grep -o "\"$2\":{[^}]*}" "$WORK/load$1.json" | sed "s/.*\"$3\":\([0-9]*\).*/\1/"
}
rss_kib() { awk '/^VmRSS/ {print $2}' "/proc/${PIDS[entry0]}/status"; }

start_cluster 2 6 || exit 1
team_settings 6 1 >"$WORK/team.json"
ctl publish crew-shares "$WORK/team.json" --base -1 >/dev/null || exit 1
wait_until 15 pool_serves 0 || exit 1
wait_until 15 pool_serves 1 || exit 1

for times in ${PLANK_BENCH_TIMES:-1 2 5}; do
	load 0 $((CAPACITY * times)) &
	first=$!
	load 1 $((CAPACITY * times)) &
	wait $first $!
	for i in 0 1; do
		name=(queues baseline)
		echo "${times}x ${name[$i]}: sent $(outcome $i sent), answered $(outcome $i answered)" \
			"(urgent $(of_priority $i urgent count), normal $(of_priority $i normal count)," \
			"long $(of_priority $i long count)), not run $(outcome $i not_run)," \
			"unknown $(outcome $i unknown), none $(outcome $i none)," \
			"urgent p50 $(($(of_priority $i urgent p50_us) / 1000)) ms," \
			"p99 $(($(of_priority $i urgent p99_us) / 1000)) ms," \
			"longest urgent wait so far $(metric "$(entry_url $i)" urgent_wait_max_ms) ms"
	done
done

duration=${PLANK_BENCH_LONG:-150}
[ "$duration" -gt 0 ] || exit 0
"$BUILD/plank-load" --url "$(entry_url 0)" --pools payouts --seed 22 --mix 20,70,10 \
	--sleep-ms 1,1,1 --once 0 --cancel 0.1 -d "$duration" -r 1500 >"$WORK/long" &
pid=$!
for ((i = 0; i <= 10; i++)); do
	echo "long run: $(metric "$(entry_url 0)" requests_total) requests, resident $(rss_kib) KiB"
	[ $i = 10 ] || sleep $((duration / 10))
done
wait $pid
cat "$WORK/long"
