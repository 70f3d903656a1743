#include "rte.h"

#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>

#include "tbl.h"

enum {
	AVOID_REFUSED_MS = 1000,
	AVOID_FAILED_MS = 500,
	AVOID_MAX_MS = 30000,
	RETRY_COST = 10, /* requests that pay for one retry */
	RETRY_BUDGET_MAX = 100 * RETRY_COST
};

struct pool {
	uint32_t count;
	struct rte_worker **workers;
};

struct rte {
	const char *data_centre;
	struct rnd *rnd;
	struct tbl *workers;
	apr_pool_t *index_pool;
	apr_hash_t *pools; /* "team/pool" to struct pool */
	uint32_t retry_budget;
};

struct rte *rte_create(const char *data_centre, struct rnd *rnd)
{
	struct rte *rte = calloc(1, sizeof(*rte));

	if (!rte)
		return NULL;
	rte->data_centre = data_centre;
	rte->rnd = rnd;
	rte->workers = tbl_create(sizeof(struct rte_worker));
	rte->retry_budget = RETRY_BUDGET_MAX;
	return rte;
}

void rte_destroy(struct rte *rte)
{
	if (!rte)
		return;
	tbl_destroy(rte->workers);
	if (rte->index_pool)
		apr_pool_destroy(rte->index_pool);
	free(rte);
}

static void sync_worker(struct rte *rte, const struct fst_host *host)
{
	struct rte_worker *worker = tbl_find(rte->workers, host->name);

	if (!worker)
		worker = tbl_add(rte->workers, host->name);
	if (!worker)
		return;
	memcpy(worker->address, host->address, sizeof(worker->address));
	worker->port = (uint16_t)host->port;
	worker->slots = (uint32_t)host->slots;
	worker->local = !strcmp(host->data_centre, rte->data_centre);
	worker->usable = fst_host_available(host) && host->team[0];
}

static void apply_list(struct rte *rte, const struct rte_listed *listed,
		       uint32_t count)
{
	apr_pool_t *scratch;
	apr_hash_t *live;

	apr_pool_create(&scratch, NULL);
	live = apr_hash_make(scratch);
	for (uint32_t i = 0; i < count; i++)
		if (!listed[i].leaving)
			apr_hash_set(live, listed[i].name, APR_HASH_KEY_STRING,
				     listed[i].name);
	for (uint32_t i = 0; i < tbl_count(rte->workers); i++) {
		struct rte_worker *worker = tbl_at(rte->workers, i);

		if (!apr_hash_get(live, worker->name, APR_HASH_KEY_STRING))
			worker->usable = false;
	}
	apr_pool_destroy(scratch);
}

static void drop_unused(struct rte *rte, const struct fst *fst)
{
	for (uint32_t i = tbl_count(rte->workers); i-- > 0;) {
		const struct rte_worker *worker = tbl_at(rte->workers, i);
		const struct fst_host *host = fst_host(fst, worker->name);

		if (!worker->in_flight && (!host || !host->known))
			tbl_remove(rte->workers, worker->name);
	}
}

static struct pool *index_pool(struct rte *rte, const char *team,
			       const char *name, uint32_t capacity)
{
	const char *key = apr_pstrcat(rte->index_pool, team, "/", name, NULL);
	struct pool *pool = apr_hash_get(rte->pools, key, APR_HASH_KEY_STRING);

	if (pool)
		return pool;
	pool = apr_pcalloc(rte->index_pool, sizeof(*pool));
	pool->workers = apr_pcalloc(rte->index_pool,
				    (capacity + 1) * sizeof(*pool->workers));
	apr_hash_set(rte->pools, key, APR_HASH_KEY_STRING, pool);
	return pool;
}

static void build_index(struct rte *rte, const struct fst *fst)
{
	if (rte->index_pool)
		apr_pool_destroy(rte->index_pool);
	apr_pool_create(&rte->index_pool, NULL);
	rte->pools = apr_hash_make(rte->index_pool);
	for (uint32_t i = 0; i < tbl_count(fst->teams); i++) {
		const struct fst_team *team = tbl_at(fst->teams, i);

		for (uint32_t k = 0; k < team->settings->pool_count; k++) {
			const struct tms_pool *pool = &team->settings->pools[k];

			index_pool(rte, team->name, pool->name,
				   pool->hosts.count);
		}
	}
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++) {
		const struct fst_host *host = tbl_at(fst->hosts, i);
		struct rte_worker *worker = tbl_find(rte->workers, host->name);
		struct pool *pool;

		if (!worker || !worker->usable)
			continue;
		pool = index_pool(rte, host->team, host->pool, 0);
		pool->workers[pool->count++] = worker;
	}
}

