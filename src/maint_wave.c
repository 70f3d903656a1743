#include <string.h>

#include "maint_int.h"
#include "log.h"

enum {
	/* Hosts drained in advance, beyond those that may be down. */
	WAVE_DRAIN_AHEAD = 3,
	/* Share of a pool's hosts that may be unavailable for waves; one host
	   may be in any case. */
	WAVE_POOL_PERCENT = 34,
	/* After a restart was ordered, the list may still show the host as up
	   until then. */
	WAVE_SETTLE_MS = 1000,
	WAVE_STATUS_GAP_MS = 50,
	/* From the request to drain a host to the end of its restart. */
	WAVE_HOST_MS = 3500,
	/* A wave is to end in this part of its time: the rest is for failures,
	   and a slow wave takes its hosts where load is low. */
	WAVE_AIM_PERCENT = 60
};

static bool is_done(const struct maint *maint, int64_t wave, const char *host)
{
	const struct host_plan *plan = host_plan_find(maint->env->plans, host);

	return plan && plan->done_wave == wave;
}

/*
 * Whether the host is down for its restart, or may be. A former owner may not have
 * been able to store that it ordered one.
 */
static bool is_down(const struct maint *maint, int64_t wave, const char *host)
{
	const struct known_host *known = maint_find_host(maint, host);
	int64_t now_ms = clk_now_ms(maint->env->clk);

	if (!known)
		return false;
	if (known->ordering || known->host.state == HOST_MAINTENANCE ||
	    now_ms < known->late_restart_ms)
		return true;
	return is_done(maint, wave, host) &&
	       now_ms - known->ordered_ms < WAVE_SETTLE_MS;
}

static bool is_requested(const struct maint *maint, int64_t wave,
			 const char *host)
{
	const struct host_plan *plan = host_plan_find(maint->env->plans, host);

	return plan && plan->work == HOST_RESTART && plan->wave == wave &&
	       plan->step != HOST_ORDER_DONE;
}

static const struct wave *find_wave(const struct maint *maint, int64_t number)
{
	for (guint i = 0; i < maint->waves->len; i++) {
		const struct wave *wave = maint->waves->pdata[i];

		if (wave->order.number == number)
			return wave;
	}
	return NULL;
}

/* Hosts of the wave that are down, without the given one. */
static int32_t count_down(const struct maint *maint,
			  const struct host_wave *wave, const char *but)
{
	int32_t count = 0;

	for (uint32_t i = 0; i < wave->host_count; i++)
		count += strcmp(wave->hosts[i], but) &&
			 is_down(maint, wave->number, wave->hosts[i]);
	return count;
}

bool maint_may_restart(const struct maint *maint, int64_t number,
		       const char *host)
{
	const struct wave *wave = find_wave(maint, number);

	/* Hosts that an earlier owner takes down until then are not counted. */
	if (maint->list_asked_ms < maint->earlier_end_ms)
		return false;
	return wave &&
	       count_down(maint, &wave->order, host) < wave->order.max_down;
}

static bool pool_allows(const struct maint *maint, const char *pool)
{
	const struct pool_size *size = maint_pool_size(maint, pool);

	return !size || size->unavailable == 0 ||
	       (size->unavailable + 1) * 100 <= size->hosts * WAVE_POOL_PERCENT;
}

/* Host with the least load to drain next, or NULL if none is allowed. */
static struct known_host *choose_host(struct maint *maint,
				      const struct host_wave *wave)
{
	struct known_host *best = NULL;
	int64_t best_load = 0;

	for (uint32_t i = 0; i < wave->host_count; i++) {
		struct known_host *known =
			maint_find_host(maint, wave->hosts[i]);
		const struct cfg_pool *pool;
		int64_t load;

		if (!known)
			continue;
		pool = cfg_pool_find(*maint->env->cfg, known->host.pool);
		if (is_done(maint, wave->number, wave->hosts[i]) ||
		    !maint_host_settled(maint, known, pool && pool->standby) ||
		    !pool_allows(maint, known->host.pool))
			continue;
		load = maint_load(maint, known->host.worker)->cpu_milli;
		if (best && load >= best_load)
			continue;
		best = known;
		best_load = load;
	}
	return best;
}

