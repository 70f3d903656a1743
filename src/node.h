/*
 * NAME
 *	node - one node: what it follows, what it owns, whom it answers
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

/* Decoders of what operators and workers write to the log. */
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

/* Streams that operators and workers write, and the key of the settings. */
struct node_streams {
	struct stream_id operators;
	struct stream_id workers;
	struct stream_id status; /* where operators read what became of it */
	const char *cfg_key;
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
	const char *incarnation; /* differs in each life of the process */
};

struct node *node_create(const struct node_config *config);
void node_destroy(struct node *node);
void node_tick(struct node *node);

/* node_settings_changed - the settings it was made with have changed */
void node_settings_changed(struct node *node);

/* node_stop - hand over all pools; node_stopped tells when it is done */
void node_stop(struct node *node);
bool node_stopped(const struct node *node);

/* node_ready - whether callers may be sent here */
bool node_ready(const struct node *node);

/* node_metrics - counters and latencies as text, allocated from the pool */
char *node_metrics(const struct node *node, apr_pool_t *pool);

/*
 * node_view - answer to an operator's path, as JSON; NULL: there is no such
 *
 * "/v1/jobs", "/v1/jobs/ID" and "/v1/jobs/ID/explain".
 */
struct json_object *node_view(const struct node *node, const char *path);

/* node_owns - whether this node has taken that pool over */
bool node_owns(const struct node *node, const char *pool);

struct front *node_front(struct node *node);
const struct cfg *const *node_cfg(const struct node *node);

#endif
