#!/usr/bin/env bash
# Callers hand in sixty jobs, twenty of them with a thousand small tasks each, which
# they cancel. Then again, up to nine times.
. "$(dirname "$0")/../lib-4.sh"

MEMORY_MB=260 # memoryMb of each machine
JOBS=20   # cancelled, of
OTHERS=40 # more: a third; up to 0.4 on the site
declare -A ENDS=([0]=0 [1]=0)
declare -A MOST=([0]=0 [1]=0)

# What the platform does: a process that exceeds memoryMb is killed, and restarted
# after a short delay.
enforce_memory() {
	local i kb
	for i in "${!NODE_PID[@]}"; do
		kb=$(awk '/^VmRSS/ { print $2 }' "/proc/${NODE_PID[$i]}/status")
		[ "${kb:-0}" -gt "${MOST[$i]}" ] && MOST[$i]=$kb
		[ "${kb:-0}" -gt $((MEMORY_MB * 1024)) ] || continue
		kill -KILL "${NODE_PID[$i]}"
		wait "${NODE_PID[$i]}" 2>/dev/null
		ENDS[$i]=$((ENDS[$i] + 1))
		say "ENDED node=$i memory_kb=$kb times=${ENDS[$i]}"
		sleep 0.2
		start_node "$i"
	done
}
# watch SECONDS
watch() {
	local end=$(($(now_ms) + $1 * 1000))
	while [ "$(now_ms)" -lt $end ]; do
		enforce_memory
		sleep 0.05
	done
}
fallen() {
	local i n=0
	for i in "${!ENDS[@]}"; do [ "${ENDS[$i]}" -ge 3 ] && n=$((n + 1)); done
	echo $n
}

begin 4 2 <<-WORKERS
	a r1 32000 65536
	a r1 32000 65536
	a r1 32000 65536
	a r1 32000 65536
	a r2 32000 65536
	a r2 32000 65536
	a r2 32000 65536
	a r2 32000 65536
WORKERS
# all COMMAND ARGUMENTS: calls the command with 1 to N, all at the same time
all() {
	local j n=$1 calls=()
	shift
	for ((j = 1; j <= n; j++)); do
		"$@" $j &
		calls+=($!)
	done
	wait "${calls[@]}"
}
id_of() { printf '%08x%08x' $round "$1"; }
hand_in() {
	call $(($1 % 2)) POST "$(id_of "$1")" \
		'{"spec":"work=30000","steps":[{"count":1000,"cpu":10,"memMb":8,"estMs":30000}]}'
}
# Jobs of other callers, which stay.
hand_in_other() {
	call $(($1 % 2)) POST "$(id_of $((1000 + $1)))" \
		'{"spec":"work=200","steps":[{"count":1,"cpu":1000,"memMb":64,"estMs":200}]}'
}
cancel() { call $(($1 % 2)) DELETE "$(id_of "$1")"; }

for ((round = 1; round <= 9; round++)); do
	[ "$(fallen)" -lt 2 ] || break
	[ "$(now_ms)" -lt $((START + 100000)) ] || break
	for i in 0 1; do wait_for 10 node_ready $i; done
	all $OTHERS hand_in_other
	all $JOBS hand_in
	watch 3
	say "STARTED $(grep -c ' START ' "$RECORD") tasks so far"
	[ "$TROUBLE" = 0 ] && { watch 10; break; }
	all $JOBS cancel
	watch 4
done
for i in "${!MOST[@]}"; do say "MEMORY node=$i ${MOST[$i]} kB at most"; done
[ "$(fallen)" -lt 2 ] || verdict 1 "broken: processes of $(fallen) of 2 machines have ended three times, for their memory"
verdict 0 "held: ends of processes: ${ENDS[*]}"
