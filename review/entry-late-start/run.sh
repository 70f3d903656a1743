#!/usr/bin/env bash
# The first call that starts run 1 of a task gets no answer and is carried out 4 s later
# (applied_late: 2 to 12 s). Its repeat starts the run, which fails. The worker is cut off,
# crashes and starts again under its id (srv_cut, reborn), and run 2 begins at another one. No task may run twice at a
# time.
DIR=$(cd "$(dirname "$0")" && pwd)
. "$DIR/../lib-2.sh"

start_fleet 4 tamo:a:r1 tamo:a:r2
start_nodes 2
ID=8a3c00c1d2e3f40a
control '{"crash":[1]}'
sleep 8
control '{"fail":0}'
[ "$TROUBLE" = 1 ] && control '{"late":[0,1],"late_ms":4000}'
submit 0 $ID '{"spec":"ms=8000","steps":[{"count":1,"cpu":2000,"memMb":256,"estMs":8000}]}'
control '{"start":[1]}'
ended() { grep -q "end $ID" "$RECORD"; }
wait_until 15 ended || cannot_run "run 1 has not ended"
sleep 0.3
if [ "$TROUBLE" = 1 ]; then
	control '{"cut":[0]}'
	control '{"crash":[0]}'
	sleep 0.5
	control '{"start":[0]}'
	sleep 5
	control '{"join":[0]}'
	sleep 8
else
	sleep 13.5
fi
no_double_runs $ID
