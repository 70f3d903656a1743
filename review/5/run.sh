#!/usr/bin/env bash
# A configuration adds a route whose name has a colon (with TROUBLE=0: a hyphen).
# Jobs are handed in at it and, before and after, at a route that was there before.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

NAME=landings:levy-accrue
[ "$TROUBLE" = 1 ] || NAME=landings-levy-accrue
LEVY="{\"name\":\"$NAME\",\"host\":\"$HOST\",\"prefix\":\"/levies/\",\"service\":\"tallies\",\"priority\":0,\"attempts\":4,\"stretch\":1.6,\"sloMs\":60000}"
JOB='{"spec":"ms=500 cpu=1800","steps":[{"count":4,"cpu":1800,"memMb":500,"estMs":500}]}'
start_all 3
id() { printf '%016x' $((0xabc00000 + $1)); }

submit 0 "$(id 0)" "$JOB" || cannot_run "the first job is not accepted"
control "{\"config\":$(configuration 4 "$ROUTE,$LEVY")}"
sleep 4
broken=0
PREFIX=/levies/
for j in 1 2 3 4 5; do
	submit $((j % NODES)) "$(id $j)" "$JOB" || cannot_run "job $j is not accepted"
done
PREFIX=/tallies/
submit 1 "$(id 6)" "$JOB" || cannot_run "the last job is not accepted"
sleep 18
for j in 0 1 2 3 4 5 6; do
	case $j in 0 | 6) PREFIX=/tallies/ ;; *) PREFIX=/levies/ ;; esac
	seen=$(state $((j % NODES)) "$(id $j)")
	begun=$(grep -c "run-begun task=$(id $j)\." "$RECORD")
	note "job $PREFIX$(id $j): accepted, not cancelled, shown as $seen, starts $begun"
	[ "$seen" = done ] || broken=$((broken + 1))
done
note "runs that ended as failed: $(grep -c 'how=failed' "$RECORD"), attempts of the queue: 4"
grep "client: job\|client: runs" "$RECORD"
keep_logs 'cannot be read|configuration'
[ $broken = 0 ]
