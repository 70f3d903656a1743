#!/usr/bin/env bash
# A wave over a batch of 15 workers with real daemons under load. Guards against
# requests interrupted by planned stops, hosts rebooted twice or not at all,
# exceeded budgets, and waves that never resume after a host fails or the fleet
# daemon that proposes is killed.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap 'touch "$WORK/stop"; stop_all' EXIT

HOSTS=15
ENTRIES=6
fail() {
	echo "FAILED: $1"
	ctl plan
	ctl audit | tail -n 30
	tail -n 3 "$WORK"/fleet*.log
	exit 1
}

# Sends requests until $WORK/stop exists. A request takes longer than a reboot
# needs to begin, so that a reboot that does not wait for it interrupts it. Each
# response gives one line: status, entry host, pool, start of the body.
requests() { # NAME POOL CURL-OPTION...
	local name=$1 pool=$2 k=${#LOOPS[@]}
	shift 2
	while [ ! -e "$WORK/stop" ]; do
		k=$(((k + 1) % ENTRIES))
		echo "$(curl -s -o "$WORK/answer.$name" -w '%{http_code}' "$@" \
			"$(entry_url $k)/crew-shares/$pool/run?sleep_ms=2000") e$k $pool $(head -c 120 "$WORK/answer.$name")"
	done >"$WORK/requests.$name"
}

reboots() { curl -sf -d '{}' "$(platform_url)/control" | tr ',{}' '\n\n\n' | grep '^"w[0-9]*"'; }
wave_settings() { # PAUSED
	local i hosts="" text
	for ((i = 0; i < HOSTS; i++)); do hosts+="\"w$i\","; done
	text=$(team_settings $HOSTS 1)
	echo "${text%\}},\"batches\":{\"b\":{\"hosts\":[${hosts%,}],\"support_ends\":\"2190-01-01\"}},
		\"waves\":{\"night\":{\"batch\":\"b\",\"action\":\"reboot\",\"start\":\"2020-01-01\",\"paused\":$1}}}"
}
host_states() { ctl hosts --json | tr '{' '\n' | grep '"host":'; }
all_back() {
	[ "$(host_states | grep '"state":"serving"' | grep -c '"wave_done":"night"')" = $HOSTS ]
}
budgets_hold() { # [POOL]: skips POOL, whose host failed without a plan
	ctl pools --json | tr '{' '\n' | grep '"pool":' | grep -v "\"pool\":\"${1:-none}\"" |
		sed 's/.*"available":\([0-9]*\),"min_available":\([0-9]*\).*/\1 \2/' |
		while read -r available min; do [ "$available" -ge "$min" ] || exit 1; done
}

start_cluster $ENTRIES $HOSTS || fail "the processes did not become ready"
platform '{"reboot_ms":2000}' || fail "control"
# Without a lease an entry host refuses requests for other data centres.
leased() { [ "$(metric "$(entry_url "$1")" lease_left_ms)" -gt 0 ]; }
for ((i = 0; i < ENTRIES; i++)); do
	wait_until 2 leased $i || fail "entry host $i has no lease"
done
# Both check and publish refuse a wave whose support has ended.
wave_settings true | sed 's/2190-01-01/2021-01-01/' >"$WORK/late.json"
for command in check publish; do
	ctl $command crew-shares "$WORK/late.json" --base -1 2>"$WORK/late.err" &&
		fail "$command accepts a wave whose support has ended"
	grep -q 'would make it possible' "$WORK/late.err" || fail "$(cat "$WORK/late.err")"
done
wave_settings true >"$WORK/team.json"
ctl publish crew-shares "$WORK/team.json" --base -1 >/dev/null || fail "publish"
serves() { curl -sf "$(entry_url "$1")/crew-shares/$2/ping"; }
for ((i = 0; i < ENTRIES; i++)); do
	for pool in "${POOLS[@]}"; do
		wait_until 13 serves $i "$pool" || fail "entry host $i, pool $pool"
	done
done
ctl plan | grep -q 'paused by its settings' || fail "plan does not report the pause"

# An operator moves a host: it is drained, then assigned by a planner.
ctl move w0 settlements >/dev/null || fail "move"
moved() { ctl host w0 --json | grep '"pool":"settlements"' | grep -q '"state":"serving"'; }
wait_until 20 moved || fail "w0 has not moved: $(ctl host w0)"

LOOPS=()
for k in 0 1 2 3; do
	for pool in payouts settlements advances tallies; do
		requests "post$k-$pool" "$pool" -d run -H 'Plank-Repeatable: no' &
		LOOPS+=($!)
	done
	# The worker that is killed serves member-records; these requests are
	# idempotent, so that they are retried.
	requests "get$k" member-records &
	LOOPS+=($!)
done

ctl settings crew-shares --output "$WORK/edit.json" || fail "settings"
sed -i 's/"paused": *true/"paused": false/' "$WORK/edit.json"
ctl publish crew-shares "$WORK/edit.json" >/dev/null || fail "publish the start"

declare -A restarted=()
failed=no killed=no end=$((SECONDS + 240)) failed_at=0
until all_back; do
	[ $SECONDS -lt $end ] || fail "the wave did not end"
	budgets_hold "$([ $failed = no ] || pool_of 14)" || fail "a budget is broken: $(ctl pools)"
	# For each reboot by the platform, kill and restart the worker process.
	while IFS=: read -r name count; do
		name=${name//\"/}
		[ "${restarted[$name]:-0}" = "$count" ] && continue
		[ "$count" = 1 ] || fail "$name was rebooted $count times"
		restarted[$name]=$count
		stop "worker${name#w}" KILL
		start_worker "${name#w}"
	done < <(reboots)
	done_count=$(host_states | grep -c '"wave_done":"night"')
	if [ $failed = no ] && [ "$done_count" -ge 1 ]; then
		failed=yes failed_at=$SECONDS
		stop worker14 KILL
		platform "$(host_list $ENTRIES $HOSTS | sed 's/"name":"w14","kind":"worker","state":"live"/"name":"w14","kind":"worker","state":"down"/')" ||
			fail "host list"
	fi
	if [ $failed = yes ] && [ $SECONDS -ge $((failed_at + 12)) ]; then
		failed=back
		ctl audit | grep ' fail .*w14' >/dev/null || fail "w14 did not fail"
		start_worker 14
		platform "$(host_list $ENTRIES $HOSTS)" || fail "host list"
	fi
	if [ $killed = no ] && [ "$done_count" -ge 5 ]; then
		author=$(ctl audit | awk '$3 == "drain" && $2 ~ /^e[0-9]/ {print $2}' | tail -n 1)
		killed=${author#e}
		stop "fleet$killed" KILL
		FLEET=$(((killed + 1) % ENTRIES))
		export FLEET
		echo "killed the fleet daemon of $author, $done_count hosts done"
	fi
	sleep 0.1
done
took=$((240 - end + SECONDS))
touch "$WORK/stop"
wait "${LOOPS[@]}" 2>/dev/null
[ $failed = back ] || fail "the wave ended before the failure"
[ $killed != no ] || fail "the wave ended before the fleet daemon was killed"
for ((i = 0; i < HOSTS; i++)); do
	[ "$(reboots | grep -c "^\"w$i\":1$")" = 1 ] || fail "w$i: $(reboots | grep "\"w$i\"")"
done
cut=$(cat "$WORK"/requests.* | grep -vc '^200 ')
[ "$cut" = 0 ] || fail "$cut requests were not answered: $(cat "$WORK"/requests.* | grep -v '^200 ' | head -n 5)"
echo "$(cat "$WORK"/requests.* | wc -l) requests answered, $HOSTS hosts rebooted once in $took s"
echo ok
