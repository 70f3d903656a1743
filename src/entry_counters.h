/*
 * NAME
 *	entry_counters - counters and gauges of plank-entryd
 */
#ifndef ENTRY_COUNTERS_H
#define ENTRY_COUNTERS_H

#include "claim_log.h"
#include "counters.h"
#include "proxy.h"

/* The counters of proxy and of claim_log take a range each. */
enum entry_counter {
	ENTRY_REQUESTS,
	ENTRY_PROXY,
	ENTRY_CLAIMS = ENTRY_PROXY + PROXY_COUNTER_COUNT,
	ENTRY_MALFORMED = ENTRY_CLAIMS + CLAIM_LOG_COUNTER_COUNT,
	ENTRY_ACTIVE,
	ENTRY_READY,
	ENTRY_NEXT_OFFSET,
	ENTRY_LEASE_LEFT_MS,
	ENTRY_STATE_AGE_MS,
	ENTRY_PLATFORM_AGE_MS,
	ENTRY_EJECTIONS,
	ENTRY_PROBES,
	ENTRY_FAILURES_UNDONE,
	ENTRY_NO_FIT,
	ENTRY_COUNTER_COUNT
};

extern const struct counters_def entry_counters[ENTRY_COUNTER_COUNT];

#endif
