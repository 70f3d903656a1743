#!/usr/bin/env bash
# A gang of two makes checkpoints. The rack that it runs on dies (srv_crash rack) at a time
# when the last checkpoints that its members have reported differ. All members of its next
# run must carry the same value (PROTOCOL.md, Running tasks).
. "$(dirname "$0")/../lib-4.sh"

ID=00000000000000c1

begin 4 2 <<-WORKERS
	a r1 8000 16384
	a r1 8000 16384
	a r2 8000 16384
	a r2 8000 16384
WORKERS
submit 0 $ID '{"spec":"gang=2 save work=60000","steps":[{"count":2,"cpu":5000,"memMb":64,"estMs":60000,"gang":true,"tightlyCoupled":true,"checkpointing":true}]}'
for i in 0 1; do wait_for 10 has_started $ID.0.0.$i 1 || cannot "member $i has not started"; done
RACK=r1
grep -q " START worker=i-[23] .*task=$ID" "$RECORD" && RACK=r2
sleep 4
[ "$TROUBLE" = 0 ] || control '{"rack":"'$RACK'","tasks":["'$ID'.0.0.0","'$ID'.0.0.1"]}'
# Small jobs, whose ends bring reports of single workers.
for ((j = 0; j < 60; j++)); do
	grep -q ' CRASH ' "$RECORD" && break
	[ $((j % 2)) = 1 ] || submit 1 "$(printf 'd%015x' $j)" '{"spec":"work=200","steps":[{"count":1,"cpu":500,"memMb":64,"estMs":200}]}'
	sleep 0.25
done
[ "$TROUBLE" = 0 ] || grep -q ' CRASH ' "$RECORD" || cannot "the reports did not differ"
sleep 22
# For each run of the gang: the values that its starts carried.
sed -n "s/.* START .*task=$ID\.0\.0\.[0-9]* run=\([0-9]*\) checkpoint=\(.*\)/\1 \2/p" "$RECORD" | sort -u >"$WORK/carried"
say "carried: $(paste -sd, "$WORK/carried")"
[ "$TROUBLE" = 0 ] || grep -q '^[2-9]' "$WORK/carried" || cannot "the gang has not been started again"
mixed=$(cut -d ' ' -f 1 "$WORK/carried" | uniq -d)
[ -z "$mixed" ] || verdict 1 "broken: members of run $mixed were started with different checkpoints: $(paste -sd, "$WORK/carried")"
verdict 0 "held: $(paste -sd, "$WORK/carried")"
