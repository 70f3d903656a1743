#!/usr/bin/env bash
# A step requires the label b. The only worker of that kind comes up while the partitions
# of keyed.jobs are down, so that its placement cannot be stored yet, and starts again
# under its id as one of kind a before they are back (PROTOCOL.md: "A new incarnation may
# be of a different kind, even at the same address").
. "$(dirname "$0")/../lib-4.sh"

ID=00000000000000b1

begin 4 2 <<-WORKERS
	a r1 8000 16384
	a r1 8000 16384
	b r2 8000 16384
WORKERS
control '{"crash":2}'
sleep 8
submit 0 $ID '{"spec":"work=500 need=b","steps":[{"count":2,"cpu":500,"memMb":64,"requiredLabel":"b","estMs":500}]}'
sleep 2
[ "$TROUBLE" = 0 ] || control '{"jobs_down":true}'
sleep 0.5
control '{"restart":2,"kind":"b"}'
sleep 2.5
if [ "$TROUBLE" != 0 ]; then
	control '{"crash":2}'
	sleep 0.2
	control '{"restart":2,"kind":"a"}'
	sleep 1.3
	control '{"jobs_down":false}'
fi
sleep 6
grep -q 'BROKEN ROUTE' "$RECORD" && verdict 1 "broken: $(grep -m1 'BROKEN ROUTE' "$RECORD" | cut -c9-)"
verdict 0 "held: $(grep -c " START .*task=$ID" "$RECORD") starts at workers with the label"