static void request_drain(struct maint *maint, const struct host_wave *wave,
			  const struct known_host *known)
{
	const struct cfg_pool *pool =
		cfg_pool_find(*maint->env->cfg, known->host.pool);
	const struct host_plan *previous =
		host_plan_find(maint->env->plans, known->host.name);
	struct host_plan plan = {
		.work = HOST_RESTART,
		.done_wave = previous ? previous->done_wave : 0,
		.wave = wave->number,
		.step = HOST_DRAIN_REQUESTED,
	};
	struct pool_size *size = maint_pool_size(maint, known->host.pool);

	if (size)
		size->unavailable++;
	g_strlcpy(plan.host, known->host.name, sizeof(plan.host));
	g_strlcpy(plan.worker, known->host.worker, sizeof(plan.worker));
	/* No tasks run without a worker or in a standby pool. */
	if (!plan.worker[0] || (pool && pool->standby))
		plan.step = HOST_DRAINED;
	maint_add_plan(maint, &plan);
	log_info("host-drain-requested host=%s worker=%s "
		 "pool=%s wave=%" G_GINT64_FORMAT,
		 plan.host, plan.worker, known->host.pool, wave->number);
}

static void publish_state(struct maint *maint, int64_t number,
			  const char *state)
{
	char *key = g_strdup_printf("%s%" G_GINT64_FORMAT,
				    maint->env->status_prefix, number);
	char *value = g_strdup_printf("{\"state\":\"%s\"}", state);

	if (!maint->status_writer) {
		struct writer_config config = {
			.io = maint->env->stream,
			.clk = maint->env->clk,
			.id = maint->env->status,
			.producer = "hosts",
			.epoch = maint->ownership.fence,
			.gap_ms = WAVE_STATUS_GAP_MS,
			.max_bytes = 65536,
		};

		maint->status_writer = writer_create(&config);
	}
	writer_add(maint->status_writer, key, value, strlen(value), NULL, NULL);
	log_info("wave-state wave=%" G_GINT64_FORMAT " state=%s", number,
		 state);
	g_free(key);
	g_free(value);
}

static bool all_done(const struct maint *maint, const struct host_wave *wave)
{
	for (uint32_t i = 0; i < wave->host_count; i++)
		/* A host that the platform no longer lists needs no restart. */
		if (!is_done(maint, wave->number, wave->hosts[i]) &&
		    maint_find_host(maint, wave->hosts[i]))
			return false;
	return true;
}

int32_t maint_wave_limit(int64_t left_hosts, int64_t left_ms, int32_t most)
{
	if (left_ms <= WAVE_HOST_MS)
		return most;
	return (int32_t)MIN(most, left_hosts * WAVE_HOST_MS / left_ms + 1);
}

/* Hosts that may be drained or down at once for the wave to end in time. */
static int32_t max_busy(const struct maint *maint, const struct wave *wave)
{
	const struct host_wave *order = &wave->order;
	int64_t passed_ms = clk_now_ms(maint->env->clk) - wave->received_ms;
	int64_t aim_ms = order->within_s * 1000 * WAVE_AIM_PERCENT / 100;
	int64_t left = 0;

	for (uint32_t i = 0; i < order->host_count; i++)
		left += !is_done(maint, order->number, order->hosts[i]);
	return maint_wave_limit(
		left, wave->received_ms ? aim_ms - passed_ms : 0,
		MIN(order->max_down, (int32_t)order->host_count) +
			WAVE_DRAIN_AHEAD);
}

static void decide_wave(struct maint *maint, struct wave *wave)
{
	const struct host_wave *order = &wave->order;
	int32_t most, busy = 0;

	if (wave->done_published)
		return;
	if (all_done(maint, order)) {
		wave->done_published = true;
		maint->env->counts.waves_done++;
		publish_state(maint, order->number, "done");
		return;
	}
	if (!wave->running_published)
		publish_state(maint, order->number, "running");
	wave->running_published = true;
	for (uint32_t i = 0; i < order->host_count; i++)
		busy += is_down(maint, order->number, order->hosts[i]) ||
			is_requested(maint, order->number, order->hosts[i]);
	most = max_busy(maint, wave);
	while (busy < most) {
		const struct known_host *known = choose_host(maint, order);

		if (!known)
			break;
		request_drain(maint, order, known);
		busy++;
	}
}

void maint_decide_waves(struct maint *maint)
{
	for (guint i = 0; i < maint->waves->len; i++)
		decide_wave(maint, maint->waves->pdata[i]);
}
