#include "maint.h"

#include <string.h>

#include "maint_int.h"
#include "log.h"

enum {
	MAINT_LIST_MS = 400,
	MAINT_DECIDE_MS = 100,
	MAINT_ORDER_RETRY_MS = 400,
	/* A list asked for before an order may come after it. */
	MAINT_SETTLE_MS = 1500
};

static void on_taken(void *arg)
{
	struct maint *hosts = arg;

	hosts->listed_ms = 0;
	hosts->plans = host_plans_highest(hosts->env->plans);
	hosts->quiet_until_ms =
		hosts->tenure.taken_ms + hosts->env->order_lease_ms;
	hosts->list_due_ms = 0;
}

static void on_lost(void *arg)
{
	struct maint *hosts = arg;

	/* Plans that were not stored are read again with the stream. */
	writer_destroy(hosts->status);
	hosts->status = NULL;
}

struct maint *maint_create(struct maint_env *env)
{
	struct maint *hosts = g_new0(struct maint, 1);
	struct ownership_config config = {
		.clk = env->clk,
		.stream = env->stream,
		.id = env->id,
		.tail = env->tail,
		.what = "hosts",
		.taken = on_taken,
		.lost = on_lost,
		.arg = hosts,
	};

	hosts->env = env;
	hosts->known =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	hosts->waves = g_ptr_array_new();
	hosts->lend_pools =
		g_array_new(FALSE, FALSE, sizeof(struct sizing_pool));
	ownership_init(&hosts->tenure, &config);
	return hosts;
}

static void free_wave(struct wave *wave)
{
	g_free(wave->ordered.hosts);
	g_free(wave);
}

void maint_destroy(struct maint *hosts)
{
	if (!hosts)
		return;
	ownership_clear(&hosts->tenure);
	writer_destroy(hosts->status);
	for (guint i = 0; i < hosts->waves->len; i++)
		free_wave(hosts->waves->pdata[i]);
	g_ptr_array_free(hosts->waves, TRUE);
	g_array_free(hosts->lend_pools, TRUE);
	g_hash_table_destroy(hosts->known);
	g_free(hosts);
}

void maint_own(struct maint *hosts, int32_t part, int64_t generation,
	       int64_t authority_end_ms)
{
	ownership_give(&hosts->tenure, part, generation, authority_end_ms);
}

void maint_disown(struct maint *hosts)
{
	ownership_lose(&hosts->tenure, "given to another node");
}

void maint_add_wave(struct maint *hosts, struct host_wave *ordered)
{
	struct wave *wave = NULL;

	for (guint i = 0; i < hosts->waves->len; i++) {
		struct wave *old = hosts->waves->pdata[i];

		if (old->ordered.number == ordered->number)
			wave = old;
	}
	if (!wave) {
		wave = g_new0(struct wave, 1);
		g_ptr_array_add(hosts->waves, wave);
		log_info("wave-seen wave=%" G_GINT64_FORMAT
			 " hosts=%u max_down=%d within_s=%" G_GINT64_FORMAT,
			 ordered->number, ordered->host_count,
			 ordered->max_down, ordered->within_s);
	}
	g_free(wave->ordered.hosts);
	wave->ordered = *ordered;
}

struct known_host *maint_find(const struct maint *hosts, const char *name)
{
	return g_hash_table_lookup(hosts->known, name);
}

static void take_host(struct maint *hosts, const struct host *host)
{
	struct known_host *known = maint_find(hosts, host->name);

	if (!known) {
		known = g_new0(struct known_host, 1);
		known->host = *host;
		g_hash_table_insert(hosts->known, known->host.name, known);
	}
	known->host = *host;
	known->round = hosts->round;
}

static gboolean not_listed(void *key, void *value, void *arg)
{
	const struct known_host *known = value;
	const struct maint *hosts = arg;

	(void)key;
	return known->round != hosts->round && !known->ordering;
}

/* A call under way, and the tenure that it belongs to. */
struct asked {
	struct maint *hosts;
	uint32_t tenure;
	char host[LIMIT_NAME_BYTES];
	bool list; /* a page of the list, not an order */
};

static struct asked *asked_new(struct maint *hosts)
{
	struct asked *asked = g_new0(struct asked, 1);

	asked->hosts = hosts;
	asked->tenure = hosts->tenure.number;
	return asked;
}

