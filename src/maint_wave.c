#include <string.h>

#include "maint_int.h"
#include "log.h"

enum {
	/* Hosts that are emptied ahead of those that may be down. */
	WAVE_AHEAD = 3,
	/* Of a pool's hosts, so many percent may be away for a wave. */
	WAVE_POOL_PERCENT = 34,
	/* An ordered host's state is not trusted as up before. */
	WAVE_SETTLE_MS = 1000,
	WAVE_STATUS_GAP_MS = 50
};

static bool is_done(const struct maint *hosts, int64_t wave, const char *host)
{
	const struct host_plan *plan = host_plan_find(hosts->env->plans, host);

	return plan && plan->done_wave == wave;
}

/* Whether the host is away for its restart, as far as is known. */
static bool is_down(const struct maint *hosts, int64_t wave, const char *host)
{
	const struct known_host *known = maint_find(hosts, host);
	int64_t now_ms = clk_now_ms(hosts->env->clk);

	if (!known)
		return false;
	if (known->ordering)
		return true;
	return is_done(hosts, wave, host) &&
	       (known->host.state == HOST_MAINTENANCE ||
		now_ms - known->ordered_ms < WAVE_SETTLE_MS);
}

static bool is_asked(const struct maint *hosts, int64_t wave, const char *host)
{
	const struct host_plan *plan = host_plan_find(hosts->env->plans, host);

	return plan && plan->work == HOST_RESTART && plan->wave == wave &&
	       plan->step != HOST_ORDERED;
}

static const struct wave *find_wave(const struct maint *hosts, int64_t number)
{
	for (guint i = 0; i < hosts->waves->len; i++) {
		const struct wave *wave = hosts->waves->pdata[i];

		if (wave->ordered.number == number)
			return wave;
	}
	return NULL;
}

static int32_t count_down(const struct maint *hosts,
			  const struct host_wave *wave)
{
	int32_t count = 0;

	for (uint32_t i = 0; i < wave->host_count; i++)
		count += is_down(hosts, wave->number, wave->hosts[i]);
	return count;
}

bool wave_may_begin(const struct maint *hosts, int64_t number)
{
	const struct wave *wave = find_wave(hosts, number);

	return wave &&
	       count_down(hosts, &wave->ordered) < wave->ordered.max_down;
}

/* Processor time that is taken at a worker, from the stored placements. */
static int64_t load_of(const struct maint *hosts, const char *worker)
{
	const struct job_store *jobs = hosts->env->jobs;
	int64_t load = 0;

	for (guint i = 0; i < jobs->live->len; i++) {
		struct job_pos pos = { .job = jobs->live->pdata[i] };

		while (pos.job->has_spec && job_next_task(&pos))
			if (pos.task->state == TASK_PLACED &&
			    !strcmp(pos.task->worker, worker))
				load += pos.job->spec.steps[pos.step].cpu_milli;
	}
	return load;
}

/* Hosts of a pool, and those of them that a plan keeps from work. */
static void count_pool(const struct maint *hosts, const char *pool, int *all,
		       int *away)
{
	GHashTableIter iter;
	void *value;

	*all = 0;
	*away = 0;
	g_hash_table_iter_init(&iter, hosts->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_host *known = value;
		const struct host_plan *plan;

		if (strcmp(known->host.pool, pool))
			continue;
		(*all)++;
		plan = host_plan_find(hosts->env->plans, known->host.name);
		*away += known->host.state != HOST_UP ||
			 (plan && plan->step != HOST_ORDERED);
	}
}

static bool pool_allows(const struct maint *hosts, const char *pool)
{
	int all, away;

	count_pool(hosts, pool, &all, &away);
	return away == 0 || (away + 1) * 100 <= all * WAVE_POOL_PERCENT;
}

