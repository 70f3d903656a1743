#include "node_int.h"

#include "log.h"
#include "rnd.h"

enum {
	/* In the index, a submission waits for its second append. */
	NODE_INDEX_GAP_MS = 20,
	/* States and loads that the owners publish there are batched. */
	NODE_PUBLISH_GAP_MS = 50,
	/* Membership of the group. */
	NODE_TTL_MS = 1500,
	NODE_RENEW_MS = 400,
	/* How long a read of a stream may wait. */
	NODE_FOLLOW_WAIT_MS = 1500,
	NODE_JOBS_WAIT_MS = 1000,
	/* The operators' stream is read so often that its age stays below the
	   second figure while reads are answered; above, a read in progress is
	   late. Nodes must follow a change within 2,000 ms in some deployments,
	   so that an older configuration decides nothing. */
	NODE_CFG_WAIT_MS = 600,
	NODE_CFG_CONFIRM_MS = 2 * NODE_CFG_WAIT_MS + 50,
	NODE_CFG_MAX_AGE_MS = 1800,
	/* A node that is about to refuse requests for that is not ready, so that
	   callers are sent to others. Above NODE_CFG_CONFIRM_MS. */
	NODE_CFG_UNREADY_MS = 1500,
	/* Starts must follow a worker that drains within 2,000 ms in some
	   deployments. */
	NODE_REGISTRY_CONFIRM_MS = 1200,
	NODE_REGISTRY_MAX_AGE_MS = 1800,
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
	/* An empty read is answered after NODE_JOBS_WAIT_MS, and the age counts
	   from the start of the one before. */
	NODE_MAX_STREAM_AGE_MS = 2 * NODE_JOBS_WAIT_MS + 500,
	/* The node reports not ready after the log has been unreachable for
	   this long. */
	NODE_UNREADY_MS = 1500,
	NODE_MIN_STOP_MS = 500,
	/* A node that stops stays a member so long at most, to store what the
	   next owner of the hosts is to know. */
	NODE_HAND_OVER_MS = 200
};

#define NODE_JOBS_TOPIC "keyed.jobs"
#define NODE_INDEX_TOPIC "keyed.index"
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

static struct writer *create_writer(struct node *node, struct stream_id id,
				    const char *producer, int64_t gap_ms)
{
	struct writer_config config = {
		.io = node->config.stream,
		.clk = node->config.clk,
		.id = id,
		.producer = producer,
		.epoch = 1,
		.gap_ms = gap_ms,
		.max_bytes = NODE_APPEND_BYTES,
	};

	return writer_create(&config);
}

static struct stream_id jobs_stream(uint32_t part)
{
	return (struct stream_id){ NODE_JOBS_TOPIC, (int32_t)part };
}

static const struct stream_id index_stream = { NODE_INDEX_TOPIC, 0 };

static void create_jobs_tail(struct node *node, uint32_t part)
{
	node->jobs_tails[part] =
		create_tail(node, jobs_stream(part), NODE_FOLLOW_GAP_MS,
			    NODE_JOBS_WAIT_MS, node_on_job_record, NULL);
	tail_set_following(node->jobs_tails[part], node->follows_jobs);
}

struct ownership_stream node_jobs_stream(const struct node *node, uint32_t part)
{
	return (struct ownership_stream){
		.id = jobs_stream(part),
		.tail = node->jobs_tails[part],
	};
}

/* Until a layout is known, part 0 may have the records of an older build. */
static void use_first_streams(struct node *node)
{
	const struct ownership_stream streams[] = {
		[NODE_INDEX_STREAM] = { index_stream, node->index_tail },
		[NODE_FIRST_JOBS_STREAM] = node_jobs_stream(node, 0),
	};

	maint_set_streams(node->maint, streams, G_N_ELEMENTS(streams));
}

