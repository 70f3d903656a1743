#!/usr/bin/env bash
# Non-idempotent requests with a key run at most once. Runs real entry daemons
# with the stand-ins and a single worker, which therefore detects every repeated
# run of a key. Each scenario names the failure that it guards against.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

FAILED=0
fail() { echo "FAILED: $1"; FAILED=1; }
worker() { curl -s "$(worker_url 0)/control" ${1:+-d "$1"} -o "$WORK/worker" && cat "$WORK/worker"; }
worker_count() { worker | sed "s/.*\"$1\":\([0-9]*\).*/\1/"; }
on_log() {
	curl -s "$(platform_url)/streams/claims/records?from=0&max=8000" |
		grep -q "$(printf 'crew-shares\0%s' "$1" | sha256sum | cut -c1-32)"
}
has_appended() { [ "$(metric "$(entry_url 0)" claims_appends_total)" -gt "$1" ]; }
is_active() { [ "$(worker_count active)" -gt 0 ]; }

# post HOST KEY [DEADLINE_MS [QUERY]]: prints "STATUS OUTCOME REASON"
post() {
	curl -s -m 60 -o "$WORK/body.$BASHPID" -X POST -d payout \
		-H "Idempotency-Key: $2" -H "Plank-Key-Time-Ms: $KEY_TIME" \
		-H "Plank-Deadline-Ms: ${3:-8000}" \
		-w '%{http_code} %header{plank-outcome} %header{plank-reason}\n' \
		"$(entry_url "$1")/crew-shares/payouts/pay${4:-}"
}
answered() { [[ "$(post "$@")" == "200 answered"* ]]; }
expect() { # expect NAME ANSWER PATTERN
	[[ "$2" == $3 ]] || fail "$1: answered '$2', wanted '$3'"
}

# attempts ROUNDS KEY_COUNT PREFIX: sends each key through all hosts at once
attempts() {
	local i k round pids=()
	for ((round = 0; round < $1; round++)); do
		for ((k = 0; k < $2; k++)); do
			for ((i = 0; i < ENTRIES; i++)); do
				post $i "$3$k" >"$WORK/try.$3$k.$i.$round" &
				pids+=($!)
			done
		done
		wait "${pids[@]}"
	done
}

# begin, end NAME RUNS: in between, the worker ran RUNS keys, none twice
begin() {
	KEY_TIME=$(date +%s%3N)
	RUNS=$(worker_count runs) DOUBLES=$(worker_count doubles)
}
end() {
	local runs=$(($(worker_count runs) - RUNS))
	local doubles=$(($(worker_count doubles) - DOUBLES))
	echo "$1: $runs runs, $doubles doubled"
	[ $runs = "$2" ] || fail "$1: $runs runs, wanted $2"
	[ $doubles = 0 ] || fail "$1: $doubles doubled runs"
}

start_cluster 3 1 || { fail "cluster"; exit 1; }
team_settings 1 0 >"$WORK/team.json"
ctl publish crew-shares "$WORK/team.json" --base -1 >/dev/null || fail publish
for ((i = 0; i < ENTRIES; i++)); do
	wait_until 20 curl -sf "$(entry_url $i)/crew-shares/payouts/ping" ||
		fail "entry host $i does not serve"
done

# Guards against retries that race through all entry hosts.
begin
attempts 2 8 race
end "concurrent retries" 8
[ "$(cat "$WORK"/try.race* | grep -c '^200 answered')" = 8 ] || fail "race: not 8 answers"
[ "$(cat "$WORK"/try.race* | grep -c '^409 unknown')" = 40 ] || fail "race: not 40 times 409 unknown"

# A batch is appended again after the response to its append was lost. The delay
# ensures that claims of all hosts are stored before any of them is read back.
begin
platform '{"lose_answers":30,"delay_ms":100}'
attempts 2 8 lost
platform '{"lose_answers":0,"delay_ms":0}'
end "lost append responses" 8

# Requests with a key are refused during a log outage; idempotent ones succeed.
begin
platform '{"outage":true}'
expect "outage" "$(post 0 away 1200)" "503 not-run unavailable"
expect "outage, second host" "$(post 1 away 1200)" "503 not-run unavailable"
end "outage" 0
curl -sf "$(entry_url 0)/crew-shares/payouts/ping" >/dev/null || fail "outage: an idempotent request failed"
begin
post 2 held 30000 >"$WORK/held" &
held=$!
platform '{"outage":false}'
wait $held
expect "held over the outage" "$(cat "$WORK/held")" "200 answered*"
wait_until 30 answered 1 away || fail "outage: the retry never ran"
expect "after the outage" "$(post 0 away)" "409 unknown duplicate"
end "after the outage" 2

# A process is resumed with a claim whose deadline has passed. An answer to the
# first request shows that host 0 has no batch from the outage left to append.
wait_until 30 answered 0 settled || fail "pause: host 0 does not answer"
begin
appends=$(metric "$(entry_url 0)" claims_appends_total)
platform '{"delay_ms":1000}'
post 0 paused 2500 >"$WORK/paused" &
paused=$!
wait_until 10 has_appended "$appends" || fail "pause: nothing appended"
sleep 0.2
kill -STOP "${PIDS[entry0]}"
platform '{"delay_ms":0}'
wait_until 10 on_log paused || fail "pause: no claim on the log"
expect "pause" "$(post 1 paused)" "409 unknown duplicate"
sleep 3
kill -CONT "${PIDS[entry0]}"
wait $paused
expect "resumed" "$(cat "$WORK/paused")" "503 not-run unavailable"
wait_until 30 answered 1 paused || fail "pause: the key was not released"
end "pause" 1

# The process that holds the claim is killed while the worker runs the request.
begin
post 1 killed 20000 "?sleep_ms=2000" >"$WORK/killed" 2>&1 &
killed=$!
wait_until 10 is_active || fail "kill: the worker did not get the request"
stop entry1 KILL
wait $killed
expect "kill" "$(post 2 killed)" "409 unknown duplicate"
start_entry 1
wait_until 30 is_ready "$(entry_url 1)" || fail "kill: not ready again"
expect "replaced process" "$(post 1 killed)" "409 unknown duplicate"
end "kill" 1

# A refusal by the worker releases the claim, so that a retry can run.
begin
worker '{"mode":"leaving"}' >/dev/null
expect "refusal" "$(post 0 refused)" "503 not-run overload"
worker '{"mode":"ok"}' >/dev/null
wait_until 30 answered 2 refused || fail "refusal: the retry never ran"
expect "after the refusal" "$(post 0 refused)" "409 unknown duplicate"
end "refusal" 1

# A new process cannot read claims that are past the log's retention.
begin
wait_until 30 answered 0 forgotten || fail "retention: not answered"
platform '{"retention":2}'
for ((i = 0; i < 3; i++)); do post 0 "later$i" >/dev/null; done
stop entry2 KILL
start_entry 2
wait_until 30 is_ready "$(entry_url 2)" || fail "retention: not ready"
expect "past retention" "$(post 2 forgotten)" "410 not-run gone"
end "retention" 4

# Without a log no key can be claimed, and a request with a key is not sent.
begin
stop entry0
sed -i '/platform_url/d' "$WORK/entry0.json"
start_entry 0
wait_until 30 is_ready "$(entry_url 0)" || fail "no platform_url: not ready"
expect "no platform_url" "$(post 0 unclaimed)" "503 not-run unavailable"
end "no platform_url" 0

[ $FAILED = 0 ] && echo "process_claims: all passed"
exit $FAILED
