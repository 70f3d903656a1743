# Functions for the scripts of case 9: they start nodes as the deploy file
# says, and the stand-in of the platform, on loopback. Sourced from run.sh of a case.
#
# TROUBLE=0 leaves the disruption out. A script exits with 0 if the rule held, 1 if it
# was broken, 2 if the case could not run.

set -u
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
NODED=$ROOT/target/plank-noded
PLAT=$ROOT/target/review-4/plat
RECORD=$CASE/record.txt
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
NAME=pay.example
PREFIX=/tallies/
PIDS=()

cleanup() {
	local pid
	for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	wait 2>/dev/null
	rm -rf "$WORK"
}
trap cleanup EXIT

cannot() {
	echo "cannot run: $1" | tee -a "$RECORD"
	exit 2
}

# A base of 100 ports on which nothing listens.
choose_ports() {
	local try port used
	used=$(awk 'NR > 1 && $4 == "0A" { print substr($2, index($2, ":") + 1) }' /proc/net/tcp)
	for ((try = 0; try < 200; try++)); do
		BASE=$((20000 + RANDOM % 100 * 100))
		for ((port = BASE; port < BASE + 100; port++)); do
			case $used in *$(printf '%04X' $port)*) continue 2 ;; esac
		done
		return
	done
	cannot "no free ports"
}

now_ms() { date +%s%3N; }
# say TEXT: a line of the record, with the time since the start in ms
say() { printf '%7d %s\n' $(($(now_ms) - START)) "$*" >>"$RECORD"; }

# wait_for SECONDS COMMAND...
wait_for() {
	local end=$(($(now_ms) + $1 * 1000))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$(now_ms)" -lt "$end" ] || return 1
		sleep 0.03
	done
}

# start_platform ATTEMPTS, with the workers on standard input
start_platform() {
	cat >"$WORK/workers"
	cat >"$WORK/config.json" <<-JSON
		{"version":3,"routes":[{"name":"tallies-queue","host":"$NAME","prefix":"$PREFIX","service":"tallies","priority":0,"attempts":$1,"stretch":2.2,"sloMs":60000}],
		"services":[{"name":"tallies","enforcesCapacity":true}],"limits":{"maxBodyBytes":262144}}
	JSON
	"$PLAT" $BASE "$WORK/config.json" "$WORK/workers" "$RECORD" >"$WORK/plat.log" 2>&1 &
	PIDS+=($!)
	wait_for 10 curl -sf -m 2 "http://127.0.0.1:$BASE/machines" || cannot "the platform's stand-in did not start"
}

# start_node NUMBER: settings as deploy/node.json makes them on sites/vfcsa-plank.toml
declare -A NODE_PID=()
start_node() {
	cat >"$WORK/node$1.json" <<-JSON
		{"name":"front-suva-$1","data_centre":"suva","callers":"127.0.0.1:$((BASE + 40 + $1))",
		"readiness":"127.0.0.1:$((BASE + 50 + $1))","metrics":"127.0.0.1:$((BASE + 60 + $1))",
		"log_service":"127.0.0.1:$BASE","host_service":"127.0.0.1:$BASE","lease_max_ms":10000,
		"stop_grace_s":6,"order_lease_ms":3000,"job_keep_s":120,"memory_mb":260,"max_fds":4100,
		"group_parts":24,"log_record_bytes":262144,"core_share":0.25,"core_speed":1,
		"link_mbps":1000,"reserve_room":true}
	JSON
	cd "$ROOT" || cannot "no $ROOT"
	CHESTNUTPLANK_BOOT="$WORK/node$1.json" "$NODED" >>"$WORK/node$1.log" 2>&1 &
	PIDS+=($!)
	NODE_PID[$1]=$!
}

node_ready() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((BASE + 50 + $1))/ready")" = 200 ]; }

# begin ATTEMPTS NODES, with the workers on standard input
begin() {
	[ -x "$NODED" ] || cannot "the deploy file is not built"
	[ -x "$PLAT" ] || bash "$ROOT/review/build-4.sh" >/dev/null 2>&1 || cannot "the stand-in cannot be built"
	command -v curl >/dev/null || cannot "no curl"
	choose_ports
	START=$(now_ms)
	: >"$RECORD"
	start_platform "$1"
	local i
	for ((i = 0; i < $2; i++)); do start_node $i; done
	for ((i = 0; i < $2; i++)); do wait_for 20 node_ready $i || cannot "node $i is not ready"; done
	sleep 3.5 # stableWindowMs
}

control() {
	curl -sf -m 3 -o /dev/null -d "$1" "http://127.0.0.1:$BASE/control" || cannot "control $1"
}

# call NODE METHOD ID [BODY]: sets STATUS and ANSWER
call() {
	ANSWER=$(curl -s -m 5 -w '\n%{http_code}' -X "$2" -H "Host: $NAME" -H 'X-Chestnutplank-Deadline-Ms: 3000' \
		${4:+-H 'Content-Type: application/json' -d "$4"} "http://127.0.0.1:$((BASE + 40 + $1))$PREFIX$3")
	STATUS=${ANSWER##*$'\n'}
	ANSWER=${ANSWER%$'\n'*}
	say "CALL node=$1 $2 $3 -> $STATUS $ANSWER"
}

# submit NODE ID BODY
submit() {
	local i
	for ((i = 0; i < 10; i++)); do
		call "$1" POST "$2" "$3"
		[ "$STATUS" = 200 ] && return
		sleep 0.5
	done
	cannot "job $2 was not accepted"
}

state_of() {
	call 0 GET "$1"
	STATE=$(sed -n 's/.*"state" *: *"\([a-z]*\)".*/\1/p' <<<"$ANSWER")
}

# runs TASK: how often the task was started so far
starts() { grep -c " START .* task=$1 " "$RECORD"; }
has_started() { [ "$(starts "$1")" -ge "$2" ]; }

verdict() {
	say "$2"
	echo "$2"
	exit "$1"
}
