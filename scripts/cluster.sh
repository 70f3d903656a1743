# Functions that start the programs and stand-ins as plain processes on
# loopback, for the demo and the process tests. Sourced, not run.
#
# PLANK_BUILD      directory of the programs (default: build)
# PLANK_BASE_PORT  first of the 600 ports to use (default: first free range)

BUILD=${PLANK_BUILD:-build}

# Chooses a range of ports that no other run has locked and no process listens
# on. The lock ends with this shell, because start closes the lock's descriptor
# for the programs.
PORTS_PER_RUN=600
# in_use BASE: whether a process listens on a port of the range
in_use() {
	awk -v first="$1" -v last=$(($1 + PORTS_PER_RUN - 1)) '
		$4 == "0A" {
			port = 0
			hex = substr($2, index($2, ":") + 1)
			for (i = 1; i <= 4; i++)
				port = port * 16 + index("0123456789ABCDEF", substr(hex, i, 1)) - 1
			if (port >= first && port <= last) found = 1
		}
		END { exit !found }' /proc/net/tcp
}
choose_ports() {
	local base
	for ((base = 10200; base + PORTS_PER_RUN <= 32000; base += PORTS_PER_RUN)); do
		exec {PORTS_LOCK}>"${TMPDIR:-/tmp}/plank-ports-$base.lock"
		if flock -n "$PORTS_LOCK" && ! in_use $base; then
			BASE=$base
			return
		fi
		exec {PORTS_LOCK}>&-
	done
	echo "no free range of ports" >&2
	exit 1
}
BASE=${PLANK_BASE_PORT:-}
if [ -n "$BASE" ]; then
	exec {PORTS_LOCK}</dev/null
else
	choose_ports
fi

DATA_CENTRES=(suva lautoka levuka)
POOLS=(payouts settlements advances tallies member-records)
TOKEN=demo-operator-token
WORK=$(mktemp -d)
declare -A PIDS=()

platform_url() { echo "http://127.0.0.1:$BASE"; }
entry_url() { echo "http://127.0.0.1:$((BASE + 100 + $1))"; }
fleet_url() { echo "http://127.0.0.1:$((BASE + 200 + $1))"; }
worker_url() { echo "http://127.0.0.1:$((BASE + 400 + $1))"; }
data_centre() { echo "${DATA_CENTRES[$(($1 % 3))]}"; }
pool_of() { echo "${POOLS[$((($1 / 3) % 5))]}"; }

# start NAME PROGRAM ARGUMENT...: starts a process; its output is appended to
# $WORK/NAME.log
start() {
	local name=$1
	shift
	"$@" >>"$WORK/$name.log" 2>&1 {PORTS_LOCK}>&- &
	PIDS[$name]=$!
}

# stop NAME [SIGNAL]: signals a started process and returns its exit status
stop() {
	local pid=${PIDS[$1]:-}
	[ -n "$pid" ] || return 0
	kill "-${2:-TERM}" "$pid" 2>/dev/null
	wait "$pid" 2>/dev/null
	local status=$?
	unset "PIDS[$1]"
	return $status
}

stop_all_processes() {
	local name
	for name in "${!PIDS[@]}"; do
		kill -CONT "${PIDS[$name]}" 2>/dev/null
		kill -KILL "${PIDS[$name]}" 2>/dev/null
	done
	wait 2>/dev/null
	PIDS=()
}

stop_all() {
	stop_all_processes
	rm -rf "$WORK"
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds; fails
# after the timeout
wait_until() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		[ $SECONDS -lt $end ] || return 1
		sleep 0.05
	done
}

# ctl ARGUMENT...: runs plankctl on fleet daemon $FLEET (default: 0)
ctl() { "$BUILD/plankctl" --url "$(fleet_url "${FLEET:-0}")" --token $TOKEN "$@"; }
platform() { curl -sf -o "$WORK/control" -d "$1" "$(platform_url)/control"; }
is_ready() { curl -sf "$1/readyz"; }
metric() { curl -s "$1/metrics" | awk -v name="plank_$2" '$1 == name {print $2}'; }

