/*
 * NAME
 *	node - one node: reads the log into its state, runs the pools that it
 *	owns, serves callers and operators
 */
#ifndef NODE_H
#define NODE_H

#include <apr_pools.h>
#include <json-c/json.h>

#include "evloop.h"
#include "front.h"
#include "group.h"
#include "maint.h"
#include "order.h"
#include "pool.h"
#include "nodeconf.h"
#include "stream.h"
#include "tail.h"
#include "writer.h"

struct node;

/* Decoders of the messages that operators and workers write to the log. */
struct node_decoders {
	int (*cfg)(const char *text, size_t len, struct cfg **cfg,
		   struct err *err);
	int (*spec)(const char *text, size_t len, struct job_spec *spec,
		    struct err *err);
	int (*wave)(const char *text, size_t len, struct host_wave *wave,
		    struct err *err);
	int (*worker)(const char *id, const char *text, size_t len,
		      struct worker_entry *entry, struct err *err);
};

/* Streams shared with operators and workers, and keys in them. */
struct node_streams {
	struct stream_id operators; /* written by operators */
	struct stream_id workers;   /* the registry of workers */
	struct stream_id status;    /* progress of waves, for operators */
	const char *cfg_key;	    /* of the configuration, in operators */
	const char *wave_prefix; /* of a wave's key, in operators and status */
};

struct node_config {
	const struct clk *clk;
	const struct nodeconf *settings;
	const struct stream_io *stream;
	const struct order_io *orders;
	const struct host_io *hosts;
	struct node_decoders decoders;
	struct node_streams streams;
	const char *incarnation; /* unique to this start of the process */
};

struct node *node_create(const struct node_config *config);
void node_destroy(struct node *node);
void node_tick(struct node *node);

/* node_note_tick - note when a tick comes, see lag_note; called before it */
void node_note_tick(struct node *node, int64_t interval_ms, int64_t busy_ms);

/* node_settings_changed - apply changes of config.settings */
void node_settings_changed(struct node *node);

/*
 * node_stop - start to hand over all pools; poll node_stopped for the end
 *
 * Requests are answered before end_ms, the latest end of the process.
 */
void node_stop(struct node *node, int64_t end_ms);
bool node_stopped(const struct node *node);

/* node_ready - whether the node can serve callers */
bool node_ready(const struct node *node);

/* node_metrics - counters and latencies as text, allocated from the pool */
char *node_metrics(const struct node *node, apr_pool_t *pool);

/*
 * node_view - JSON that operators get at a path
 *
 * Serves "/v1/jobs", "/v1/jobs/ID" and "/v1/jobs/ID/explain".
 *
 * RETURN VALUE
 *	NULL if the path or the job is unknown; free with json_object_put.
 */
struct json_object *node_view(const struct node *node, const char *path);

/* node_owns - whether this node has taken over the first share of the pool */
bool node_owns(const struct node *node, const char *pool);

struct front *node_front(struct node *node);
/* node_cfg - the configuration in force; points to NULL until there is one */
const struct cfg *const *node_cfg(const struct node *node);

#endif
