/*
 * NAME
 *	cfg - configuration of job queues, worker pools and organisations, made by
 *	operators
 *
 * A configuration is immutable; a newer version replaces it as a whole.
 */
#ifndef CFG_H
#define CFG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "limit.h"

enum {
	/* Of a queue; any text that is not empty. */
	CFG_QUEUE_NAME_BYTES = 256,
	CFG_HOST_BYTES = 256,
	CFG_PREFIX_BYTES = 512,
	CFG_KEY_BYTES = 256 /* of an organisation */
};

/* Times it, the longest path of a job is a time within 64 bits. */
#define CFG_MAX_STRETCH 1e6

/* What a job of a queue is accepted under; stored with the job. */
struct cfg_terms {
	int32_t priority; /* 0 is the highest */
	/* Failed runs of a task after which the job fails; 0: not known. */
	int32_t attempts;
	/* A job's objective: slack_ms plus stretch times the estimate of its
	   longest chain of steps. */
	double stretch;
	int64_t slack_ms;
};

struct cfg_queue {
	char name[CFG_QUEUE_NAME_BYTES];
	char http_host[CFG_HOST_BYTES]; /* HTTP host of its requests */
	char prefix[CFG_PREFIX_BYTES];	/* of the path of its requests */
	char pool[LIMIT_NAME_BYTES];
	struct cfg_terms terms;
	bool needs_ticket; /* starts need a ticket of the advice service */
	bool is_public;	   /* requests need no key */
	int64_t timeout_ms; /* of a request, as clients are told; 0: none given */
};

struct cfg_pool {
	char name[LIMIT_NAME_BYTES];
	bool enforces_capacity; /* its workers refuse starts beyond their capacity */
	bool standby;		/* parking pool; its hosts are powered off */
};

/* What tasks use, or may use at most; 0: no limit. */
struct cfg_room {
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t gpu;
};

/* An organisation whose requests carry one of its keys. */
struct cfg_tenant {
	char name[LIMIT_NAME_BYTES];
	/* Its share when all is full, relative to others; also the jobs a second
	   that it is entitled to submit. */
	double weight;
	struct cfg_room max_running; /* of its tasks, over all workers */
	uint32_t key_count;
	char **keys; /* secret: not to be logged */
};

struct cfg {
	int64_t version;
	int64_t max_body_bytes;
	int64_t header_timeout_ms; /* 0: not given, likewise idle */
	int64_t idle_timeout_ms;
	uint32_t queue_count;
	struct cfg_queue *queues;
	uint32_t pool_count;
	struct cfg_pool *pools;
	bool has_tenants; /* requests need keys, but to public queues */
	uint32_t tenant_count;
	struct cfg_tenant *tenants;
	GHashTable *tenants_by_key; /* key -> struct cfg_tenant; NULL: none */
};

void cfg_destroy(struct cfg *cfg);

/*
 * cfg_route - queue of a request, by HTTP host and path
 *
 * The host is compared without its port and ignoring case; of the matching
 * queues, the one with the longest prefix wins. host may be NULL.
 *
 * RETURN VALUE
 *	The queue; *suffix then points into path, behind the prefix. NULL if no
 *	queue matches.
 */
const struct cfg_queue *cfg_route(const struct cfg *cfg, const char *host,
				  const char *path, const char **suffix);

/* cfg_queue_find, cfg_pool_find - look up by name; cfg may be NULL */
const struct cfg_queue *cfg_queue_find(const struct cfg *cfg, const char *name);
const struct cfg_pool *cfg_pool_find(const struct cfg *cfg, const char *name);

/* cfg_tenant_find - organisation by name, or NULL; cfg may be NULL */
const struct cfg_tenant *cfg_tenant_find(const struct cfg *cfg,
					 const char *name);

/* cfg_tenant_of_key - organisation that has the key, or NULL */
const struct cfg_tenant *cfg_tenant_of_key(const struct cfg *cfg,
					   const char *key);

/* cfg_has_limit - whether what the organisation may have running is limited */
bool cfg_has_limit(const struct cfg_tenant *tenant);

#endif