static void on_page(void *arg, const struct host_page *page)
{
	struct asked *asked = arg;
	struct maint *hosts = asked->hosts;

	if (page->outcome != HOST_OK) {
		if (!hosts->list_failing)
			log_warn("host-list-unavailable outcome=%d",
				 page->outcome);
		hosts->list_failing = true;
		hosts->listing = false;
		g_free(asked);
		return;
	}
	if (hosts->list_failing)
		log_info("host-list-available");
	hosts->list_failing = false;
	for (uint32_t i = 0; i < page->count; i++)
		take_host(hosts, &page->hosts[i]);
	if (page->next) {
		hosts->env->io->list(hosts->env->io->io, page->next, on_page,
				     asked);
		return;
	}
	g_hash_table_foreach_remove(hosts->known, not_listed, hosts);
	hosts->listing = false;
	hosts->listed_ms = clk_now_ms(hosts->env->clk);
	g_free(asked);
}

bool maint_settled(const struct maint *hosts, const struct known_host *known,
		   bool standby)
{
	const struct host_plan *plan =
		host_plan_find(hosts->env->plans, known->host.name);
	int64_t now_ms = clk_now_ms(hosts->env->clk);
	const struct worker *worker;

	if (known->host.state != HOST_UP || known->ordering ||
	    (plan && plan->step != HOST_ORDERED) ||
	    now_ms - known->ordered_ms < MAINT_SETTLE_MS)
		return false;
	if (standby)
		return true;
	/* The list may still name the life that the last order ended. */
	if (plan && !strcmp(plan->worker, known->host.worker))
		return false;
	worker = worker_find(hosts->env->workers, known->host.worker);
	return worker && worker->listed && !worker->entry.draining &&
	       !strcmp(worker->entry.pool, known->host.pool);
}

static void list(struct maint *hosts, int64_t now_ms)
{
	if (hosts->listing || now_ms < hosts->list_due_ms)
		return;
	hosts->listing = true;
	hosts->round++;
	hosts->list_due_ms = now_ms + MAINT_LIST_MS;
	hosts->env->io->list(hosts->env->io->io, NULL, on_page,
			     asked_new(hosts));
}

struct host_plan *maint_plan(struct maint *hosts, const struct host_plan *plan)
{
	struct host_plan numbered = *plan;
	const struct host_plan *earlier =
		host_plan_find(hosts->env->plans, plan->host);

	numbered.earlier_ms = earlier ? earlier->seen_ms : 0;
	numbered.number = ++hosts->plans;
	numbered.fence = hosts->tenure.fence;
	host_plan_put(hosts->env->plans, &numbered);
	maint_store(hosts, &numbered);
	return host_plan_find(hosts->env->plans, plan->host);
}

bool maint_held(const struct maint *hosts)
{
	return ownership_held(&hosts->tenure);
}

void maint_store(struct maint *hosts, const struct host_plan *plan)
{
	char key[LIMIT_NAME_BYTES + 2];
	size_t len;
	char *record = host_plan_record(plan, &len);

	g_snprintf(key, sizeof(key), "h:%s", plan->host);
	writer_add(hosts->tenure.writer, key, record, len, NULL, NULL);
	g_free(record);
}

static void carried_out(struct maint *hosts, struct known_host *known,
			struct host_plan *plan)
{
	plan->step = HOST_ORDERED;
	plan->seen_ms = clk_now_ms(hosts->env->clk);
	if (plan->work == HOST_RESTART)
		plan->done_wave = plan->wave;
	maint_store(hosts, plan);
	/* Until the list says otherwise. */
	known->host.state =
		plan->work == HOST_MOVE ? HOST_MOVING : HOST_MAINTENANCE;
	known->ordered_ms = clk_now_ms(hosts->env->clk);
	if (plan->work == HOST_MOVE)
		hosts->env->counts.moves_ordered++;
	else
		hosts->env->counts.restarts_ordered++;
	log_info("host-order-done host=%s work=%s wave=%" G_GINT64_FORMAT
		 " pool=%s",
		 plan->host, plan->work == HOST_MOVE ? "move" : "restart",
		 plan->wave, plan->pool);
}

static void on_order(void *arg, enum host_outcome outcome)
{
	struct asked *asked = arg;
	struct maint *hosts = asked->hosts;
	struct known_host *known = maint_find(hosts, asked->host);
	struct host_plan *plan = host_plan_find(hosts->env->plans, asked->host);

	if (known)
		known->ordering = false;
	if (asked->tenure != hosts->tenure.number || !known || !plan) {
		g_free(asked);
		return;
	}
	if (outcome == HOST_OK || outcome == HOST_NOT_DUE) {
		carried_out(hosts, known, plan);
	} else {
		hosts->env->counts.orders_refused++;
		known->order_due_ms =
			clk_now_ms(hosts->env->clk) + MAINT_ORDER_RETRY_MS;
		log_info("host-order-refused host=%s outcome=%d", asked->host,
			 outcome);
		if (outcome == HOST_FENCED)
			ownership_lose(
				&hosts->tenure,
				"a host was ordered under a higher fence");
	}
	g_free(asked);
}

