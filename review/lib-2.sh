# Functions of the script of case 6. Sourced, after DIR is set to the case's
# folder. TROUBLE=0 leaves the disruption out.
#
# Exit status of a script: 1 the rule was broken, 0 it held, 2 it could not run.

TROUBLE=${TROUBLE:-1}
ROOT=$(cd "$DIR/../.." && pwd)
FLEET=$ROOT/target/review-2/fleet
NODED=$ROOT/target/plank-noded
RECORD=$DIR/record.txt
HOST=pule25.example
PREFIX=/puxa400/
WORK=$(mktemp -d)
PIDS=()

end_all() {
	local pid
	for pid in "${PIDS[@]}"; do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap end_all EXIT

cannot_run() {
	echo "could not run: $1" | tee -a "$RECORD"
	exit 2
}

[ -x "$FLEET" ] || cannot_run "review/build-2.sh has not been run"
[ -x "$NODED" ] || cannot_run "the deploy file has not been built"

# A range of 100 ports on which no process listens.
free_ports() {
	local base
	for ((base = 21000 + RANDOM % 80 * 100; base < 32000; base += 100)); do
		awk -v first=$base '
			$4 == "0A" {
				port = 0
				hex = substr($2, index($2, ":") + 1)
				for (i = 1; i <= 4; i++)
					port = port * 16 + index("0123456789ABCDEF", substr(hex, i, 1)) - 1
				if (port >= first && port < first + 100) found = 1
			}
			END { exit found }' /proc/net/tcp && echo $base && return
	done
}
BASE=$(free_ports)
[ -n "$BASE" ] || cannot_run "no free ports"

# wait_until SECONDS COMMAND...; a script ends before 120 s in any case
wait_until() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt 85 ] || cannot_run "it takes too long"
		[ $SECONDS -lt $end ] || return 1
		sleep 0.05
	done
}

note() { echo "        # $*" >>"$RECORD"; }

# control JSON: see standin-2/fleet.c
control() { curl -sf -m 5 -o /dev/null -d "$1" "http://127.0.0.1:$BASE/control" || cannot_run "the stand-in does not answer"; }

# configuration VERSION ROUTES: ROUTES has an entry NAME:SERVICE:ATTEMPTS or none
configuration() {
	local name service attempts routes=""
	if [ -n "$2" ]; then
		IFS=: read -r name service attempts <<<"$2"
		routes='{"name":"'$name'","host":"'$HOST'","prefix":"'$PREFIX'","service":"'$service'","attempts":'$attempts',"stretch":2.0,"sloMs":60000}'
	fi
	echo '{"version":'$1',"routes":['$routes'],"services":[{"name":"tamo","enforcesCapacity":true},{"name":"lovo","enforcesCapacity":true}],"limits":{"maxBodyBytes":262144}}'
}

# configure VERSION ROUTES: the operator writes the configuration
configure() {
	note "configuration $1: ${2:-no route}"
	control "{\"put\":\"$(configuration "$1" "$2" | sed 's/"/\\"/g')\"}"
}

# start_fleet ATTEMPTS WORKER...: each worker is SERVICE:KIND:RACK
start_fleet() {
	local attempts=$1
	shift
	: >"$RECORD"
	configuration 3 "puxa:tamo:$attempts" >"$WORK/config.json"
	"$FLEET" "$BASE" "$RECORD" "$WORK/config.json" "$@" >"$WORK/fleet.log" 2>&1 &
	PIDS+=($!)
	wait_until 10 curl -sf "http://127.0.0.1:$BASE/machines" || cannot_run "the stand-in does not start"
}

# The settings file of a node, as deploy/node.json gives it for a small deployment.
write_settings() {
	cat >"$WORK/node$1.json" <<-JSON
		{
			"name": "front-z-$1",
			"data_centre": "z",
			"callers": "127.0.0.1:$((BASE + 50 + $1))",
			"readiness": "127.0.0.1:$((BASE + 60 + $1))",
			"metrics": "127.0.0.1:$((BASE + 70 + $1))",
			"log_service": "127.0.0.1:$((BASE + 40 + $1))",
			"host_service": "127.0.0.1:$((BASE + 40 + $1))",
			"lease_max_ms": 10000,
			"stop_grace_s": 6,
			"order_lease_ms": 3000,
			"job_keep_s": 120,
			"memory_mb": 260,
			"max_fds": 4100,
			"group_parts": 24,
			"log_record_bytes": 262144,
			"core_share": 0.25,
			"core_speed": 1,
			"link_mbps": 1000.0,
			"reserve_room": true
		}
	JSON
}

