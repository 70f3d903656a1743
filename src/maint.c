#include "maint.h"

#include <string.h>

#include "maint_int.h"
#include "log.h"

enum {
	MAINT_LIST_MS = 400,
	MAINT_DECIDE_MS = 100,
	MAINT_ORDER_RETRY_MS = 400,
	/* Longest time after its sending at which an order that was not answered
	   may still be carried out. */
	MAINT_ORDER_LATE_MS = 12000,
	/* After an order, the list may still show the earlier state until then:
	   it may have been requested before the order. */
	MAINT_SETTLE_MS = 1500,
	/* If the host list has not answered by then, listed workers count. */
	MAINT_COUNT_WAIT_MS = 3000,
	/* Without a list that was asked for since, the host service is away; an
	   answer takes 1,500 ms at most. */
	MAINT_AWAY_MS = 3000
};

static void on_acquired(void *arg)
{
	struct maint *maint = arg;

	maint->listed_ms = 0;
	maint->list_asked_ms = 0;
	maint->last_plan = host_plans_last_number(maint->env->plans);
	maint_bound_acquired(maint);
	maint_quota_acquired(maint);
	maint->list_due_ms = 0;
}

static void on_lost(void *arg)
{
	struct maint *maint = arg;

	bound_lost(&maint->bound);
	/* Later records of the stream replace plans that were not stored. */
	writer_destroy(maint->status_writer);
	maint->status_writer = NULL;
}

struct maint *maint_create(struct maint_env *env)
{
	struct maint *maint = g_new0(struct maint, 1);
	struct ownership_config config = {
		.clk = env->clk,
		.stream = env->stream,
		.name = "hosts",
		.membership_ms = env->membership_ms,
		.acquired = on_acquired,
		.lost = on_lost,
		.arg = maint,
	};

	maint->env = env;
	maint->known_hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	maint->waves = g_ptr_array_new();
	for (int i = 0; i < SHARE_MAX_COUNT; i++)
		maint->slices[i] =
			g_array_new(FALSE, FALSE, sizeof(struct sizing_pool));
	maint->pool_sizes = g_array_new(FALSE, FALSE, sizeof(struct pool_size));
	maint->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	maint_bound_init(maint);
	maint_quota_init(maint);
	ownership_init(&maint->ownership, &config);
	return maint;
}

static void free_wave(struct wave *wave)
{
	g_free(wave->order.hosts);
	g_free(wave);
}

void maint_destroy(struct maint *maint)
{
	if (!maint)
		return;
	ownership_clear(&maint->ownership);
	bound_clear(&maint->bound);
	maint_quota_clear(maint);
	writer_destroy(maint->status_writer);
	for (guint i = 0; i < maint->waves->len; i++)
		free_wave(maint->waves->pdata[i]);
	g_ptr_array_free(maint->waves, TRUE);
	for (int i = 0; i < SHARE_MAX_COUNT; i++)
		g_array_free(maint->slices[i], TRUE);
	g_array_free(maint->pool_sizes, TRUE);
	g_hash_table_destroy(maint->loads);
	g_hash_table_destroy(maint->known_hosts);
	g_free(maint);
}

void maint_set_streams(struct maint *maint,
		       const struct ownership_stream *streams, uint32_t count)
{
	ownership_set_streams(&maint->ownership, streams, count);
}

void maint_assign(struct maint *maint, int32_t part, int64_t generation,
		  int64_t authority_end_ms)
{
	ownership_assign(&maint->ownership, part, generation, authority_end_ms);
}

void maint_revoke(struct maint *maint)
{
	ownership_lose(&maint->ownership, "assigned to another node");
}

void maint_add_wave(struct maint *maint, struct host_wave *ordered, bool is_new)
{
	struct wave *wave = NULL;

	for (guint i = 0; i < maint->waves->len; i++) {
		struct wave *old = maint->waves->pdata[i];

		if (old->order.number == ordered->number)
			wave = old;
	}
	if (!wave) {
		wave = g_new0(struct wave, 1);
		if (is_new)
			wave->received_ms = clk_now_ms(maint->env->clk);
		g_ptr_array_add(maint->waves, wave);
		log_info("wave-received wave=%" G_GINT64_FORMAT
			 " hosts=%u max_down=%d within_s=%" G_GINT64_FORMAT,
			 ordered->number, ordered->host_count,
			 ordered->max_down, ordered->within_s);
	}
	g_free(wave->order.hosts);
	wave->order = *ordered;
}

