/*
 * NAME
 *	route - choice of a worker for a request
 *
 * Keeps one entry daemon's view of the workers: requests in progress, refusals
 * and failures. Does no I/O and reads no clock.
 */
#ifndef ROUTE_H
#define ROUTE_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "fleet.h"
#include "rnd.h"

struct route;

struct route_pool;

struct route_worker {
	char name[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	uint16_t port;
	bool local;	       /* in the entry host's own data centre */
	bool usable;	       /* serves, and the platform lists it as live */
	bool data_centre_live; /* has no members, or one that is live */
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	uint32_t slots;
	uint32_t connections;
	uint32_t in_flight;
	struct route_pool *pool; /* NULL: none */

	/* Shares of this entry daemon: first those among all live members, then
	   those among the live members of its own data centre only. */
	uint32_t own_slots;
	uint32_t own_connections;
	uint32_t isolated_slots;
	uint32_t isolated_connections;
	/* Added to the shares, in slots, so that every member has a slot in
	   each pool that has enough of them. */
	int32_t own_correction;
	int32_t isolated_correction;
	uint64_t
		shares_hash; /* hash of the members and limits last shared out */

	uint32_t score;	  /* failures raise it, answers and time lower it */
	int64_t score_ms; /* when the score was last lowered by time */
	bool ejected;
	bool probing;	      /* the next result is that of a probe */
	uint32_t probe_steps; /* doublings of the interval between probes */
	int64_t probe_at_ms;
	uint32_t leaving_count; /* consecutive refusals as leaving */
	int64_t avoid_until_ms; /* after a refusal */
};

/* A worker host in the platform's host list. */
struct route_listed {
	const char *name;
	bool leaving;
};

/*
 * route_create - create without any workers
 *
 * member is this entry daemon's name as a member. The arguments are not copied
 * and must outlive the result.
 *
 * RETURN VALUE
 *	NULL if memory is short.
 */
struct route *route_create(const char *member, const char *data_centre,
			   struct rnd *rnd);
void route_destroy(struct route *route);

/*
 * route_sync - update the workers and members from the fleet state
 *
 * listed is the platform's host list, valid if has_list is set; hosts that are
 * missing from it are unusable. A worker that no longer serves is kept until
 * its requests in progress have ended.
 */
void route_sync(struct route *route, const struct fleet *fleet, bool has_list,
		const struct route_listed *listed, uint32_t count);

/*
 * route_sync_members - update the members from the fleet state
 *
 * Each slot and connection of a worker belongs to one live member, chosen by
 * rendezvous hashing of worker, index and member. An entry daemon that is not
 * a member in the fleet state uses all of them. Does nothing unless a member
 * joined, left, expired or came back after expiry.
 */
void route_sync_members(struct route *route, const struct fleet *fleet);

/*
 * route_set_lease - set the state of the lease for other data centres
 *
 * expired_for_ms is the time since it expired, 0 while it is valid. After
 * LIMIT_EXPIRE_MS the members of other data centres no longer send to workers
 * of this data centre, so its own members divide these among themselves.
 */
void route_set_lease(struct route *route, int64_t expired_for_ms);

struct route_query {
	const char *team;
	const char *pool;
	int64_t now_ms;
	bool remote_allowed; /* the lease for other data centres is valid */
	bool idempotent;     /* may be used as a probe */
	int64_t cpu_milli;   /* declared sizes; 0: not declared */
	int64_t mem_mib;
	int64_t accelerators;
	uint32_t tried_count;
	const char *const *tried; /* names of workers to exclude */
};

/*
 * route_pick - choose a worker and count a request in progress there
 *
 * The caller must call route_done when the request has ended.
 *
 * ERRORS
 *	ERR_NOT_FOUND	no such pool
 *	ERR_NO_FIT	no worker of the pool is large enough
 *	ERR_NO_WORKER	no worker of the pool may be used
 *	ERR_OVERLOAD	all workers that may be used are full
 */
int route_pick(struct route *route, const struct route_query *query,
	       struct route_worker **worker);

/*
 * route_check - check whether a pool could take a request
 *
 * ERRORS
 *	ERR_NOT_FOUND	no such pool
 *	ERR_NO_FIT	no worker of the pool is large enough
 *	ERR_NO_WORKER	this entry daemon has no slots at its workers
 */
int route_check(struct route *route, const struct route_query *query);

/* route_largest_text - message for ERR_NO_FIT with the pool's largest sizes */
void route_largest_text(const struct route *route, const char *team,
			const char *pool, char *text, size_t size);

struct route_capacity {
	uint32_t slots;	    /* that this entry daemon may use */
	uint32_t in_flight; /* its requests at the workers that slots counts */
};

/*
 * route_pool_capacity - capacity of a pool's usable workers
 *
 * Both counts are 0 if the pool is unknown.
 */
void route_pool_capacity(const struct route *route, const char *team,
			 const char *pool, struct route_capacity *capacity);

enum route_result {
	ROUTE_ANSWERED,
	ROUTE_REFUSED,	 /* the worker reported that it did not run it */
	ROUTE_LEAVING,	 /* the same, because the worker is leaving */
	ROUTE_ABANDONED, /* cancelled here; no verdict on the worker */
	ROUTE_FAILED	 /* reset, timeout, truncated answer or 5xx */
};

/* route_done - record the result of a request started by route_pick */
void route_done(struct route *route, struct route_worker *worker,
		enum route_result result, int64_t now_ms);

/*
 * route_undo_failure - undo a failure that the request itself caused
 *
 * For a request that failed on two different workers: its failures are no
 * evidence against them. Also undoes an ejection that the failure caused.
 */
void route_undo_failure(struct route *route, const char *name);

struct route_stats {
	int64_t ejections;
	int64_t probes;
	int64_t failures_undone; /* failures undone by route_undo_failure */
	int64_t no_fit;		 /* requests larger than every worker */
};

/* route_stats - counters since route_create */
const struct route_stats *route_stats(const struct route *route);

/* route_in_flight - requests in progress at a host */
uint32_t route_in_flight(const struct route *route, const char *host);

/*
 * route_may_retry - spend one retry of the retry budget
 *
 * Each request adds a fraction of a retry to the budget, so that retries stay
 * a bounded share of the load and cannot amplify an overload.
 *
 * RETURN VALUE
 *	Whether the budget allowed it.
 */
bool route_may_retry(struct route *route);

#endif
