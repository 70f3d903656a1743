#include "route_int.h"

#include <stdlib.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>

enum {
	RETRY_COST = 10, /* requests per retry */
	RETRY_BUDGET_MAX = 100 * RETRY_COST
};

struct route *route_create(const char *member, const char *data_centre,
			   struct rnd *rnd)
{
	struct route *route = calloc(1, sizeof(*route));

	if (!route)
		return NULL;
	route->member = member;
	route->data_centre = data_centre;
	route->rnd = rnd;
	route->workers = table_create(sizeof(struct route_worker));
	route->retry_budget = RETRY_BUDGET_MAX;
	route->remote_allowed = true;
	return route;
}

void route_destroy(struct route *route)
{
	if (!route)
		return;
	table_destroy(route->workers);
	if (route->index_pool)
		apr_pool_destroy(route->index_pool);
	free(route);
}

static void update_worker(struct route *route, const struct fleet_host *host)
{
	struct route_worker *worker = table_find(route->workers, host->name);

	if (!worker)
		worker = table_add(route->workers, host->name);
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
	worker->local = !strcmp(host->data_centre, route->data_centre);
	worker->usable = fleet_host_available(host) && host->team[0];
}

static void apply_host_list(struct route *route,
			    const struct route_listed *listed, uint32_t count)
{
	apr_pool_t *scratch;
	apr_hash_t *listed_names;

	apr_pool_create(&scratch, NULL);
	listed_names = apr_hash_make(scratch);
	for (uint32_t i = 0; i < count; i++)
		if (!listed[i].leaving)
			apr_hash_set(listed_names, listed[i].name,
				     APR_HASH_KEY_STRING, listed[i].name);
	for (uint32_t i = 0; i < table_count(route->workers); i++) {
		struct route_worker *worker = table_at(route->workers, i);

		if (!apr_hash_get(listed_names, worker->name,
				  APR_HASH_KEY_STRING))
			worker->usable = false;
	}
	apr_pool_destroy(scratch);
}

static void remove_unused_workers(struct route *route,
				  const struct fleet *fleet)
{
	for (uint32_t i = table_count(route->workers); i-- > 0;) {
		const struct route_worker *worker = table_at(route->workers, i);
		const struct fleet_host *host = fleet_host(fleet, worker->name);

		if (!worker->in_flight && (!host || !host->known))
			table_remove(route->workers, worker->name);
	}
}

static struct route_pool *get_or_add_pool(struct route *route, const char *team,
					  const char *name)
{
	const char *key = apr_pstrcat(route->index_pool, team, "/", name, NULL);
	struct route_pool *pool =
		apr_hash_get(route->pools, key, APR_HASH_KEY_STRING);

	if (pool)
		return pool;
	pool = apr_pcalloc(route->index_pool, sizeof(*pool));
	apr_hash_set(route->pools, key, APR_HASH_KEY_STRING, pool);
	return pool;
}

/* Creates the pools, counts their workers and sets each worker's pool. */
static void assign_pools(struct route *route, const struct fleet *fleet)
{
	for (uint32_t i = 0; i < table_count(route->workers); i++)
		((struct route_worker *)table_at(route->workers, i))->pool =
			NULL;
	for (uint32_t i = 0; i < table_count(fleet->teams); i++) {
		const struct fleet_team *team = table_at(fleet->teams, i);

		for (uint32_t k = 0; k < team->settings->pool_count; k++)
			get_or_add_pool(route, team->name,
					team->settings->pools[k].name);
	}
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);
		struct route_worker *worker =
			table_find(route->workers, host->name);

		if (!worker || !host->team[0] || host->state == FLEET_RETIRED)
			continue;
		worker->pool = get_or_add_pool(route, host->team, host->pool);
		worker->pool->count++;
	}
}

static void build_index(struct route *route, const struct fleet *fleet)
{
	if (route->index_pool)
		apr_pool_destroy(route->index_pool);
	apr_pool_create(&route->index_pool, NULL);
	route->pools = apr_hash_make(route->index_pool);
	assign_pools(route, fleet);
	for (uint32_t i = 0; i < table_count(route->workers); i++) {
		struct route_worker *worker = table_at(route->workers, i);
		struct route_pool *pool = worker->pool;

		if (!pool)
			continue;
		if (!pool->workers) {
			pool->workers = apr_pcalloc(
				route->index_pool,
				pool->count * sizeof(*pool->workers));
			pool->count = 0;
		}
		pool->workers[pool->count++] = worker;
	}
	for (uint32_t i = 0; i < table_count(route->workers); i++) {
		struct route_worker *worker = table_at(route->workers, i);

		if (worker->pool && !worker->pool->usable)
			route_limit_ejected(worker->pool);
	}
}

void route_sync_members(struct route *route, const struct fleet *fleet)
{
	uint64_t members_hash = route_hash_members(fleet);

	if (members_hash == route->members_hash)
		return;
	route->members_hash = members_hash;
	route_share_slots(route, fleet);
}

