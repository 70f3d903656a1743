/*
 * NAME
 *	proxy - forwards callers' requests to workers
 *
 * Each request has one of three outcomes: answered, not run, or unknown. An
 * answer is passed on only if it is complete.
 */
#ifndef PROXY_H
#define PROXY_H

#include <stdbool.h>
#include <stdint.h>

#include "admit.h"
#include "counters.h"
#include "evloop.h"
#include "route.h"
#include "web.h"

struct proxy;

enum proxy_counter {
	PROXY_ANSWERED,
	PROXY_NOT_RUN,
	PROXY_UNKNOWN,
	PROXY_RETRIES,
	PROXY_REFUSED_BY_WORKER,
	PROXY_FAILED_AT_WORKER,
	PROXY_TRUNCATED,
	/* The next four have one counter for each priority. */
	PROXY_QUEUED,
	PROXY_STARTED = PROXY_QUEUED + ADMIT_PRIORITIES,
	PROXY_SHED = PROXY_STARTED + ADMIT_PRIORITIES,
	PROXY_EXPIRED = PROXY_SHED + ADMIT_PRIORITIES,
	PROXY_IN_FLIGHT = PROXY_EXPIRED + ADMIT_PRIORITIES,
	PROXY_URGENT_WAIT_SUM_MS,
	PROXY_URGENT_WAIT_MAX_MS,
	PROXY_CANCELLED_QUEUED,
	PROXY_CANCELLED_IN_FLIGHT,
	PROXY_COUNTER_COUNT
};

/*
 * Operations on claims of idempotency keys, which keep a non-idempotent request
 * from running twice across entry hosts. Times are those of the event loop's
 * clock, except key_time_ms: the caller's wall-clock time when it first used
 * the key.
 */
struct proxy_claim_ops {
	/*
	 * Claims a key. done is called exactly once, possibly before the
	 * return, with
	 *	0		the claim was won: the request may be sent once
	 *	ERR_DUPLICATE	an earlier claim, named by text, holds the key
	 *	ERR_GONE	not run: the key is too old for all of its
	 *			earlier claims to be known
	 *	ERR_UNAVAILABLE	the log did not answer before the deadline
	 */
	void (*claim)(void *arg, const char *team, const char *key,
		      int64_t key_time_ms, int64_t deadline_ms,
		      void (*done)(void *done_arg, const struct err *result),
		      void *done_arg);
	/*
	 * Releases a key that was won for a request that was not run. done is
	 * called exactly once, when the release has been read back or after a
	 * bounded wait.
	 */
	void (*release)(void *arg, const char *team, const char *key,
			void (*done)(void *done_arg), void *done_arg);
	void *arg;
};

struct proxy_config {
	struct evloop *evloop;
	struct route *route;
	struct counters *counters;
	size_t first_counter; /* index of PROXY_ANSWERED in counters */
	/* Whether requests may go to other data centres now. */
	bool (*remote_allowed)(void *arg);
	/*
	 * This member's share of the team's quota, in requests in flight; 0 if
	 * the team has no quota. NULL: no team has one.
	 */
	uint32_t (*quota)(void *arg, const char *team);
	void *arg;
	const struct proxy_claim_ops *claims; /* NULL: keys are not claimed */
	const struct admit_policy *policy;    /* NULL: admit_standard */
};

struct proxy *proxy_create(const struct proxy_config *config);
void proxy_destroy(struct proxy *proxy);

/*
 * proxy_start - forward a request
 *
 * The request is queued until a worker of its pool has a free slot, and is
 * answered either before the return or later.
 */
void proxy_start(struct proxy *proxy, struct web_request *request);

/* proxy_dispatch - start queued requests; to be called after workers changed */
void proxy_dispatch(struct proxy *proxy);

/* proxy_refuse - answer a request as not run, with an error */
void proxy_refuse(struct proxy *proxy, struct web_request *request, int kind,
		  const char *text);

/* proxy_active - number of requests that have not been answered */
uint32_t proxy_active(const struct proxy *proxy);

#endif
