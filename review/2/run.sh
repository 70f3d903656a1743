#!/usr/bin/env bash
# A caller hands in one job of many small tasks, and other callers hand in usual
# ones at the same queue. A job that is refused is not judged. With TROUBLE=0 the large job has a tenth of the tasks.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

start_all 8
small() { echo "{\"spec\":\"ms=500 cpu=1800\",\"steps\":[{\"count\":4,\"cpu\":1800,\"memMb\":500,\"estMs\":500}]}"; }
id() { printf '%016x' $((0xabc00000 + $1)); }
broken=0

submit 0 "$(id 0)" "$(small)" || cannot_run "the first job is not accepted"
wait_until 20 state_is 1 "$(id 0)" done || cannot_run "a usual job does not end"
COUNT=9000
[ "$TROUBLE" = 1 ] || COUNT=$((COUNT / 10))
submit 0 "$(id 1)" "{\"spec\":\"ms=2000 cpu=10\",\"steps\":[{\"count\":$COUNT,\"cpu\":10,\"memMb\":16,\"estMs\":2000}]}" || note "the large job is not accepted"
sleep 1
for j in 2 3 4 5; do
	submit $((j % NODES)) "$(id $j)" "$(small)" || note "job $j is not accepted"
done
# All jobs together ask for 119 of 256 cores and 146 of 512 GB.
sleep 30
for j in 1 2 3 4 5; do
	accepted=$(grep -c "POST $PREFIX$(id $j) .*: 200" "$RECORD")
	seen=$(state 1 "$(id $j)")
	begun=$(grep -c "run-begun task=$(id $j)\." "$RECORD")
	note "job $(id $j): accepted $accepted, shown as $seen, starts $begun"
	[ "$accepted" != 0 ] && [ "$begun" = 0 ] && broken=$((broken + 1))
done
note "accepted jobs without a start: $broken"
grep "client: job\|client: accepted" "$RECORD" | cut -c1-110
keep_logs 'tenure|unexpected'
[ $broken = 0 ]
