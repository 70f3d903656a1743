#include "node_int.h"

#include "log.h"

enum {
	NODE_JOBS_PART = 0,
	/* Membership of the group. */
	NODE_TTL_MS = 1500,
	NODE_RENEW_MS = 400,
	/* How long a read of a stream may wait. */
	NODE_FOLLOW_WAIT_MS = 1500,
	/* The log counts as reachable while the newest answered read began
	   less than this ago. */
	NODE_LOG_AGE_MS = 2 * NODE_FOLLOW_WAIT_MS + 500,
	NODE_APPEND_GAP_MS = 15,
	NODE_APPEND_BYTES = 1024 * 1024,
	NODE_LEASE_MS = 4000,
	/* How long an owner whose membership has run out gives full leases. A
	   successor waits for them where it cannot reach a worker, and a
	   long-running task counts as lost when it has not run for 9 s: 6 s
	   without a run, and 3 s with room for it. */
	NODE_DISCONNECTED_MS = 1000,
	/* The node reports not ready after the log has been unreachable for
	   this long. */
	NODE_UNREADY_MS = 1500,
	NODE_MIN_STOP_MS = 500
};

#define NODE_JOBS_TOPIC "keyed.jobs"
#define NODE_GROUP_TOPIC "pools"

static struct tail *
create_tail(struct node *node, struct stream_id id, int64_t gap_ms,
	    int64_t wait_ms, void (*fn)(void *, const struct stream_record *),
	    void (*on_reload)(void *))
{
	struct tail_config config = {
		.io = node->config.stream,
		.clk = node->config.clk,
		.id = id,
		.gap_ms = gap_ms,
		.wait_ms = wait_ms,
		.on_record = fn,
		.on_reload = on_reload,
		.arg = node,
	};

	return tail_create(&config);
}

static void create_writer(struct node *node, struct stream_id jobs)
{
	char *producer =
		g_strdup_printf("node-%s-%s", node->config.settings->name,
				node->config.incarnation);
	struct writer_config config = {
		.io = node->config.stream,
		.clk = node->config.clk,
		.id = jobs,
		.producer = producer,
		.epoch = 1,
		.gap_ms = NODE_APPEND_GAP_MS,
		.max_bytes = NODE_APPEND_BYTES,
	};

	node->writer = writer_create(&config);
	g_free(producer);
}

static void create_group(struct node *node)
{
	char *member = g_strdup_printf("%s-%s", node->config.settings->name,
				       node->config.incarnation);
	struct group_config config = {
		.io = node->config.stream,
		.clk = node->config.clk,
		.name = "owners",
		.member = member,
		.topic = NODE_GROUP_TOPIC,
		.ttl_ms = NODE_TTL_MS,
		.renew_ms = NODE_RENEW_MS,
	};

	node->group = group_create(&config);
	g_free(member);
}

static int64_t worker_lease_ms(const struct node *node)
{
	return MIN(NODE_LEASE_MS, node->config.settings->lease_max_ms);
}

static void free_pool(void *pool)
{
	pool_destroy(pool);
}

struct node *node_create(const struct node_config *config)
{
	struct stream_id jobs = { NODE_JOBS_TOPIC, NODE_JOBS_PART };
	struct node *node = g_new0(struct node, 1);
	struct liveness_config liveness = { .clk = config->clk,
					    .io = config->hosts };

