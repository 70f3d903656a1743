/*
 * NAME
 *	ctr - counters and gauges of a process
 *
 * A process has one table of named values. The thread that owns the table
 * writes it; other threads only add to it with ctr_add, which is atomic.
 */
#ifndef CTR_H
#define CTR_H

#include <stdint.h>
#include <stddef.h>

#include <apr_pools.h>

enum ctr_kind { CTR_COUNTER, CTR_GAUGE };

struct ctr_def {
	const char *name;
	enum ctr_kind kind;
	const char *help;
};

struct ctr {
	const struct ctr_def *defs;
	size_t count;
	int64_t *values;
};

/*
 * ctr_create - counters for the definitions, all 0
 *
 * defs stays in use. The counters live as long as the pool.
 */
struct ctr *ctr_create(apr_pool_t *pool, const struct ctr_def *defs,
		       size_t count);

static inline void ctr_add(struct ctr *ctr, size_t index, int64_t n)
{
	__atomic_fetch_add(&ctr->values[index], n, __ATOMIC_RELAXED);
}

static inline void ctr_inc(struct ctr *ctr, size_t index)
{
	ctr_add(ctr, index, 1);
}

static inline void ctr_set(struct ctr *ctr, size_t index, int64_t value)
{
	__atomic_store_n(&ctr->values[index], value, __ATOMIC_RELAXED);
}

static inline int64_t ctr_get(const struct ctr *ctr, size_t index)
{
	return __atomic_load_n(&ctr->values[index], __ATOMIC_RELAXED);
}

/*
 * ctr_text - all values in the Prometheus text format
 *
 * RETURN VALUE
 *	A string allocated from the pool.
 */
char *ctr_text(const struct ctr *ctr, apr_pool_t *pool);

#endif
