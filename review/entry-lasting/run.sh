#!/usr/bin/env bash
# A task of a step with longRunning ends by itself, as done. It must be restarted however
# it ends (PROTOCOL.md); LOST counts it from 6 s after its last run, for 3 s.
. "$(dirname "$0")/../lib-4.sh"

ID=00000000000000a1

begin 4 2 <<-WORKERS
	a r1 8000 16384
	a r1 8000 16384
	a r2 8000 16384
WORKERS
submit 0 $ID '{"spec":"last","steps":[{"count":2,"cpu":500,"memMb":64,"longRunning":true}]}'
for i in 0 1; do wait_for 10 has_started $ID.0.0.$i 1 || cannot "task $i has not started"; done
sleep 2
[ "$TROUBLE" = 0 ] || control '{"end":"'$ID'.0.0.0","how":"done"}'
sleep 15
state_of $ID
[ "$TROUBLE" = 0 ] || has_started $ID.0.0.0 2 ||
	verdict 1 "broken: 15 s after its end as done the task has not been restarted (job: $STATE)"
grep -q " END .* task=$ID.0.0.1 " "$RECORD" && verdict 1 "broken: the other task was ended"
verdict 0 "held: starts $(starts $ID.0.0.0) and $(starts $ID.0.0.1) (job: $STATE)"