struct known_host *maint_find_host(const struct maint *maint, const char *name)
{
	return g_hash_table_lookup(maint->known_hosts, name);
}

static void store_host(struct maint *maint, const struct host *host)
{
	struct known_host *known = maint_find_host(maint, host->name);

	if (!known) {
		known = g_new0(struct known_host, 1);
		known->host = *host;
		g_hash_table_insert(maint->known_hosts, known->host.name,
				    known);
	}
	known->host = *host;
	known->list_round = maint->list_round;
}

static gboolean is_unlisted(void *key, void *value, void *arg)
{
	const struct known_host *known = value;
	const struct maint *maint = arg;

	(void)key;
	return known->list_round != maint->list_round && !known->ordering;
}

/* A call in progress, and the tenure in which it was made. */
struct request {
	struct maint *maint;
	uint32_t tenure;
	char host[LIMIT_NAME_BYTES];
	bool list; /* a page of the list, not an order */
};

static struct request *request_new(struct maint *maint)
{
	struct request *request = g_new0(struct request, 1);

	request->maint = maint;
	request->tenure = maint->ownership.change_count;
	return request;
}

static void on_page(void *arg, const struct host_page *page)
{
	struct request *request = arg;
	struct maint *maint = request->maint;

	if (page->outcome != HOST_OK) {
		if (!maint->list_failing)
			log_warn("host-list-unavailable outcome=%d",
				 page->outcome);
		maint->list_failing = true;
		maint->listing = false;
		g_free(request);
		return;
	}
	if (maint->list_failing)
		log_info("host-list-available");
	maint->list_failing = false;
	for (uint32_t i = 0; i < page->count; i++)
		store_host(maint, &page->hosts[i]);
	if (page->next) {
		maint->env->io->list(maint->env->io->io, page->next, on_page,
				     request);
		return;
	}
	g_hash_table_foreach_remove(maint->known_hosts, is_unlisted, maint);
	maint->listing = false;
	maint->listed_ms = clk_now_ms(maint->env->clk);
	maint->list_asked_ms = maint->list_sent_ms;
	g_free(request);
}

bool maint_host_settled(const struct maint *maint,
			const struct known_host *known, bool standby)
{
	const struct host_plan *plan =
		host_plan_find(maint->env->plans, known->host.name);
	int64_t now_ms = clk_now_ms(maint->env->clk);
	const struct worker *worker;

	if (known->host.state != HOST_UP || known->ordering ||
	    (plan && plan->step != HOST_ORDER_DONE) ||
	    now_ms - known->ordered_ms < MAINT_SETTLE_MS)
		return false;
	if (standby)
		return true;
	/* The list may still show the incarnation that the last order ended. */
	if (plan && !strcmp(plan->worker, known->host.worker))
		return false;
	worker = worker_find(maint->env->workers, known->host.worker);
	return worker && worker->listed && !worker->entry.draining &&
	       !strcmp(worker->entry.pool, known->host.pool);
}

static void request_list(struct maint *maint, int64_t now_ms)
{
	if (maint->listing || now_ms < maint->list_due_ms)
		return;
	maint->listing = true;
	maint->list_round++;
	maint->list_sent_ms = now_ms;
	maint->list_due_ms = now_ms + MAINT_LIST_MS;
	maint->env->io->list(maint->env->io->io, NULL, on_page,
			     request_new(maint));
}

/*
 * When an order may last have been given for the host of an earlier plan; NULL:
 * none. A host that was not drained for it has not been ordered; one that was may
 * have been, by an earlier owner, until the end of that one's authority.
 */
