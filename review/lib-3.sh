# Functions of the scripts in review/ that use the stand-ins of standin-3.
# Sourced, not run. Ports, process table and job calls are those of the
# project's own test scripts; nodes are started as the deploy file says, with
# settings of its template for a small deployment.
#
# TROUBLE=0 leaves the disruption out.

REVIEW_CASE=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$REVIEW_CASE/../.." || exit 2
TROUBLE=${TROUBLE:-1}
RECORD=$REVIEW_CASE/record.txt
STANDINS=target/review-3
for program in target/plank-noded $STANDINS/standin $STANDINS/saver; do
	[ -x "$program" ] || { echo "$program is not built" >&2; exit 2; }
done
. scripts/cluster.sh
. scripts/nodes.sh
trap stop_all EXIT
trap 'exit 2' INT TERM
: >"$RECORD"
BEGAN=$(date +%s%N)

# note TEXT...: writes a line with the seconds since the start to record.txt
note() {
	local ms=$((($(date +%s%N) - BEGAN) / 1000000))
	printf '%d.%03d %s\n' $((ms / 1000)) $((ms % 1000)) "$*" | tee -a "$RECORD"
}
# give_up TEXT: the case could not run
give_up() {
	note "could not run: $*"
	exit 2
}

# start_review_node NUMBER: as deploy/system.toml starts it; the settings are
# those of deploy/node.json, filled in with the values of a small deployment
start_review_node() {
	cat >"$WORK/node$1.json" <<-JSON
		{"name": "front-$1", "data_centre": "$(data_centre "$1")",
		"callers": "127.0.0.1:$((BASE + 100 + $1))",
		"readiness": "127.0.0.1:$((BASE + 200 + $1))",
		"metrics": "127.0.0.1:$((BASE + 300 + $1))",
		"log_service": "127.0.0.1:$BASE", "host_service": "127.0.0.1:$BASE",
		"lease_max_ms": 10000, "stop_grace_s": 6, "order_lease_ms": 3000,
		"job_keep_s": 120, "memory_mb": 260, "max_fds": 4100,
		"group_parts": 24, "log_record_bytes": 262144, "core_share": 0.25,
		"core_speed": 1, "link_mbps": 1000.0, "reserve_room": true}
	JSON
	CHESTNUTPLANK_BOOT=$WORK/node$1.json start "node$1" target/plank-noded
}

# start_deployment PROGRAM WORKERS: a stand-in for the platform, and three nodes
start_deployment() {
	local i
	write_configuration
	start standin "$STANDINS/$1" "$BASE" "$2" "$WORK/configuration.json"
	wait_until 10 curl -sf "$(platform_url)/machines" ||
		give_up "the stand-in does not start"
	for i in 0 1 2; do start_review_node $i; done
	for i in 0 1 2; do
		wait_until 20 node_is_ready $i || give_up "node $i is not ready"
	done
	wait_until 10 grep -q "tenure-taken of=pool-tallies" \
		"$WORK"/node0.log "$WORK"/node1.log "$WORK"/node2.log ||
		give_up "no node owns the pool"
	note "three nodes are ready, $2 workers"
}

# Jobs are judged FINISH_S after the last one has been handed in.
FINISH_S=14

# send NODE METHOD ID [BODY]: a job call, recorded; its status is in STATUS
send() {
	STATUS=$(job_call "$@")
	note "node $1: $2 $3 ${4:+$(echo "$4" | cut -c1-300) }-> $STATUS $(cat "$WORK/answer" 2>/dev/null)"
}
# ask ID: asks the nodes in turn for a job's state until one answers; STATE
ask() {
	local i
	STATE=none
	for i in 0 1 2; do
		rm -f "$WORK/answer"
		STATUS=$(job_call $i GET "$1")
		echo "    node $i: GET $1 -> $STATUS $(cat "$WORK/answer" 2>/dev/null)" >>"$RECORD"
		[ "$STATUS" = 200 ] || continue
		STATE=$(sed 's/.*"state":"\([a-z]*\)".*/\1/' "$WORK/answer")
		return
	done
}
# runs: what the workers have begun and ended, into record.txt
record_runs() {
	grep -h "run-begun\|run-ended" "$WORK/standin.log" |
		sed 's/^\([^ ]*\) [a-z]* [a-z]*: /worker: \1 /' >>"$RECORD"
}
# running TASK-PREFIX: number of runs of such tasks that have begun and not ended
running() {
	awk -v task="task=$1" '
		index($0, "run-begun") && index($0, task) { open++ }
		index($0, "run-ended") && index($0, task) { open-- }
		END { print open + 0 }' "$WORK/standin.log"
}
