#include "rte_int.h"

#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>

enum {
	RETRY_COST = 10, /* requests that pay for one retry */
	RETRY_BUDGET_MAX = 100 * RETRY_COST
};

struct rte *rte_create(const char *member, const char *data_centre,
		       struct rnd *rnd)
{
	struct rte *rte = calloc(1, sizeof(*rte));

	if (!rte)
		return NULL;
	rte->member = member;
	rte->data_centre = data_centre;
	rte->rnd = rnd;
	rte->workers = tbl_create(sizeof(struct rte_worker));
	rte->retry_budget = RETRY_BUDGET_MAX;
	rte->remote_allowed = true;
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

static void sync_worker(struct rte *rte, const struct fleet_host *host)
{
	struct rte_worker *worker = tbl_find(rte->workers, host->name);

	if (!worker)
		worker = tbl_add(rte->workers, host->name);
	if (!worker)
		return;
	memcpy(worker->address, host->address, sizeof(worker->address));
	worker->port = (uint16_t)host->port;
	memcpy(worker->data_centre, host->data_centre,
	       sizeof(worker->data_centre));
	worker->cpu_milli = host->cpu_milli;
	worker->mem_mib = host->mem_mib;
	worker->accelerators = host->accelerators;
	worker->slots = (uint32_t)host->slots;
	worker->connections = (uint32_t)host->connections;
	worker->local = !strcmp(host->data_centre, rte->data_centre);
	worker->usable = fleet_host_available(host) && host->team[0];
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

static void drop_unused(struct rte *rte, const struct fleet *fleet)
{
	for (uint32_t i = tbl_count(rte->workers); i-- > 0;) {
		const struct rte_worker *worker = tbl_at(rte->workers, i);
		const struct fleet_host *host = fleet_host(fleet, worker->name);

		if (!worker->in_flight && (!host || !host->known))
			tbl_remove(rte->workers, worker->name);
	}
}

static struct rte_pool *index_pool(struct rte *rte, const char *team,
				   const char *name)
{
	const char *key = apr_pstrcat(rte->index_pool, team, "/", name, NULL);
	struct rte_pool *pool =
		apr_hash_get(rte->pools, key, APR_HASH_KEY_STRING);

	if (pool)
		return pool;
	pool = apr_pcalloc(rte->index_pool, sizeof(*pool));
	apr_hash_set(rte->pools, key, APR_HASH_KEY_STRING, pool);
	return pool;
}

/* Pools are found by name, and each worker has its pool; none is filled. */
static void assign_pools(struct rte *rte, const struct fleet *fleet)
{
	for (uint32_t i = 0; i < tbl_count(rte->workers); i++)
		((struct rte_worker *)tbl_at(rte->workers, i))->pool = NULL;
	for (uint32_t i = 0; i < tbl_count(fleet->teams); i++) {
		const struct fleet_team *team = tbl_at(fleet->teams, i);

		for (uint32_t k = 0; k < team->settings->pool_count; k++)
			index_pool(rte, team->name,
				   team->settings->pools[k].name);
	}
	for (uint32_t i = 0; i < tbl_count(fleet->hosts); i++) {
		const struct fleet_host *host = tbl_at(fleet->hosts, i);
		struct rte_worker *worker = tbl_find(rte->workers, host->name);

		if (!worker || !host->team[0] || host->state == FLEET_RETIRED)
			continue;
		worker->pool = index_pool(rte, host->team, host->pool);
		worker->pool->count++;
	}
}

static void build_index(struct rte *rte, const struct fleet *fleet)
{
	if (rte->index_pool)
		apr_pool_destroy(rte->index_pool);
	apr_pool_create(&rte->index_pool, NULL);
	rte->pools = apr_hash_make(rte->index_pool);
	assign_pools(rte, fleet);
	for (uint32_t i = 0; i < tbl_count(rte->workers); i++) {
		struct rte_worker *worker = tbl_at(rte->workers, i);
		struct rte_pool *pool = worker->pool;

		if (!pool)
			continue;
		if (!pool->workers) {
			pool->workers = apr_pcalloc(
				rte->index_pool,
				pool->count * sizeof(*pool->workers));
			pool->count = 0;
		}
		pool->workers[pool->count++] = worker;
	}
	for (uint32_t i = 0; i < tbl_count(rte->workers); i++) {
		struct rte_worker *worker = tbl_at(rte->workers, i);

		if (worker->pool && !worker->pool->usable)
			rte_limit_ejected(worker->pool);
	}
}

void rte_sync_members(struct rte *rte, const struct fleet *fleet)
{
	uint64_t members_of = rte_hash_members(fleet);

	if (members_of == rte->members_of)
		return;
	rte->members_of = members_of;
	rte_share_slots(rte, fleet);
}

void rte_sync(struct rte *rte, const struct fleet *fleet, bool has_list,
	      const struct rte_listed *listed, uint32_t count)
{
	drop_unused(rte, fleet);
	for (uint32_t i = 0; i < tbl_count(fleet->hosts); i++) {
		const struct fleet_host *host = tbl_at(fleet->hosts, i);

		if (host->known)
			sync_worker(rte, host);
	}
	if (has_list)
		apply_list(rte, listed, count);
	build_index(rte, fleet);
	rte->members_of = rte_hash_members(fleet);
	rte_share_slots(rte, fleet);
}

void rte_set_lease(struct rte *rte, int64_t over_ms)
{
	rte->remote_allowed = over_ms <= 0;
	rte->isolated = over_ms >= LIMIT_EXPIRE_MS;
}

static struct rte_pool *find_pool(const struct rte *rte, const char *team,
				  const char *name)
{
	char key[2 * LIMIT_NAME_BYTES + 1];

	apr_snprintf(key, sizeof(key), "%s/%s", team, name);
	return rte->pools ? apr_hash_get(rte->pools, key, APR_HASH_KEY_STRING)
			  : NULL;
}

/* Requests that may be in progress; each takes a slot and a connection. */
static uint32_t share_of(const struct rte *rte, const struct rte_worker *worker)
{
	uint32_t slots = rte->isolated ? worker->near_slots : worker->own_slots;
	uint32_t connections = rte->isolated ? worker->near_connections
					     : worker->own_connections;

	int32_t shift = rte->isolated ? worker->near_shift : worker->own_shift;

	return (slots < connections ? slots : connections) + (uint32_t)shift;
}

/* Whether the entry daemon may send to a worker at all. */
static bool is_open(const struct rte_worker *worker, bool remote_allowed)
{
	return worker->usable &&
	       (worker->local || (remote_allowed && worker->data_centre_live));
}

static bool was_tried(const struct rte_query *query, const char *name)
{
	for (uint32_t i = 0; i < query->tried_count; i++)
		if (!strcmp(query->tried[i], name))
			return true;
	return false;
}

/*
 * A member whose shares at a pool are all at workers that are out or fail
 * would refuse every request until the state tells of them, and so it is for a
 * request that has tried all of them. It then uses one slot of one of the
 * others, chosen by hash so that such members spread; the worker's guard
 * refuses a request that is one too many. query may be NULL.
 */
static void lend_slot(const struct rte *rte, struct rte_pool *pool,
		      const struct rte_query *query)
{
	uint64_t member =
		rnd_hash(RND_HASH_START, rte->member, strlen(rte->member));
	uint64_t best = 0;
	uint32_t share = 0;

	pool->lent = NULL;
	for (uint32_t i = 0; i < pool->count; i++) {
		struct rte_worker *worker = pool->workers[i];
		uint32_t slots = share_of(rte, worker);
		uint64_t weight;

		share += slots;
		if (!is_open(worker, rte->remote_allowed) || worker->ejected ||
		    (query && was_tried(query, worker->name)))
			continue;
		if (slots > 0) {
			pool->lent = NULL;
			return;
		}
		weight = rnd_hash(member, worker->name, strlen(worker->name));
		if (!pool->lent || weight > best) {
			pool->lent = worker;
			best = weight;
		}
	}
	if (!share)
		pool->lent = NULL;
}

/* Requests that may be in progress at a worker. */
static uint32_t own_slots(const struct rte *rte,
			  const struct rte_worker *worker)
{
	uint32_t slots = share_of(rte, worker);

	return !slots && worker->pool && worker->pool->lent == worker ? 1
								      : slots;
}

void rte_pool_capacity(const struct rte *rte, const char *team,
		       const char *pool_name, struct rte_capacity *capacity)
{
	struct rte_pool *pool = find_pool(rte, team, pool_name);

	*capacity = (struct rte_capacity){ 0 };
	if (pool)
		lend_slot(rte, pool, NULL);
	for (uint32_t i = 0; pool && i < pool->count; i++) {
		const struct rte_worker *worker = pool->workers[i];

		if (!is_open(worker, rte->remote_allowed) || worker->ejected)
			continue;
		capacity->slots += own_slots(rte, worker);
		capacity->in_flight += worker->in_flight;
	}
}

static bool is_large_enough(const struct rte_worker *worker,
			    const struct rte_query *query)
{
	return worker->cpu_milli >= query->cpu_milli &&
	       worker->mem_mib >= query->mem_mib &&
	       worker->accelerators >= query->accelerators;
}

/* Whether the pool has a worker of the size, even one that is out now. */
static bool has_large_enough(const struct rte_pool *pool,
			     const struct rte_query *query)
{
	for (uint32_t i = 0; i < pool->count; i++)
		if (is_large_enough(pool->workers[i], query))
			return true;
	return pool->count == 0;
}

void rte_largest_text(const struct rte *rte, const char *team,
		      const char *pool_name, char *text, size_t size)
{
	const struct rte_pool *pool = find_pool(rte, team, pool_name);
	int64_t cpu_milli = 0, mem_mib = 0, accelerators = 0;

	for (uint32_t i = 0; pool && i < pool->count; i++) {
		const struct rte_worker *worker = pool->workers[i];

		if (worker->cpu_milli > cpu_milli)
			cpu_milli = worker->cpu_milli;
		if (worker->mem_mib > mem_mib)
			mem_mib = worker->mem_mib;
		if (worker->accelerators > accelerators)
			accelerators = worker->accelerators;
	}
	apr_snprintf(text, size,
		     "no worker of the pool is large enough; the most that one "
		     "has: Plank-Cpu-Milli %" APR_INT64_T_FMT
		     ", Plank-Mem-Mib %" APR_INT64_T_FMT
		     ", Plank-Accelerators %" APR_INT64_T_FMT,
		     cpu_milli, mem_mib, accelerators);
}

/* Less load is better; at equal load the own data centre. */
static bool is_better(const struct rte *rte, const struct rte_worker *a,
		      const struct rte_worker *b)
{
	uint64_t load_a = rte_load(a) * own_slots(rte, b);
	uint64_t load_b = rte_load(b) * own_slots(rte, a);

	if (load_a != load_b)
		return load_a < load_b;
	return a->local && !b->local;
}

static bool is_candidate(const struct rte_worker *worker,
			 const struct rte_query *query)
{
	return is_open(worker, query->remote_allowed) &&
	       query->now_ms >= worker->avoid_until_ms &&
	       is_large_enough(worker, query) &&
	       !was_tried(query, worker->name);
}

/* The best worker with a free slot; full tells of one without. */
static struct rte_worker *find_best(struct rte *rte, struct rte_pool *pool,
				    const struct rte_query *query, bool ejected,
				    bool *full)
{
	/* A random start keeps entry daemons from choosing the same one. */
	uint32_t start = rnd_below(rte->rnd, pool->count);
	struct rte_worker *best = NULL;

	for (uint32_t i = 0; i < pool->count; i++) {
		struct rte_worker *worker =
			pool->workers[(start + i) % pool->count];

		if (worker->ejected != ejected || !is_candidate(worker, query))
			continue;
		rte_decay_score(worker, query->now_ms);
		if (worker->in_flight >= own_slots(rte, worker))
			*full = true;
		else if (!best || is_better(rte, worker, best))
			best = worker;
	}
	return best;
}

/* An ejected worker whose probe is due, if the request can be one. */
static struct rte_worker *find_probe(struct rte *rte, struct rte_pool *pool,
				     const struct rte_query *query)
{
	/* A probe that fails is retried on another worker. */
	if (!query->idempotent || query->tried_count ||
	    rte->retry_budget < RETRY_COST)
		return NULL;
	for (uint32_t i = 0; i < pool->count; i++) {
		struct rte_worker *worker = pool->workers[i];

		if (worker->ejected && worker->in_flight == 0 &&
		    own_slots(rte, worker) > 0 &&
		    query->now_ms >= worker->probe_at_ms &&
		    is_candidate(worker, query))
			return worker;
	}
	return NULL;
}

int rte_check(struct rte *rte, const struct rte_query *query)
{
	struct rte_pool *pool = find_pool(rte, query->team, query->pool);
	struct rte_capacity capacity;

	if (!pool)
		return ERR_NOT_FOUND;
	if (!has_large_enough(pool, query)) {
		rte->stats.no_fit++;
		return ERR_NO_FIT;
	}
	rte_pool_capacity(rte, query->team, query->pool, &capacity);
	return capacity.slots ? 0 : ERR_NO_WORKER;
}

int rte_pick(struct rte *rte, const struct rte_query *query,
	     struct rte_worker **worker)
{
	struct rte_pool *pool = find_pool(rte, query->team, query->pool);
	struct rte_worker *best;
	bool full = false;

	if (!pool)
		return ERR_NOT_FOUND;
	if (!has_large_enough(pool, query)) {
		rte->stats.no_fit++;
		return ERR_NO_FIT;
	}
	lend_slot(rte, pool, query);
	best = find_probe(rte, pool, query);
	if (best) {
		best->probing = true;
		rte->stats.probes++;
	} else {
		best = find_best(rte, pool, query, false, &full);
	}
	/* With only ejected workers to choose from, one is better than none. */
	if (!best && !full)
		best = find_best(rte, pool, query, true, &full);
	if (!best)
		return full ? ERR_OVERLOAD : ERR_NO_WORKER;
	best->in_flight++;
	if (rte->retry_budget < RETRY_BUDGET_MAX)
		rte->retry_budget++;
	*worker = best;
	return 0;
}

const struct rte_stats *rte_stats(const struct rte *rte)
{
	return &rte->stats;
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
