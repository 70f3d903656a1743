#include "node.h"

#include <string.h>

#include "job_view.h"
#include "liveness.h"
#include "log.h"
#include "node_metrics.h"
#include "share.h"
#include "standby.h"

enum {
	NODE_JOBS_PART = 0,
	/* The last parts of the group's topic that do not stand for shares of
	   pools; the second to last one stands for the hosts. */
	NODE_OTHER_PARTS = 4,
	NODE_HOSTS_PART_FROM_END = 2,
	/* Membership of the group. */
	NODE_TTL_MS = 1500,
	NODE_RENEW_MS = 400,
	/* Between two reads of a stream, and how long a read may wait. */
	NODE_FOLLOW_GAP_MS = 150,
	NODE_OWNER_GAP_MS = 30,
	NODE_FOLLOW_WAIT_MS = 1500,
	/* The log counts as reachable while the newest answered read began
	   less than this ago. */
	NODE_LOG_AGE_MS = 2 * NODE_FOLLOW_WAIT_MS + 500,
	NODE_WORKERS_GAP_MS = 500,
	NODE_OWNER_WORKERS_GAP_MS = 60,
	NODE_APPEND_GAP_MS = 15,
	NODE_APPEND_BYTES = 1024 * 1024,
	NODE_LEASE_MS = 4000,
	/* How long an owner without the log keeps renewing leases. */
	NODE_DISCONNECTED_MS = 2500,
	/* The node reports not ready after the log has been unreachable for
	   this long. */
	NODE_UNREADY_MS = 1500,
	NODE_MIN_STOP_MS = 500,
	NODE_POOL_KEY_BYTES = LIMIT_NAME_BYTES + 12
};

#define NODE_JOBS_TOPIC "keyed.jobs"
/* Key of the record with which a decider (see standby.h) announces itself. */
#define NODE_DECIDER_KEY "d:decider"
#define NODE_GROUP_TOPIC "pools"
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

static void pool_key(char *key, const char *name, uint32_t index)
{
	g_snprintf(key, NODE_POOL_KEY_BYTES, "%s/%u", name, index);
}

static struct pool *find_pool(const struct node *node, const char *name,
			      uint32_t index)
{
	char key[NODE_POOL_KEY_BYTES];

	pool_key(key, name, index);
	return g_hash_table_lookup(node->pools, key);
}

/* Creates the pools of the configuration that do not exist yet. */
static void create_pools(struct node *node)
{
	for (uint32_t i = 0; node->cfg && i < node->cfg->pool_count; i++)
		for (uint32_t k = 0; k < node->share_count; k++) {
			struct share share = {
				.pool = node->cfg->pools[i].name,
				.index = k,
				.count = node->share_count,
			};
			char *key;

			if (find_pool(node, share.pool, k))
				continue;
			key = g_malloc(NODE_POOL_KEY_BYTES);
			pool_key(key, share.pool, k);
			g_hash_table_insert(
				node->pools, key,
				pool_create(&node->pool_env, &share));
		}
}

static void apply_cfg(struct node *node, const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	struct cfg *cfg = NULL;

	if (node->config.decoders.cfg(record->value, record->value_len, &cfg,
				      &err) < 0) {
		log_error("configuration at offset %" G_GINT64_FORMAT
			  " rejected: %s",
			  record->offset, err.text);
		return;
	}
	if (node->cfg && cfg->version <= node->cfg->version) {
		cfg_destroy(cfg);
		return;
	}
	log_info("configuration-in-force version=%" G_GINT64_FORMAT
		 " offset=%" G_GINT64_FORMAT,
		 cfg->version, record->offset);
	cfg_destroy(node->previous_cfg);
	node->previous_cfg = node->cfg;
	node->cfg = cfg;
	create_pools(node);
}

static void apply_wave(struct node *node, const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	struct host_wave wave;

	if (node->config.decoders.wave(record->value, record->value_len, &wave,
				       &err) < 0)
		log_error("wave at offset %" G_GINT64_FORMAT " rejected: %s",
			  record->offset, err.text);
	else
		maint_add_wave(node->maint, &wave,
			       tail_loaded(node->operators_tail));
}

