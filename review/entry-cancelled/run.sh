#!/usr/bin/env bash
# A node that is cut off from the store gets a job and answers 504 (or nothing). The
# caller cancels it at another node, which answers 410. The first node's record is stored
# once its cut is over (4.7 s; core_cut: 5.5). The job must not run 12 s later.
DIR=$(cd "$(dirname "$0")" && pwd)
. "$DIR/../lib-2.sh"

start_fleet 4 tamo:a:r1 tamo:a:r1 tamo:a:r2
start_nodes 3
ID=8a3c00c1d2e3f407
BODY='{"spec":"ms=90000","steps":[{"count":2,"cpu":2000,"memMb":256,"estMs":90000,"longRunning":true}]}'

[ "$TROUBLE" = 1 ] && control '{"cut_node":0}'
CUT_MS=$(date +%s%3N)
call 0 POST $ID "$BODY"
call 1 DELETE $ID
case $STATUS in 2* | 410) ;; *) cannot_run "the cancel got $STATUS" ;; esac
while [ $(($(date +%s%3N) - CUT_MS)) -lt 4650 ]; do sleep 0.02; done
[ "$TROUBLE" = 1 ] && control '{"join_node":0}'
note "the cut lasted $(($(date +%s%3N) - CUT_MS)) ms"
sleep 12
awk -v id=$ID '
	$2 == "begin" && index($3, id) == 1 { at[$3] = 1 }
	($2 == "end" || $2 == "gone") && index($3, id) == 1 { delete at[$3] }
	END { for (task in at) print task }' "$RECORD" >"$WORK/running"
call 1 GET $ID
[ -s "$WORK/running" ] && broken "12 s after its cancel the job runs: $(paste -sd ' ' "$WORK/running") (GET: $STATUS $ANSWER)"
held "nothing of the cancelled job runs"
