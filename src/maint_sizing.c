#include <string.h>

#include "maint_int.h"
#include "log.h"

/* Tasks placed at a worker. */
struct load {
	int32_t cpu_milli;
	bool has_tasks;
	bool long_running; /* some tasks run until they are cancelled */
};

struct demand {
	GHashTable *loads; /* worker -> struct load */
};

static struct load *find_or_add_load(struct demand *demand, const char *worker)
{
	struct load *load = g_hash_table_lookup(demand->loads, worker);

	if (!load) {
		load = g_new0(struct load, 1);
		g_hash_table_insert(demand->loads, (char *)worker, load);
	}
	return load;
}

static struct sizing_pool *find_pool(struct maint *maint, const char *name)
{
	for (guint i = 0; i < maint->sizing_pools->len; i++) {
		struct sizing_pool *pool = &g_array_index(
			maint->sizing_pools, struct sizing_pool, i);

		if (!strcmp(pool->name, name))
			return pool;
	}
	return NULL;
}

static void reset_pools(struct maint *maint)
{
	const struct cfg *cfg = *maint->env->cfg;

	for (uint32_t i = 0; i < cfg->pool_count; i++) {
		struct sizing_pool *pool = find_pool(maint, cfg->pools[i].name);
		struct sizing_pool new_pool = { 0 };

		if (!pool) {
			g_strlcpy(new_pool.name, cfg->pools[i].name,
				  sizeof(new_pool.name));
			g_array_append_val(maint->sizing_pools, new_pool);
			pool = find_pool(maint, new_pool.name);
		}
		pool->standby = cfg->pools[i].standby;
		pool->demand_milli = 0;
		pool->hosts = 0;
		pool->movable = 0;
		pool->idle = 0;
		pool->min_hosts = 0;
	}
}

/* Raises the pool's minimum to the hosts that a long-running step needs. */
static void raise_min_hosts(struct sizing_pool *pool,
			    const struct job_step *step)
{
	int32_t per_worker = step->max_per_worker;
	int32_t workers = per_worker > 0
				  ? (step->count + per_worker - 1) / per_worker
				  : 1;

	if (step->long_running)
		pool->min_hosts = MAX(pool->min_hosts, workers);
}

static void add_job(struct maint *maint, struct job *job, struct demand *demand)
{
	struct sizing_pool *pool = find_pool(maint, job->pool);
	struct job_pos pos = { .job = job };
	int64_t wall_ms = clk_wall_ms(maint->env->clk);
	bool ready = false;

	if (!pool || !job->has_spec || job->cancel_requested)
		return;
	while (job_next_task(&pos)) {
		const struct job_step *step = &job->spec.steps[pos.step];

		if (!pos.index) {
			ready = job_due_ms(job, pos.occurrence) <= wall_ms &&
				job_step_ready(job, pos.occurrence, pos.step);
			raise_min_hosts(pool, step);
		}
		if (pos.task->state == TASK_PLACED) {
			struct load *load =
				find_or_add_load(demand, pos.task->worker);

			load->has_tasks = true;
			load->cpu_milli += step->cpu_milli;
			load->long_running |= step->long_running;
		} else if (pos.task->state != TASK_WAITING || !ready) {
			continue;
		}
		/* A step that uses only idle CPU adds no demand. */
		if (!step->uses_idle_cpu)
			pool->demand_milli += step->cpu_milli;
	}
}

/* Pool of a host, or the target pool if its move is not completed. */
static const char *pool_after_move(const struct known_host *known,
				   const struct host_plan *plan)
{
	if (plan && plan->work == HOST_MOVE &&
	    (plan->step != HOST_ORDER_DONE || known->host.state == HOST_MOVING))
		return plan->pool;
	return known->host.pool;
}

static void add_hosts(struct maint *maint, struct demand *demand,
		      struct sizing *sizing)
{
	GHashTableIter iter;
	int64_t total_milli = 0;
	void *value;