static void on_operator_record(void *arg, const struct stream_record *record)
{
	struct node *node = arg;
	const struct node_streams *streams = &node->config.streams;
	char *key = g_strndup(record->key, record->key_len);

	if (record->value && !strcmp(key, streams->cfg_key))
		apply_cfg(node, record);
	else if (record->value && g_str_has_prefix(key, streams->wave_prefix))
		apply_wave(node, record);
	g_free(key);
}

static void on_worker_record(void *arg, const struct stream_record *record)
{
	struct node *node = arg;
	struct err err = { .kind = ERR_OK };
	struct worker_entry entry;
	char *id = g_strndup(record->key, record->key_len);

	if (!record->value)
		worker_unlist(node->workers, id);
	else if (node->config.decoders.worker(id, record->value,
					      record->value_len, &entry,
					      &err) < 0) {
		log_warn("entry of worker %.60s rejected: %s", id, err.text);
		worker_unlist(node->workers, id);
	} else {
		worker_put(node->workers, &entry);
	}
	g_free(id);
}

/* The reload lists the workers that still exist; all others are gone. */
static void on_registry_reload(void *arg)
{
	struct node *node = arg;

	for (guint i = 0; i < node->workers->list->len; i++) {
		struct worker *worker = node->workers->list->pdata[i];

		worker->listed = false;
	}
}

static bool owns_job(const struct node *node, const struct job *job)
{
	const struct pool *pool;

	if (!job || !node->share_count)
		return false;
	pool = find_pool(node, job->pool, share_of_job(job, node->share_count));
	return pool && pool_is_owned(pool);
}

static void apply_host_plan(struct node *node,
			    const struct stream_record *record)
{
	struct err err = { .kind = ERR_OK };
	char *host = g_strndup(record->key + 2, record->key_len - 2);

	if (host_plan_apply(node->plans, host, record->offset, record->value,
			    record->value_len, maint_is_owner(node->maint),
			    clk_now_ms(node->config.clk), &err) < 0)
		log_error("plan of host %s at offset %" G_GINT64_FORMAT
			  " cannot be read: %s",
			  host, record->offset, err.text);
	g_free(host);
}

static bool has_key(const struct stream_record *record, const char *key)
{
	return record->key_len == strlen(key) &&
	       !memcmp(record->key, key, record->key_len);
}

/* The first record holds for good: owners act on the number. */
static void apply_shares(struct node *node, const struct stream_record *record)
{
	uint32_t count = record->value ? share_count_parse(record->value,
							   record->value_len)
				       : 0;

	if (node->share_count)
		return;
	if (!count) {
		log_error("number of shares at offset %" G_GINT64_FORMAT
			  " cannot be read",
			  record->offset);
		return;
	}
	log_info("shares-decided count=%u offset=%" G_GINT64_FORMAT, count,
		 record->offset);
	node->share_count = count;
	create_pools(node);
}

/*
 * A key is a letter for the kind of record (j: job, c: cancellation, p:
 * progress, h: host plan), a colon, and the job's id or the host's name.
 */
