#!/usr/bin/env bash
# Real processes: tasks that save so much that the report of a worker is longer than
# 32 MiB. Guards against workers that end up healthy, empty and without a lease, and
# against runs of other jobs there that lapse.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
. scripts/nodes.sh
trap stop_all EXIT

fail() {
	echo "FAILED: $1"
	grep -h "run-begun\|run-ended" "$WORK/standin.log" | tail -n 20
	tail -n 8 "$WORK"/node*.log
	exit 1
}
# submit NODE ID TEXT COUNT
submit() {
	local status
	status=$(job_call "$1" POST "$2" "{\"spec\":\"$3\",\"steps\":[{\"count\":$4,\"cpu\":1000,\"estMs\":5000,\"checkpointing\":true}]}")
	[ "$status" = 200 ] || fail "submission to node $1: status $status"
}
expect_done() { wait_until 40 job_is "$1" "$2" done || fail "job $2 is $(job_state "$1" "$2")"; }

VICTIM=00000000000000b1
SAVER=00000000000000a1
LATER=00000000000000c1
start_standin 2 || fail "the stand-in did not start"
for i in 0 1 2; do start_node $i; done
for i in 0 1 2; do wait_until 20 node_is_ready $i || fail "node $i is not ready"; done
wait_until 20 grep -q "tenure-taken of=pool-tallies" "$WORK"/node0.log "$WORK"/node1.log "$WORK"/node2.log || fail "no node owns the pool"

submit 0 $VICTIM "for=8000" 4
submit 1 $SAVER "for=6000 saves=6000000" 12
expect_done 0 $SAVER
expect_done 1 $VICTIM
submit 2 $LATER "for=600" 8
expect_done 2 $LATER
echo "ok: long checkpoints keep no job from its end"
for id in $VICTIM $SAVER; do
	! grep -q "run-begun task=$id.* run=2 " "$WORK/standin.log" || fail "a run of $id was started again"
done
echo "ok: no run was lost"
