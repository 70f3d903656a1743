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
		for (uint32_t k = 0; k < node->share_count; k++) {
			struct share share = {
				.pool = node->cfg->pools[i].name,
				.index = k,
				.count = node->share_count,
			};
			char *key;

			if (node_find_pool(node, share.pool, k))
				continue;
			key = g_malloc(NODE_POOL_KEY_BYTES);
			pool_key(key, share.pool, k);
			g_hash_table_insert(
				node->pools, key,
				pool_create(&node->pool_env, &share));
		}
}

bool node_owns_job(const struct node *node, const struct job *job)
{
	const struct pool *pool;

	if (!job || !node->share_count)
		return false;
	pool = node_find_pool(node, job->pool,
			      share_of_job(job, node->share_count));
	return pool && pool_is_owned(pool);
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

void node_tick_pools(struct node *node)
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

void node_tick_membership(struct node *node)
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