	g_hash_table_iter_init(&iter, maint->known_hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct known_host *known = value;
		const struct host_plan *plan =
			host_plan_find(maint->env->plans, known->host.name);
		struct sizing_pool *pool =
			find_pool(maint, pool_after_move(known, plan));
		const struct load *load;

		known->movable = false;
		total_milli += known->host.cpu_milli;
		if (!pool || known->host.state == HOST_DOWN)
			continue;
		/* A host to be restarted is not counted. */
		if (plan && plan->work == HOST_RESTART &&
		    (plan->step != HOST_ORDER_DONE ||
		     known->host.state != HOST_UP))
			continue;
		pool->hosts++;
		load = find_or_add_load(demand,
					g_intern_string(known->host.worker));
		known->load_milli = load->cpu_milli;
		known->idle = !load->has_tasks;
		known->movable =
			maint_host_settled(maint, known, pool->standby) &&
			!load->long_running;
		pool->movable += known->movable;
		pool->idle += known->movable && known->idle;
	}
	if (g_hash_table_size(maint->known_hosts))
		sizing->host_milli =
			total_milli / g_hash_table_size(maint->known_hosts);
}

/* The movable host with the least load; idle restricts it to idle hosts. */
static struct known_host *choose_movable(struct maint *maint, const char *pool,
					 bool idle)
{
	struct known_host *best = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, maint->known_hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct known_host *known = value;

		if (!known->movable || strcmp(known->host.pool, pool) ||
		    (idle && !known->idle))
			continue;
		if (!best || known->load_milli < best->load_milli)
			best = known;
	}
	return best;
}

static bool move(struct maint *maint, struct sizing_pool *from,
		 struct sizing_pool *to)
{
	struct known_host *known =
		choose_movable(maint, from->name, to->standby);
	const struct host_plan *previous;
	struct host_plan plan = {
		.work = HOST_MOVE,
		.step = from->standby ? HOST_DRAINED : HOST_DRAIN_REQUESTED,
	};

	if (!known)
		return false;
	previous = host_plan_find(maint->env->plans, known->host.name);
	if (previous)
		plan.done_wave = previous->done_wave;
	g_strlcpy(plan.host, known->host.name, sizeof(plan.host));
	g_strlcpy(plan.worker, known->host.worker, sizeof(plan.worker));
	g_strlcpy(plan.pool, to->name, sizeof(plan.pool));
	known->movable = false;
	from->hosts--;
	from->movable--;
	from->idle -= known->idle;
	to->hosts++;
	maint_add_plan(maint, &plan);
	log_info("host-lent host=%s from=%s to=%s wanted_from=%" G_GINT64_FORMAT
		 " wanted_to=%" G_GINT64_FORMAT " hosts_to=%d",
		 plan.host, from->name, to->name, from->demand_milli,
		 to->demand_milli, to->hosts);
	return true;
}

void maint_decide_sizing(struct maint *maint)
{
	struct demand demand = {
		.loads = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       g_free),
	};
	struct job_store *jobs = maint->env->jobs;
	int64_t now_ms = clk_now_ms(maint->env->clk);
	struct sizing sizing = { 0 };
	struct sizing_pool *pools;
	uint32_t from, to;

	reset_pools(maint);
	for (guint i = 0; i < jobs->live->len; i++)
		add_job(maint, jobs->live->pdata[i], &demand);
	add_hosts(maint, &demand, &sizing);
	pools = (struct sizing_pool *)maint->sizing_pools->data;
	for (guint i = 0; sizing.host_milli && i < maint->sizing_pools->len;
	     i++)
		sizing_observe(&sizing, &pools[i], now_ms);
	while (sizing_next_move(&sizing, pools, maint->sizing_pools->len,
				now_ms, &from, &to))
		if (!move(maint, &pools[from], &pools[to]))
			break;
	g_hash_table_destroy(demand.loads);
}
