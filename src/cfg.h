/*
 * NAME
 *	cfg - queues of jobs and pools of workers, as operators configured them
 *
 * A configuration is read-only once it is in force; a newer one replaces it
 * as a whole.
 */
#ifndef CFG_H
#define CFG_H

#include <stdbool.h>
#include <stdint.h>

#include "limit.h"

enum { CFG_HOST_BYTES = 256, CFG_PREFIX_BYTES = 512 };

struct cfg_queue {
	char name[LIMIT_NAME_BYTES];
	char host[CFG_HOST_BYTES];
	char prefix[CFG_PREFIX_BYTES];
	char pool[LIMIT_NAME_BYTES];
	int32_t priority; /* 0 comes first */
	int32_t attempts; /* failed runs of a task that end its job */
	double stretch;	  /* objective: this many times the chain of work, */
	int64_t slack_ms; /* and so much more */
	bool advised;	  /* starts need a ticket of the advice service */
};

struct cfg_pool {
	char name[LIMIT_NAME_BYTES];
	bool guarded; /* its workers refuse what exceeds their capacity */
	bool standby; /* its hosts are off */
};

struct cfg {
	int64_t version;
	int64_t max_body_bytes;
	uint32_t queue_count;
	struct cfg_queue *queues;
	uint32_t pool_count;
	struct cfg_pool *pools;
};

void cfg_destroy(struct cfg *cfg);

/*
 * cfg_route - queue of a request
 *
 * The host is compared without its port and without regard to case; of the
 * queues that fit, the one with the longest prefix is taken.
 *
 * RETURN VALUE
 *	The queue, with rest at what follows the prefix; NULL if none fits.
 */
const struct cfg_queue *cfg_route(const struct cfg *cfg, const char *host,
				  const char *path, const char **rest);

/* cfg_queue_find, cfg_pool_find - by name, or NULL; cfg may be NULL */
const struct cfg_queue *cfg_queue_find(const struct cfg *cfg, const char *name);
const struct cfg_pool *cfg_pool_find(const struct cfg *cfg, const char *name);

#endif
