#include "worker.h"

#include <stddef.h>
#include <string.h>

#include "host.h"
#include "rnd.h"
#include "share.h"

void worker_report_clear(struct worker_report *report)
{
	for (uint32_t i = 0; i < report->run_count; i++)
		g_free(report->runs[i].checkpoint.text);
	for (uint32_t i = 0; i < report->end_count; i++)
		g_free(report->ends[i].checkpoint.text);
	g_free(report->runs);
	g_free(report->ends);
	memset(report, 0, sizeof(*report));
}

/* Workers of a pool, by share. */
struct pool_workers {
	GPtrArray *shares[SHARE_MAX_COUNT];
};

static void free_pool_workers(void *arg)
{
	struct pool_workers *workers = arg;

	for (int i = 0; i < SHARE_MAX_COUNT; i++)
		g_ptr_array_free(workers->shares[i], TRUE);
	g_free(workers);
}

static struct pool_workers *find_or_add_pool(struct worker_table *table,
					     const char *pool)
{
	struct pool_workers *workers =
		g_hash_table_lookup(table->by_pool, pool);

	if (workers)
		return workers;
	workers = g_new0(struct pool_workers, 1);
	for (int i = 0; i < SHARE_MAX_COUNT; i++)
		workers->shares[i] = g_ptr_array_new();
	g_hash_table_insert(table->by_pool, g_strdup(pool), workers);
	return workers;
}

/* Moves the worker to the list that its entry says. */
static void list_in_share(struct worker_table *table, struct worker *worker)
{
	uint32_t index = share_of_worker(worker, table->share_count);
	GPtrArray *peers =
		find_or_add_pool(table, worker->entry.pool)->shares[index];
	guint at = peers->len;

	if (peers == worker->peers)
		return;
	if (worker->peers)
		g_ptr_array_remove(worker->peers, worker);
	worker->peers = peers;
	while (at &&
	       ((struct worker *)peers->pdata[at - 1])->number > worker->number)
		at--;
	g_ptr_array_insert(peers, (gint)at, worker);
}

void worker_table_set_shares(struct worker_table *table, uint32_t count)
{
	table->share_count = count;
	for (guint i = 0; i < table->list->len; i++)
		list_in_share(table, table->list->pdata[i]);
}

const GPtrArray *worker_list_share(const struct worker_table *table,
				   const char *pool, uint32_t index)
{
	const struct pool_workers *workers =
		g_hash_table_lookup(table->by_pool, pool);

	return workers ? workers->shares[index] : table->none;
}

struct worker_table *worker_table_create(void)
{
	struct worker_table *table = g_new0(struct worker_table, 1);

	table->share_count = 1;
	table->hosts_known = true;
	table->by_pool = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_pool_workers);
	table->none = g_ptr_array_new();

	host_view_init(&table->host_view);
	table->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	table->list = g_ptr_array_new();
	table->rejected =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return table;
}

void worker_table_destroy(struct worker_table *table)
{
	if (!table)
		return;
	for (guint i = 0; i < table->list->len; i++)
		g_free(table->list->pdata[i]);
	g_ptr_array_free(table->list, TRUE);
	g_hash_table_destroy(table->by_pool);
	g_ptr_array_free(table->none, TRUE);
	g_hash_table_destroy(table->by_id);
	g_hash_table_destroy(table->rejected);
	host_view_clear(&table->host_view);
	g_free(table);
}

struct worker *worker_find(const struct worker_table *table, const char *id)
{
	return g_hash_table_lookup(table->by_id, id);
}

void worker_reset_owner_state(struct worker *worker)
{
	size_t start = offsetof(struct worker, fence_accepted);

	memset((char *)worker + start, 0, sizeof(*worker) - start);
	pace_reset(&worker->pace);
}