void route_sync(struct route *route, const struct fleet *fleet, bool has_list,
		const struct route_listed *listed, uint32_t count)
{
	remove_unused_workers(route, fleet);
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);

		if (host->known)
			update_worker(route, host);
	}
	if (has_list)
		apply_host_list(route, listed, count);
	build_index(route, fleet);
	route->members_hash = route_hash_members(fleet);
	route_share_slots(route, fleet);
}

void route_set_lease(struct route *route, int64_t expired_for_ms)
{
	route->remote_allowed = expired_for_ms <= 0;
	route->isolated = expired_for_ms >= LIMIT_EXPIRE_MS;
}

static struct route_pool *find_pool(const struct route *route, const char *team,
				    const char *name)
{
	char key[2 * LIMIT_NAME_BYTES + 1];

	apr_snprintf(key, sizeof(key), "%s/%s", team, name);
	return route->pools
		       ? apr_hash_get(route->pools, key, APR_HASH_KEY_STRING)
		       : NULL;
}

/*
 * Requests that this entry daemon's share of the worker allows at a time; each
 * request takes a slot and a connection.
 */
static uint32_t worker_share(const struct route *route,
			     const struct route_worker *worker)
{
	uint32_t slots =
		route->isolated ? worker->isolated_slots : worker->own_slots;
	uint32_t connections = route->isolated ? worker->isolated_connections
					       : worker->own_connections;

	int32_t correction = route->isolated ? worker->isolated_correction
					     : worker->own_correction;

	return (slots < connections ? slots : connections) +
	       (uint32_t)correction;
}

/* Whether this entry daemon may send requests to the worker. */
static bool may_send_to(const struct route_worker *worker, bool remote_allowed)
{
	return worker->usable &&
	       (worker->local || (remote_allowed && worker->data_centre_live));
}

static bool was_tried(const struct route_query *query, const char *name)
{
	for (uint32_t i = 0; i < query->tried_count; i++)
		if (!strcmp(query->tried[i], name))
			return true;
	return false;
}

/*
 * Chooses a worker of the pool that may take one request beyond the shares, if
 * all shares of this member are at workers that are unusable or ejected, or
 * that the request has tried. Without it, the member would refuse every request
 * until the fleet state reflects the failure. The choice is by hash, which
 * spreads such members over the workers. The worker refuses the request if it
 * is full. query may be NULL.
 */
static void choose_fallback(const struct route *route, struct route_pool *pool,
			    const struct route_query *query)
{
	uint64_t member =
		rnd_hash(RND_HASH_START, route->member, strlen(route->member));
	uint64_t best = 0;
	uint32_t share = 0;

	pool->fallback = NULL;
	for (uint32_t i = 0; i < pool->count; i++) {
		struct route_worker *worker = pool->workers[i];
		uint32_t slots = worker_share(route, worker);
		uint64_t weight;

		share += slots;
		if (!may_send_to(worker, route->remote_allowed) ||
		    worker->ejected ||
		    (query && was_tried(query, worker->name)))
			continue;
		if (slots > 0) {
			pool->fallback = NULL;
			return;
		}
		weight = rnd_hash(member, worker->name, strlen(worker->name));
		if (!pool->fallback || weight > best) {
			pool->fallback = worker;
			best = weight;
		}
	}
	if (!share)
		pool->fallback = NULL;
}

/* Number of requests that may be in progress at a worker. */
static uint32_t worker_limit(const struct route *route,
			     const struct route_worker *worker)
{
	uint32_t slots = worker_share(route, worker);

	return !slots && worker->pool && worker->pool->fallback == worker
		       ? 1
		       : slots;
}

void route_pool_capacity(const struct route *route, const char *team,
			 const char *pool_name, struct route_capacity *capacity)
{
	struct route_pool *pool = find_pool(route, team, pool_name);

	*capacity = (struct route_capacity){ 0 };
	if (pool)
		choose_fallback(route, pool, NULL);
	for (uint32_t i = 0; pool && i < pool->count; i++) {
		const struct route_worker *worker = pool->workers[i];

		if (!may_send_to(worker, route->remote_allowed) ||
		    worker->ejected)
			continue;
		capacity->slots += worker_limit(route, worker);
		capacity->in_flight += worker->in_flight;
	}
}

static bool is_large_enough(const struct route_worker *worker,
			    const struct route_query *query)
{
	return worker->cpu_milli >= query->cpu_milli &&
	       worker->mem_mib >= query->mem_mib &&
	       worker->accelerators >= query->accelerators;
}

/* Whether the pool has a worker of the size, even if it is unusable now. */
static bool has_large_enough_worker(const struct route_pool *pool,
				    const struct route_query *query)
{
	for (uint32_t i = 0; i < pool->count; i++)
		if (is_large_enough(pool->workers[i], query))
			return true;
	return pool->count == 0;
}

