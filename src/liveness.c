#include "liveness.h"

#include <string.h>

#include "log.h"

enum { LIVENESS_LIST_GAP_MS = 300 };

struct liveness {
	struct liveness_config config;
	GHashTable *hosts; /* name -> struct host, of the pending list */
	bool list_pending;
	bool list_failed;
	bool destroyed;
	int64_t requested_ms; /* of the pending list */
	int64_t next_list_ms;
};

struct liveness *liveness_create(const struct liveness_config *config)
{
	struct liveness *liveness = g_new0(struct liveness, 1);

	liveness->config = *config;
	liveness->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return liveness;
}

static void free_liveness(struct liveness *liveness)
{
	g_hash_table_destroy(liveness->hosts);
	g_free(liveness);
}

void liveness_destroy(struct liveness *liveness)
{
	if (!liveness)
		return;
	liveness->destroyed = true;
	if (!liveness->list_pending)
		free_liveness(liveness);
}

bool liveness_proves_dead(const struct host *host, const char *worker)
{
	if (host->state != HOST_UP)
		return true;
	return host->worker[0] && strcmp(host->worker, worker);
}

/* A dead worker is checked until it is replaced: until then it may return. */
static bool needs_check(const struct worker *worker, int64_t now_ms)
{
	return worker_is_silent(worker, now_ms) && worker->entry.host[0] &&
	       worker_has_work(worker) && !worker_is_replaced(worker);
}

bool liveness_proves_replaced(const struct host *host, const char *worker)
{
	return host->state == HOST_UP && host->worker[0] &&
	       strcmp(host->worker, worker);
}

static void mark_dead(struct liveness *liveness, struct worker *worker,
		      const struct host *host)
{
	worker->dead_ms = liveness->requested_ms;
	log_info("worker-gone worker=%s host=%s host_state=%d host_worker=%s "
		 "heard_ms_ago=%" G_GINT64_FORMAT,
		 worker->entry.id, host->name, host->state, host->worker,
		 clk_now_ms(liveness->config.clk) - worker->last_report_ms);
}

/* Notes a list without the worker's host. An empty list is not that of a platform. */
static void note_unlisted(struct liveness *liveness, struct worker *worker)
{
	bool was_gone = worker_host_is_gone(worker);

	if (!g_hash_table_size(liveness->hosts))
		return;
	if (worker->unlisted_since_ms <= worker->last_report_ms)
		worker->unlisted_since_ms = liveness->requested_ms;
	worker->unlisted_seen_ms = liveness->requested_ms;
	if (!was_gone && worker_host_is_gone(worker))
		log_info("host-gone worker=%s host=%s "
			 "heard_ms_ago=%" G_GINT64_FORMAT,
			 worker->entry.id, worker->entry.host,
			 clk_now_ms(liveness->config.clk) -
				 worker->last_report_ms);
}

/* Marks a dead worker. A report since the request is newer than the list. */
static void check_worker(struct liveness *liveness, struct worker *worker)
{
	const struct host *host =
		g_hash_table_lookup(liveness->hosts, worker->entry.host);

	if (!needs_check(worker, clk_now_ms(liveness->config.clk)) ||
	    worker->last_report_ms >= liveness->requested_ms)
		return;
	if (!host) {
		note_unlisted(liveness, worker);
		return;
	}
	worker->unlisted_since_ms = 0;
	if (!liveness_proves_dead(host, worker->entry.id)) {
		if (!strcmp(host->worker, worker->entry.id))
			worker->up_ms = liveness->requested_ms;
		return;
	}
	if (!worker_is_dead(worker))
		mark_dead(liveness, worker, host);
	worker->dead_seen_ms = liveness->requested_ms;
	if (liveness_proves_replaced(host, worker->entry.id))
		worker->replaced_ms = liveness->requested_ms;
}

static void handle_list_end(struct liveness *liveness,
			    enum host_outcome outcome)
{
	GPtrArray *workers = liveness->config.workers->list;
	bool list_failed = outcome != HOST_OK;

	if (list_failed != liveness->list_failed)
		log_info("host-list-%s outcome=%d",
			 list_failed ? "unavailable" : "available", outcome);
	liveness->list_failed = list_failed;
	liveness->config.workers->host_list_down = list_failed;
	for (guint i = 0; !list_failed && i < workers->len; i++)
		check_worker(liveness, workers->pdata[i]);
	if (!list_failed)
		host_view_update(&liveness->config.workers->host_view,
				 liveness->hosts, *liveness->config.cfg,
				 liveness->requested_ms);
	g_hash_table_remove_all(liveness->hosts);
	liveness->list_pending = false;
}

static void on_page(void *arg, const struct host_page *page)
{
	struct liveness *liveness = arg;

	if (liveness->destroyed) {
		free_liveness(liveness);
		return;
	}
	for (uint32_t i = 0; page->outcome == HOST_OK && i < page->count; i++) {
		struct host *host = g_memdup2(&page->hosts[i], sizeof(*host));

		g_hash_table_replace(liveness->hosts, host->name, host);
	}
	if (page->outcome == HOST_OK && page->next)
		liveness->config.io->list(liveness->config.io->io, page->next,
					  on_page, liveness);
	else
		handle_list_end(liveness, page->outcome);
}

void liveness_tick(struct liveness *liveness)
{
	GPtrArray *workers = liveness->config.workers->list;
	struct host_view *view = &liveness->config.workers->host_view;
	int64_t now_ms = clk_now_ms(liveness->config.clk);
	/* Tasks may wait for the list, see crash_must_wait. */
	bool any = liveness->list_failed || view->is_wanted;

	if (liveness->list_pending || now_ms < liveness->next_list_ms)
		return;
	for (guint i = 0; !any && i < workers->len; i++)
		any = needs_check(workers->pdata[i], now_ms);
	if (!any)
		return;
	view->is_wanted = false;
	liveness->list_pending = true;
	liveness->requested_ms = now_ms;
	liveness->next_list_ms = now_ms + LIVENESS_LIST_GAP_MS;
	liveness->config.io->list(liveness->config.io->io, NULL, on_page,
				  liveness);
}
