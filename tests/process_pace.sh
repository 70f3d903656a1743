#!/usr/bin/env bash
# Tasks that fill work as fast as the targets of those that serve beside them allow: real
# processes, an owner that is killed, and what goes on once no task serves.
set -u
cd "$(dirname "$0")/.."
ENFORCES_CAPACITY=true
. scripts/cluster.sh
. scripts/nodes.sh
trap stop_all EXIT

fail() {
	echo "FAILED: $1"
	tail -n 8 "$WORK"/*.log
	exit 1
}
# paced PERCENT: the last order for the task that fills names this percentage
paced() { [ "$(grep "run-paced task=$FILLS" "$WORK/standin.log" | tail -n 1 | sed 's/.*percent=\([0-9]*\).*/\1/')" = "$1" ]; }
owner() { for i in 0 1 2; do grep "of=pool-tallies" "$WORK/node$i.log" | tail -n 1 | grep -q tenure-taken && echo "$i"; done | head -n 1; }
expect_state() { wait_until 20 job_is "$1" "$2" "$3" || fail "job $2 is $(job_state "$1" "$2"), not $3"; }

start_standin 1 || fail "the stand-in did not start"
for i in 0 1 2; do start_node $i; done
for i in 0 1 2; do wait_until 20 node_is_ready $i || fail "node $i is not ready"; done
wait_until 20 grep -q "tenure-taken of=pool-tallies" "$WORK"/node?.log || fail "no node owns the pool"

SERVES=00000000bace0001
FILLS=00000000bace0002
# At full pace the tail is 200 ms; up to 45% of it the target is met with ease.
[ "$(job_call 0 POST $SERVES '{"spec":"serve tail=200","steps":[{"count":1,"cpu":1000,"memMb":64,
	"longRunning":true,"targetMs":120}]}')" = 200 ] || fail "job that serves"
expect_state 1 $SERVES running
[ "$(job_call 0 POST $FILLS '{"spec":"fill","steps":[{"count":1,"cpu":1000,"memMb":64,"fills":true,
	"longRunning":true}]}')" = 200 ] || fail "job that fills"
expect_state 1 $FILLS running
wait_until 5 paced 40 || fail "the task that fills is not slowed down"
wait_until 20 grep -q "run-paced task=$FILLS.*percent=55" "$WORK/standin.log" || fail "no more is tried"
echo "ok: a task that fills is slowed down, and more is tried with care"

OWNER=$(owner)
[ -n "$OWNER" ] || fail "no owner found"
stop "node$OWNER" KILL
LINES=$(grep -c "run-paced task=$FILLS" "$WORK/standin.log")
paced_anew() { [ "$(grep -c "run-paced task=$FILLS" "$WORK/standin.log")" -gt "$LINES" ]; }
wait_until 15 paced_anew || fail "the next owner orders no pace"
echo "ok: the next owner orders what it cannot know"

NODE=$(((OWNER + 1) % 3))
[ "$(job_call $NODE DELETE $SERVES)" = 200 ] || fail "cancel"
wait_until 10 paced 100 || fail "the task that fills does not go on at full speed"
[ "$(grep -c "run-begun task=$FILLS" "$WORK/standin.log")" = 1 ] || fail "the task that fills was started again"
SENT=0
for i in 0 1 2; do [ $i = "$OWNER" ] || SENT=$((SENT + $(metric "$(node_admin_url $i)" paces_sent))); done
[ "$SENT" -gt 0 ] || fail "no orders are counted"
echo "ok: it goes on at full speed once none serves"
echo "process_pace: all passed"
