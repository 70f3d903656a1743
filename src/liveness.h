/*
 * NAME
 *	liveness - detects dead workers by the platform's host list
 *
 * A run on a worker that does not answer cannot be restarted before its lease
 * expires, because the worker may merely be unreachable. If the host list shows
 * that the host is down or runs another worker, all runs of the old worker have
 * ended. The list is requested only while silent workers have tasks, or workers
 * that are not known.
 *
 * A host that lists lack does not prove as much: runs there may go on until their
 * leases end. But it will not start a worker again.
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
	const struct cfg *const *cfg; /* current configuration */
};

struct liveness *liveness_create(const struct liveness_config *config);

/* liveness_destroy - free it; an answer still to come is ignored */
void liveness_destroy(struct liveness *liveness);

/* liveness_tick - request the list if due; marks dead workers */
void liveness_tick(struct liveness *liveness);

/*
 * liveness_proves_dead - whether a host's entry proves that the worker is dead
 *
 * An entry without a worker proves nothing while the host is up: the registry
 * drops workers that are disconnected, which may still be running.
 */
bool liveness_proves_dead(const struct host *host, const char *worker);

/*
 * liveness_proves_replaced - whether the host runs another worker instead
 *
 * An id belongs to one host, which may start a worker again under the id that
 * it had last, but not under an earlier one.
 */
bool liveness_proves_replaced(const struct host *host, const char *worker);

#endif
