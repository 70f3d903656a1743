/*
 * NAME
 *	counters - counters and gauges of a process
 *
 * A process has one table of named values. Its owner thread may change any
 * value; other threads may only use counters_add, which is atomic.
 */
#ifndef COUNTERS_H
#define COUNTERS_H

#include <stdint.h>
#include <stddef.h>

#include <apr_pools.h>

enum counters_kind { COUNTERS_COUNTER, COUNTERS_GAUGE };

struct counters_def {
	const char *name;
	enum counters_kind kind;
	const char *help;
};

struct counters {
	const struct counters_def *defs;
	size_t count;
	int64_t *values;
};

/*
 * counters_create - create counters for the definitions, all 0
 *
 * defs must stay valid as long as the counters, which the pool owns.
 */
struct counters *counters_create(apr_pool_t *pool,
				 const struct counters_def *defs, size_t count);

static inline void counters_add(struct counters *counters, size_t index,
				int64_t n)
{
	__atomic_fetch_add(&counters->values[index], n, __ATOMIC_RELAXED);
}

static inline void counters_inc(struct counters *counters, size_t index)
{
	counters_add(counters, index, 1);
}

static inline void counters_set(struct counters *counters, size_t index,
				int64_t value)
{
	__atomic_store_n(&counters->values[index], value, __ATOMIC_RELAXED);
}

static inline int64_t counters_get(const struct counters *counters,
				   size_t index)
{
	return __atomic_load_n(&counters->values[index], __ATOMIC_RELAXED);
}

/*
 * counters_format - all values in the Prometheus text format
 *
 * RETURN VALUE
 *	A string allocated from the pool.
 */
char *counters_format(const struct counters *counters, apr_pool_t *pool);

#endif