static int64_t last_order_ms(const struct maint *maint,
			     const struct host_plan *earlier)
{
	if (!earlier)
		return 0;
	if (earlier->step == HOST_ORDER_DONE &&
	    earlier->number <= maint->settled_plan)
		return MIN(MAX(earlier->seen_ms, earlier->previous_seen_ms),
			   maint->settled_end_ms - maint->env->order_lease_ms);
	if (earlier->step == HOST_DRAINED &&
	    earlier->fence != maint->ownership.fence)
		return maint->earlier_end_ms;
	return earlier->step == HOST_DRAIN_REQUESTED
		       ? earlier->previous_seen_ms
		       : MAX(earlier->seen_ms, earlier->previous_seen_ms);
}

struct host_plan *maint_add_plan(struct maint *maint,
				 const struct host_plan *plan)
{
	struct host_plan numbered = *plan;
	const struct host_plan *earlier =
		host_plan_find(maint->env->plans, plan->host);

	numbered.previous_seen_ms = last_order_ms(maint, earlier);
	numbered.number = ++maint->last_plan;
	numbered.fence = maint->ownership.fence;
	host_plan_put(maint->env->plans, &numbered);
	maint_store_plan(maint, &numbered);
	return host_plan_find(maint->env->plans, plan->host);
}

bool maint_is_owner(const struct maint *maint)
{
	return ownership_held(&maint->ownership);
}

void maint_store_plan(struct maint *maint, const struct host_plan *plan)
{
	const struct share_layout *layout = maint->env->layout;
	uint32_t slice = share_of_host(plan->host, MAX(layout->shares, 1));
	char key[LIMIT_NAME_BYTES + 2];
	size_t len;
	char *record = host_plan_record(plan, &len);

	g_snprintf(key, sizeof(key), "h:%s", plan->host);
	maint_store(maint, share_part(layout, slice), key, record, len);
	g_free(record);
}

void maint_end_plan(struct maint *maint, struct host_plan *plan)
{
	plan->step = HOST_ORDER_DONE;
	plan->worker[0] = '\0';
	maint_store_plan(maint, plan);
}

static void order_done(struct maint *maint, struct known_host *known,
		       struct host_plan *plan)
{
	plan->step = HOST_ORDER_DONE;
	plan->seen_ms = clk_now_ms(maint->env->clk);
	if (plan->work == HOST_RESTART)
		plan->done_wave = plan->wave;
	maint_store_plan(maint, plan);
	/* Assumed until the next list. */
	known->host.state =
		plan->work == HOST_MOVE ? HOST_MOVING : HOST_MAINTENANCE;
	known->ordered_ms = clk_now_ms(maint->env->clk);
	known->unanswered = false;
	known->late_restart_ms = 0;
	if (plan->work == HOST_MOVE)
		maint->env->counts.moves_ordered++;
	else
		maint->env->counts.restarts_ordered++;
	log_info("host-order-done host=%s work=%s wave=%" G_GINT64_FORMAT
		 " pool=%s",
		 plan->host, plan->work == HOST_MOVE ? "move" : "restart",
		 plan->wave, plan->pool);
}

static void on_order(void *arg, enum host_outcome outcome)
{
	struct request *request = arg;
	struct maint *maint = request->maint;
	struct known_host *known = maint_find_host(maint, request->host);
	struct host_plan *plan =
		host_plan_find(maint->env->plans, request->host);

	if (known)
		known->ordering = false;
	if (request->tenure != maint->ownership.change_count || !known ||
	    !plan) {
		g_free(request);
		return;
	}
	if (outcome == HOST_OK || outcome == HOST_NOT_DUE) {
		order_done(maint, known, plan);
	} else {
		maint->env->counts.orders_refused++;
		known->unanswered |= outcome == HOST_UNKNOWN;
		if (outcome == HOST_UNKNOWN && plan->work == HOST_RESTART)
			known->late_restart_ms =
				known->sent_ms + MAINT_ORDER_LATE_MS;
		known->order_due_ms =
			clk_now_ms(maint->env->clk) + MAINT_ORDER_RETRY_MS;
		log_info("host-order-refused host=%s outcome=%d", request->host,
			 outcome);
		if (outcome == HOST_FENCED)
			ownership_lose(
				&maint->ownership,
				"a host has an order with a higher fence");
	}
	g_free(request);
}

