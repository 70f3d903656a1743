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
#include "fst.h"
#include "rnd.h"

struct rte;

struct rte_worker {
	char name[LIM_NAME_BYTES];
	char address[LIM_ADDRESS_BYTES];
	uint16_t port;
	bool local;  /* in the entry host's own data centre */
	bool usable; /* serves, and the platform lists it as live */
	uint32_t slots;
	uint32_t in_flight;
	uint32_t failures;	/* in a row */
	int64_t avoid_until_ms; /* refused or failed lately */
};

/* A worker host of the platform's list. */
struct rte_listed {
	const char *name;
	bool leaving;
};

/* rte_create - nothing known yet; rnd stays in use */
struct rte *rte_create(const char *data_centre, struct rnd *rnd);
void rte_destroy(struct rte *rte);

/*
 * rte_sync - take over the workers of the state
 *
 * listed is the platform's list, if has_list; a host that it does not name
 * is gone. Requests in progress are kept for hosts that serve no more.
 */
void rte_sync(struct rte *rte, const struct fst *fst, bool has_list,
	      const struct rte_listed *listed, uint32_t count);

struct rte_query {
	const char *team;
	const char *pool;
	int64_t now_ms;
	bool remote_allowed; /* the lease for other data centres is valid */
	uint32_t tried_count;
	const char *const *tried; /* names of workers not to choose again */
};

/*
 * rte_pick - choose a worker and count a request in progress there
 *
 * ERRORS
 *	ERR_NOT_FOUND	no such pool
 *	ERR_NO_WORKER	no worker of the pool may be used
 *	ERR_OVERLOAD	all of them are full
 */
int rte_pick(struct rte *rte, const struct rte_query *query,
	     struct rte_worker **worker);

struct rte_capacity {
	uint32_t slots;	    /* that this entry daemon may use at once */
	uint32_t in_flight; /* its requests at those workers */
};

/* rte_pool_capacity - capacity of a pool's usable workers; 0 if unknown */
void rte_pool_capacity(const struct rte *rte, const char *team,
		       const char *pool, struct rte_capacity *capacity);

enum rte_result {
	RTE_ANSWERED,
	RTE_REFUSED, /* the worker said that it did not run the request */
	RTE_FAILED
};

/* rte_done - the request picked for the worker has ended */
void rte_done(struct rte *rte, struct rte_worker *worker,
	      enum rte_result result, int64_t now_ms);

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
