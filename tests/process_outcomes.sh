#!/usr/bin/env bash
# Breaks the connection to a worker at each byte of the request and of the
# response. Guards against the outcome not-run for a request that a worker read,
# a non-idempotent request sent twice, an idempotent one sent to a third worker,
# a truncated response, the response to another request, and requests sent to a
# leaving worker.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

fail() {
	printf 'FAILED: %s\n' "$1"
	tail -n 3 "$WORK"/fleet*.log "$WORK"/entry*.log
	exit 1
}

# send POOL GROUP TARGET REPEATABLE [OPTION...]: sends concurrent requests, one
# for each number N of the range [A-B] in TARGET; responses go to $WORK/GROUP.N
send() {
	local pool=$1 group=$2 target=$3 repeatable=$4
	shift 4
	curl -s -i -Z --parallel-max 16 --stderr "$WORK/progress" -o "$WORK/$group.#1" -d 'a body' \
		-H "Plank-Repeatable: $repeatable" "$@" \
		"$(entry_url 0)/crew-shares/$pool/$group/$target"
}

# check GROUP REPEATABLE TARGET: checks what each request of the group must
# satisfy; prints the number of each outcome
check() {
	cat "$WORK"/worker*.log | awk -v group="/$1/" '
		index($1, group) == 1 {print}' >"$WORK/reads"
	local repeatable=$2 target=$3 file n
	for file in "$WORK/$1".*; do
		n=${file##*.}
		tr -d '\r' <"$file" | awk -v n="$n" -v target="/$1/${target/\[*\]/$n}" '
			!body && tolower($1) == "plank-outcome:" {outcome = $2}
			!body && $0 == "" {body = 1; next}
			body {text = text $0}
			END {print target, outcome ? outcome : "none", text == target ? "own" : "other"}'
	done >"$WORK/outcomes"
	awk -v repeatable="$repeatable" '
		FILENAME == ARGV[1] {reads[$1]++; next}
		{count[$2]++}
		$2 == "none" {print "no outcome: " $0; bad = 1}
		$2 == "not-run" && reads[$1] && $1 !~ /\/refuse\// {print "was read: " $0; bad = 1}
		$2 == "answered" && $3 != "own" {print "not the complete response to this request: " $0; bad = 1}
		repeatable == "no" && reads[$1] > 1 && $1 !~ /\/refuse\// {print "sent twice: " $0; bad = 1}
		reads[$1] > 2 && $1 !~ /\/refuse\// {print "tried on a third worker: " $0; bad = 1}
		END {printf "answered %d, not run %d, unknown %d\n", count["answered"], count["not-run"], count["unknown"]; exit bad}
	' "$WORK/reads" "$WORK/outcomes" >"$WORK/result" ||
		fail "$1 $3: $(head -n 5 "$WORK/result")"
	echo "$1 $3 repeatable $2: $(cat "$WORK/result")"
}
run() { # GROUP TARGET REPEATABLE [OPTION...]: send and check with pool cut
	# After refusals no worker of the pool is selected for a moment.
	wait_until 13 pool_serves cut || fail "$1: the pool does not serve"
	send cut "$@"
	check "$1" "$3" "$2"
}
worker_control() { curl -s -d "$2" "$(worker_url "$1")/control" >"$WORK/control"; }
runs() { worker_control "$1" '{}' && sed 's/.*"runs":\([0-9]*\).*/\1/' "$WORK/control"; }
# Counters are updated with the next tick of the daemon.
metric_is() { [ "$(metric "$(entry_url 0)" "$1")" = "$2" ]; }
hosts() { host_list 1 8 "$1" | sed 's/"slots":8/"slots":64/g'; }
# crossed N: 100 requests, N at a time; each must get its own response
crossed() {
	local a sleep_ms
	rm -f "$WORK"/crossed*
	curl -s -f -Z --parallel-max "$1" --stderr "$WORK/progress" -o "$WORK/crossed#1.#2" \
		"$(entry_url 0)/crew-shares/crossed/echo-[0-19]-x?sleep_ms={90,5,50,20,70}"
	for a in {0..19}; do
		for sleep_ms in 90 5 50 20 70; do
			grep -q "\"target\":\"/echo-$a-x?sleep_ms=$sleep_ms\"" \
				"$WORK/crossed$a.$sleep_ms" ||
				fail "request $a, $sleep_ms got $(cat "$WORK/crossed$a.$sleep_ms")"
		done
	done
	echo "crossed order: 100 requests, $1 at a time, each got its own answer"
}
pool_serves() { curl -sf "$(entry_url 0)/crew-shares/$1/ping"; }

write_settings 1
start_platform || fail "platform"
platform "$(hosts '')" || fail "host list"
for i in 0 1 2 3 4; do start "worker$i" "$BUILD/faultd" $((BASE + 400 + i)); done
for i in 5 6 7; do start_worker $i; done
start_fleet 0
start_entry 0
wait_until 30 is_ready "$(fleet_url 0)" || fail "plank-fleetd is not ready"
wait_until 30 is_ready "$(entry_url 0)" || fail "plank-entryd is not ready"
cat >"$WORK/team.json" <<-JSON
	{"pools": {"cut": {"hosts": ["w0", "w1", "w2"], "min_available": 0},
		"lone": {"hosts": ["w3"], "min_available": 0},
		"exit": {"hosts": ["w4"], "min_available": 0},
		"crossed": {"hosts": ["w5", "w6", "w7"], "min_available": 0}}}
JSON
ctl publish crew-shares "$WORK/team.json" --base -1 >/dev/null || fail "settings"
for pool in cut lone exit crossed; do
	wait_until 13 pool_serves $pool || fail "pool $pool"
done

# A job larger than every worker is refused at once; the refusal names the
# largest worker sizes.
refused() { # HEADER: prints status and body
	curl -s -w '%{http_code}' -H "$1" "$(entry_url 0)/crew-shares/crossed/ping"
}
[[ $(refused 'Plank-Cpu-Milli: 32001') == *no-fit*'Plank-Cpu-Milli 32000'*not-run*422 ]] ||
	fail "too large a job: $(refused 'Plank-Cpu-Milli: 32001')"
[[ $(refused 'Plank-Mem-Mib: 1x') == *invalid*400 ]] || fail "a size that is no number"
wait_until 13 metric_is requests_no_fit_total 1 || fail "no count of the refusal"

# A worker that fails every request makes no idempotent request fail.
worker_control 5 '{"mode":"fail"}'
crossed 10
wait_until 13 metric_is worker_ejections_total 1 || fail "no ejection"
worker_control 5 '{"mode":"ok"}'
before=$(runs 5)
is_probed() { pool_serves crossed && [ "$(runs 5)" -gt "$before" ]; }
wait_until 13 is_probed || fail "no probe"

# A reused connection breaks, and the worker is gone when libcurl reconnects:
# the request was read, so its outcome must not be not-run. A later attempt that
# finds no worker must not change that.
send exit exit 'exit/x/[0-0]' yes
check exit yes 'exit/x/[0-0]'
grep -q 'answered 0, not run 0, unknown 1' "$WORK/result" || fail "exit: $(cat "$WORK/result")"
send lone lone 'read/close/[400-400]' yes
check lone yes 'read/close/[400-400]'
grep -q 'answered 0, not run 0, unknown 1' "$WORK/result" || fail "lone: $(cat "$WORK/result")"

# Every byte at which a connection can break; numbers past the end break
# nothing.
for how in reset close; do
	for repeatable in no yes; do
		run "r$how$repeatable" "read/$how/[0-260]" $repeatable
		grep -q whole "$WORK/reads" && grep -q part "$WORK/reads" ||
			fail "the cut points do not reach past the end of the request"
		run "l$how$repeatable" "length/$how/[0-90]" $repeatable
		run "c$how$repeatable" "chunked/$how/[0-120]" $repeatable
	done
	run "n$how" "none/$how/[0-70]" no
	grep -q 'answered 0,' "$WORK/result" || fail "an answer without length: $(cat "$WORK/result")"
	run "i$how" "identity/$how/[0-100]" no
	grep -q 'answered 0,' "$WORK/result" || fail "an answer without length: $(cat "$WORK/result")"
	run "f$how" "refuse/$how/[0-120]" no
done
run late 'late/1500/[0-15]' yes -H 'Plank-Deadline-Ms: 100'
grep -q 'answered 0,' "$WORK/result" || fail "late: $(cat "$WORK/result")"

# Responses arrive in another order than the requests.
crossed 20

# A worker that the platform lists as leaving, or that is drained, gets no new
# requests after 3 s; one that refuses as leaving gets none after its refusal.
leaving='{"mode":"leaving"}'
platform "$(hosts ' 5 ')" || fail "host list"
ctl drain w6 >/dev/null || fail "drain"
sleep 3
before=$(runs 5)/$(runs 6)
crossed 8
[ "$(runs 5)/$(runs 6)" = "$before" ] || fail "a leaving or drained worker gets requests"
worker_control 7 "$leaving"
pool_serves crossed && fail "a leaving worker did not refuse"
worker_control 7 '{"mode":"ok"}'
before=$(runs 7)
pool_serves crossed && fail "the request should have been refused"
[ "$(runs 7)" = "$before" ] || fail "a worker that refused as leaving gets requests"
echo ok
