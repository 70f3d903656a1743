#!/usr/bin/env bash
# Workers list at most 500 ends at a time. 25 jobs of 32 small tasks run on one
# worker. All nodes are killed at once and start again after 2.8 s; the tasks end
# meanwhile.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

start_all 3
JOBS=25 WIDTH=32
for ((j = 0; j < JOBS; j++)); do
	id=$(printf '%016x' $((0xabc00000 + j)))
	submit $((j % NODES)) "$id" "{\"spec\":\"ms=6000 cpu=40\",\"steps\":[{\"count\":$WIDTH,\"cpu\":40,\"memMb\":64,\"estMs\":6000}]}" || cannot_run "job $j is not accepted"
done
wait_until 20 eval '[ "$(grep -c run-begun "$RECORD")" -ge $((JOBS * WIDTH)) ]' || cannot_run "not all tasks have begun"
if [ "$TROUBLE" = 1 ]; then
	wait_until 10 is_recorded run-ended
	note "all nodes are killed"
	for ((i = 0; i < NODES; i++)); do kill_node $i; done
	sleep 2.8
	for ((i = 0; i < NODES; i++)); do start_node $i; done
	note "all nodes are started again"
fi
end=$((SECONDS + 30))
for ((j = 0; j < JOBS; j++)); do
	id=$(printf '%016x' $((0xabc00000 + j)))
	until state_is 0 "$id" done || [ $SECONDS -ge $end ]; do sleep 0.1; done
	note "GET $PREFIX$id at node 0: $(state 0 "$id")"
done
sleep 2
stage GET /verdict
note "verdict: $REPLY_BODY"
keep_logs 'tenure|run-lost|stopping-stale'
echo "$REPLY_BODY"
[ "$REPLY_STATUS" = 200 ] || cannot_run "no verdict"
[ "$(figure startsAfterDone)" = 0 ] && [ "$(figure runsBeside)" = 0 ]
