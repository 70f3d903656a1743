#!/usr/bin/env bash
# An accepted settings change must reach every process and never revert, despite
# restarts, outages, lost responses, retention and paused processes.
set -u
cd "$(dirname "$0")/.."
TIMING='"heartbeat_ms": 500, "lease_ms": 1500, "expire_ms": 2500,
	"start_wait_ms": 1000, "snapshot_records": 40,'
. scripts/cluster.sh
trap stop_all EXIT

HOSTS=3
VERSION=-1
declare -A OFFSETS=()

fail() {
	echo "FAILED: $1"
	tail -n 5 "$WORK"/fleet*.log "$WORK"/entry*.log
	exit 1
}
team_version() { FLEET=$1 ctl settings crew-shares --json | grep -o '"version":[0-9]*' | cut -d: -f2; }
next_of() { metric "$1" next_offset; }
at_least() { [ "$(next_of "$1")" -ge "$2" ]; }
known_by() { at_least "$(fleet_url "$1")" $((VERSION + 1)) && at_least "$(entry_url "$1")" $((VERSION + 1)) && [ "$(team_version "$1")" = "$VERSION" ]; }

# check WHAT: every daemon must have VERSION. Guards against a daemon that goes
# back to a lower offset or an older version.
check() {
	local i url next
	for ((i = 0; i < HOSTS; i++)); do
		wait_until 20 known_by "$i" || fail "$1: host $i lacks version $VERSION"
		for url in "$(fleet_url $i)" "$(entry_url $i)"; do
			next=$(next_of "$url")
			[ "$next" -ge "${OFFSETS[$url]:-0}" ] || fail "$1: $url went back to $next"
			OFFSETS[$url]=$next
		done
	done
	echo "ok: $1, version $VERSION"
}

# publish [FLEET]: publishes a change and sets VERSION to it
publish() {
	local out
	out=$(FLEET=${1:-0} ctl publish crew-shares "$WORK/team.json" --base $VERSION --json) ||
		fail "publish: $out"
	VERSION=$(echo "$out" | grep -o '"offset":[0-9]*' | cut -d: -f2)
}

start_cluster $HOSTS 3 || fail "the processes did not become ready"
team_settings 3 0 >"$WORK/team.json"
publish
check "a change reaches every process"

stop fleet1 KILL
publish
start_fleet 1
check "a fleet daemon is killed and restarted"
stop entry1 KILL
start_entry 1
check "an entry daemon is killed and restarted"

platform '{"lose_answers": 1}'
publish
check "the response to an append is lost"
accepted=$(ctl audit --json | grep -o "\"after\":\"$VERSION\"" | wc -l)
[ "$accepted" = 1 ] || fail "the change was applied $accepted times"

# There is no snapshot with this version, so only peers have it.
platform '{"outage": true}'
stop fleet2 KILL
start_fleet 2
wait_until 20 is_ready "$(fleet_url 2)" || fail "no start from a peer"
check "a fresh fleet daemon starts from a peer in an outage"
kill -STOP "${PIDS[fleet2]}"
platform '{"outage": false}'
# Waits for a snapshot newer than the state of fleet2. If fleet2 loaded it and
# skipped the records in between, it would never read back a change of its own
# among them.
snapshot_next() { FLEET=0 ctl status --json | grep -o '"snapshot_next":[0-9]*' | cut -d: -f2; }
has_newer_snapshot() { [ "$(snapshot_next)" -gt $((VERSION + 1)) ]; }
wait_until 60 has_newer_snapshot || fail "no snapshot was written after the outage"
kill -CONT "${PIDS[fleet2]}"
publish 2
check "the outage ends"
! grep -q "took the state of a snapshot" "$WORK/fleet2.log" ||
	fail "fleet2 skipped records that the log still held"

platform '{"retention": 120}'
is_past() { [ "$(curl -s -o /dev/null -w '%{http_code}' "$(platform_url)/streams/fleet/records?from=$VERSION&max=1")" = 410 ]; }
has_snapshot() { [ "$(FLEET=0 ctl status --json | grep -o '"snapshot_next":[0-9]*' | cut -d: -f2)" -gt "$VERSION" ]; }
wait_until 60 is_past || fail "the change did not pass retention"
wait_until 60 has_snapshot || fail "no snapshot was written"
stop fleet0 KILL
kill -STOP "${PIDS[fleet1]}" "${PIDS[fleet2]}"
start_fleet 0
wait_until 30 is_ready "$(fleet_url 0)" || fail "no start from snapshot and tail"
kill -CONT "${PIDS[fleet1]}" "${PIDS[fleet2]}"
check "a fresh host starts from snapshot and tail"

# An entry daemon switches to another fleet daemon of its data centre.
sed -i "s/\"fleet\": \[/&{\"address\":\"127.0.0.1\",\"port\":$((BASE + 300)),\"data_centre\":\"suva\"},/" "$WORK/entry2.json"
stop entry2 KILL
start_entry 2
wait_until 20 is_ready "$(entry_url 2)" || fail "entry2 is not ready"
kill -STOP "${PIDS[fleet0]}"
publish 1
wait_until 20 at_least "$(entry_url 2)" $((VERSION + 1)) || fail "entry2 got no change through another fleet daemon"
kill -CONT "${PIDS[fleet0]}"
check "a fleet daemon is paused"

race() { FLEET=$1 ctl publish crew-shares "$WORK/team.json" --base $VERSION --json >"$WORK/race$1" 2>&1; }
race 0 & first=$!
race 1 & second=$!
wins=0
wait $first && wins=$((wins + 1))
wait $second && wins=$((wins + 1))
[ $wins = 1 ] || fail "$wins of two racing changes were accepted: $(cat "$WORK"/race*)"
VERSION=$(grep -ho '"offset":[0-9]*' "$WORK"/race* | cut -d: -f2)
check "two operators race"