static void on_job_record(void *arg, const struct stream_record *record)
{
	struct node *node = arg;
	struct err err = { .kind = ERR_OK };
	char id[JOB_ID_BYTES];
	int status = 0;

	if (record->key_len > 2 && !memcmp(record->key, "h:", 2)) {
		apply_host_plan(node, record);
		return;
	}
	if (has_key(record, NODE_SHARES_KEY)) {
		apply_shares(node, record);
		return;
	}
	if (has_key(record, NODE_DECIDER_KEY)) {
		/* While loading, the record may be old: the log retains the
		   newest of each key without limit. */
		if (tail_loaded(node->jobs_tail))
			standby_note_announcement(&node->standby,
						  clk_now_ms(node->config.clk));
		return;
	}
	if (record->key_len != JOB_ID_BYTES + 1 || record->key[1] != ':')
		return;
	memcpy(id, record->key + 2, JOB_ID_BYTES - 1);
	id[JOB_ID_BYTES - 1] = 0;
	if (!record->value) {
		if (record->key[0] == 'j')
			job_remove(node->jobs, id);
		return;
	}
	switch (record->key[0]) {
	case 'j':
		status = job_apply_submission(node->jobs, id, record->offset,
					      record->value, record->value_len,
					      &err);
		break;
	case 'c':
		job_apply_cancel(node->jobs, id);
		break;
	case 'p':
		status = job_apply_progress(
			node->jobs, id, record->offset, record->value,
			record->value_len,
			owns_job(node, job_find(node->jobs, id)), &err);
		break;
	}
	if (status < 0)
		log_error("record %c of job %s at offset %" G_GINT64_FORMAT
			  " cannot be read: %s",
			  record->key[0], id, record->offset, err.text);
}

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
			    NODE_FOLLOW_WAIT_MS, on_operator_record, NULL);
	node->registry_tail = create_tail(
		node, config->streams.workers, NODE_WORKERS_GAP_MS,
		NODE_FOLLOW_WAIT_MS, on_worker_record, on_registry_reload);
	node->jobs_tail = create_tail(node, jobs, NODE_FOLLOW_GAP_MS,
				      NODE_FOLLOW_WAIT_MS, on_job_record, NULL);
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

/*
 * Part of the group's topic that stands for a share. Adjacent parts are
 * assigned to the same member, so the shares are ordered by index and then by a
 * hash of the pool's name: neighbours belong to different pools, whose loads
 * rarely peak together.
 */
static int32_t share_part(const struct node *node, const struct share *share)
{
	uint32_t hash = g_str_hash(share->pool);
	uint32_t total = g_hash_table_size(node->pools);
	uint32_t pools = total / share->count;
	uint32_t rank = 0;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct share *other = pool_share(value);
		uint32_t other_hash = g_str_hash(other->pool);

		rank += other->index == share->index &&
			(other_hash < hash ||
			 (other_hash == hash &&
			  strcmp(other->pool, share->pool) < 0));
	}
	return (int32_t)((share->index * pools + rank) *
			 (node->config.settings->group_parts -
			  NODE_OTHER_PARTS) /
			 total);
}

/*
 * Decides the number of shares, once in the life of a deployment, as the owner
 * of the hosts: nobody else can write then, and it has read all that was
 * written before.
 */
static void decide_shares(struct node *node)
{
	uint32_t hosts;
	char text[8];

	if (!maint_is_owner(node->maint)) {
		node->shares_proposed = false;
		return;
	}
	if (node->share_count || node->shares_proposed ||
	    !maint_count_hosts(node->maint, &hosts))
		return;
	node->shares_proposed = true;
	g_snprintf(text, sizeof(text), "%u",
		   share_count_for(hosts, node->config.settings->share_hosts));
	log_info("shares-proposed count=%s hosts=%u", text, hosts);
	maint_store(node->maint, NODE_SHARES_KEY, text, strlen(text));
}

static void tick_ownership(struct node *node)
{
	bool loaded = tail_loaded(node->jobs_tail) &&
		      tail_loaded(node->registry_tail);
	int32_t hosts_part = (int32_t)node->config.settings->group_parts -
			     NODE_HOSTS_PART_FROM_END;
	bool owner = false;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		int32_t part = share_part(node, pool_share(pool));

		if (!node->stopping && loaded &&
		    group_has_part(node->group, part)) {
			pool_assign(pool, part, group_generation(node->group),
				    group_authority_end_ms(node->group));
			owner = true;
		} else {
			pool_revoke(pool);
		}
		pool_tick(pool);
	}
	if (!node->stopping && loaded && node->cfg &&
	    group_has_part(node->group, hosts_part)) {
		maint_assign(node->maint, hosts_part,
			     group_generation(node->group),
			     group_authority_end_ms(node->group));
		owner = true;
	} else {
		maint_revoke(node->maint);
	}
	decide_shares(node);
	maint_tick(node->maint);
	tail_set_gap(node->registry_tail,
		     owner ? NODE_OWNER_WORKERS_GAP_MS : NODE_WORKERS_GAP_MS);
	tail_set_gap(node->jobs_tail,
		     owner ? NODE_OWNER_GAP_MS : NODE_FOLLOW_GAP_MS);
}

