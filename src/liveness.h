/*
 * NAME
 *	liveness - finds out whether the lives of silent workers are over
 *
 * A run on a worker that does not answer has to wait for the end of its lease,
 * as the worker may only be out of reach. If the host list says that the host
 * is down, or runs another worker, nothing of the earlier life runs any more.
 * The list is asked only while work is placed at silent workers.
 */
#ifndef LIVENESS_H
#define LIVENESS_H

#include "clk.h"
#include "host.h"
#include "worker.h"

struct liveness;

struct liveness_config {
	const struct clk *clk;
	const struct host_io *io;
	struct worker_table *workers;
};

struct liveness *liveness_create(const struct liveness_config *config);

/* liveness_destroy - an answer under way is dropped */
void liveness_destroy(struct liveness *life);

/* liveness_tick - ask the list if it is due; marks workers by worker->gone_ms */
void liveness_tick(struct liveness *life);

/*
 * liveness_is_over - whether a host's entry proves that an earlier life has ended
 *
 * An entry without a worker proves nothing while the host is up: the registry
 * drops workers that are cut off and run on.
 */
bool liveness_is_over(const struct host *host, const char *worker);

#endif
