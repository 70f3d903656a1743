#!/usr/bin/env bash
# A queue allows 4 attempts. A configuration removes its route while a job runs, the
# first run of its only task fails, and a configuration adds the route again.
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"

start_all 3
OTHER="{\"name\":\"advance-settle\",\"host\":\"$HOST\",\"prefix\":\"/advances/\",\"service\":\"tallies\",\"priority\":0,\"attempts\":4,\"stretch\":1.6,\"sloMs\":60000}"
control "{\"config\":$(configuration 2 "$ROUTE,$OTHER")}"
sleep 2
ID=00000000abc00001
submit 0 $ID '{"spec":"ms=5000 cpu=1800 fail=1","steps":[{"count":1,"cpu":1800,"memMb":500,"estMs":5000}]}' || cannot_run "the job is not accepted"
wait_until 10 is_recorded "run-begun task=$ID" || cannot_run "the job does not begin"
wait_until 10 state_is 1 $ID running || cannot_run "the job is not shown as running"
if [ "$TROUBLE" = 1 ]; then
	control "{\"config\":$(configuration 5 "$OTHER")}"
fi
wait_until 20 is_recorded "run-ended task=$ID.* how=failed" || cannot_run "no run failed"
sleep 3
if [ "$TROUBLE" = 1 ]; then
	control "{\"config\":$(configuration 9 "$ROUTE,$OTHER")}"
fi
sleep 15
worst=0
for ((i = 0; i < NODES; i++)); do
	seen=$(state $i $ID)
	note "node $i shows the job as $seen"
	[ "$seen" = failed ] && worst=1
done
failed=$(grep -c "run-ended task=$ID.*how=failed" "$RECORD")
note "failed runs of the task: $failed; attempts of the queue: 4"
grep "client: node\|client: failed" "$RECORD"
keep_logs 'job-ended|configuration'
[ $worst = 0 ]
