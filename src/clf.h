/*
 * NAME
 *	clf - connects the claims of an entry daemon to the platform's log
 *
 * Follows the claims stream by long poll, appends batches of claims, and is
 * the table of claims that fwd calls. While the log does not answer, claims
 * wait until their deadline.
 */
#ifndef CLF_H
#define CLF_H

#include <stdint.h>

#include "ctr.h"
#include "evl.h"
#include "fwd.h"
#include "plt.h"

struct clf;

enum clf_counter {
	CLF_CLAIMS,
	CLF_LOST,
	CLF_RELEASES,
	CLF_TOO_OLD,
	CLF_APPENDS,
	CLF_INVALID,
	CLF_KEYS,
	CLF_READ_AGE_MS, /* -1: never read */
	CLF_COUNTER_COUNT
};

struct clf_config {
	struct evl *evl;
	struct plt *plt;
	struct ctr *ctr;
	size_t first_counter; /* index of CLF_CLAIMS in ctr */
	const char *author;
	int64_t incarnation;
	const char *process; /* unique to the process: LIM_ID_BYTES */
	int64_t window_ms;
	/* Live members, which share the rate of appends. */
	uint32_t (*live_members)(void *arg);
	void *arg;
};

/* clf_create - start following; NULL if memory is short */
struct clf *clf_create(const struct clf_config *config);

/* clf_destroy - to be called after plt_destroy and before evl_destroy */
void clf_destroy(struct clf *clf);

/* clf_claims - table for fwd; the text of a refusal tells the reason */
const struct fwd_claims *clf_claims(const struct clf *clf);

#endif
