# Functions of the review's scripts: start the stand-in and the nodes on
# loopback, call them, and end them. Sourced by run.sh of a case, whose folder is
# $CASE. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

ROOT=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
TROUBLE=${TROUBLE:-1}
NODES=3
HOST=pay.example
PREFIX=/tallies/
RECORD=$CASE/record.txt
WORK=$(mktemp -d)
declare -A PIDS=()
REPLY_STATUS=0
REPLY_BODY=

end_all() {
	local name
	for name in "${!PIDS[@]}"; do
		kill -CONT "${PIDS[$name]}" 2>/dev/null
		kill -KILL "${PIDS[$name]}" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap end_all EXIT
trap 'exit 2' INT TERM

# Ends the script if it takes too long; a wait in progress ends first (30 s at most),
# so that it is over within 120 s. It starts no child that could outlive it.
watch_time() {
	mkfifo "$WORK/time"
	(
		exec {fd}<>"$WORK/time"
		read -r -t 85 -u "$fd"
		kill -TERM $$
	) &
	PIDS[watch]=$!
}

note() { printf '%8s client: %s\n' "$(date +%T)" "$*" >>"$RECORD"; }
cannot_run() {
	note "the case cannot run: $*"
	echo "cannot run: $*"
	tail -n 5 "$WORK"/*.log 2>/dev/null
	exit 2
}

is_open() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# Chooses a range of 100 ports in which nothing listens.
choose_ports() {
	local port used
	for ((BASE = 21000 + ($$ % 90) * 100; BASE < 31900; BASE += 100)); do
		used=0
		for ((port = BASE; port < BASE + 100; port++)); do
			is_open "$port" && used=1 && break
		done
		[ $used = 0 ] && return
	done
	cannot_run "no free ports"
}

# call PORT METHOD PATH [BODY] [HOST]: sets REPLY_STATUS (0: no answer) and
# REPLY_BODY
call() {
	local body=${4:-} line length=0 fd
	REPLY_STATUS=0 REPLY_BODY=
	{ exec {fd}<>"/dev/tcp/127.0.0.1/$1"; } 2>/dev/null || return 1
	printf '%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\nContent-Type: application/json\r\nX-Chestnutplank-Deadline-Ms: 3000\r\nContent-Length: %d\r\n\r\n%s' \
		"$2" "$3" "${5:-$HOST}" "${#body}" "$body" >&"$fd" 2>/dev/null
	if read -r -t 5 -u "$fd" line; then
		line=${line#* }
		REPLY_STATUS=${line%% *}
		while read -r -t 5 -u "$fd" line && [ "$line" != $'\r' ]; do
			case ${line,,} in content-length:*) length=${line#*: } && length=${length%$'\r'} ;; esac
		done
		[ "$length" -gt 0 ] && read -r -t 5 -N "$length" -u "$fd" REPLY_BODY
	fi
	exec {fd}>&-
}

node_port() { echo $((BASE + 40 + $1)); }
stage() { call "$BASE" "$@"; }
control() { stage POST /control "$1" && [ "$REPLY_STATUS" = 200 ] || cannot_run "control $1"; }

# submit NODE ID BODY: hands a job in, again at the next node while it is refused
# for now or not answered; returns when it is accepted
submit() {
	local try node=$1
	for ((try = 0; try < 5; try++)); do
		call "$(node_port "$node")" POST "$PREFIX$2" "$3"
		note "POST $PREFIX$2 at node $node: $REPLY_STATUS"
		[ "$REPLY_STATUS" = 200 ] && return 0
		node=$(((node + 1) % NODES))
		sleep 0.5
	done
	return 1
}
# state NODE ID: prints the state as shown by a node, or the status
state() {
	call "$(node_port "$1")" GET "$PREFIX$2"
	if [[ $REPLY_BODY =~ \"state\":\"([a-z]+)\" ]]; then
		echo "${BASH_REMATCH[1]}"
	else
		echo "status-$REPLY_STATUS"
	fi
}
# wait_until SECONDS COMMAND...
wait_until() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.1
	done
}
is_ready() {
	call $((BASE + 60 + $1)) GET /ready
	[ "$REPLY_STATUS" = 200 ]
}
state_is() { [ "$(state "$1" "$2")" = "$3" ]; }
is_recorded() { grep -q "$1" "$RECORD"; }
# figure NAME: a number of the last answer of the stand-in
figure() { sed "s/.*\"$1\":\([0-9]*\).*/\1/" <<<"$REPLY_BODY"; }

# configuration VERSION ROUTES: prints a configuration
configuration() {
	echo "{\"version\":$1,\"routes\":[$2],\"services\":[{\"name\":\"tallies\",\"enforcesCapacity\":true}],\"limits\":{\"maxBodyBytes\":262144}}"
}
ROUTE="{\"name\":\"tally-check\",\"host\":\"$HOST\",\"prefix\":\"$PREFIX\",\"service\":\"tallies\",\"priority\":0,\"attempts\":4,\"stretch\":1.6,\"sloMs\":60000}"

# Starts a node as the deploy file does; the settings are those of its template.
start_node() {
	cat >"$WORK/node$1.json" <<-JSON
		{"name": "front-$1", "data_centre": "suva",
		 "callers": "127.0.0.1:$(node_port "$1")",
		 "readiness": "127.0.0.1:$((BASE + 60 + $1))",
		 "metrics": "127.0.0.1:$((BASE + 80 + $1))",
		 "log_service": "127.0.0.1:$BASE", "host_service": "127.0.0.1:$BASE",
		 "lease_max_ms": 10000, "stop_grace_s": 6, "order_lease_ms": 3000,
		 "job_keep_s": 120, "group_parts": 24, "core_share": 0.25,
		 "core_speed": 1, "link_mbps": 1000.0}
	JSON
	(cd "$ROOT" && CHESTNUTPLANK_BOOT="$WORK/node$1.json" exec target/plank-noded) >>"$WORK/node$1.log" 2>&1 &
	PIDS[node$1]=$!
}

kill_node() {
	kill -KILL "${PIDS[node$1]}"
	wait "${PIDS[node$1]}" 2>/dev/null
	unset "PIDS[node$1]"
}

# start_all WORKERS: starts the stand-in with workers, and the nodes
start_all() {
	local i
	[ -x "$ROOT/target/plank-noded" ] && [ -x "$ROOT/target/review-stage" ] || cannot_run "build the deploy file and review/build.sh first"
	: >"$RECORD"
	watch_time
	choose_ports
	configuration 1 "$ROUTE" >"$WORK/configuration.json"
	"$ROOT/target/review-stage" "$BASE" "$1" "$WORK/configuration.json" "$RECORD" >>"$WORK/stage.log" 2>&1 &
	PIDS[stage]=$!
	wait_until 10 is_open "$BASE" || cannot_run "the stand-in does not start"
	for ((i = 0; i < NODES; i++)); do start_node $i; done
	for ((i = 0; i < NODES; i++)); do wait_until 20 is_ready $i || cannot_run "node $i is not ready"; done
	sleep 2
}
# Copies what the nodes logged about their decisions to the record.
keep_logs() {
	local i
	for ((i = 0; i < NODES; i++)); do
		sed -n "s/^/node $i: /p" "$WORK/node$i.log" | grep -E "$1" | cut -c1-220 | tail -n 40 >>"$RECORD"
	done
	return 0
}