void node_use_layout(struct node *node, const struct share_layout *layout)
{
	struct ownership_stream streams[SHARE_MAX_COUNT];

	node->layout = *layout;
	job_store_set_shares(node->jobs, layout->shares);
	worker_table_set_shares(node->workers, layout->shares);
	for (uint32_t i = 0; i < layout->parts; i++) {
		if (!node->jobs_tails[i])
			create_jobs_tail(node, i);
		node->front_env.job_writers[i] =
			create_writer(node, jobs_stream(i), node->producer,
				      NODE_APPEND_GAP_MS);
		streams[i] = node_jobs_stream(node, i);
	}
	maint_set_streams(node->maint, streams, layout->parts);
	node_create_pools(node);
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
	struct node *node = g_new0(struct node, 1);
	char *publisher;
	struct liveness_config liveness = {
		.clk = config->clk,
		.io = config->hosts,
		.cfg = (const struct cfg *const *)&node->cfg
	};

	node->config = *config;
	node->jobs = job_store_create(config->decoders.spec);
	job_room_set(&node->jobs->room, config->settings->max_tasks,
		     config->settings->max_job_bytes);
	node->jobs->room.max_checkpoint_bytes =
		config->settings->max_checkpoint_bytes;
	node->workers = worker_table_create();
	liveness.workers = node->workers;
	node->plans = host_plans_create();
	bound_table_init(&node->bounds);
	quota_table_init(&node->quotas);
	node->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_pool);
	node->operators_tail =
		create_tail(node, config->streams.operators, 0,
			    NODE_CFG_WAIT_MS, node_on_operator_record, NULL);
	tail_set_confirm(node->operators_tail, NODE_CFG_CONFIRM_MS);
	node->registry_tail =
		create_tail(node, config->streams.workers, NODE_WORKERS_GAP_MS,
			    NODE_FOLLOW_WAIT_MS, node_on_worker_record,
			    node_on_registry_reload);
	tail_set_confirm(node->registry_tail, NODE_REGISTRY_CONFIRM_MS);
	standby_init(&node->standby, config->settings, clk_now_ms(config->clk));
	node->follows_jobs = node->standby.decides;
	tail_set_following(node->registry_tail, node->follows_jobs);
	node->index = index_create();
	backlogs_init(&node->backlogs);
	node->index_tail =
		create_tail(node, index_stream, NODE_FOLLOW_GAP_MS,
			    NODE_FOLLOW_WAIT_MS, node_on_index_record, NULL);
	create_jobs_tail(node, 0);
	node->producer = g_strdup_printf("node-%s-%s", config->settings->name,
					 config->incarnation);
	node->index_writer = create_writer(node, index_stream, node->producer,
					   NODE_INDEX_GAP_MS);
	publisher = g_strconcat(node->producer, "-owner", NULL);
	node->publisher = create_writer(node, index_stream, publisher,
					NODE_PUBLISH_GAP_MS);
	g_free(publisher);
	create_group(node);
	node->pool_env = (struct pool_env){
		.clk = config->clk,
		.stream = config->stream,
		.orders = config->orders,
		.jobs = node->jobs,
		.workers = node->workers,
		.plans = node->plans,
		.bounds = &node->bounds,
		.index = node->index,
		.publisher = node->publisher,
		.cfg = (const struct cfg *const *)&node->cfg,
		.quotas = &node->quotas,
		.operators = node->operators_tail,
		.max_cfg_age_ms = NODE_CFG_MAX_AGE_MS,
		.record_bytes = config->settings->log_record_bytes,
		.lease_ms = worker_lease_ms(node),
		.lease_max_ms = config->settings->lease_max_ms,
		.job_retention_ms = config->settings->job_keep_ms,
		.membership_ms = NODE_TTL_MS,
		.disconnected_ms = NODE_DISCONNECTED_MS,
		.max_stream_age_ms = NODE_MAX_STREAM_AGE_MS,
		.registry = node->registry_tail,
		.max_registry_age_ms = NODE_REGISTRY_MAX_AGE_MS,
		.lag = &node->lag,
		.reserve_room = config->settings->reserve_room,
	};
	node->maint_env = (struct maint_env){
		.clk = config->clk,
		.stream = config->stream,
		.status = config->streams.status,
		.status_prefix = config->streams.wave_prefix,
		.io = config->hosts,
		.node_name = config->settings->name,
		.jobs = node->jobs,
		.workers = node->workers,
		.plans = node->plans,
		.cfg = (const struct cfg *const *)&node->cfg,
		.order_lease_ms = config->settings->order_lease_ms,
		.membership_ms = NODE_TTL_MS,
		.layout = &node->layout,
		.bounds = &node->bounds,
		.quotas = &node->quotas,
	};
	node->maint = maint_create(&node->maint_env);
	use_first_streams(node);
	node->liveness = liveness_create(&liveness);
	if (config->settings->rate_window_ms) {
		struct rate_config rate = {
			.window_ms = config->settings->rate_window_ms,
			.overage = config->settings->rate_overage,
			.slack_jobs = config->settings->rate_slack_jobs,
		};

		node->rate = rate_create(&rate);
	}
	node->front_env = (struct front_env){
		.clk = config->clk,
		.cfg = (const struct cfg *const *)&node->cfg,
		.layout = &node->layout,
		.jobs_loaded = &node->jobs_loaded,
		.jobs = node->jobs,
		.workers = node->workers,
		.index = node->index,
		.backlogs = &node->backlogs,
		.index_tail = node->index_tail,
		.operators_tail = node->operators_tail,
		.max_cfg_age_ms = NODE_CFG_MAX_AGE_MS,
		.index_writer = node->index_writer,
		.record_bytes = config->settings->log_record_bytes,
		.token_base = rnd_hash_name(node->producer),
		.rate = node->rate,
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
	bound_table_clear(&node->bounds);
	quota_table_clear(&node->quotas);
	rate_destroy(node->rate);
	group_destroy(node->group);
	front_destroy(node->front);
	writer_destroy(node->index_writer);
	writer_destroy(node->publisher);
	tail_destroy(node->operators_tail);
	tail_destroy(node->registry_tail);
	tail_destroy(node->index_tail);
	for (uint32_t i = 0; i < SHARE_MAX_COUNT; i++) {
		writer_destroy(node->front_env.job_writers[i]);
		tail_destroy(node->jobs_tails[i]);
	}
	index_destroy(node->index);
	g_free(node->producer);
	backlogs_clear(&node->backlogs);
	job_store_destroy(node->jobs);
	worker_table_destroy(node->workers);
	cfg_destroy(node->cfg);
	cfg_destroy(node->previous_cfg);
	g_free(node);
}

