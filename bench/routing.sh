#!/usr/bin/env bash
# Measures the figures of docs/ROUTING.md with eight entry hosts and one pool of
# ten workers.
#
# PLANK_EJECTION_OFF  plank-entryd built without ejection, for comparison
# PLANK_SHARES_OFF    plank-entryd built without shares, for comparison
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

worker_control() { curl -s -d "$2" "$(worker_url "$1")/control"; }
sum_workers() { # FIELD
	local i sum=0
	for i in {0..9}; do
		sum=$((sum + $(worker_control "$i" '{}' | sed "s/.*\"$1\":\([0-9]*\).*/\1/")))
	done
	echo $sum
}
sum_metric() {
	local i sum=0
	for i in {0..7}; do sum=$((sum + $(metric "$(entry_url "$i")" "$1"))); done
	echo $sum
}
pool_serves() { curl -sf "$(entry_url "$1")/crew-shares/payouts/ping"; }
restart_entries() { # PROGRAM
	local i
	for i in {0..7}; do stop "entry$i" KILL; done
	for i in {0..7}; do start "entry$i" "$1" --settings "$WORK/entry$i.json"; done
	for i in {0..7}; do wait_until 20 pool_serves "$i" || exit 1; done
	sleep 1
}
generate() { # RATE SLEEP_MS
	local i urls=()
	for i in {0..7}; do urls+=(--url "$(entry_url "$i")"); done
	"$BUILD/plank-load" "${urls[@]}" --team crew-shares --pools payouts --mix 0,100,0 \
		--sleep-ms "$2,$2,$2" --rate "$1" --duration 10 --once 0.5 --seed 7 --json \
		>"$WORK/load"
}

start_cluster 8 10 || exit 1
hosts=$(printf '"w%d",' {0..9})
echo "{\"pools\":{\"payouts\":{\"hosts\":[${hosts%,}],\"min_available\":0}}}" >"$WORK/team.json"
ctl publish crew-shares "$WORK/team.json" --base -1 >/dev/null || exit 1

for round in 1 2; do
	for variant in on off; do
		program=$BUILD/plank-entryd
		[ $variant = off ] && program=$PLANK_EJECTION_OFF
		restart_entries "$program"
		worker_control 0 '{"mode":"fail"}' >/dev/null
		runs=$(sum_workers runs) failing=$(worker_control 0 '{}' | sed 's/.*"runs":\([0-9]*\).*/\1/')
		generate 400 50
		failing=$(($(worker_control 0 '{}' | sed 's/.*"runs":\([0-9]*\).*/\1/') - failing))
		runs=$(($(sum_workers runs) - runs))
		retries=$(sum_metric retries_total)
		echo "ejection $variant, round $round: attempts $runs, failed at w0 $failing, retries $retries, ejections $(sum_metric worker_ejections_total), probes $(sum_metric worker_probes_total)"
		echo "  $(grep -o '"sent".*"late"' "$WORK/load")"
		worker_control 0 '{"mode":"ok"}' >/dev/null
	done
	for variant in on off; do
		program=$BUILD/plank-entryd
		[ $variant = off ] && program=$PLANK_SHARES_OFF
		restart_entries "$program"
		runs=$(sum_workers runs) refusals=$(sum_workers refusals)
		generate 1000 100
		echo "shares $variant, round $round: run $(($(sum_workers runs) - runs)), refused above 8 $(($(sum_workers refusals) - refusals)), answered $(sum_metric requests_answered_total), not run $(sum_metric requests_not_run_total)"
		echo "  $(grep -o '"sent".*"late"' "$WORK/load")"
	done
done
