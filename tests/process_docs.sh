#!/usr/bin/env bash
# Every metric and every setting must be named in docs/OPERATIONS.md.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
trap stop_all EXIT

missing=0
check_named() {
	grep -qw "$1" docs/OPERATIONS.md && return
	echo "docs/OPERATIONS.md does not name $1"
	missing=1
}
start_cluster 1 1 || exit 1
for url in "$(entry_url 0)" "$(fleet_url 0)"; do
	for counter in $(curl -s "$url/metrics" | sed -n 's/^plank_\([a-z_]*\) .*/\1/p'); do
		check_named "$counter"
	done
done
. scripts/nodes.sh
stop_all_processes
start_standin 1 || exit 1
start_node 0
wait_until 20 node_is_ready 0 || exit 1
for counter in $(curl -s "$(node_admin_url 0)/metrics" | sed -n 's/^plank_\([a-z_]*\)[ {].*/\1/p' | sed 's/_ms_count$/_ms/'); do
	check_named "$counter"
done
for key in $(sed -n 's/.*&root, "\([a-z_]*\)".*/\1/p' src/nodeconf.c); do
	check_named "$key"
done
for key in $(sed -n 's/^\t{ "\([a-z_]*\)", offsetof.*/\1/p' src/procconf.c); do
	check_named "$key"
done
[ $missing = 0 ] && echo ok
exit $missing
