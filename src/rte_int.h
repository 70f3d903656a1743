/*
 * NAME
 *	rte_int - what rte.c, rte_share.c and rte_result.c share
 *
 * Only these three include this header.
 */
#ifndef RTE_INT_H
#define RTE_INT_H

#include <apr_hash.h>
#include <apr_pools.h>

#include "rte.h"
#include "tbl.h"

struct rte_pool {
	uint32_t count;
	uint32_t usable;
	uint32_t ejected; /* of the usable ones */
	struct rte_worker **workers;
	struct rte_worker *lent; /* used for one request beyond the shares */
};

struct rte {
	const char *member;
	const char *data_centre;
	struct rnd *rnd;
	struct tbl *workers;
	apr_pool_t *index_pool;
	apr_hash_t *pools; /* "team/pool" to struct rte_pool */
	uint32_t retry_budget;
	uint64_t members_of; /* fingerprint of the members */
	bool remote_allowed;
	bool isolated; /* only this data centre's members share */
	struct rte_stats stats;
};

/* rte_hash_members - identifies what the shares depend on */
uint64_t rte_hash_members(const struct fleet *fleet);

/*
 * rte_share_slots - give each slot and connection of the workers to a member
 *
 * The pools must have been indexed.
 */
void rte_share_slots(struct rte *rte, const struct fleet *fleet);

/* rte_limit_ejected - let workers ejected beyond the pool's limit return */
void rte_limit_ejected(struct rte_pool *pool);

/* rte_decay_score - forget failures as time passes */
void rte_decay_score(struct rte_worker *worker, int64_t now_ms);

/* rte_load - requests in progress, and more for a worker that fails */
uint64_t rte_load(const struct rte_worker *worker);

#endif
