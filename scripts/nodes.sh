# Functions that start nodes and the stand-in for the users' platform. Sourced
# after cluster.sh, whose ports, work directory and process table they use.

ENTRY_HOST=pay.example
PREFIX=/tallies/

node_url() { echo "http://127.0.0.1:$((BASE + 100 + $1))"; }
node_ready_url() { echo "http://127.0.0.1:$((BASE + 200 + $1))/ready"; }
node_admin_url() { echo "http://127.0.0.1:$((BASE + 300 + $1))"; }
# standin_control JSON: injects a fault; tests/standin.c describes the JSON
standin_control() { curl -sf -o "$WORK/control" -d "$1" "$(platform_url)/control"; }

write_configuration() {
	cat >"$WORK/configuration.json" <<-JSON
		{"version":1,"routes":[{"name":"tally-queue","host":"$ENTRY_HOST",
		"prefix":"$PREFIX","service":"tallies","attempts":3,"stretch":2.0,
		"sloMs":60000}],
		"services":[{"name":"tallies","enforcesCapacity":${ENFORCES_CAPACITY:-true}}],
		"limits":{"maxBodyBytes":65536}}
	JSON
}

start_standin() {
	write_configuration
	start standin "$BUILD/standin" "$BASE" "$1" "$WORK/configuration.json"
	wait_until 10 curl -sf "$(platform_url)/machines"
}

# start_node NUMBER: starts a node; its settings are in $WORK/nodeNUMBER.json
start_node() {
	cat >"$WORK/node$1.json" <<-JSON
		{
			// Settings of node $1.
			"name": "n$1",
			"data_centre": "$(data_centre "$1")",
			"callers": "127.0.0.1:$((BASE + 100 + $1))",
			"readiness": "127.0.0.1:$((BASE + 200 + $1))",
			"metrics": "127.0.0.1:$((BASE + 300 + $1))",
			"log_service": "127.0.0.1:$BASE",
			"host_service": "127.0.0.1:$BASE"
		}
	JSON
	start "node$1" "$BUILD/plank-noded" --settings "$WORK/node$1.json"
}

node_is_ready() { curl -sf "$(node_ready_url "$1")"; }

# job_call NODE METHOD ID [BODY]: prints the HTTP status; the response body is
# in $WORK/answer
job_call() {
	curl -s -m 5 -o "$WORK/answer" -w '%{http_code}' -X "$2" \
		-H "Host: $ENTRY_HOST" -H 'X-Chestnutplank-Deadline-Ms: 4000' \
		${4:+-d "$4"} "$(node_url "$1")$PREFIX$3"
}

# job_body TEXT STEPS COUNT: prints a job of STEPS steps of COUNT tasks, each
# step depending on the previous one
job_body() {
	local i steps=""
	for ((i = 0; i < $2; i++)); do
		steps+="{\"count\":$3,\"cpu\":1000,\"estMs\":600"
		[ "$i" = 0 ] || steps+=",\"dependsOn\":[$((i - 1))]"
		steps+="},"
	done
	echo "{\"spec\":\"$1\",\"steps\":[${steps%,}]}"
}

# job_state NODE ID
job_state() {
	job_call "$1" GET "$2" >/dev/null
	sed 's/.*"state":"\([a-z]*\)".*/\1/' "$WORK/answer"
}
# job_is NODE ID STATE
job_is() { [ "$(job_state "$1" "$2")" = "$3" ]; }