# host_list ENTRIES WORKERS [LEAVING]: prints the platform's host list as JSON;
# LEAVING holds the numbers of leaving workers, separated by spaces
host_list() {
	local i state list=""
	for ((i = 0; i < $2; i++)); do
		state=live
		[[ " ${3:-} " == *" $i "* ]] && state=leaving
		list+="{\"name\":\"w$i\",\"kind\":\"worker\",\"state\":\"$state\","
		list+="\"address\":\"127.0.0.1\",\"port\":$((BASE + 400 + i)),"
		list+="\"data_centre\":\"$(data_centre "$i")\","
		list+="\"rack\":\"$(data_centre "$i")-r$((i / 12))\","
		list+="\"cpu_milli\":32000,\"mem_mib\":65536,\"accelerators\":0,"
		list+="\"slots\":8,\"connections\":64},"
	done
	echo "{\"hosts\":[${list%,}]}"
}

# team_settings WORKERS MIN_AVAILABLE: prints the settings of a team as JSON
team_settings() {
	local i pool out="" hosts
	for pool in "${POOLS[@]}"; do
		hosts=""
		for ((i = 0; i < $1; i++)); do
			[ "$(pool_of "$i")" = "$pool" ] && hosts+="\"w$i\","
		done
		[ -n "$hosts" ] || continue
		out+="\"$pool\":{\"hosts\":[${hosts%,}],\"min_available\":$2},"
	done
	echo "{\"pools\":{${out%,}}}"
}

# write_settings ENTRIES: writes the settings files of the daemons; TIMING and
# ENTRY_SETTINGS hold further members of the files, each followed by a comma
write_settings() {
	local i k peers fleet timing
	timing=${TIMING:-}
	for ((i = 0; i < $1; i++)); do
		peers="" fleet=""
		for ((k = 0; k < $1; k++)); do
			local peer="{\"address\":\"127.0.0.1\",\"port\":$((BASE + 300 + k)),\"data_centre\":\"$(data_centre $k)\"},"
			[ "$k" = "$i" ] || peers+=$peer
			[ "$(data_centre "$k")" = "$(data_centre "$i")" ] && [ "$k" != "$i" ] && fleet+=$peer
		done
		fleet="{\"address\":\"127.0.0.1\",\"port\":$((BASE + 300 + i)),\"data_centre\":\"$(data_centre "$i")\"},$fleet"
		cat >"$WORK/fleet$i.json" <<-JSON
			{
				// Fleet daemon of entry host $i.
				"name": "e$i", "data_centre": "$(data_centre "$i")",
				"address": "127.0.0.1",
				"http_port": $((BASE + 200 + i)), "rpc_port": $((BASE + 300 + i)),
				"platform_url": "$(platform_url)",
				"peers": [${peers%,}], $timing
				"operators": [
					{"name": "sele", "team": "*", "token": "$TOKEN"},
					{"name": "wanjiru", "team": "shelter-ads", "token": "other-team-token"}
				]
			}
		JSON
		cat >"$WORK/entry$i.json" <<-JSON
			{
				// Entry daemon of entry host $i.
				"name": "e$i", "data_centre": "$(data_centre "$i")",
				"address": "127.0.0.1", "http_port": $((BASE + 100 + i)),
				"platform_url": "$(platform_url)", ${ENTRY_SETTINGS:-}
				"fleet": [${fleet%,}]
			}
		JSON
	done
}

start_platform() {
	start platform "$BUILD/platformd" "$BASE"
	wait_until 10 platform '{}'
}
start_worker() { start "worker$1" "$BUILD/workerd" "w$1" $((BASE + 400 + $1)); }
start_fleet() { start "fleet$1" "$BUILD/plank-fleetd" --settings "$WORK/fleet$1.json"; }
start_entry() { start "entry$1" "$BUILD/plank-entryd" --settings "$WORK/entry$1.json"; }

# start_cluster ENTRIES WORKERS: starts all processes and waits until the
# daemons are ready
start_cluster() {
	local i
	ENTRIES=$1 WORKERS=$2
	write_settings "$1"
	start_platform || return 1
	platform "$(host_list "$1" "$2")" || return 1
	for ((i = 0; i < $2; i++)); do start_worker "$i"; done
	for ((i = 0; i < $1; i++)); do start_fleet "$i"; start_entry "$i"; done
	for ((i = 0; i < $1; i++)); do
		wait_until 30 is_ready "$(fleet_url "$i")" || return 1
		wait_until 30 is_ready "$(entry_url "$i")" || return 1
	done
}
