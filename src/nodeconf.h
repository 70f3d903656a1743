/*
 * NAME
 *	nodeconf - settings of a node, JSON with comments
 *
 * Fields that are not known are ignored, so that newer files can be read. A
 * wrong value is refused with the file, its path, the value and what is
 * wanted.
 */
#ifndef NODECONF_H
#define NODECONF_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "limit.h"

struct nodeconf_address {
	char host[LIMIT_ADDRESS_BYTES];
	uint16_t port;
};

struct nodeconf {
	char name[LIMIT_NAME_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	struct nodeconf_address callers;
	struct nodeconf_address readiness;
	struct nodeconf_address metrics;	/* port 0: not served */
	char log_service[LIMIT_ADDRESS_BYTES];	/* address:port */
	char host_service[LIMIT_ADDRESS_BYTES]; /* address:port; empty: none */
	int64_t lease_max_ms;	/* longest lease that workers give */
	int64_t stop_grace_ms;	/* from the stop signal to the kill */
	int64_t order_lease_ms; /* between two holders of a host's orders */
	int64_t job_keep_ms;	/* ended jobs can be asked for */
	double core_share;	/* processor of this node, in cores */
	double link_mbps;	/* of its network link */
	/* With less of either a node decides only if no other one does. */
	double decider_core_share;
	double decider_link_mbps;
};

/*
 * nodeconf_load - read and check a file
 *
 * ERRORS
 *	ERR_IO		it cannot be read
 *	ERR_INVALID	a value is wrong; settings are unchanged
 */
int nodeconf_load(const char *path, struct nodeconf *settings, struct err *err);
int nodeconf_parse(const char *text, size_t len, struct nodeconf *settings,
		   struct err *err);

#endif
