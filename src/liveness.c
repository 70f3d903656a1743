#include "liveness.h"

#include <string.h>

#include "log.h"

enum { LIVENESS_LIST_MS = 300 };

struct liveness {
	struct liveness_config config;
	GHashTable *hosts; /* name -> struct host, of the list under way */
	bool listing;
	bool failing;
	bool destroyed;
	int64_t asked_ms; /* of the list under way */
	int64_t due_ms;
};

struct liveness *liveness_create(const struct liveness_config *config)
{
	struct liveness *life = g_new0(struct liveness, 1);

	life->config = *config;
	life->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return life;
}

static void free_life(struct liveness *life)
{
	g_hash_table_destroy(life->hosts);
	g_free(life);
}

void liveness_destroy(struct liveness *life)
{
	if (!life)
		return;
	life->destroyed = true;
	if (!life->listing)
		free_life(life);
}

bool liveness_is_over(const struct host *host, const char *worker)
{
	if (host->state != HOST_UP)
		return true;
	return host->worker[0] && strcmp(host->worker, worker);
}

static bool in_doubt(const struct liveness *life, const struct worker *worker)
{
	return worker->entry.host[0] && worker_has_work(worker) &&
	       !worker_is_gone(worker) &&
	       worker_is_silent(worker, clk_now_ms(life->config.clk));
}

/* What was heard after the list was asked for is newer than the list. */
static void judge(struct liveness *life, struct worker *worker)
{
	const struct host *host =
		g_hash_table_lookup(life->hosts, worker->entry.host);

	if (!host || !in_doubt(life, worker) ||
	    worker->heard_ms >= life->asked_ms ||
	    !liveness_is_over(host, worker->entry.id))
		return;
	worker->gone_ms = life->asked_ms;
	log_info("worker-gone worker=%s host=%s host_state=%d host_worker=%s "
		 "heard_ms_ago=%" G_GINT64_FORMAT,
		 worker->entry.id, host->name, host->state, host->worker,
		 clk_now_ms(life->config.clk) - worker->heard_ms);
}

static void end_list(struct liveness *life, enum host_outcome outcome)
{
	GPtrArray *workers = life->config.workers->list;
	bool failing = outcome != HOST_OK;

	if (failing != life->failing)
		log_info("host-list-%s outcome=%d",
			 failing ? "unavailable" : "available", outcome);
	life->failing = failing;
	for (guint i = 0; !failing && i < workers->len; i++)
		judge(life, workers->pdata[i]);
	g_hash_table_remove_all(life->hosts);
	life->listing = false;
}

static void on_page(void *arg, const struct host_page *page)
{
	struct liveness *life = arg;

	if (life->destroyed) {
		free_life(life);
		return;
	}
	for (uint32_t i = 0; page->outcome == HOST_OK && i < page->count; i++) {
		struct host *host = g_memdup2(&page->hosts[i], sizeof(*host));

		g_hash_table_replace(life->hosts, host->name, host);
	}
	if (page->outcome == HOST_OK && page->next)
		life->config.io->list(life->config.io->io, page->next, on_page,
				      life);
	else
		end_list(life, page->outcome);
}

void liveness_tick(struct liveness *life)
{
	GPtrArray *workers = life->config.workers->list;
	int64_t now_ms = clk_now_ms(life->config.clk);
	bool any = false;

	if (life->listing || now_ms < life->due_ms)
		return;
	for (guint i = 0; !any && i < workers->len; i++)
		any = in_doubt(life, workers->pdata[i]);
	if (!any)
		return;
	life->listing = true;
	life->asked_ms = now_ms;
	life->due_ms = now_ms + LIVENESS_LIST_MS;
	life->config.io->list(life->config.io->io, NULL, on_page, life);
}
