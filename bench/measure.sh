# Functions that measure the daemons of entry host 0. Sourced after
# scripts/cluster.sh, not run. Bytes are those of the process's open TCP
# connections, from ss; a connection that opens or closes within the window is
# counted only in part. CPU time has a resolution of 10 ms.

HZ=$(getconf CLK_TCK)

cpu_ticks() { awk '{print $14 + $15}' "/proc/${PIDS[$1]}/stat"; }
rss_kib() { awk '/^VmRSS/ {print $2}' "/proc/${PIDS[$1]}/status"; }
tcp_bytes() {
	ss -tinpH | awk -v pid="pid=${PIDS[$1]}," '
		/^[A-Z]/ {own = index($0, pid) > 0}
		own {
			for (i = 1; i <= NF; i++)
				if ($i ~ /^bytes_(sent|received):/) {
					split($i, part, ":")
					sum += part[2]
				}
		}
		END {printf "%d", sum}'
}

# measure LABEL COMMAND...: runs the command and prints CPU time, bytes and
# memory of the daemons of entry host 0 for its duration
measure() {
	local label=$1 name
	declare -A cpu bytes
	shift
	for name in fleet0 entry0; do
		cpu[$name]=$(cpu_ticks $name)
		bytes[$name]=$(tcp_bytes $name)
	done
	local start=${EPOCHREALTIME/./}
	"$@" >"$WORK/measured" 2>&1
	local took=$((${EPOCHREALTIME/./} - start))
	for name in fleet0 entry0; do
		echo "$label $name" \
			$(($(cpu_ticks $name) - cpu[$name])) $HZ $took \
			$(($(tcp_bytes $name) - bytes[$name])) \
			"$(rss_kib $name)" |
			awk '{printf "hosts %s %s %s: cpu %.2f%% of a core, %.1f KB/s, rss %d KiB, cpu_ms %.0f\n",
				$1, $2, $3, 100 * $4 / $5 / ($6 / 1e6),
				$7 / ($6 / 1e3), $8, 1000 * $4 / $5}'
	done
}
