/*
 * NAME
 *	route_int - internal declarations of route.c, route_share.c and
 *	route_result.c
 *
 * Only these three files include this header.
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
	/* Worker that may take one request beyond the shares; NULL: none. */
	struct route_worker *fallback;
};

struct route {
	const char *member;
	const char *data_centre;
	struct rnd *rnd;
	struct table *workers;
	apr_pool_t *index_pool;
	apr_hash_t *pools; /* "team/pool" to struct route_pool */
	uint32_t retry_budget;
	uint64_t members_hash; /* route_hash_members when last shared out */
	bool remote_allowed;
	bool isolated; /* only members of this data centre have shares */
	struct route_stats stats;
};

/* route_hash_members - hash of the names and states of all members */
uint64_t route_hash_members(const struct fleet *fleet);

/*
 * route_share_slots - assign each slot and connection of a worker to a member
 *
 * The pool index must be up to date.
 */
void route_share_slots(struct route *route, const struct fleet *fleet);

/*
 * route_limit_ejected - readmit workers ejected beyond the pool's limit
 *
 * The limit falls when other workers of the pool become unusable.
 */
void route_limit_ejected(struct route_pool *pool);

/* route_decay_score - lower the failure score by the time that has passed */
void route_decay_score(struct route_worker *worker, int64_t now_ms);

/* route_load - requests in progress, plus a penalty for a failing worker */
uint64_t route_load(const struct route_worker *worker);

#endif
