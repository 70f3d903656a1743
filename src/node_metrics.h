/*
 * NAME
 *	node_metrics - counters and latencies of a node, as text for scrapers
 */
#ifndef NODE_METRICS_H
#define NODE_METRICS_H

#include "counters.h"
#include "front.h"
#include "lag.h"
#include "maint.h"
#include "pool.h"

/* Values at the time of a scrape. */
struct node_gauges {
	int64_t pools_owned;
	int64_t hosts_held;
	int64_t jobs_live;
	int64_t tasks_waiting;
	int64_t workers_listed;
	int64_t tasks_in_memory;
	int64_t unplaced_runs;
	int64_t job_bytes;
	int64_t checkpoint_bytes;
	int64_t cfg_version;
	int64_t cfg_age_ms;
	int64_t ready;
	int64_t stream_age_ms;
	int64_t index_age_ms;
	int64_t registry_age_ms;
	int64_t read_jobs_bytes;
	int64_t read_index_bytes;
	int64_t read_registry_bytes;
	int64_t append_stalled_ms;
};

/*
 * node_metrics_text - all counters, gauges and latencies
 *
 * RETURN VALUE
 *	Text allocated from the pool.
 */
char *node_metrics_text(apr_pool_t *pool, const struct front_env *front,
			const struct pool_env *pools,
			const struct maint_env *maint, const struct lag *lag,
			const struct node_gauges *gauges);

#endif