static bool has_authority(const struct maint *maint, int64_t now_ms)
{
	return now_ms < maint->ownership.authority_end_ms;
}

static void send_order(struct maint *maint, struct known_host *known,
		       const struct host_plan *plan)
{
	struct request *request = request_new(maint);
	struct host_owner owner = {
		.name = maint->env->node_name,
		.fence = maint->ownership.fence,
	};

	g_strlcpy(request->host, plan->host, sizeof(request->host));
	known->ordering = true;
	known->sent_ms = clk_now_ms(maint->env->clk);
	if (plan->work == HOST_MOVE)
		maint->env->io->move(maint->env->io->io, &owner, plan->host,
				     plan->pool, on_order, request);
	else
		maint->env->io->restart(maint->env->io->io, &owner, plan->host,
					plan->wave, on_order, request);
}

/*
 * The host's worker has a new incarnation. Plans a restart again, but drops a
 * move: the demand that it was decided for may have changed.
 */
static void replan(struct maint *maint, struct known_host *known,
		   struct host_plan *plan)
{
	struct host_plan next = *plan;

	known->unanswered = false;
	log_info("host-life-changed host=%s worker=%s was=%s work=%s",
		 plan->host, known->host.worker, plan->worker,
		 plan->work == HOST_MOVE ? "move" : "restart");
	if (plan->work == HOST_MOVE) {
		plan->step = HOST_ORDER_DONE;
		maint_store_plan(maint, plan);
		return;
	}
	next.step = HOST_DRAIN_REQUESTED;
	g_strlcpy(next.worker, known->host.worker, sizeof(next.worker));
	maint_add_plan(maint, &next);
}

/* Ends a plan whose worker is there still. */
static void release_worker(struct maint *maint, struct host_plan *plan)
{
	log_info("host-released host=%s worker=%s work=%s", plan->host,
		 plan->worker, plan->work == HOST_MOVE ? "move" : "restart");
	maint_end_plan(maint, plan);
}

/*
 * Whether a host that counts as drained runs tasks all the same: its plan was
 * ended, and a late record of its pool's owner hides that. Tasks whose end has not
 * been read yet look alike, so that a move waits before it is dropped.
 */
static bool has_got_tasks(struct maint *maint, const struct known_host *known,
			  struct host_plan *plan, int64_t now_ms)
{
	if (plan->work != HOST_MOVE ||
	    !maint_load(maint, known->host.worker)->has_tasks)
		return false;
	if (now_ms - plan->seen_ms >= MAINT_SETTLE_MS)
		release_worker(maint, plan);
	return true;
}

/*
 * Orders of two owners for one host within order_lease_ms count as a conflict
 * between them.
 */
static void send_order_if_due(struct maint *maint, struct known_host *known,
			      struct host_plan *plan, int64_t now_ms)
{
	if (plan->step != HOST_DRAINED || now_ms < known->order_due_ms ||
	    now_ms < maint_earlier_orders_end_ms(maint, plan) ||
	    has_got_tasks(maint, known, plan, now_ms))
		return;
	if (plan->work == HOST_RESTART &&
	    !maint_may_restart(maint, plan->wave, plan->host))
		return;
	/* The next owner takes a settled plan for one that is long over. */
	if (plan->number <= maint->settled_plan) {
		plan = maint_add_plan(maint, plan);
		log_info("host-plan-renewed host=%s number=%" G_GINT64_FORMAT,
			 plan->host, plan->number);
		return;
	}
	if (maint_prepare_order(maint, known))
		send_order(maint, known, plan);
}

/*
 * Whether an order that was answered as done has not ended the worker: it had
 * been carried out on an earlier one, and its answer or record was lost, or the
 * host's next worker has the same id.
 */
static bool worker_outlived_order(const struct maint *maint,
				  const struct known_host *known,
				  const struct host_plan *plan)
{
	return plan->worker[0] && known->host.state == HOST_UP &&
	       !strcmp(known->host.worker, plan->worker) &&
	       maint->list_asked_ms - plan->seen_ms >= MAINT_SETTLE_MS;
}

