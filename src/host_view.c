#include "host_view.h"

void host_view_init(struct host_view *view)
{
	*view = (struct host_view){
		.shown_ms = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, g_free),
	};
}

void host_view_clear(struct host_view *view)
{
	g_hash_table_destroy(view->shown_ms);
}

static bool is_standby(const struct host *host, const struct cfg *cfg)
{
	const struct cfg_pool *pool = cfg_pool_find(cfg, host->pool);

	return pool && pool->standby;
}

static gboolean is_outdated(void *key, void *value, void *arg)
{
	const struct host_view *view = arg;
	const int64_t *shown_ms = value;

	(void)key;
	return view->asked_ms - *shown_ms >= HOST_GONE_MS;
}

static void add_host(struct host_view *view, const struct host *host,
		     const struct cfg *cfg)
{
	if (host->state == HOST_DOWN)
		view->any_down = true;
	if (host->worker[0])
		g_hash_table_replace(
			view->shown_ms, g_strdup(host->worker),
			g_memdup2(&view->asked_ms, sizeof(view->asked_ms)));
	else if (host->state == HOST_UP && !is_standby(host, cfg))
		view->complete_since_ms = 0;
}

void host_view_update(struct host_view *view, GHashTable *hosts,
		      const struct cfg *cfg, int64_t asked_ms)
{
	bool in_a_row = asked_ms - view->asked_ms < HOST_LIST_AGE_MS;
	GHashTableIter iter;
	void *host;

	if (!view->complete_since_ms || !in_a_row)
		view->complete_since_ms = asked_ms;
	view->asked_ms = asked_ms;
	view->any_down = false;
	if (!g_hash_table_size(hosts))
		view->complete_since_ms = 0;
	g_hash_table_iter_init(&iter, hosts);
	while (g_hash_table_iter_next(&iter, NULL, &host))
		add_host(view, host, cfg);
	g_hash_table_foreach_remove(view->shown_ms, is_outdated, view);
}

enum host_view_worker host_view_find(const struct host_view *view,
				     const char *id, int64_t since_ms,
				     int64_t now_ms)
{
	const int64_t *shown_ms = g_hash_table_lookup(view->shown_ms, id);
	int64_t missing_since_ms = view->complete_since_ms;

	if (view->asked_ms <= since_ms ||
	    now_ms - view->asked_ms >= HOST_LIST_AGE_MS)
		return HOST_VIEW_UNKNOWN;
	if (shown_ms && *shown_ms == view->asked_ms)
		return HOST_VIEW_UP;
	if (!missing_since_ms)
		return HOST_VIEW_UNKNOWN;
	if (shown_ms)
		missing_since_ms = MAX(missing_since_ms, *shown_ms);
	if (view->asked_ms - missing_since_ms < HOST_GONE_MS)
		return HOST_VIEW_UNKNOWN;
	return view->any_down ? HOST_VIEW_DOWN : HOST_VIEW_GONE;
}
