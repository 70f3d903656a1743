/*
 * NAME
 *	route - choice of a worker for a request
 *
 * Keeps what one entry daemon knows of the workers: requests in progress,
 * refusals and failures. Makes no calls and reads no clock.
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
	bool data_centre_live; /* a member there is live, or it has none */
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	uint32_t slots;
	uint32_t connections;
	uint32_t in_flight;
	struct route_pool *pool; /* NULL: in no pool */

	/* Shares of this entry daemon among all live members, and among those
	   of its own data centre. */
	uint32_t own_slots;
	uint32_t own_connections;
	uint32_t near_slots;
	uint32_t near_connections;
	/* Slots and connections that the shares are corrected by, so that no
	   member is without any at a pool that has enough of them. */
	int32_t own_shift;
	int32_t near_shift;
	uint64_t shares_of; /* fingerprint of what the shares follow from */

	uint32_t score; /* rises with failures, falls with answers and time */
	int64_t score_ms;
	bool ejected;
	bool probing;	      /* the next result is that of a probe */
	uint32_t probe_steps; /* doublings of the interval between probes */
	int64_t probe_at_ms;
	uint32_t leaving_count; /* refusals as leaving in a row */
	int64_t avoid_until_ms; /* refused lately */
};

/* A worker host of the platform's list. */
struct route_listed {
	const char *name;
	bool leaving;
};

/*
 * route_create - nothing known yet
 *
 * member is the entry daemon's own name as a member. All arguments stay in
 * use.
 */
struct route *route_create(const char *member, const char *data_centre,
			   struct rnd *rnd);
void route_destroy(struct route *route);

/*
 * route_sync - take over the workers and members of the state
 *
 * listed is the platform's list, if has_list; a host that it does not name
 * is gone. Requests in progress are kept for hosts that serve no more.
 */
void route_sync(struct route *route, const struct fleet *fleet, bool has_list,
		const struct route_listed *listed, uint32_t count);

/*
 * route_sync_members - take over the members of the state
 *
 * Each slot and connection of a worker belongs to one live member, by
 * rendezvous hashing of worker, number and member. An entry daemon that is not
 * a member in the state uses all of them. Returns at once if no member joined,
 * left, expired or was renewed after expiry.
 */
void route_sync_members(struct route *route, const struct fleet *fleet);

/*
 * route_set_lease - whether the lease for other data centres holds
 *
 * over_ms is the time since it ended, 0 while it holds. Once it has been over
 * for LIMIT_EXPIRE_MS, the members of other data centres no longer send to
 * workers of this one, so its own members share these among themselves.
 */
void route_set_lease(struct route *route, int64_t over_ms);

struct route_query {
	const char *team;
	const char *pool;
	int64_t now_ms;
	bool remote_allowed; /* the lease for other data centres is valid */
	bool idempotent;     /* may serve as a probe */
	int64_t cpu_milli;   /* declared sizes; 0: not declared */
	int64_t mem_mib;
	int64_t accelerators;
	uint32_t tried_count;
	const char *const *tried; /* names of workers not to choose again */
};

/*
 * route_pick - choose a worker and count a request in progress there
 *
 * ERRORS
 *	ERR_NOT_FOUND	no such pool
 *	ERR_NO_FIT	no worker of the pool is large enough
 *	ERR_NO_WORKER	no worker of the pool may be used
 *	ERR_OVERLOAD	all of them are full
 */
int route_pick(struct route *route, const struct route_query *query,
	       struct route_worker **worker);

/*
 * route_check - whether a pool could ever take a request
 *
 * ERRORS
 *	ERR_NOT_FOUND	no such pool
 *	ERR_NO_FIT	no worker of the pool is large enough
 *	ERR_NO_WORKER	this entry daemon has no slots at its workers
 */
int route_check(struct route *route, const struct route_query *query);

/* route_largest_text - text for ERR_NO_FIT that names the largest sizes */
void route_largest_text(const struct route *route, const char *team,
			const char *pool, char *text, size_t size);

struct route_capacity {
	uint32_t slots;	    /* that this entry daemon may use at once */
	uint32_t in_flight; /* its requests at those workers */
};

/* route_pool_capacity - own slots at a pool's usable workers; 0 if unknown */
void route_pool_capacity(const struct route *route, const char *team,
			 const char *pool, struct route_capacity *capacity);

enum route_result {
	ROUTE_ANSWERED,
	ROUTE_REFUSED,	 /* the worker said that it did not run the request */
	ROUTE_LEAVING,	 /* the same, because the worker is leaving */
	ROUTE_ABANDONED, /* ended on this side; says nothing of the worker */
	ROUTE_FAILED	 /* reset, timeout, truncated answer or 5xx */
};

/* route_done - the request picked for the worker has ended */
void route_done(struct route *route, struct route_worker *worker,
		enum route_result result, int64_t now_ms);

/*
 * route_take_back - a failure counted at a worker was the request's own fault
 *
 * For a request that failed on two distinct workers: it says nothing about
 * them. Undoes an ejection that the failure caused.
 */
void route_take_back(struct route *route, const char *name);

struct route_stats {
	int64_t ejections;
	int64_t probes;
	int64_t taken_back; /* failures */
	int64_t no_fit;	    /* requests larger than every worker */
};

/* route_stats - counts since route_create */
const struct route_stats *route_stats(const struct route *route);

/* route_in_flight - requests in progress at a host */
uint32_t route_in_flight(const struct route *route, const char *host);

/*
 * route_may_retry - take a retry from the budget
 *
 * Each request adds a part of a retry, so that retries stay a bounded share
 * of the load and cannot feed an overload.
 */
bool route_may_retry(struct route *route);

#endif