start_node() {
	write_settings "$1"
	CHESTNUTPLANK_BOOT="$WORK/node$1.json" "$NODED" >>"$WORK/node$1.log" 2>&1 &
	PIDS+=($!)
	NODE_PID[$1]=$!
}
declare -A NODE_PID=()

node_is_ready() { curl -sf -m 1 "http://127.0.0.1:$((BASE + 60 + $1))/ready"; }

# start_nodes COUNT
start_nodes() {
	local i
	for ((i = 0; i < $1; i++)); do start_node $i; done
	for ((i = 0; i < $1; i++)); do
		wait_until 20 node_is_ready $i || cannot_run "node $i is not ready"
	done
	# An owner starts tasks once it has asked the workers.
	sleep 2
}

# restart_node NUMBER: SIGTERM, and a start after its end
restart_node() {
	local i
	kill -TERM "${NODE_PID[$1]}"
	# The platform kills it after graceS.
	for ((i = 0; i < 120; i++)); do
		kill -0 "${NODE_PID[$1]}" 2>/dev/null || break
		sleep 0.05
	done
	kill -KILL "${NODE_PID[$1]}" 2>/dev/null
	wait "${NODE_PID[$1]}" 2>/dev/null
	note "node $1 has been stopped, and starts again"
	start_node "$1"
	wait_until 20 node_is_ready "$1" || cannot_run "node $1 is not ready again"
}

# call NODE METHOD ID [BODY]: sets STATUS and ANSWER; the client waits for 5 s at most
call() {
	STATUS=$(curl -s -m 5 -o "$WORK/answer" -w '%{http_code}' -X "$2" \
		-H "Host: $HOST" -H 'X-Chestnutplank-Deadline-Ms: 3000' \
		-H 'Content-Type: application/json' ${4:+-d "$4"} \
		"http://127.0.0.1:$((BASE + 50 + $1))$PREFIX$3")
	ANSWER=$(cat "$WORK/answer" 2>/dev/null)
	note "$2 $PREFIX$3 at node $1 ${4:-} -> $STATUS $ANSWER"
}

# submit NODE ID BODY
submit() {
	call "$1" POST "$2" "$3"
	[ "$STATUS" = 200 ] || cannot_run "job $2 got $STATUS"
}

# await_done NODE ID...: waits until the jobs are done, 30 s at most
await_done() {
	local node=$1 end=$((SECONDS + 30)) id
	shift
	for id in "$@"; do
		until [ "$(state "$node" "$id")" = done ]; do
			[ $SECONDS -lt $end ] || return
			sleep 0.5
		done
	done
}

# state NODE ID: prints it
state() {
	call "$1" GET "$2"
	sed -n 's/.*"state":"\([a-z]*\)".*/\1/p' <<<"$ANSWER"
}

broken() {
	echo "broken: $1" | tee -a "$RECORD"
	exit 1
}
held() {
	echo "held: $1" | tee -a "$RECORD"
	exit 0
}

# no_double_runs ID: whether two runs of a task of the job went on at a time, at workers
# that were up
no_double_runs() {
	awk -v id="$1" '
		$2 == "begin" && index($3, id) == 1 {
			if (($3 in at) && at[$3] != $7)
				print $3 ": run " $5 " at " $7 " from " $1 " ms on, while run " run[$3] " goes on at " at[$3] " since " since[$3] " ms"
			at[$3] = $7; run[$3] = $5; since[$3] = $1
		}
		($2 == "end" || $2 == "gone") && index($3, id) == 1 && at[$3] == $7 { delete at[$3] }
	' "$RECORD" >"$WORK/twice"
	[ -s "$WORK/twice" ] && broken "$(paste -sd ';' "$WORK/twice")"
	held "no task ran twice at a time"
}