struct worker *worker_put(struct worker_table *table,
			  const struct worker_entry *entry)
{
	struct worker *worker = worker_find(table, entry->id);

	if (!worker) {
		worker = g_new0(struct worker, 1);
		worker->entry = *entry;
		g_hash_table_insert(table->by_id, worker->entry.id, worker);
		worker->number = table->list->len;
		g_ptr_array_add(table->list, worker);
		worker->name = g_intern_string(entry->id);
		pace_reset(&worker->pace);
	}
	if (worker->entry.boot_ms != entry->boot_ms)
		worker->full_cpu_milli = 0;
	worker->full_cpu_milli = MAX(worker->full_cpu_milli, entry->cpu_milli);
	worker->entry = *entry;
	table->hosts_known &= entry->host[0] != 0;
	if (entry->host[0])
		worker->hash = rnd_hash_name(entry->host);
	else if (!worker->hash)
		worker->hash = rnd_hash_name(entry->id);
	worker->listed = true;
	list_in_share(table, worker);
	g_hash_table_remove(table->rejected, entry->id);
	return worker;
}

static void unlist(struct worker_table *table, const char *id)
{
	struct worker *worker = worker_find(table, id);

	if (worker)
		worker->listed = false;
}

void worker_unlist(struct worker_table *table, const char *id)
{
	unlist(table, id);
	g_hash_table_remove(table->rejected, id);
}

bool worker_reject(struct worker_table *table, const char *id)
{
	unlist(table, id);
	if (g_hash_table_contains(table->rejected, id) ||
	    g_hash_table_size(table->rejected) >= WORKER_MAX_REJECTED)
		return false;
	g_hash_table_add(table->rejected, g_strdup(id));
	return true;
}

bool worker_is_silent(const struct worker *worker, int64_t now_ms)
{
	return worker->renew_failures ||
	       (worker->unanswered_since_ms &&
		now_ms - worker->unanswered_since_ms > WORKER_SILENT_MS);
}

bool worker_has_current_entry(const struct worker *worker)
{
	return !worker->boot_ms || !worker->entry.boot_ms ||
	       worker->boot_ms == worker->entry.boot_ms;
}

bool worker_is_dead(const struct worker *worker)
{
	return worker->dead_ms && worker->dead_ms > worker->last_report_ms;
}

bool worker_is_replaced(const struct worker *worker)
{
	return worker->replaced_ms &&
	       worker->replaced_ms > worker->last_report_ms;
}

bool worker_host_is_gone(const struct worker *worker)
{
	return worker->unlisted_since_ms > worker->last_report_ms &&
	       worker->unlisted_seen_ms - worker->unlisted_since_ms >=
		       HOST_GONE_MS;
}

bool worker_has_work(const struct worker *worker)
{
	return worker->tasks || worker->cpu_used_milli ||
	       worker->mem_used_mib || worker->gpu_used || worker->unknown_runs;
}

bool worker_has_label(const struct worker *worker, const char *label)
{
	for (uint32_t i = 0; i < worker->entry.label_count; i++)
		if (!strcmp(worker->entry.labels[i], label))
			return true;
	return false;
}

int64_t worker_clock_ms(const struct worker *worker, int64_t now_ms)
{
	int64_t passed_ms = now_ms - worker->clock_at_ms;

	return worker->clock_ms +
	       passed_ms * (100 - WORKER_CLOCK_SLACK_PERCENT) / 100;
}

int64_t worker_lease_within_ms(int64_t now_ms, int64_t end_ms)
{
	int64_t left_ms = end_ms - now_ms - WORKER_LEASE_MARGIN_MS;

	return MAX(left_ms, 0) * (100 - WORKER_CLOCK_SLACK_PERCENT) / 100;
}

int64_t worker_lease_bound_ms(int64_t now_ms, int64_t lease_ms)
{
	return now_ms + lease_ms * 100 / (100 - WORKER_CLOCK_SLACK_PERCENT) +
	       WORKER_LEASE_MARGIN_MS;
}
