#!/usr/bin/env bash
# A crowd of misbehaving clients at plank-noded. Guards against memory and
# descriptors that grow with the crowd, and against a node that ends or hangs.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
. scripts/nodes.sh
. tests/crowd.sh
trap stop_all EXIT

ID_COUNT=0
ordinary() {
	ID_COUNT=$((ID_COUNT + 1))
	[ "$(job_call 0 POST "$(printf '%016x' $((0xabc0000 + ID_COUNT)))" \
		"$(job_body t 1 1)")" = 200 ]
}

start_standin 1 || { echo "FAILED: the stand-in did not start"; exit 1; }
start_node 0
wait_until 20 node_is_ready 0 || { echo "FAILED: not ready"; exit 1; }
stop node0 TERM
sed -i "s/^\t*\"name\"/${CROWD_SETTINGS-"\"memory_mb\": $CROWD_MEMORY_MB, \"max_fds\": $CROWD_MAX_FDS,"} &/" "$WORK/node0.json"
start node0 "$BUILD/plank-noded" --settings "$WORK/node0.json"
wait_until 20 node_is_ready 0 || { echo "FAILED: not ready"; exit 1; }
wait_until 20 ordinary || { echo "FAILED: no service before the crowd"; exit 1; }
crowd noded "${PIDS[node0]}" $((BASE + 100)) "$ENTRY_HOST" \
	"${PREFIX}00000000000000ff" ordinary
[ $FAILED = 0 ] && echo "process_crowd_node: all passed"
exit $FAILED