static bool may_order(const struct maint *hosts, int64_t now_ms)
{
	return now_ms < hosts->tenure.authority_end_ms;
}

/*
 * Whether an earlier holder may have ordered the host so short a time ago
 * that another order would be taken for two holders taking turns.
 */
static bool ordered_lately(const struct maint *hosts,
			   const struct host_plan *plan, int64_t now_ms)
{
	int64_t lease_ms = hosts->env->order_lease_ms;
	int64_t taken_ms = hosts->tenure.taken_ms;

	/* Made under this tenure: no other holder knew of it. */
	if (plan->fence == hosts->tenure.fence)
		return now_ms < hosts->quiet_until_ms &&
		       now_ms < plan->earlier_ms + lease_ms;
	return now_ms < taken_ms + lease_ms;
}

static void order(struct maint *hosts, struct known_host *known,
		  const struct host_plan *plan)
{
	struct asked *asked = asked_new(hosts);
	struct host_holder holder = {
		.name = hosts->env->holder,
		.fence = hosts->tenure.fence,
	};

	g_strlcpy(asked->host, plan->host, sizeof(asked->host));
	known->ordering = true;
	if (plan->work == HOST_MOVE)
		hosts->env->io->move(hosts->env->io->io, &holder, plan->host,
				     plan->pool, on_order, asked);
	else
		hosts->env->io->restart(hosts->env->io->io, &holder, plan->host,
					plan->wave, on_order, asked);
}

/*
 * Another life has begun on the host: a restart is asked for anew; a move was
 * decided for what was known then, and is dropped.
 */
static void plan_again(struct maint *hosts, const struct known_host *known,
		       struct host_plan *plan)
{
	struct host_plan again = *plan;

	log_info("host-life-changed host=%s worker=%s was=%s work=%s",
		 plan->host, known->host.worker, plan->worker,
		 plan->work == HOST_MOVE ? "move" : "restart");
	if (plan->work == HOST_MOVE) {
		plan->step = HOST_ORDERED;
		maint_store(hosts, plan);
		return;
	}
	again.step = HOST_ASKED;
	g_strlcpy(again.worker, known->host.worker, sizeof(again.worker));
	maint_plan(hosts, &again);
}

static void order_if_due(struct maint *hosts, struct known_host *known,
			 const struct host_plan *plan, int64_t now_ms)
{
	if (plan->step != HOST_CLEAR || now_ms < known->order_due_ms ||
	    ordered_lately(hosts, plan, now_ms))
		return;
	if (plan->work == HOST_RESTART && !wave_may_begin(hosts, plan->wave))
		return;
	order(hosts, known, plan);
}

static void order_clear_ones(struct maint *hosts, int64_t now_ms)
{
	struct host_plans *plans = hosts->env->plans;

	for (guint i = 0; i < plans->list->len; i++) {
		struct host_plan *plan = plans->list->pdata[i];
		struct known_host *known = maint_find(hosts, plan->host);

		if (plan->step == HOST_ORDERED || !known || known->ordering)
			continue;
		switch (host_plan_next(plan, &known->host)) {
		case HOST_NEXT_ORDER:
			order_if_due(hosts, known, plan, now_ms);
			break;
		case HOST_NEXT_ASK:
			plan_again(hosts, known, plan);
			break;
		case HOST_NEXT_WAIT:
			break;
		}
	}
}

void maint_tick(struct maint *hosts)
{
	int64_t now_ms = clk_now_ms(hosts->env->clk);

	if (ownership_held(&hosts->tenure)) {
		list(hosts, now_ms);
		if (hosts->listed_ms && now_ms >= hosts->decide_ms &&
		    may_order(hosts, now_ms)) {
			hosts->decide_ms = now_ms + MAINT_DECIDE_MS;
			wave_decide(hosts);
			sizing_decide(hosts);
			order_clear_ones(hosts, now_ms);
		}
		if (hosts->status)
			writer_tick(hosts->status);
	}
	ownership_tick(&hosts->tenure);
}