bool node_jobs_loaded(const struct node *node)
{
	bool loaded = node->index_known && tail_loaded(node->registry_tail);

	for (uint32_t i = 0; i < MAX(node->layout.parts, 1); i++)
		loaded &= tail_loaded(node->jobs_tails[i]);
	return loaded;
}

int64_t node_jobs_age_ms(const struct node *node)
{
	int64_t age_ms = tail_age_ms(node->index_tail);

	for (uint32_t i = 0; node->follows_jobs && i < node->layout.parts; i++)
		age_ms = MAX(age_ms, tail_age_ms(node->jobs_tails[i]));
	return age_ms;
}

int64_t node_stalled_ms(const struct node *node)
{
	int64_t stalled_ms = MAX(writer_stalled_ms(node->index_writer),
				 writer_stalled_ms(node->publisher));

	for (uint32_t i = 0; i < node->layout.parts; i++)
		stalled_ms =
			MAX(stalled_ms,
			    writer_stalled_ms(node->front_env.job_writers[i]));
	return stalled_ms;
}

static bool writers_idle(const struct node *node)
{
	bool idle =
		writer_idle(node->index_writer) && writer_idle(node->publisher);

	for (uint32_t i = 0; i < node->layout.parts; i++)
		idle &= writer_idle(node->front_env.job_writers[i]);
	return idle;
}

/* An empty read is answered only after NODE_FOLLOW_WAIT_MS, and the age counts
   from the start of the read. */
static bool log_answered_recently(const struct node *node)
{
	return tail_loaded(node->index_tail) &&
	       tail_age_ms(node->index_tail) < NODE_LOG_AGE_MS;
}

/*
 * Loads one part after the other: pages of all parts at once, by all large nodes
 * after a loss of power, would take longer than a call may.
 */
static void read_jobs(struct node *node)
{
	bool loading = false;

	for (uint32_t i = 0; i < MAX(node->layout.parts, 1); i++) {
		struct tail *tail = node->jobs_tails[i];

		if (!tail_loaded(tail) && loading)
			continue;
		loading |= !tail_loaded(tail);
		tail_tick(tail);
	}
}

void node_tick(struct node *node)
{
	tail_tick(node->operators_tail);
	tail_tick(node->index_tail);
	tail_tick(node->registry_tail);
	read_jobs(node);
	/* While it is read anew, what is known of it holds. */
	node->index_known |= tail_loaded(node->index_tail);
	node_tick_membership(node);
	liveness_tick(node->liveness);
	job_store_open_due(node->jobs, clk_wall_ms(node->config.clk));
	node_tick_pools(node);
	node_follow(node);
	node->jobs_loaded = node->follows_jobs && node_jobs_loaded(node);
	front_tick(node->front);
	for (uint32_t i = 0; i < node->layout.parts; i++)
		writer_tick(node->front_env.job_writers[i]);
	writer_tick(node->index_writer);
	writer_tick(node->publisher);
}

void node_note_tick(struct node *node, int64_t interval_ms, int64_t busy_ms)
{
	lag_note(&node->lag, clk_now_ms(node->config.clk), interval_ms,
		 busy_ms);
}

void node_settings_changed(struct node *node)
{
	node->pool_env.lease_ms = worker_lease_ms(node);
	node->pool_env.lease_max_ms = node->config.settings->lease_max_ms;
	node->pool_env.reserve_room = node->config.settings->reserve_room;
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
	maint_hand_over(node->maint);
}

bool node_hands_over(const struct node *node)
{
	int64_t passed_ms = clk_now_ms(node->config.clk) - node->stop_ms;

	return node->stopping && passed_ms < NODE_HAND_OVER_MS &&
	       !maint_handed_over(node->maint);
}

bool node_stopped(const struct node *node)
{
	return node->stopping && !front_count_pending(node->front) &&
	       writers_idle(node) &&
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
	return !node->stopping && node->cfg && node->layout.shares &&
	       tail_age_ms(node->operators_tail) < NODE_CFG_UNREADY_MS &&
	       tail_loaded(node->index_tail) &&
	       (!node->follows_jobs || node_jobs_loaded(node)) &&
	       log_reachable(node) && node_stalled_ms(node) < NODE_UNREADY_MS;
}

struct front *node_front(struct node *node)
{
	return node->front;
}

const struct cfg *const *node_cfg(const struct node *node)
{
	return (const struct cfg *const *)&node->cfg;
}
