#!/usr/bin/env bash
# No start may take a worker over a capacity that has shrunk, though it starts
# whatever it is told to: real processes, seeded load, late orders, a killed pool
# owner, a worker that restarts smaller, and capacities that cannot be read.
set -u
cd "$(dirname "$0")/.."
ENFORCES_CAPACITY=false
. scripts/cluster.sh
. scripts/nodes.sh
trap stop_all EXIT

RANDOM=${PLANK_SEED:-26}
WORKERS=3
FULL='{"cpu":8000,"memMb":16384,"gpu":0}'

fail() {
	echo "FAILED: $1"
	tail -n 8 "$WORK"/*.log
	exit 1
}
# say WORKER CAPACITY: the worker's entry has this capacity from now on
say() { standin_control "{\"of\":$1,\"capacity\":$2}"; }
say_full() { for ((w = 0; w < WORKERS; w++)); do say $w "$FULL"; done; }
# count PATTERN: lines of the stand-in's log
count() { grep -c "$1" "$WORK/standin.log"; }
check_room() { [ "$(count over-capacity)" = 0 ] || fail "$1: $(grep over-capacity "$WORK/standin.log" | head -n 3)"; }

ID_COUNT=0
# submit NODE COUNT CPU MEM [MEMBERS [WORD]]: submits a job and sets ID to its
# id; its text tells the stand-in what each task uses
submit() {
	ID_COUNT=$((ID_COUNT + 1))
	ID=$(printf '%016x' $((0xcab0000 + ID_COUNT)))
	STATUS=$(job_call "$1" POST "$ID" "{\"spec\":\"${6:-run} cpu=$3 mem=$4\",
		\"steps\":[{\"count\":$2,\"cpu\":$3,\"memMb\":$4,\"estMs\":600${5:-}}]}")
}
expect_state() { wait_until 30 job_is "$1" "$2" "$3" || fail "job $2 is $(job_state "$1" "$2"), not $3"; }
owner() { for i in 0 1 2; do grep "of=pool-tallies" "$WORK/node$i.log" | tail -n 1 | grep -q tenure-taken && echo "$i"; done | head -n 1; }

start_standin $WORKERS || fail "the stand-in did not start"
standin_control '{"unguarded": true}'
for i in 0 1 2; do start_node $i; done
for i in 0 1 2; do wait_until 20 node_is_ready $i || fail "node $i is not ready"; done
wait_until 20 grep -q "tenure-taken of=pool-tallies" "$WORK"/node?.log || fail "no node owns the pool"

# Runs on a worker that has shrunk below them go on; no rule asks for a stop.
submit 0 3 1000 64 ',"longRunning":true' last
LASTING=$ID
expect_state 1 "$LASTING" running
wait_until 10 test "$(count "run-begun task=$LASTING")" = 3
for ((w = 0; w < WORKERS; w++)); do say $w '{"cpu":0,"memMb":0,"gpu":0}'; done
sleep 0.7
submit 1 4 1000 64
[ "$STATUS" = 200 ] || [ "$STATUS" = 429 ] || fail "job without room: status $STATUS"
[ "$STATUS" = 200 ] && WAITING=$ID
sleep 4.5
[ "$(count "run-begun task=$LASTING")" = 3 ] || fail "long-running tasks were started again"
[ "$(count "run-ended task=$LASTING")" = 0 ] || fail "long-running tasks were stopped"
[ -z "${WAITING:-}" ] || job_is 2 "$WAITING" queued || fail "a job without room is $(job_state 2 "$WAITING")"
check_room "all capacity gone"
say_full
[ -z "${WAITING:-}" ] || expect_state 2 "$WAITING" done
echo "ok: runs stay on workers that have shrunk, and jobs wait or are refused"

# Capacities that cannot be read name no worker to use; large ones are large.
say 0 null
say 1 '{"cpu":"8000","memMb":16384,"gpu":0}'
say 2 '{"cpu":8000,"memMb":-5,"gpu":0}'
for w in 0 1 2; do wait_until 10 grep -q "entry of worker i-$w rejected" "$WORK"/node0.log || fail "the entry of worker $w is not rejected"; done
sleep 1
starts=$(count run-begun)
submit 0 2 1000 64
UNREAD=$ID
sleep 1.5
[ "$(count run-begun)" = "$starts" ] || fail "a task starts on a worker without a capacity"
say 1 '{"cpu":4294967297,"memMb":16384,"gpu":0}'
if [ "$STATUS" = 200 ]; then expect_state 1 "$UNREAD" done; fi
submit 0 1 1000 64
expect_state 1 "$ID" done
say_full
wait_until 10 grep -q "worker-capacity worker=i-1 cpu_milli=8000 was=2147483647" "$WORK"/node?.log || fail "the shrunk capacity is not noticed"
submit 0 1 4294967297 64
HUGE=$ID
sleep 1
[ "$(count "run-begun task=$HUGE")" = 0 ] || fail "a task larger than any worker starts"
[ "$(job_call 1 DELETE "$HUGE")" = 200 ] || fail "cancel"
check_room "odd capacities"
echo "ok: capacities and requests that are odd"

# Load beyond the room, while capacities change.
declare -A JOBS=()
vary() {
	local w=$((RANDOM % WORKERS))
	say $w "{\"cpu\":$((RANDOM % 9 * 1000)),\"memMb\":$((RANDOM % 5 * 1024)),\"gpu\":0}"
}
# press STEPS: submits jobs of several sizes, cancels some, changes capacities
press() {
	local i node
	for ((i = 0; i < $1; i++)); do
		node=$(((${DEAD:--1} + 1 + RANDOM % 2) % 3))
		submit $node $((1 + RANDOM % 6)) $((500 << RANDOM % 4)) $((RANDOM % 4 * 512))
		[ "$STATUS" = 200 ] && JOBS[$ID]=1
		if [ $((RANDOM % 3)) = 0 ]; then
			job_call $node DELETE "$ID" >/dev/null
			unset "JOBS[$ID]"
		fi
		[ $((RANDOM % 4)) = 0 ] && vary
		sleep 0.1
	done
	return 0
}
press 20
standin_control '{"late": 6}'
press 20
OWNER=$(owner)
[ -n "$OWNER" ] || fail "no owner found"
DEAD=$OWNER
stop "node$OWNER" KILL
press 20
standin_control '{"crash": 0}'
press 5
say 0 '{"cpu":2000,"memMb":2048,"gpu":0}'
standin_control '{"restart": 0}'
press 15
start_node "$OWNER"
say_full
wait_until 20 node_is_ready "$OWNER" || fail "the killed owner does not become ready again"
check_room "load beyond the room"
[ ${#JOBS[@]} -ge 10 ] || fail "only ${#JOBS[@]} jobs were accepted"
for ID in "${!JOBS[@]}"; do expect_state "$OWNER" "$ID" done; done
check_room "after the load"
grep -qh start-withdrawn "$WORK"/node?.log || echo "note: no start was withdrawn"
echo "ok: ${#JOBS[@]} jobs while capacities change, $(count run-begun) starts, none over a capacity"

# The check must detect nodes that go by a capacity that has shrunk.
standin_control '{"hide": true}'
for ((w = 0; w < WORKERS; w++)); do say $w '{"cpu":500,"memMb":0,"gpu":0}'; done
sleep 4.5
submit "$OWNER" 6 2000 64
wait_until 10 grep -q over-capacity "$WORK/standin.log" || fail "the check misses starts over a capacity"
echo "ok: the check detects nodes that miss changes"
