#!/usr/bin/env bash
# A crowd of misbehaving clients at plank-entryd. Guards against memory and
# descriptors that grow with the crowd, and against a daemon that ends or hangs.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
. tests/crowd.sh
trap stop_all EXIT

ordinary() { curl -sf -m 5 "$(entry_url 0)/crew-shares/payouts/ping"; }

ENTRY_SETTINGS=${CROWD_SETTINGS-"\"memory_mb\": $CROWD_MEMORY_MB, \"max_fds\": $CROWD_MAX_FDS, \"max_body_bytes\": 65536,"}
start_cluster 1 3 || { echo "FAILED: cluster"; exit 1; }
team_settings 3 0 >"$WORK/team.json"
ctl publish crew-shares "$WORK/team.json" --base -1 >/dev/null || { echo "FAILED: publish"; exit 1; }
wait_until 10 ordinary || { echo "FAILED: no service before the crowd"; exit 1; }
crowd entryd "${PIDS[entry0]}" $((BASE + 100)) pay.example \
	/crew-shares/payouts/ping ordinary
[ $FAILED = 0 ] && echo "process_crowd_entry: all passed"
exit $FAILED