/* The host that costs least to empty now; NULL: none may be asked for. */
static struct known_host *choose(struct maint *hosts,
				 const struct host_wave *wave)
{
	struct known_host *best = NULL;
	int64_t best_load = 0;

	for (uint32_t i = 0; i < wave->host_count; i++) {
		struct known_host *known = maint_find(hosts, wave->hosts[i]);
		const struct cfg_pool *pool;
		int64_t load;

		if (!known)
			continue;
		pool = cfg_pool_find(*hosts->env->cfg, known->host.pool);
		if (is_done(hosts, wave->number, wave->hosts[i]) ||
		    !maint_settled(hosts, known, pool && pool->standby) ||
		    !pool_allows(hosts, known->host.pool))
			continue;
		load = load_of(hosts, known->host.worker);
		if (best && load >= best_load)
			continue;
		best = known;
		best_load = load;
	}
	return best;
}

static void ask(struct maint *hosts, const struct host_wave *wave,
		const struct known_host *known)
{
	const struct cfg_pool *pool =
		cfg_pool_find(*hosts->env->cfg, known->host.pool);
	const struct host_plan *before =
		host_plan_find(hosts->env->plans, known->host.name);
	struct host_plan plan = {
		.work = HOST_RESTART,
		.done_wave = before ? before->done_wave : 0,
		.wave = wave->number,
		.step = HOST_ASKED,
	};

	g_strlcpy(plan.host, known->host.name, sizeof(plan.host));
	g_strlcpy(plan.worker, known->host.worker, sizeof(plan.worker));
	/* Nothing runs in a pool that is off. */
	if (!plan.worker[0] || (pool && pool->standby))
		plan.step = HOST_CLEAR;
	maint_plan(hosts, &plan);
	log_info("host-asked host=%s worker=%s pool=%s wave=%" G_GINT64_FORMAT,
		 plan.host, plan.worker, known->host.pool, wave->number);
}

static void tell(struct maint *hosts, int64_t number, const char *state)
{
	char *key = g_strdup_printf("%s%" G_GINT64_FORMAT,
				    hosts->env->status_prefix, number);
	char *value = g_strdup_printf("{\"state\":\"%s\"}", state);

	if (!hosts->status) {
		struct writer_config config = {
			.io = hosts->env->stream,
			.clk = hosts->env->clk,
			.id = hosts->env->status,
			.producer = "hosts",
			.epoch = hosts->tenure.fence,
			.gap_ms = WAVE_STATUS_GAP_MS,
			.max_bytes = 65536,
		};

		hosts->status = writer_create(&config);
	}
	writer_add(hosts->status, key, value, strlen(value), NULL, NULL);
	log_info("wave-told wave=%" G_GINT64_FORMAT " state=%s", number, state);
	g_free(key);
	g_free(value);
}

static bool all_done(const struct maint *hosts, const struct host_wave *wave)
{
	for (uint32_t i = 0; i < wave->host_count; i++)
		/* A host that has left the platform needs no restart. */
		if (!is_done(hosts, wave->number, wave->hosts[i]) &&
		    maint_find(hosts, wave->hosts[i]))
			return false;
	return true;
}

static void decide_one(struct maint *hosts, struct wave *wave)
{
	const struct host_wave *ordered = &wave->ordered;
	int32_t busy = 0;

	if (wave->told_done)
		return;
	if (all_done(hosts, ordered)) {
		wave->told_done = true;
		hosts->env->counts.waves_done++;
		tell(hosts, ordered->number, "done");
		return;
	}
	if (!wave->told_running)
		tell(hosts, ordered->number, "running");
	wave->told_running = true;
	for (uint32_t i = 0; i < ordered->host_count; i++)
		busy += is_down(hosts, ordered->number, ordered->hosts[i]) ||
			is_asked(hosts, ordered->number, ordered->hosts[i]);
	while (busy < ordered->max_down + WAVE_AHEAD) {
		const struct known_host *known = choose(hosts, ordered);

		if (!known)
			break;
		ask(hosts, ordered, known);
		busy++;
	}
}

void wave_decide(struct maint *hosts)
{
	for (guint i = 0; i < hosts->waves->len; i++)
		decide_one(hosts, hosts->waves->pdata[i]);
}