void route_largest_text(const struct route *route, const char *team,
			const char *pool_name, char *text, size_t size)
{
	const struct route_pool *pool = find_pool(route, team, pool_name);
	int64_t cpu_milli = 0, mem_mib = 0, accelerators = 0;

	for (uint32_t i = 0; pool && i < pool->count; i++) {
		const struct route_worker *worker = pool->workers[i];

		if (worker->cpu_milli > cpu_milli)
			cpu_milli = worker->cpu_milli;
		if (worker->mem_mib > mem_mib)
			mem_mib = worker->mem_mib;
		if (worker->accelerators > accelerators)
			accelerators = worker->accelerators;
	}
	apr_snprintf(text, size,
		     "no worker of the pool is large enough; the largest sizes "
		     "are Plank-Cpu-Milli %" APR_INT64_T_FMT
		     ", Plank-Mem-Mib %" APR_INT64_T_FMT
		     ", Plank-Accelerators %" APR_INT64_T_FMT,
		     cpu_milli, mem_mib, accelerators);
}

/* Prefers the lower load per slot, then the local data centre. */
static bool is_better(const struct route *route, const struct route_worker *a,
		      const struct route_worker *b)
{
	uint64_t load_a = route_load(a) * worker_limit(route, b);
	uint64_t load_b = route_load(b) * worker_limit(route, a);

	if (load_a != load_b)
		return load_a < load_b;
	return a->local && !b->local;
}

static bool is_candidate(const struct route_worker *worker,
			 const struct route_query *query)
{
	return may_send_to(worker, query->remote_allowed) &&
	       query->now_ms >= worker->avoid_until_ms &&
	       is_large_enough(worker, query) &&
	       !was_tried(query, worker->name);
}

/* Best worker with a free slot; sets *any_full if a candidate has none. */
static struct route_worker *find_best(struct route *route,
				      struct route_pool *pool,
				      const struct route_query *query,
				      bool ejected, bool *any_full)
{
	/* A random start keeps entry daemons from choosing the same worker. */
	uint32_t start = rnd_below(route->rnd, pool->count);
	struct route_worker *best = NULL;

	for (uint32_t i = 0; i < pool->count; i++) {
		struct route_worker *worker =
			pool->workers[(start + i) % pool->count];

		if (worker->ejected != ejected || !is_candidate(worker, query))
			continue;
		route_decay_score(worker, query->now_ms);
		if (worker->in_flight >= worker_limit(route, worker))
			*any_full = true;
		else if (!best || is_better(route, worker, best))
			best = worker;
	}
	return best;
}

/* An ejected worker due for a probe, if the request may be used as one. */
static struct route_worker *find_probe_target(struct route *route,
					      struct route_pool *pool,
					      const struct route_query *query)
{
	/* A failed probe is retried on another worker, which needs budget. */
	if (!query->idempotent || query->tried_count ||
	    route->retry_budget < RETRY_COST)
		return NULL;
	for (uint32_t i = 0; i < pool->count; i++) {
		struct route_worker *worker = pool->workers[i];

		if (worker->ejected && worker->in_flight == 0 &&
		    worker_limit(route, worker) > 0 &&
		    query->now_ms >= worker->probe_at_ms &&
		    is_candidate(worker, query))
			return worker;
	}
	return NULL;
}

int route_check(struct route *route, const struct route_query *query)
{
	struct route_pool *pool = find_pool(route, query->team, query->pool);
	struct route_capacity capacity;

	if (!pool)
		return ERR_NOT_FOUND;
	if (!has_large_enough_worker(pool, query)) {
		route->stats.no_fit++;
		return ERR_NO_FIT;
	}
	route_pool_capacity(route, query->team, query->pool, &capacity);
	return capacity.slots ? 0 : ERR_NO_WORKER;
}

int route_pick(struct route *route, const struct route_query *query,
	       struct route_worker **worker)
{
	struct route_pool *pool = find_pool(route, query->team, query->pool);
	struct route_worker *best;
	bool any_full = false;

	if (!pool)
		return ERR_NOT_FOUND;
	if (!has_large_enough_worker(pool, query)) {
		route->stats.no_fit++;
		return ERR_NO_FIT;
	}
	choose_fallback(route, pool, query);
	best = find_probe_target(route, pool, query);
	if (best) {
		best->probing = true;
		route->stats.probes++;
	} else {
		best = find_best(route, pool, query, false, &any_full);
	}
	/* With only ejected workers left, use one of them rather than none. */
	if (!best && !any_full)
		best = find_best(route, pool, query, true, &any_full);
	if (!best)
		return any_full ? ERR_OVERLOAD : ERR_NO_WORKER;
	best->in_flight++;
	if (route->retry_budget < RETRY_BUDGET_MAX)
		route->retry_budget++;
	*worker = best;
	return 0;
}

const struct route_stats *route_stats(const struct route *route)
{
	return &route->stats;
}

uint32_t route_in_flight(const struct route *route, const char *host)
{
	const struct route_worker *worker = table_find(route->workers, host);

	return worker ? worker->in_flight : 0;
}

bool route_may_retry(struct route *route)
{
	if (route->retry_budget < RETRY_COST)
		return false;
	route->retry_budget -= RETRY_COST;
	return true;
}