void rte_sync(struct rte *rte, const struct fst *fst, bool has_list,
	      const struct rte_listed *listed, uint32_t count)
{
	drop_unused(rte, fst);
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++) {
		const struct fst_host *host = tbl_at(fst->hosts, i);

		if (host->known)
			sync_worker(rte, host);
	}
	if (has_list)
		apply_list(rte, listed, count);
	build_index(rte, fst);
}

static struct pool *find_pool(const struct rte *rte, const char *team,
			      const char *name)
{
	char key[2 * LIM_NAME_BYTES + 1];

	apr_snprintf(key, sizeof(key), "%s/%s", team, name);
	return rte->pools ? apr_hash_get(rte->pools, key, APR_HASH_KEY_STRING)
			  : NULL;
}

void rte_pool_capacity(const struct rte *rte, const char *team,
		       const char *pool_name, struct rte_capacity *capacity)
{
	const struct pool *pool = find_pool(rte, team, pool_name);

	*capacity = (struct rte_capacity){ 0 };
	for (uint32_t i = 0; pool && i < pool->count; i++) {
		capacity->slots += pool->workers[i]->slots;
		capacity->in_flight += pool->workers[i]->in_flight;
	}
}

static bool was_tried(const struct rte_query *query, const char *name)
{
	for (uint32_t i = 0; i < query->tried_count; i++)
		if (!strcmp(query->tried[i], name))
			return true;
	return false;
}

/* Fewer requests in progress is better; at equal load the own data centre. */
static bool is_better(const struct rte_worker *a, const struct rte_worker *b)
{
	uint64_t load_a = (uint64_t)a->in_flight * b->slots;
	uint64_t load_b = (uint64_t)b->in_flight * a->slots;

	if (load_a != load_b)
		return load_a < load_b;
	return a->local && !b->local;
}

int rte_pick(struct rte *rte, const struct rte_query *query,
	     struct rte_worker **worker)
{
	struct pool *pool = find_pool(rte, query->team, query->pool);
	struct rte_worker *best = NULL;
	bool full = false;
	uint32_t start;

	if (!pool)
		return ERR_NOT_FOUND;
	/* A random start keeps entry daemons from choosing the same one. */
	start = rnd_below(rte->rnd, pool->count);
	for (uint32_t i = 0; i < pool->count; i++) {
		struct rte_worker *candidate =
			pool->workers[(start + i) % pool->count];

		if ((!candidate->local && !query->remote_allowed) ||
		    query->now_ms < candidate->avoid_until_ms ||
		    was_tried(query, candidate->name))
			continue;
		if (candidate->in_flight >= candidate->slots) {
			full = true;
			continue;
		}
		if (!best || is_better(candidate, best))
			best = candidate;
	}
	if (!best)
		return full ? ERR_OVERLOAD : ERR_NO_WORKER;
	best->in_flight++;
	if (rte->retry_budget < RETRY_BUDGET_MAX)
		rte->retry_budget++;
	*worker = best;
	return 0;
}

void rte_done(struct rte *rte, struct rte_worker *worker,
	      enum rte_result result, int64_t now_ms)
{
	int64_t avoid_ms = AVOID_FAILED_MS;

	(void)rte;
	worker->in_flight--;
	switch (result) {
	case RTE_ANSWERED:
		worker->failures = 0;
		break;
	case RTE_REFUSED:
		worker->avoid_until_ms = now_ms + AVOID_REFUSED_MS;
		break;
	case RTE_FAILED:
		for (uint32_t i = 0; i < worker->failures; i++)
			if (avoid_ms < AVOID_MAX_MS)
				avoid_ms *= 2;
		worker->failures++;
		worker->avoid_until_ms = now_ms + avoid_ms;
		break;
	}
}

uint32_t rte_in_flight(const struct rte *rte, const char *host)
{
	const struct rte_worker *worker = tbl_find(rte->workers, host);

	return worker ? worker->in_flight : 0;
}

bool rte_may_retry(struct rte *rte)
{
	if (rte->retry_budget < RETRY_COST)
		return false;
	rte->retry_budget -= RETRY_COST;
	return true;
}
