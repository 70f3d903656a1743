/*
 * NAME
 *	rte - choice of a worker for a request
 *
 * Keeps what one entry daemon knows of the workers: requests in progress,
 * refusals and failures. Makes no calls and reads no clock.
 */
#ifndef RTE_H
#define RTE_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "fleet.h"
#include "rnd.h"

struct rte;

struct rte_pool;

struct rte_worker {
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
	struct rte_pool *pool; /* NULL: in no pool */

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
struct rte_listed {
	const char *name;
	bool leaving;
};

/*
 * rte_create - nothing known yet
 *
 * member is the entry daemon's own name as a member. All arguments stay in
 * use.
 */
struct rte *rte_create(const char *member, const char *data_centre,
		       struct rnd *rnd);
void rte_destroy(struct rte *rte);

/*
 * rte_sync - take over the workers and members of the state
 *
 * listed is the platform's list, if has_list; a host that it does not name
 * is gone. Requests in progress are kept for hosts that serve no more.
 */
void rte_sync(struct rte *rte, const struct fleet *fleet, bool has_list,
	      const struct rte_listed *listed, uint32_t count);

/*
 * rte_sync_members - take over the members of the state
 *
 * Each slot and connection of a worker belongs to one live member, by
 * rendezvous hashing of worker, number and member. An entry daemon that is not
 * a member in the state uses all of them. Returns at once if no member joined,
 * left, expired or was renewed after expiry.
 */
void rte_sync_members(struct rte *rte, const struct fleet *fleet);

/*
 * rte_set_lease - whether the lease for other data centres holds
 *
 * over_ms is the time since it ended, 0 while it holds. Once it has been over
 * for LIMIT_EXPIRE_MS, the members of other data centres no longer send to
 * workers of this one, so its own members share these among themselves.
 */
void rte_set_lease(struct rte *rte, int64_t over_ms);

struct rte_query {
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
 * rte_pick - choose a worker and count a request in progress there
 *
 * ERRORS
 *	ERR_NOT_FOUND	no such pool
 *	ERR_NO_FIT	no worker of the pool is large enough
 *	ERR_NO_WORKER	no worker of the pool may be used
 *	ERR_OVERLOAD	all of them are full
 */
int rte_pick(struct rte *rte, const struct rte_query *query,
	     struct rte_worker **worker);

/*
 * rte_check - whether a pool could ever take a request
 *
 * ERRORS
 *	ERR_NOT_FOUND	no such pool
 *	ERR_NO_FIT	no worker of the pool is large enough
 *	ERR_NO_WORKER	this entry daemon has no slots at its workers
 */
int rte_check(struct rte *rte, const struct rte_query *query);

/* rte_largest_text - text for ERR_NO_FIT that names the largest sizes */
void rte_largest_text(const struct rte *rte, const char *team, const char *pool,
		      char *text, size_t size);

struct rte_capacity {
	uint32_t slots;	    /* that this entry daemon may use at once */
	uint32_t in_flight; /* its requests at those workers */
};

/* rte_pool_capacity - own slots at a pool's usable workers; 0 if unknown */
void rte_pool_capacity(const struct rte *rte, const char *team,
		       const char *pool, struct rte_capacity *capacity);

enum rte_result {
	RTE_ANSWERED,
	RTE_REFUSED,   /* the worker said that it did not run the request */
	RTE_LEAVING,   /* the same, because the worker is leaving */
	RTE_ABANDONED, /* ended on this side; says nothing of the worker */
	RTE_FAILED     /* reset, timeout, truncated answer or 5xx */
};

/* rte_done - the request picked for the worker has ended */
void rte_done(struct rte *rte, struct rte_worker *worker,
	      enum rte_result result, int64_t now_ms);

/*
 * rte_take_back - a failure counted at a worker was the request's own fault
 *
 * For a request that failed on two distinct workers: it says nothing about
 * them. Undoes an ejection that the failure caused.
 */
void rte_take_back(struct rte *rte, const char *name);

struct rte_stats {
	int64_t ejections;
	int64_t probes;
	int64_t taken_back; /* failures */
	int64_t no_fit;	    /* requests larger than every worker */
};

/* rte_stats - counts since rte_create */
const struct rte_stats *rte_stats(const struct rte *rte);

/* rte_in_flight - requests in progress at a host */
uint32_t rte_in_flight(const struct rte *rte, const char *host);

/*
 * rte_may_retry - take a retry from the budget
 *
 * Each request adds a part of a retry, so that retries stay a bounded share
 * of the load and cannot feed an overload.
 */
bool rte_may_retry(struct rte *rte);

#endif
