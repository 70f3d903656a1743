#!/usr/bin/env bash
# Callers hand in schedules: jobs that are repeated each minute for six days.
set -u
. "$(dirname "$0")/../lib-3.sh"

MEMORY_MB=260
SCHEDULES=100
TIMES=8640
[ "$TROUBLE" = 0 ] && TIMES=10
ORDINARY=00000000000000a1
start_deployment standin 4
declare -A killed=([0]=0 [1]=0 [2]=0) due=()
# The platform kills a process that exceeds its memory, and starts it again.
platform_tick() {
	local i pid kib
	for i in 0 1 2; do
		pid=${PIDS[node$i]:-}
		if [ -z "$pid" ]; then
			[ $SECONDS -ge "${due[$i]}" ] && start_review_node $i
			continue
		fi
		kib=$(awk '/^VmRSS/ { print $2 }' /proc/$pid/status 2>/dev/null)
		[ "${kib:-0}" -gt $((MEMORY_MB * 1000000 / 1024)) ] || continue
		stop node$i KILL
		killed[$i]=$((killed[$i] + 1))
		due[$i]=$((SECONDS + 1))
		note "node $i has $((kib / 1024)) MiB of memory, more than $MEMORY_MB MB: killed by the platform, time ${killed[$i]}"
	done
}
steps=""
for ((i = 0; i < 24; i++)); do
	steps+="{\"count\":1,\"cpu\":1000,\"memMb\":500,\"estMs\":600$([ $i = 0 ] || echo ",\"dependsOn\":[$((i - 1))]")},"
done
send 0 POST $ORDINARY "{\"spec\":\"for=600\",\"steps\":[${steps%,}]}"
[ "$STATUS" = 200 ] || give_up "the ordinary job is not accepted"
from=$((($(date +%s) + 3600) * 1000))
accepted=0
for ((i = 0; i < SCHEDULES; i++)); do
	status=$(job_call $((i % 3)) POST "$(printf '%016x' $((0x5c000000 + i)))" \
		"{\"spec\":\"t\",\"steps\":[{\"count\":2,\"cpu\":1000,\"memMb\":100,\"estMs\":600}],\"repeatCount\":$TIMES,\"startAtMs\":$from,\"intervalMs\":60000}")
	echo "    node $((i % 3)): POST schedule $i -> $status" >>"$RECORD"
	[ "$status" = 200 ] && accepted=$((accepted + 1))
	platform_tick
done
note "$accepted of $SCHEDULES schedules are accepted, each of 2 tasks $TIMES times, the first in an hour"
end=$((SECONDS + 35))
at_work=$SECONDS # when a run of the ordinary job was last at work
while [ $SECONDS -lt $end ]; do
	platform_tick
	[ "$(running $ORDINARY)" = 0 ] || at_work=$SECONDS
	sleep 0.2
	if [ $((SECONDS % 5)) = 0 ] && [ "${said:-}" != $SECONDS ]; then
		said=$SECONDS
		ask $ORDINARY
		note "ordinary job: $STATE, steps ended: $(grep -c "run-ended task=$ORDINARY.*how=0\$" "$WORK/standin.log")"
		[ "$STATE" = done ] && [ $((killed[0] + killed[1] + killed[2])) = 0 ] && break
	fi
done
idle=$((SECONDS - at_work))
ask $ORDINARY
record_runs
note "ordinary job: $STATE; nodes were killed ${killed[0]}, ${killed[1]} and ${killed[2]} times"
thrice=0
for i in 0 1 2; do [ "${killed[$i]}" -ge 3 ] && thrice=$((thrice + 1)); done
broken=0
if [ $thrice -ge 2 ]; then
	note "BROKEN Fault: $thrice of 3 nodes exceeded their memory three times or more"
	broken=1
fi
# This is later than FINISH_S after the last submission. The seconds are whole ones: 5
# of them are more than 4 s.
if [ "$STATE" != done ] && [ $idle -ge 5 ]; then
	note "BROKEN LOST: the ordinary job is $STATE, with nothing at work for ${idle} s on idle workers"
	broken=1
fi
[ $broken = 1 ] || note "held"
exit $broken
