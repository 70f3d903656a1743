#include "job_cancel.h"

/* Key among the cancels; free with g_free. */
static char *table_key(const char *id, const char *tenant)
{
	return tenant ? g_strdup_printf("%s:%s", id, tenant) : g_strdup(id);
}

char *job_cancel_key(const char *id, const char *tenant)
{
	return tenant ? g_strdup_printf("c:%s:%s", id, tenant)
		      : g_strdup_printf("c:%s", id);
}

void job_cancels_init(struct job_store *store)
{
	store->cancels =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void job_cancels_free(struct job_store *store)
{
	g_hash_table_destroy(store->cancels);
}

void job_cancels_clear(struct job_store *store)
{
	g_hash_table_remove_all(store->cancels);
}

void job_cancel_apply(struct job_store *store, const char *id,
		      const char *tenant, const char *pool)
{
	struct job *job = job_find(store, id);
	char *key = table_key(id, tenant);
	struct job_cancel *cancel;

	if (g_hash_table_contains(store->cancels, key)) {
		g_free(key);
		return;
	}
	cancel = g_new0(struct job_cancel, 1);
	g_strlcpy(cancel->id, id, sizeof(cancel->id));
	cancel->tenant = g_intern_string(tenant);
	cancel->pool = g_intern_string(pool);
	g_hash_table_insert(store->cancels, key, cancel);
	if (job && job->has_spec)
		job->cancel_requested = job_cancel_holds(store, job);
}

void job_cancel_remove(struct job_store *store, const char *id,
		       const char *tenant)
{
	char *key = table_key(id, tenant);

	g_hash_table_remove(store->cancels, key);
	g_free(key);
}

bool job_cancel_holds(const struct job_store *store, const struct job *job)
{
	char *key = table_key(job->id, job->tenant);
	bool holds = g_hash_table_contains(store->cancels, job->id) ||
		     g_hash_table_contains(store->cancels, key);

	g_free(key);
	return holds;
}
