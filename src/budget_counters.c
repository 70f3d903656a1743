#include "budget_counters.h"

#include "counters.h"

enum counter {
	C_CONNECTIONS,
	C_MAX_CONNECTIONS,
	C_HELD_BYTES,
	C_MOST_HELD_BYTES,
	C_MAX_BYTES,
	C_REFUSED_CONNECTIONS,
	C_REFUSED_BYTES,
	C_REFUSED_ADDRESS,
	C_REFUSED_TOO_LARGE,
	C_CLOSED_HEADER_LATE,
	C_CLOSED_IDLE,
	C_CLOSED_BODY_SLOW,
	C_CLOSED_ANSWER_SLOW,
	C_CLOSED_STALLED,
	C_COUNT
};

static const struct counters_def defs[C_COUNT] = {
	[C_CONNECTIONS] = { "clients_connections", COUNTERS_GAUGE,
			    "open connections of clients" },
	[C_MAX_CONNECTIONS] = { "clients_max_connections", COUNTERS_GAUGE,
				"their bound" },
	[C_HELD_BYTES] = { "clients_held_bytes", COUNTERS_GAUGE,
			   "charge for connections, requests and answers" },
	[C_MOST_HELD_BYTES] = { "clients_most_held_bytes", COUNTERS_GAUGE,
				"the most since the start" },
	[C_MAX_BYTES] = { "clients_max_bytes", COUNTERS_GAUGE,
			  "bound of the charge" },
	[C_REFUSED_CONNECTIONS] = { "clients_refused_connections_total",
				    COUNTERS_COUNTER,
				    "requests refused: too many connections" },
	[C_REFUSED_BYTES] = { "clients_refused_bytes_total", COUNTERS_COUNTER,
			      "requests refused: too many bytes held" },
	[C_REFUSED_ADDRESS] = { "clients_refused_address_total",
				COUNTERS_COUNTER,
				"requests refused: one address holds most" },
	[C_REFUSED_TOO_LARGE] = { "clients_refused_too_large_total",
				  COUNTERS_COUNTER,
				  "bodies refused while they arrived" },
	[C_CLOSED_HEADER_LATE] = { "clients_closed_header_late_total",
				   COUNTERS_COUNTER,
				   "connections closed: header not complete in "
				   "time" },
	[C_CLOSED_IDLE] = { "clients_closed_idle_total", COUNTERS_COUNTER,
			    "connections closed after the idle time" },
	[C_CLOSED_BODY_SLOW] = { "clients_closed_body_slow_total",
				 COUNTERS_COUNTER,
				 "connections closed: body too slow" },
	[C_CLOSED_ANSWER_SLOW] = { "clients_closed_answer_slow_total",
				   COUNTERS_COUNTER,
				   "connections closed: answer not read in "
				   "time" },
	[C_CLOSED_STALLED] = { "clients_closed_stalled_total", COUNTERS_COUNTER,
			       "connections closed: least progress, near a "
			       "bound" },
};

char *budget_counters_text(const struct budget *budget, apr_pool_t *pool)
{
	const struct budget_stats *stats = budget_stats(budget);
	const struct budget_config *config = budget_config(budget);
	struct counters *counters = counters_create(pool, defs, C_COUNT);
	const int64_t values[C_COUNT] = {
		[C_CONNECTIONS] = stats->connections,
		[C_MAX_CONNECTIONS] = config->max_connections,
		[C_HELD_BYTES] = stats->held_bytes,
		[C_MOST_HELD_BYTES] = stats->most_held_bytes,
		[C_MAX_BYTES] = config->max_bytes,
		[C_REFUSED_CONNECTIONS] = stats->refused[BUDGET_CONNECTIONS],
		[C_REFUSED_BYTES] = stats->refused[BUDGET_BYTES],
		[C_REFUSED_ADDRESS] = stats->refused[BUDGET_ADDRESS],
		[C_REFUSED_TOO_LARGE] = stats->refused[BUDGET_TOO_LARGE],
		[C_CLOSED_HEADER_LATE] = stats->closed[BUDGET_HEAD_LATE],
		[C_CLOSED_IDLE] = stats->closed[BUDGET_IDLE],
		[C_CLOSED_BODY_SLOW] = stats->closed[BUDGET_BODY_SLOW],
		[C_CLOSED_ANSWER_SLOW] = stats->closed[BUDGET_ANSWER_SLOW],
		[C_CLOSED_STALLED] = stats->closed[BUDGET_STALLED],
	};

	for (size_t i = 0; i < C_COUNT; i++)
		counters_set(counters, i, values[i]);
	return counters_format(counters, pool);
}
