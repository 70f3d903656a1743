/*
 * NAME
 *	route_int - what route.c, route_share.c and route_result.c share
 *
 * Only these three include this header.
 */
#ifndef ROUTE_INT_H
#define ROUTE_INT_H

#include <apr_hash.h>
#include <apr_pools.h>

#include "route.h"
#include "table.h"

struct route_pool {
	uint32_t count;
	uint32_t usable;
	uint32_t ejected; /* of the usable ones */
	struct route_worker **workers;
	struct route_worker *lent; /* used for one request beyond the shares */
};

struct route {
	const char *member;
	const char *data_centre;
	struct rnd *rnd;
	struct table *workers;
	apr_pool_t *index_pool;
	apr_hash_t *pools; /* "team/pool" to struct route_pool */
	uint32_t retry_budget;
	uint64_t members_of; /* fingerprint of the members */
	bool remote_allowed;
	bool isolated; /* only this data centre's members share */
	struct route_stats stats;
};

/* route_hash_members - identifies what the shares depend on */
uint64_t route_hash_members(const struct fleet *fleet);

/*
 * route_share_slots - give each slot and connection of the workers to a member
 *
 * The pools must have been indexed.
 */
void route_share_slots(struct route *route, const struct fleet *fleet);

/* route_limit_ejected - let workers ejected beyond the pool's limit return */
void route_limit_ejected(struct route_pool *pool);

/* route_decay_score - forget failures as time passes */
void route_decay_score(struct route_worker *worker, int64_t now_ms);

/* route_load - requests in progress, and more for a worker that fails */
uint64_t route_load(const struct route_worker *worker);

#endif