/* An empty read is answered only after NODE_FOLLOW_WAIT_MS, and the age counts
   from the start of the read. */
static bool log_answered_recently(const struct node *node)
{
	return tail_loaded(node->jobs_tail) &&
	       tail_age_ms(node->jobs_tail) < NODE_LOG_AGE_MS;
}

/* Joins or leaves the group; announces this node while it is a decider. */
static void tick_membership(struct node *node)
{
	int64_t now_ms = clk_now_ms(node->config.clk);
	int64_t heard_ms = node->standby.heard_ms;
	const char *name = node->config.settings->name;

	if (tail_loaded(node->jobs_tail))
		heard_ms = now_ms - tail_age_ms(node->jobs_tail);
	group_set_wanted(node->group,
			 standby_decides(&node->standby, heard_ms));
	group_tick(node->group);
	if (tail_loaded(node->jobs_tail) && !node->stopping &&
	    now_ms < group_authority_end_ms(node->group) &&
	    standby_must_announce(&node->standby, now_ms))
		writer_add(node->writer, NODE_DECIDER_KEY, name, strlen(name),
			   NULL, NULL);
}

void node_tick(struct node *node)
{
	tail_tick(node->operators_tail);
	tail_tick(node->registry_tail);
	tail_tick(node->jobs_tail);
	tick_membership(node);
	liveness_tick(node->liveness);
	tick_ownership(node);
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

static int64_t count_waiting_tasks(const struct node *node)
{
	int64_t count = 0;

	for (guint i = 0; i < node->jobs->live->len; i++) {
		struct job_pos pos = { .job = node->jobs->live->pdata[i] };

		if (!owns_job(node, pos.job))
			continue;
		while (job_next_task(&pos))
			count += pos.task->state == TASK_WAITING;
	}
	return count;
}

static int64_t count_owned_pools(const struct node *node)
{
	GHashTableIter iter;
	int64_t count = 0;
	void *value;

	g_hash_table_iter_init(&iter, node->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += pool_is_owned(value);
	return count;
}

char *node_metrics(const struct node *node, apr_pool_t *pool)
{
	struct node_gauges gauges = {
		.pools_owned = count_owned_pools(node),
		.hosts_held = maint_is_owner(node->maint),
		.jobs_live = node->jobs->live->len,
		.tasks_waiting = count_waiting_tasks(node),
		.cfg_version = node->cfg ? node->cfg->version : -1,
		.ready = node_ready(node),
		.stream_age_ms = tail_age_ms(node->jobs_tail),
		.append_stalled_ms = writer_stalled_ms(node->writer),
	};

	for (guint i = 0; i < node->workers->list->len; i++) {
		const struct worker *worker = node->workers->list->pdata[i];

		gauges.workers_listed += worker->listed;
	}
	return node_metrics_text(pool, &node->front_env, &node->pool_env,
				 &node->maint_env, &gauges);
}

struct json_object *node_view(const struct node *node, const char *path)
{
	static const char jobs_path[] = "/v1/jobs";
	struct job_view view = {
		.cfg = node->cfg,
		.jobs = node->jobs,
		.workers = node->workers,
		.wall_ms = clk_wall_ms(node->config.clk),
	};
	char id[JOB_ID_BYTES];
	const char *suffix;

	if (!strcmp(path, jobs_path))
		return job_view_list(&view);
	if (!g_str_has_prefix(path, "/v1/jobs/"))
		return NULL;
	path += strlen("/v1/jobs/");
	g_strlcpy(id, path, sizeof(id));
	if (!job_valid_id(id))
		return NULL;
	suffix = path + JOB_ID_BYTES - 1;
	if (!*suffix)
		return job_view_one(&view, id);
	return strcmp(suffix, "/explain") ? NULL : job_view_explain(&view, id);
}

bool node_owns(const struct node *node, const char *name)
{
	const struct pool *pool = find_pool(node, name, 0);

	return pool && pool_is_owned(pool);
}

struct front *node_front(struct node *node)
{
	return node->front;
}

const struct cfg *const *node_cfg(const struct node *node)
{
	return (const struct cfg *const *)&node->cfg;
}
