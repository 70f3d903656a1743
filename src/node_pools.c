#include "node_int.h"

#include <string.h>

#include "log.h"

enum {
	/* The last parts of the group's topic that do not stand for shares of
	   pools; the second to last one stands for the hosts. */
	NODE_OTHER_PARTS = 4,
	NODE_HOSTS_PART_FROM_END = 2,
	/* Between two reads of a stream while this node is an owner. */
	NODE_OWNER_GAP_MS = 30,
	NODE_OWNER_WORKERS_GAP_MS = 60,
	NODE_POOL_KEY_BYTES = LIMIT_NAME_BYTES + 12
};

static void pool_key(char *key, const char *name, uint32_t index)
{
	g_snprintf(key, NODE_POOL_KEY_BYTES, "%s/%u", name, index);
}

struct pool *node_find_pool(const struct node *node, const char *name,
			    uint32_t index)
{
	char key[NODE_POOL_KEY_BYTES];

	pool_key(key, name, index);
	return g_hash_table_lookup(node->pools, key);
}

void node_create_pools(struct node *node)
{
	for (uint32_t i = 0; node->cfg && i < node->cfg->pool_count; i++)
		for (uint32_t k = 0; k < node->layout.shares; k++) {
			struct share share = {
				.pool = node->cfg->pools[i].name,
				.index = k,
				.count = node->layout.shares,
			};
			struct ownership_stream stream;
			char *key;

			if (node_find_pool(node, share.pool, k))
				continue;
			key = g_malloc(NODE_POOL_KEY_BYTES);
			pool_key(key, share.pool, k);
			stream = node_jobs_stream(node,
						  share_part(&node->layout, k));
			g_hash_table_insert(
				node->pools, key,
				pool_create(&node->pool_env, &share, &stream));
		}
}

struct pool *node_owner_of_job(const struct node *node, const struct job *job)
{
	struct pool *pool;

	if (!job || !node->layout.shares)
		return NULL;
	pool = node_find_pool(node, job->pool,
			      share_of_job(job, node->layout.shares));
	return pool && pool_is_owned(pool) ? pool : NULL;
}

bool node_owns(const struct node *node, const char *name)
{
	const struct pool *pool = node_find_pool(node, name, 0);

	return pool && pool_is_owned(pool);
}

/*
 * Part of the group's topic that stands for a share. Adjacent parts are
 * assigned to the same member, so the shares are ordered by index and then by a
 * hash of the pool's name: neighbours belong to different pools, whose loads
 * rarely peak together.
 */
static int32_t group_part(const struct node *node, const struct share *share)
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
 * Decides the layout, once in the life of a deployment, as the owner of the
 * hosts: nobody else can write then, and it has read all that was written before.
 */
static void decide_layout(struct node *node)
{
	struct share_layout layout = node->older_layout;
	uint32_t hosts = 0;
	char *record;

	if (!maint_is_owner(node->maint)) {
		node->layout_proposed = false;
		return;
	}
	if (node->layout.shares || node->layout_proposed)
		return;
	if (!layout.shares) {
		if (!maint_count_hosts(node->maint, &hosts))
			return;
		layout.shares = share_count_for(
			hosts, node->config.settings->share_hosts);
		layout.parts = layout.shares;
	}
	node->layout_proposed = true;
	log_info("layout-proposed shares=%u parts=%u hosts=%u", layout.shares,
		 layout.parts, hosts);
	record = share_layout_record(&layout);
	maint_store(node->maint, NODE_INDEX_STREAM, NODE_SHARES_KEY, record,
		    strlen(record));
	g_free(record);
}

void node_tick_pools(struct node *node)
{
	/* While a stream is read anew its shares stay owned: a start waits for a
	   read of it, and a placement for a recent one. */
	bool loaded = node->follows_jobs && node->jobs_read;
	int32_t hosts_part = (int32_t)node->config.settings->group_parts -
			     NODE_HOSTS_PART_FROM_END;
	bool owner = false;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pool *pool = value;
		int32_t part = group_part(node, pool_share(pool));

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
	if (node->stopping && !node_hands_over(node))
		group_leave(node->group);
	if ((!node->stopping || node_hands_over(node)) && loaded && node->cfg &&
	    group_has_part(node->group, hosts_part)) {
		maint_assign(node->maint, hosts_part,
			     group_generation(node->group),
			     group_authority_end_ms(node->group));
		owner = true;
	} else {
		maint_revoke(node->maint);
	}
	decide_layout(node);
	maint_tick(node->maint);
	node->owner = owner;
	tail_set_gap(node->registry_tail,
		     owner ? NODE_OWNER_WORKERS_GAP_MS : NODE_WORKERS_GAP_MS);
	for (uint32_t i = 0; i < MAX(node->layout.parts, 1); i++)
		tail_set_gap(node->jobs_tails[i],
			     owner ? NODE_OWNER_GAP_MS : NODE_FOLLOW_GAP_MS);
	tail_set_gap(node->index_tail, node->follows_jobs
					       ? NODE_OWNER_INDEX_GAP_MS
					       : NODE_FOLLOW_GAP_MS);
}

void node_follow(struct node *node)
{
	bool follow = node->standby.decides || node->owner;

	if (follow == node->follows_jobs)
		return;
	log_info("jobs-%s", follow ? "followed" : "not-followed");
	node->follows_jobs = follow;
	tail_set_following(node->registry_tail, follow);
	for (uint32_t i = 0; i < SHARE_MAX_COUNT; i++)
		if (node->jobs_tails[i])
			tail_set_following(node->jobs_tails[i], follow);
	if (follow)
		return;
	node->jobs_read = false;
	node_on_registry_reload(node);
	job_store_clear(node->jobs);
}

static void announce(struct node *node)
{
	char *record =
		standby_record(&node->standby, node->config.settings->name);

	writer_add(node->index_writer, NODE_DECIDER_KEY, record, strlen(record),
		   NULL, NULL);
	g_free(record);
}

/*
 * Whether this node may tell others that it decides. One that still reads the jobs
 * is no member yet, and will soon be.
 */
static bool may_announce(const struct node *node, int64_t now_ms)
{
	return tail_loaded(node->index_tail) && !node->stopping &&
	       (!node->jobs_read ||
		now_ms < group_authority_end_ms(node->group));
}

/* Joins the group only after the jobs have been read: until then this node could
   not take over the shares that their owners would have to give up for it. */
void node_tick_membership(struct node *node)
{
	int64_t now_ms = clk_now_ms(node->config.clk);
	int64_t heard_ms = node->standby.heard_ms;

	if (tail_loaded(node->index_tail))
		heard_ms = now_ms - tail_age_ms(node->index_tail);
	node->jobs_read |= node->follows_jobs && node_jobs_loaded(node);
	group_set_wanted(node->group,
			 standby_decides(&node->standby, heard_ms) &&
				 node->jobs_read);
	group_tick(node->group);
	if (may_announce(node, now_ms) &&
	    standby_must_announce(&node->standby, now_ms))
		announce(node);
}
