#include <string.h>

#include "backlog.h"
#include "log.h"
#include "maint_int.h"

/* Grants that have been written; the next ones are decided once they are read. */
void maint_quota_init(struct maint *maint)
{
	maint->quota_plan = quota_plan_create();
	maint->quota_written =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void maint_quota_clear(struct maint *maint)
{
	quota_plan_destroy(maint->quota_plan);
	g_hash_table_destroy(maint->quota_written);
}

void maint_quota_acquired(struct maint *maint)
{
	quota_plan_reset(maint->quota_plan);
	g_hash_table_remove_all(maint->quota_written);
}

static bool written_is_read(const struct maint *maint)
{
	GHashTableIter iter;
	void *key, *number;

	g_hash_table_iter_init(&iter, maint->quota_written);
	while (g_hash_table_iter_next(&iter, &key, &number)) {
		const struct quota_share *share =
			quota_find(maint->env->quotas, key);

		if (!share || share->number < *(const int64_t *)number)
			return false;
	}
	return true;
}

/* Index of the share whose key is "POOL/INDEX". */
static uint32_t share_index(const char *key)
{
	return (uint32_t)g_ascii_strtoull(strrchr(key, '/') + 1, NULL, 10);
}

static void write_grants(void *arg, const char *key, GHashTable *changes)
{
	struct maint *maint = arg;
	const struct quota_share *share = quota_find(maint->env->quotas, key);
	int64_t number = share ? share->number + 1 : 1;
	char *record = quota_grants_record(share, number, changes);
	char *record_key = g_strdup_printf("q:%s", key);

	g_hash_table_insert(maint->quota_written, g_strdup(key),
			    g_memdup2(&number, sizeof(number)));
	maint_store(maint, share_part(maint->env->layout, share_index(key)),
		    record_key, record, strlen(record));
	maint->env->counts.quota_grants++;
	log_info("quota-granted share=%s number=%" G_GINT64_FORMAT
		 " changes=%u bytes=%zu",
		 key, number, g_hash_table_size(changes), strlen(record));
	g_free(record_key);
	g_free(record);
}

static bool has_limits(const struct cfg *cfg)
{
	for (uint32_t i = 0; cfg && i < cfg->tenant_count; i++)
		if (cfg_has_limit(&cfg->tenants[i]))
			return true;
	return false;
}

void maint_decide_quotas(struct maint *maint, int64_t now_ms)
{
	const struct cfg *cfg = *maint->env->cfg;
	GPtrArray *keys;

	if (!maint->env->quotas || !has_limits(cfg) || !written_is_read(maint))
		return;
	keys = g_ptr_array_new_with_free_func(g_free);
	for (uint32_t i = 0; i < cfg->pool_count; i++)
		for (uint32_t k = 0; k < maint->env->layout->shares; k++) {
			struct share share = { .pool = cfg->pools[i].name,
					       .index = k };

			g_ptr_array_add(keys, backlog_key(&share));
		}
	quota_plan_decide(maint->quota_plan, maint->env->quotas, cfg, keys,
			  now_ms, write_grants, maint);
	g_ptr_array_free(keys, TRUE);
}
