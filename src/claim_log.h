/*
 * NAME
 *	claim_log - connects the claims of an entry daemon to the platform's log
 *
 * Follows the claims stream by long polling, appends batches of claims, and
 * implements the operations on claims that proxy calls. While the log does not
 * answer, claims stay pending until their deadline.
 */
#ifndef CLAIM_LOG_H
#define CLAIM_LOG_H

#include <stdint.h>

#include "counters.h"
#include "evloop.h"
#include "proxy.h"
#include "platclient.h"

struct claim_log;

enum claim_log_counter {
	CLAIM_LOG_CLAIMS,
	CLAIM_LOG_LOST,
	CLAIM_LOG_RELEASES,
	CLAIM_LOG_TOO_OLD,
	CLAIM_LOG_APPENDS,
	CLAIM_LOG_INVALID,
	CLAIM_LOG_KEYS,
	CLAIM_LOG_READ_AGE_MS, /* -1: never read */
	CLAIM_LOG_COUNTER_COUNT
};

struct claim_log_config {
	struct evloop *evloop;
	struct platclient *platclient;
	struct counters *counters;
	size_t first_counter; /* index of CLAIM_LOG_CLAIMS in counters */
	const char *author;
	int64_t incarnation;
	const char *process; /* unique to the process: LIMIT_ID_BYTES */
	int64_t window_ms;
	/* Number of live members, which share the rate of appends. */
	uint32_t (*live_members)(void *arg);
	void *arg;
};

/* claim_log_create - start following the stream; NULL if memory is short */
struct claim_log *claim_log_create(const struct claim_log_config *config);

/* claim_log_destroy - call after platclient_destroy, before evloop_destroy */
void claim_log_destroy(struct claim_log *claim_log);

/*
 * claim_log_claims - operations on claims, for proxy_config
 *
 * The text of a refusal states the reason.
 */
const struct proxy_claim_ops *
claim_log_claims(const struct claim_log *claim_log);

#endif
