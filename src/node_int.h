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

#include "lag.h"
#include "liveness.h"
#include "node.h"
#include "share.h"
#include "standby.h"

enum {
	/* Between two reads of a stream while this node owns nothing. */
	NODE_FOLLOW_GAP_MS = 150,
	/* The same of the index, if the node reads the jobs as well. */
	NODE_OWNER_INDEX_GAP_MS = 300,
	NODE_WORKERS_GAP_MS = 500
};

/* Key in the index with which a decider (see standby.h) announces itself. */
#define NODE_DECIDER_KEY "d:decider"
/* Key in the index with the layout of shares; of older builds, in the jobs. */
#define NODE_SHARES_KEY "l:shares"

/* Streams that the owner of the hosts writes to while no layout is known. */
enum { NODE_INDEX_STREAM, NODE_FIRST_JOBS_STREAM };

struct node {
	struct node_config config;
	struct cfg *cfg;	  /* in force; NULL: none yet */
	struct cfg *previous_cfg; /* requests may still use it */
	struct job_store *jobs;
	struct worker_table *workers;
	struct tail *operators_tail;
	struct tail *registry_tail;
	struct tail *index_tail;
	struct tail
		*jobs_tails[SHARE_MAX_COUNT]; /* by part; NULL: no such part */
	char *producer; /* of this start of the process, to all streams */
	struct writer *index_writer; /* of callers' requests */
	struct writer *publisher;    /* to the index, of the shares owned */
	struct index *index;
	struct backlogs backlogs;
	/* Reads the jobs and the registry, as it may own shares or does so. */
	bool follows_jobs;
	bool index_known; /* the index has been read once */
	bool jobs_loaded; /* it does, and all of them have been read */
	bool jobs_read;	  /* they have been, once since it follows them */
	bool owner;	  /* of a share or the hosts, or takes one over */
	struct group *group;
	struct standby standby;
	struct front *front;
	struct front_env front_env;
	struct pool_env pool_env;
	struct host_plans *plans;
	struct bound_table bounds;
	struct quota_table quotas;
	struct rate *rate; /* of organisations; NULL: not limited */
	struct maint *maint;
	struct liveness *liveness;
	struct maint_env maint_env;
	GHashTable *pools; /* name and share -> struct pool */
	struct share_layout layout;
	struct share_layout older_layout; /* that an older build has stored */
	bool layout_proposed; /* by this node, in its tenure of the hosts */
	struct lag lag;
	bool stopping;
	int64_t stop_ms;
};

/* Callbacks of the tails; arg is the node. */
void node_on_operator_record(void *arg, const struct stream_record *record);
void node_on_worker_record(void *arg, const struct stream_record *record);
void node_on_job_record(void *arg, const struct stream_record *record);
void node_on_index_record(void *arg, const struct stream_record *record);

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

/* node_hands_over - whether it stops and still owns the hosts until that is stored */
bool node_hands_over(const struct node *node);

/* node_jobs_loaded - whether the jobs, the registry and the index are */
bool node_jobs_loaded(const struct node *node);

/* node_jobs_age_ms - age of what is known of the jobs, or of the index */
int64_t node_jobs_age_ms(const struct node *node);

/* node_stalled_ms - for how long an append of this node has not been confirmed */
int64_t node_stalled_ms(const struct node *node);

/* node_jobs_stream - a part of the jobs' stream */
struct ownership_stream node_jobs_stream(const struct node *node,
					 uint32_t part);

/* node_use_layout - follow and write the parts of a layout */
void node_use_layout(struct node *node, const struct share_layout *layout);

/* node_owner_of_job - the job's share, if this node has taken it over, or NULL */
struct pool *node_owner_of_job(const struct node *node, const struct job *job);

/* node_follow - begin or stop to read the jobs and the registry */
void node_follow(struct node *node);

/* node_tick_membership - join or leave the group; announce a decider */
void node_tick_membership(struct node *node);

/* node_tick_pools - take over or give up pools and hosts; run those owned */
void node_tick_pools(struct node *node);

#endif
