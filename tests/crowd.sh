# Functions of the crowd tests. Sourced after cluster.sh.
#
# Checked is only what does not depend on the machine's speed: the process
# lives, its memory and descriptors stay under a bound, and an ordinary request
# is answered after the crowd.
#
# CROWD_SETTINGS   settings of the daemon, each followed by a comma; empty: none,
#                  as for a program that does not know them

CROWD_MEMORY_MB=64
CROWD_MAX_FDS=400
CROWD_CLIENTS=600
CROWD_BODY_BYTES=65000 # legal: the limit is 65,536
CROWD_SECONDS=4
CROWD_PATTERNS="short pieces chunks tiny over flood mute pipeline return"

# The address sanitizer adds shadow memory, red zones and a quarantine of freed
# blocks, which is lowered here: twice the bound and 96 MB.
CROWD_BOUND_MB=$CROWD_MEMORY_MB
if ldd "$BUILD/plank-noded" | grep -q libasan; then
	CROWD_BOUND_MB=$((2 * CROWD_MEMORY_MB + 96))
	export ASAN_OPTIONS="${ASAN_OPTIONS:+$ASAN_OPTIONS:}quarantine_size_mb=4"
fi

FAILED=0
# A failure whose exact text is listed in KNOWN-RED.txt is printed but does not
# fail the test.
fail() {
	if grep -qxF "  text: $1" KNOWN-RED.txt; then
		echo "KNOWN RED: $1"
	else
		echo "FAILED: $1"
		FAILED=1
	fi
}

# peak_mb PID, open_fds PID
peak_mb() { awk '$1 == "VmHWM:" { print int(($2 + 1023) / 1024) }' "/proc/$1/status"; }
rss_mb() { awk '$1 == "VmRSS:" { print int(($2 + 1023) / 1024) }' "/proc/$1/status"; }
open_fds() { find "/proc/$1/fd" -mindepth 1 2>/dev/null | wc -l; }

# crowd NAME PID PORT HOST PATH ORDINARY: sends a crowd of each pattern; ORDINARY
# is a command that succeeds if an ordinary request is answered
crowd() {
	local name=$1 pid=$2 port=$3 host=$4 path=$5 ordinary=$6 pattern most fds client
	for pattern in ${CROWD_ONLY:-$CROWD_PATTERNS}; do
		echo 5 >"/proc/$pid/clear_refs" # VmHWM begins anew
		"$BUILD/crowd" "$port" "$host" "$path" "$pattern" \
			$CROWD_CLIENTS $CROWD_BODY_BYTES $CROWD_SECONDS >"$WORK/crowd" &
		client=$!
		most=0
		while kill -0 $client 2>/dev/null; do
			fds=$(open_fds "$pid")
			[ "$fds" -le $most ] || most=$fds
			sleep 0.2
		done
		wait $client || fail "$name, $pattern: the clients failed"
		if ! kill -0 "$pid" 2>/dev/null; then
			fail "$name, $pattern: the process has ended"
			return
		fi
		wait_until 60 "$ordinary" ||
			fail "$name, $pattern: an ordinary request is not answered afterwards"
		echo "$name $(cat "$WORK/crowd") peak_mb=$(peak_mb "$pid") of $CROWD_BOUND_MB rss_mb=$(rss_mb "$pid") fds=$most of $CROWD_MAX_FDS"
		[ "$(peak_mb "$pid")" -le $CROWD_BOUND_MB ] ||
			fail "$name, $pattern: memory over its bound"
		[ $most -le $CROWD_MAX_FDS ] ||
			fail "$name, $pattern: descriptors over their bound"
	done
}
