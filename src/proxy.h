/*
 * NAME
 *	proxy - forwards callers' requests to workers
 *
 * Each request ends in one of three outcomes: answered, surely not run, or
 * unknown. An answer is passed on only when it is whole.
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
	/* One for each priority. */
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
 * Claims of idempotency keys, which keep a non-idempotent request from running
 * twice across entry hosts. Times are those of the loop's clock, but for
 * key_time_ms, the caller's wall clock when it first used the key.
 */
struct proxy_claims {
	/*
	 * Claims a key; done is called once, at once or later, with
	 *	0		the claim was won: the request may be sent once
	 *	ERR_DUPLICATE	an earlier claim holds the key; text names it
	 *	ERR_GONE	the key is too old to tell; not run
	 *	ERR_UNAVAILABLE	the log did not answer until the deadline
	 */
	void (*claim)(void *arg, const char *team, const char *key,
		      int64_t key_time_ms, int64_t deadline_ms,
		      void (*done)(void *done_arg, const struct err *result),
		      void *done_arg);
	/*
	 * Releases a key that was won, after the request was surely not run.
	 * done is called once, when the release was read back or after a
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
	 * This member's part of the team's quota, in requests in flight; 0 if
	 * the team has none. NULL: no team has one.
	 */
	uint32_t (*quota)(void *arg, const char *team);
	void *arg;
	const struct proxy_claims *claims; /* NULL: keys are not claimed */
	const struct admit_policy *policy; /* NULL: admit_standard */
};

struct proxy *proxy_create(const struct proxy_config *config);
void proxy_destroy(struct proxy *proxy);

/*
 * proxy_start - forward a request; answers it now or later
 *
 * It waits in a queue until a worker of its pool has a free slot.
 */
void proxy_start(struct proxy *proxy, struct web_request *request);

/* proxy_dispatch - start what may start, after a change of the workers */
void proxy_dispatch(struct proxy *proxy);

/* proxy_refuse - answer that the request was not run, with the reason */
void proxy_refuse(struct proxy *proxy, struct web_request *request, int kind,
		  const char *text);

/* proxy_active - requests under way */
uint32_t proxy_active(const struct proxy *proxy);

#endif
