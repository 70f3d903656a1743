#!/usr/bin/env bash
# A node that is cut off from the store holds a job's record. Meanwhile the route is
# removed, and a route at the same place is added that leads to another service. The
# client sends the job again at another node. The first node's record follows when its
# cut is over. Then all nodes are stopped and started in turn. No task may run twice at
# a time.
DIR=$(cd "$(dirname "$0")" && pwd)
. "$DIR/../lib-2.sh"

start_fleet 4 tamo:a:r1 tamo:a:r1 tamo:a:r1 tamo:a:r2 lovo:a:r3 lovo:a:r3 lovo:a:r3 \
	lovo:a:r4
start_nodes 3
ID=8a3c00c1d2e3f405
BODY='{"spec":"ms=90000","steps":[{"count":2,"cpu":2000,"memMb":256,"estMs":90000,"longRunning":true}]}'

[ "$TROUBLE" = 1 ] && control '{"cut_node":0}'
CUT_MS=$(date +%s%3N)
call 0 POST $ID "$BODY" &
FIRST=$!
sleep 0.3
configure 4 ""
sleep 0.7
configure 5 puxa-2:lovo:4
wait $FIRST
sleep 0.3
# After no response, or a 504, it arrives again at any node; at times after a 2xx too.
submit 1 $ID "$BODY"
sleep 1.2
[ "$TROUBLE" = 1 ] && control '{"join_node":0}'
[ "$TROUBLE" = 1 ] && note "the cut lasted $(($(date +%s%3N) - CUT_MS)) ms"
sleep 4
for i in 0 1 2; do
	restart_node $i
	sleep 1.5
done
sleep 20

no_double_runs $ID
