#!/usr/bin/env bash
# A wave of six of twelve machines within 26 s, at most one at once. The call for the first one gets no answer
# and is carried out 2.5 s later (PROTOCOL.md, Machines: "A call that receives no response
# may have been executed"; "It may also be executed seconds later", of calls to workers).
. "$(dirname "$0")/../lib-4.sh"

begin 4 2 <<-WORKERS
	a r1 8000 16384
	a r1 8000 16384
	a r1 8000 16384
	a r1 8000 16384
	a r1 8000 16384
	a r1 8000 16384
	a r2 8000 16384
	a r2 8000 16384
	a r2 8000 16384
	a r2 8000 16384
	a r2 8000 16384
	a r2 8000 16384
WORKERS
[ "$TROUBLE" = 0 ] || control '{"late":1,"late_ms":2500}'
control '{"wave":{"wave":1,"machines":["m-0","m-1","m-2","m-3","m-4","m-5"],"completeByS":26,"maxCount":1}}'
ended() { [ "$(grep -c ' UPKEEP-END ' "$RECORD")" -ge 6 ]; }
wait_for 60 ended || say "NOT all upkeeps have ended"
grep -q 'BROKEN LIMIT upkeep' "$RECORD" && verdict 1 "broken: $(grep -m1 'BROKEN LIMIT upkeep' "$RECORD" | cut -c9-)"
verdict 0 "held: $(grep -c ' UPKEEP machine' "$RECORD") upkeeps, one at a time"
