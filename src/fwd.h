/*
 * NAME
 *	fwd - forwards callers' requests to workers
 *
 * Each request ends in one of three outcomes: answered, surely not run, or
 * unknown. An answer is passed on only when it is whole.
 */
#ifndef FWD_H
#define FWD_H

#include <stdbool.h>
#include <stdint.h>

#include "admit.h"
#include "ctr.h"
#include "evloop.h"
#include "rte.h"
#include "web.h"

struct fwd;

enum fwd_counter {
	FWD_ANSWERED,
	FWD_NOT_RUN,
	FWD_UNKNOWN,
	FWD_RETRIES,
	FWD_REFUSED_BY_WORKER,
	FWD_FAILED_AT_WORKER,
	FWD_TRUNCATED,
	/* One for each priority. */
	FWD_QUEUED,
	FWD_STARTED = FWD_QUEUED + ADMIT_PRIORITIES,
	FWD_SHED = FWD_STARTED + ADMIT_PRIORITIES,
	FWD_EXPIRED = FWD_SHED + ADMIT_PRIORITIES,
	FWD_IN_FLIGHT = FWD_EXPIRED + ADMIT_PRIORITIES,
	FWD_URGENT_WAIT_SUM_MS,
	FWD_URGENT_WAIT_MAX_MS,
	FWD_CANCELLED_QUEUED,
	FWD_CANCELLED_IN_FLIGHT,
	FWD_COUNTER_COUNT
};

/*
 * Claims of idempotency keys, which keep a non-idempotent request from running
 * twice across entry hosts. Times are those of the loop's clock, but for
 * key_time_ms, the caller's wall clock when it first used the key.
 */
struct fwd_claims {
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

struct fwd_config {
	struct evloop *evloop;
	struct rte *rte;
	struct ctr *ctr;
	size_t first_counter; /* index of FWD_ANSWERED in ctr */
	/* Whether requests may go to other data centres now. */
	bool (*remote_allowed)(void *arg);
	/*
	 * This member's part of the team's quota, in requests in flight; 0 if
	 * the team has none. NULL: no team has one.
	 */
	uint32_t (*quota)(void *arg, const char *team);
	void *arg;
	const struct fwd_claims *claims;   /* NULL: keys are not claimed */
	const struct admit_policy *policy; /* NULL: admit_standard */
};

struct fwd *fwd_create(const struct fwd_config *config);
void fwd_destroy(struct fwd *fwd);

/*
 * fwd_start - forward a request; answers it now or later
 *
 * It waits in a queue until a worker of its pool has a free slot.
 */
void fwd_start(struct fwd *fwd, struct web_request *request);

/* fwd_dispatch - start what may start, after a change of the workers */
void fwd_dispatch(struct fwd *fwd);

/* fwd_refuse - answer that the request was not run, with the reason */
void fwd_refuse(struct fwd *fwd, struct web_request *request, int kind,
		const char *text);

/* fwd_active - requests under way */
uint32_t fwd_active(const struct fwd *fwd);

#endif