static void order_drained_hosts(struct maint *maint, int64_t now_ms)
{
	struct host_plans *plans = maint->env->plans;

	for (guint i = 0; i < plans->list->len; i++) {
		struct host_plan *plan = plans->list->pdata[i];
		struct known_host *known = maint_find_host(maint, plan->host);

		if (plan->hidden)
			maint_store_plan(maint, plan);
		plan->hidden = false;
		if (!known || known->ordering)
			continue;
		if (plan->step == HOST_ORDER_DONE) {
			if (worker_outlived_order(maint, known, plan))
				release_worker(maint, plan);
			continue;
		}
		switch (host_plan_next(plan, &known->host)) {
		case HOST_NEXT_ORDER:
			send_order_if_due(maint, known, plan, now_ms);
			break;
		case HOST_NEXT_REPLAN:
			replan(maint, known, plan);
			break;
		case HOST_NEXT_WAIT:
			break;
		}
	}
}

bool maint_count_hosts(const struct maint *maint, uint32_t *count)
{
	const GPtrArray *workers = maint->env->workers->list;

	if (maint->listed_ms) {
		*count = g_hash_table_size(maint->known_hosts);
		return true;
	}
	*count = 0;
	for (guint i = 0; i < workers->len; i++) {
		const struct worker *worker = workers->pdata[i];

		*count += worker->listed;
	}
	return clk_now_ms(maint->env->clk) - maint->ownership.acquired_ms >
	       MAINT_COUNT_WAIT_MS;
}

void maint_store(struct maint *maint, uint32_t stream, const char *key,
		 const char *value, size_t len)
{
	writer_add(ownership_writer(&maint->ownership, stream), key, value, len,
		   NULL, NULL);
}

static bool service_is_away(const struct maint *maint, int64_t now_ms)
{
	int64_t since_ms =
		MAX(maint->list_asked_ms, maint->ownership.acquired_ms);

	return now_ms - since_ms > MAINT_AWAY_MS;
}

/* Whether no order for the plan can have been sent that may be carried out. */
static bool is_unordered(const struct maint *maint,
			 const struct host_plan *plan, int64_t now_ms)
{
	const struct known_host *known = maint_find_host(maint, plan->host);

	return plan->step != HOST_ORDER_DONE &&
	       !(known && (known->ordering || known->unanswered)) &&
	       now_ms >= maint_earlier_orders_end_ms(maint, plan);
}

/*
 * Ends the plans that cannot be carried out while the host service is away. Their
 * hosts would get no tasks, and stopped long-running ones may have room nowhere
 * else.
 */
static void release_unordered_hosts(struct maint *maint, int64_t now_ms)
{
	struct host_plans *plans = maint->env->plans;

	for (guint i = 0; i < plans->list->len; i++) {
		struct host_plan *plan = plans->list->pdata[i];

		/* In a standby pool there is no worker to release. */
		if (plan->worker[0] && is_unordered(maint, plan, now_ms))
			release_worker(maint, plan);
	}
}

static void decide(struct maint *maint, int64_t now_ms)
{
	if (service_is_away(maint, now_ms)) {
		release_unordered_hosts(maint, now_ms);
		return;
	}
	if (!maint->listed_ms)
		return;
	maint_survey(maint);
	maint_decide_waves(maint);
	maint_decide_sizing(maint);
	order_drained_hosts(maint, now_ms);
}

void maint_tick(struct maint *maint)
{
	int64_t now_ms = clk_now_ms(maint->env->clk);

	if (ownership_held(&maint->ownership)) {
		request_list(maint, now_ms);
		if (maint->env->layout->shares)
			maint_bound_orders(maint);
		if (maint->env->layout->shares && !maint->handing_over &&
		    now_ms >= maint->decide_due_ms &&
		    has_authority(maint, now_ms)) {
			maint->decide_due_ms = now_ms + MAINT_DECIDE_MS;
			maint_decide_quotas(maint, now_ms);
			decide(maint, now_ms);
		}
		if (maint->status_writer)
			writer_tick(maint->status_writer);
	}
	ownership_tick(&maint->ownership);
}
