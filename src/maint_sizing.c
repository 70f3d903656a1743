#include <string.h>

#include "maint_int.h"
#include "log.h"

/* What is placed at a worker. */
struct load {
	int32_t cpu_milli;
	bool any;
	bool lasting; /* some of it runs until it is cancelled */
};

struct demand {
	GHashTable *loads; /* worker -> struct load */
};

static struct load *load_at(struct demand *demand, const char *worker)
{
	struct load *load = g_hash_table_lookup(demand->loads, worker);

	if (!load) {
		load = g_new0(struct load, 1);
		g_hash_table_insert(demand->loads, (char *)worker, load);
	}
	return load;
}

static struct sizing_pool *sizing_pool_find(struct maint *hosts,
					    const char *name)
{
	for (guint i = 0; i < hosts->lend_pools->len; i++) {
		struct sizing_pool *pool = &g_array_index(
			hosts->lend_pools, struct sizing_pool, i);

		if (!strcmp(pool->name, name))
			return pool;
	}
	return NULL;
}

static void reset_pools(struct maint *hosts)
{
	const struct cfg *cfg = *hosts->env->cfg;

	for (uint32_t i = 0; i < cfg->pool_count; i++) {
		struct sizing_pool *pool =
			sizing_pool_find(hosts, cfg->pools[i].name);
		struct sizing_pool new_pool = { 0 };

		if (!pool) {
			g_strlcpy(new_pool.name, cfg->pools[i].name,
				  sizeof(new_pool.name));
			g_array_append_val(hosts->lend_pools, new_pool);
			pool = sizing_pool_find(hosts, new_pool.name);
		}
		pool->standby = cfg->pools[i].standby;
		pool->wanted_milli = 0;
		pool->hosts = 0;
		pool->movable = 0;
		pool->idle = 0;
		pool->least = 0;
	}
}

static void note_step(struct sizing_pool *pool, const struct job_step *step)
{
	int32_t each = step->max_per_worker;
	int32_t spread = each > 0 ? (step->count + each - 1) / each : 1;

	if (step->long_running)
		pool->least = MAX(pool->least, spread);
}

static void note_job(struct maint *hosts, struct job *job,
		     struct demand *demand)
{
	struct sizing_pool *pool = sizing_pool_find(hosts, job->pool);
	struct job_pos pos = { .job = job };
	int64_t wall_ms = clk_wall_ms(hosts->env->clk);
	bool ready = false;

	if (!pool || !job->has_spec || job->cancel_asked)
		return;
	while (job_next_task(&pos)) {
		const struct job_step *step = &job->spec.steps[pos.step];

		if (!pos.index) {
			ready = job_due_ms(job, pos.occurrence) <= wall_ms &&
				job_step_ready(job, pos.occurrence, pos.step);
			note_step(pool, step);
		}
		if (pos.task->state == TASK_PLACED) {
			struct load *load = load_at(demand, pos.task->worker);

			load->any = true;
			load->cpu_milli += step->cpu_milli;
			load->lasting |= step->long_running;
		} else if (pos.task->state != TASK_WAITING || !ready) {
			continue;
		}
		if (!step->fills)
			pool->wanted_milli += step->cpu_milli;
	}
}

/* Pool that a host is in, or will be in when its plan is carried out. */
static const char *home_of(const struct known_host *known,
			   const struct host_plan *plan)
{
	if (plan && plan->work == HOST_MOVE &&
	    (plan->step != HOST_ORDERED || known->host.state == HOST_MOVING))
		return plan->pool;
	return known->host.pool;
}

static void note_hosts(struct maint *hosts, struct demand *demand,
		       struct sizing *lend)
{
	GHashTableIter iter;
	int64_t total_milli = 0;
	void *value;

	g_hash_table_iter_init(&iter, hosts->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct known_host *known = value;
		const struct host_plan *plan =
			host_plan_find(hosts->env->plans, known->host.name);
		struct sizing_pool *pool =
			sizing_pool_find(hosts, home_of(known, plan));
		const struct load *load;

		known->free = false;
		total_milli += known->host.cpu_milli;
		if (!pool || known->host.state == HOST_DOWN)
			continue;
		/* One that is to be restarted does not count here. */
		if (plan && plan->work == HOST_RESTART &&
		    (plan->step != HOST_ORDERED ||
		     known->host.state != HOST_UP))
			continue;
		pool->hosts++;
		load = load_at(demand, g_intern_string(known->host.worker));
		known->load_milli = load->cpu_milli;
		known->idle = !load->any;
		known->free = maint_settled(hosts, known, pool->standby) &&
			      !load->lasting;
		pool->movable += known->free;
		pool->idle += known->free && known->idle;
	}
	if (g_hash_table_size(hosts->known))
		lend->host_milli =
			total_milli / g_hash_table_size(hosts->known);
}

/* The host with the least to end; a parked one only if it is idle. */
static struct known_host *take_free(struct maint *hosts, const char *pool,
				    bool idle)
{
	struct known_host *best = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, hosts->known);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct known_host *known = value;

		if (!known->free || strcmp(known->host.pool, pool) ||
		    (idle && !known->idle))
			continue;
		if (!best || known->load_milli < best->load_milli)
			best = known;
	}
	return best;
}

static bool move(struct maint *hosts, struct sizing_pool *from,
		 struct sizing_pool *to)
{
	struct known_host *known = take_free(hosts, from->name, to->standby);
	const struct host_plan *before;
	struct host_plan plan = {
		.work = HOST_MOVE,
		.step = from->standby ? HOST_CLEAR : HOST_ASKED,
	};

	if (!known)
		return false;
	before = host_plan_find(hosts->env->plans, known->host.name);
	if (before)
		plan.done_wave = before->done_wave;
	g_strlcpy(plan.host, known->host.name, sizeof(plan.host));
	g_strlcpy(plan.worker, known->host.worker, sizeof(plan.worker));
	g_strlcpy(plan.pool, to->name, sizeof(plan.pool));
	known->free = false;
	from->hosts--;
	from->movable--;
	from->idle -= known->idle;
	to->hosts++;
	maint_plan(hosts, &plan);
	log_info("host-lent host=%s from=%s to=%s wanted_from=%" G_GINT64_FORMAT
		 " wanted_to=%" G_GINT64_FORMAT " hosts_to=%d",
		 plan.host, from->name, to->name, from->wanted_milli,
		 to->wanted_milli, to->hosts);
	return true;
}

void sizing_decide(struct maint *hosts)
{
	struct demand demand = {
		.loads = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       g_free),
	};
	struct job_store *jobs = hosts->env->jobs;
	int64_t now_ms = clk_now_ms(hosts->env->clk);
	struct sizing lend = { 0 };
	struct sizing_pool *pools;
	uint32_t from, to;

	reset_pools(hosts);
	for (guint i = 0; i < jobs->live->len; i++)
		note_job(hosts, jobs->live->pdata[i], &demand);
	note_hosts(hosts, &demand, &lend);
	pools = (struct sizing_pool *)hosts->lend_pools->data;
	for (guint i = 0; lend.host_milli && i < hosts->lend_pools->len; i++)
		sizing_note(&lend, &pools[i], now_ms);
	while (sizing_next(&lend, pools, hosts->lend_pools->len, now_ms, &from,
			   &to))
		if (!move(hosts, &pools[from], &pools[to]))
			break;
	g_hash_table_destroy(demand.loads);
}
