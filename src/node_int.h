/*
 * NAME
 *	node_int - internals shared by the files of module node
 *
 * node_records.c applies the records of the streams, node_pools.c decides which
 * pools and hosts this node takes over, node_view.c answers operators, and
 * node.c puts the modules together.
 */
#ifndef NODE_INT_H
#define NODE_INT_H

#include <glib.h>

#include "liveness.h"
#include "node.h"
#include "share.h"
#include "standby.h"

enum {
	/* Between two reads of a stream while this node owns nothing. */
	NODE_FOLLOW_GAP_MS = 150,
	NODE_WORKERS_GAP_MS = 500
};

/* Key of the record with which a decider (see standby.h) announces itself. */
#define NODE_DECIDER_KEY "d:decider"
/* Key of the record with the number of shares of each pool. */
#define NODE_SHARES_KEY "l:shares"

struct node {
	struct node_config config;
	struct cfg *cfg;	  /* in force; NULL: none yet */
	struct cfg *previous_cfg; /* requests may still use it */
	struct job_store *jobs;
	struct worker_table *workers;
	struct tail *operators_tail;
	struct tail *registry_tail;
	struct tail *jobs_tail;
	struct writer *writer;
	struct group *group;
	struct standby standby;
	struct front *front;
	struct front_env front_env;
	struct pool_env pool_env;
	struct host_plans *plans;
	struct maint *maint;
	struct liveness *liveness;
	struct maint_env maint_env;
	GHashTable *pools;    /* name and share -> struct pool */
	uint32_t share_count; /* of each pool; 0: not decided yet */
	bool shares_proposed; /* by this node, in its tenure of the hosts */
	bool stopping;
	int64_t stop_ms;
};

/* Callbacks of the tails; arg is the node. */
void node_on_operator_record(void *arg, const struct stream_record *record);
void node_on_worker_record(void *arg, const struct stream_record *record);
void node_on_job_record(void *arg, const struct stream_record *record);

/*
 * node_on_registry_reload - unlist all workers
 *
 * The reload lists those that still exist.
 */
void node_on_registry_reload(void *arg);

/* node_find_pool - a share of a pool, or NULL */
struct pool *node_find_pool(const struct node *node, const char *name,
			    uint32_t index);

/* node_create_pools - create the configured pools that do not exist yet */
void node_create_pools(struct node *node);

/* node_owns_job - whether this node has taken over the share of the job */
bool node_owns_job(const struct node *node, const struct job *job);

/* node_tick_membership - join or leave the group; announce a decider */
void node_tick_membership(struct node *node);

/* node_tick_pools - take over or give up pools and hosts; run those owned */
void node_tick_pools(struct node *node);

#endif