	node->config = *config;
	node->jobs = job_store_create(config->decoders.spec);
	node->workers = worker_table_create();
	liveness.workers = node->workers;
	node->plans = host_plans_create();
	node->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_pool);
	node->operators_tail =
		create_tail(node, config->streams.operators, 0,
			    NODE_FOLLOW_WAIT_MS, node_on_operator_record, NULL);
	node->registry_tail =
		create_tail(node, config->streams.workers, NODE_WORKERS_GAP_MS,
			    NODE_FOLLOW_WAIT_MS, node_on_worker_record,
			    node_on_registry_reload);
	node->jobs_tail =
		create_tail(node, jobs, NODE_FOLLOW_GAP_MS, NODE_FOLLOW_WAIT_MS,
			    node_on_job_record, NULL);
	create_writer(node, jobs);
	create_group(node);
	standby_init(&node->standby, config->settings, clk_now_ms(config->clk));
	node->pool_env = (struct pool_env){
		.clk = config->clk,
		.stream = config->stream,
		.id = jobs,
		.orders = config->orders,
		.jobs = node->jobs,
		.workers = node->workers,
		.plans = node->plans,
		.tail = node->jobs_tail,
		.cfg = (const struct cfg *const *)&node->cfg,
		.lease_ms = worker_lease_ms(node),
		.job_retention_ms = config->settings->job_keep_ms,
		.membership_ms = NODE_TTL_MS,
		.disconnected_ms = NODE_DISCONNECTED_MS,
	};
	node->maint_env = (struct maint_env){
		.clk = config->clk,
		.stream = config->stream,
		.id = jobs,
		.status = config->streams.status,
		.status_prefix = config->streams.wave_prefix,
		.io = config->hosts,
		.node_name = config->settings->name,
		.jobs = node->jobs,
		.workers = node->workers,
		.plans = node->plans,
		.tail = node->jobs_tail,
		.cfg = (const struct cfg *const *)&node->cfg,
		.order_lease_ms = config->settings->order_lease_ms,
		.membership_ms = NODE_TTL_MS,
		.share_count = &node->share_count,
	};
	node->maint = maint_create(&node->maint_env);
	node->liveness = liveness_create(&liveness);
	node->front_env = (struct front_env){
		.clk = config->clk,
		.cfg = (const struct cfg *const *)&node->cfg,
		.share_count = &node->share_count,
		.jobs = node->jobs,
		.workers = node->workers,
		.tail = node->jobs_tail,
		.writer = node->writer,
	};
	node->front = front_create(&node->front_env);
	return node;
}

void node_destroy(struct node *node)
{
	if (!node)
		return;
	g_hash_table_destroy(node->pools);
	maint_destroy(node->maint);
	liveness_destroy(node->liveness);
	host_plans_destroy(node->plans);
	group_destroy(node->group);
	front_destroy(node->front);
	writer_destroy(node->writer);
	tail_destroy(node->operators_tail);
	tail_destroy(node->registry_tail);
	tail_destroy(node->jobs_tail);
	job_store_destroy(node->jobs);
	worker_table_destroy(node->workers);
	cfg_destroy(node->cfg);
	cfg_destroy(node->previous_cfg);
	g_free(node);
}

/* An empty read is answered only after NODE_FOLLOW_WAIT_MS, and the age counts
   from the start of the read. */
static bool log_answered_recently(const struct node *node)
{
	return tail_loaded(node->jobs_tail) &&
	       tail_age_ms(node->jobs_tail) < NODE_LOG_AGE_MS;
}

void node_tick(struct node *node)
{
	tail_tick(node->operators_tail);
	tail_tick(node->registry_tail);
	tail_tick(node->jobs_tail);
	node_tick_membership(node);
	liveness_tick(node->liveness);
	node_tick_pools(node);
	front_tick(node->front);
	writer_tick(node->writer);
}

void node_settings_changed(struct node *node)
{
	node->pool_env.lease_ms = worker_lease_ms(node);
	node->maint_env.order_lease_ms = node->config.settings->order_lease_ms;
}

void node_stop(struct node *node, int64_t end_ms)
{
	if (node->stopping)
		return;
	log_info("stop: handing over the pools");
	node->stopping = true;
	node->stop_ms = clk_now_ms(node->config.clk);
	front_end_by(node->front, end_ms);
	group_leave(node->group);
}

bool node_stopped(const struct node *node)
{
	return node->stopping && !front_count_pending(node->front) &&
	       writer_idle(node->writer) &&
	       clk_now_ms(node->config.clk) - node->stop_ms >= NODE_MIN_STOP_MS;
}

/*
 * Whether this node can reach the log. A decider renews its membership in the
 * group through the log; other nodes only read.
 */
static bool log_reachable(const struct node *node)
{
	int64_t now_ms = clk_now_ms(node->config.clk);

	if (node->standby.decides)
		return now_ms <
		       group_authority_end_ms(node->group) + NODE_UNREADY_MS;
	return log_answered_recently(node);
}

bool node_ready(const struct node *node)
{
	return !node->stopping && node->cfg && node->share_count &&
	       tail_loaded(node->jobs_tail) &&
	       tail_loaded(node->registry_tail) && log_reachable(node) &&
	       writer_stalled_ms(node->writer) < NODE_UNREADY_MS;
}

struct front *node_front(struct node *node)
{
	return node->front;
}

const struct cfg *const *node_cfg(const struct node *node)
{
	return (const struct cfg *const *)&node->cfg;
}
