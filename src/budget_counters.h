/*
 * NAME
 *	budget_counters - what the clients of a process hold, and which of them
 *	were refused or closed, as text for scrapers
 */
#ifndef BUDGET_COUNTERS_H
#define BUDGET_COUNTERS_H

#include <apr_pools.h>

#include "budget.h"

/*
 * budget_counters_text - all counters and gauges
 *
 * RETURN VALUE
 *	Text allocated from the pool.
 */
char *budget_counters_text(const struct budget *budget, apr_pool_t *pool);

#endif
