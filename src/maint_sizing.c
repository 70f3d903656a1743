#include <string.h>

#include "crash.h"
#include "log.h"
#include "maint_int.h"
#include "place.h"

enum {
	/* Suspects that wait for their quarantine, for each host more. */
	MAINT_SUSPECTS_PER_HOST = 4,
	/* The largest part of the hosts that is added for them. */
	MAINT_QUARANTINE_PART = 4
};

static struct load *find_or_add_load(struct maint *maint, const char *worker)
{
	struct load *load = g_hash_table_lookup(maint->loads, worker);

	if (!load) {
		load = g_new0(struct load, 1);
		g_hash_table_insert(maint->loads, (char *)worker, load);
	}
	return load;
}

const struct load *maint_load(const struct maint *maint, const char *worker)
{
	static const struct load none;
	const struct load *load = g_hash_table_lookup(maint->loads, worker);

	return load ? load : &none;
}

struct pool_size *maint_pool_size(const struct maint *maint, const char *pool)
{
	for (guint i = 0; i < maint->pool_sizes->len; i++) {
		struct pool_size *size =
			&g_array_index(maint->pool_sizes, struct pool_size, i);

		if (!strcmp(size->name, pool))
			return size;
	}
	return NULL;
}

static void count_host(struct maint *maint, const struct known_host *known)
{
	const struct host_plan *plan =
		host_plan_find(maint->env->plans, known->host.name);
	struct pool_size *size = maint_pool_size(maint, known->host.pool);
	struct pool_size new_size = { 0 };

	if (!size) {
		g_strlcpy(new_size.name, known->host.pool,
			  sizeof(new_size.name));
		g_array_append_val(maint->pool_sizes, new_size);
		size = maint_pool_size(maint, known->host.pool);
	}
	size->hosts++;
	size->unavailable += known->host.state != HOST_UP ||
			     (plan && plan->step != HOST_ORDER_DONE);
}

static uint32_t slice_of_host(const struct maint *maint, const char *host)
{
	return share_of_host(host, MAX(maint->env->layout->shares, 1));
}

static struct sizing_pool *find_pool(struct maint *maint, uint32_t slice,
				     const char *name)
{
	GArray *pools = maint->slices[slice];

	for (guint i = 0; i < pools->len; i++) {
		struct sizing_pool *pool =
			&g_array_index(pools, struct sizing_pool, i);

		if (!strcmp(pool->name, name))
			return pool;
	}
	return NULL;
}

static void reset_pool(struct maint *maint, uint32_t slice,
		       const struct cfg_pool *cfg)
{
	struct sizing_pool *pool = find_pool(maint, slice, cfg->name);
	struct sizing_pool new_pool = { 0 };

	if (!pool) {
		g_strlcpy(new_pool.name, cfg->name, sizeof(new_pool.name));
		g_array_append_val(maint->slices[slice], new_pool);
		pool = find_pool(maint, slice, new_pool.name);
	}
	pool->standby = cfg->standby;
	pool->demand_milli = 0;
	pool->late_milli = 0;
	pool->suspects = 0;
	pool->hosts = 0;
	pool->arriving = 0;
	pool->movable = 0;
	pool->idle = 0;
	pool->min_hosts = 0;
	pool->lasting_parts = 0;
	pool->lasting_hosts = 0;
	pool->waiting_parts = 0;
	pool->waiting_hosts = 0;
	pool->oldest_waits = false;
	pool->oldest_fits = false;
}

static void reset_pools(struct maint *maint)
{
	const struct cfg *cfg = *maint->env->cfg;

	for (uint32_t k = 0; k < maint->env->layout->shares; k++)
		for (uint32_t i = 0; i < cfg->pool_count; i++)
			reset_pool(maint, k, &cfg->pools[i]);
}

static struct sizing_host mean_host(const struct maint *maint)
{
	guint count = MAX(g_hash_table_size(maint->known_hosts), 1);
	struct sizing_host mean = { 0 };
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, maint->known_hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct known_host *known = value;

		mean.cpu_milli += known->host.cpu_milli;
		mean.mem_mib += known->host.mem_mib;
	}
	mean.cpu_milli /= count;
	mean.mem_mib /= count;
	return mean;
}

/* Hosts over which so many tasks of the step must be spread. */
static int32_t spread_hosts(const struct job_step *step, int32_t count)
{
	return step->max_per_worker > 0 && count > 0
		       ? (count - 1) / step->max_per_worker + 1
		       : MIN(count, 1);
}

/* Raises the pool's minimum to the hosts that a long-running step needs. */
static void raise_min_hosts(struct sizing_pool *pool,
			    const struct job_step *step)
{
	if (step->long_running)
		pool->min_hosts =
			MAX(pool->min_hosts, spread_hosts(step, step->count));
}

/* Adds the part of a host that a running or ready task of the step takes. */
static void add_lasting(struct sizing_pool *pool, const struct job_step *step,
			bool waits, const struct sizing_host *host)
{
	int32_t parts = sizing_task_parts(
		host, step->uses_idle_cpu ? 0 : step->cpu_milli, step->mem_mib);
	int64_t hosts;

	pool->lasting_parts += parts;
	if (waits)
		pool->waiting_parts += parts;
	hosts = (pool->lasting_parts + SIZING_HOST_PARTS - 1) /
		SIZING_HOST_PARTS;
	pool->min_hosts = MAX(pool->min_hosts, (int32_t)hosts);
}

/* A step that uses only idle CPU adds none. */
static void add_demand(struct sizing_pool *pool, const struct job_step *step,
		       bool late)
{
	if (step->uses_idle_cpu)
		return;
	if (late && !step->long_running)
		pool->late_milli += step->cpu_milli;
	else
		pool->demand_milli += step->cpu_milli;
}

/* Notes the request of the finite task that has waited longest. */
static void note_oldest(struct sizing_pool *pool, const struct job *job,
			const struct job_step *step,
			const struct sizing_host *host)
{
	/* One that fits on no host gets no room by another one. */
	if ((pool->oldest_waits && pool->oldest_ms <= job->accepted_ms) ||
	    step->cpu_milli > host->cpu_milli || step->mem_mib > host->mem_mib)
		return;
	pool->oldest_waits = true;
	pool->oldest_ms = job->accepted_ms;
	pool->oldest_cpu_milli = step->uses_idle_cpu ? 0 : step->cpu_milli;
	pool->oldest_mem_mib = step->mem_mib;
}

static void add_job(struct maint *maint, struct job *job,
		    const struct sizing_host *host)
{
	struct sizing_pool *pool =
		find_pool(maint, share_of_job(job, maint->env->layout->shares),
			  job->pool);
	struct job_pos pos = { .job = job };
	int64_t wall_ms = clk_wall_ms(maint->env->clk);
	bool ready = false;
	bool late = false;
	int32_t waiting = 0; /* tasks of the step */

	if (!pool || !job->has_spec || job->cancel_requested)
		return;
	/* Room is made for occurrences before they are due. */
	for (uint32_t i = 0;
	     job->opened < job->occurrences && i < job->spec.step_count; i++)
		raise_min_hosts(pool, &job->spec.steps[i]);
	while (job_next_task(&pos)) {
		const struct job_step *step = &job->spec.steps[pos.step];

		if (!pos.index) {
			ready = job_due_ms(job, pos.occurrence) <= wall_ms &&
				job_step_ready(job, pos.occurrence, pos.step);
			late = place_too_late(*maint->env->cfg, job,
					      pos.occurrence, wall_ms);
			raise_min_hosts(pool, step);
			waiting = 0;
		}
		if (pos.task->state == TASK_PLACED) {
			struct load *load =
				find_or_add_load(maint, pos.task->worker);

			load->has_tasks = true;
			if (!step->uses_idle_cpu)
				load->cpu_milli += step->cpu_milli;
			load->mem_mib += step->mem_mib;
			load->long_running |= step->long_running;
		} else if (pos.task->state != TASK_WAITING || !ready) {
			continue;
		} else {
			/* A gang starts in quarantine as a whole. */
			pool->suspects += crash_needs_quarantine(pos.task) &&
					  (!step->gang || !pos.index);
		}
		waiting += pos.task->state == TASK_WAITING;
		if (step->long_running) {
			add_lasting(pool, step, pos.task->state == TASK_WAITING,
				    host);
			pool->waiting_hosts = MAX(pool->waiting_hosts,
						  spread_hosts(step, waiting));
		}
		if (!step->long_running && pos.task->state == TASK_WAITING)
			note_oldest(pool, job, step, host);
		add_demand(pool, step, late);
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

/*
 * Whether a move of the host is planned that no order can have been sent for: its
 * pool has not drained it, and an earlier owner of the hosts sends none any more.
 */
static bool has_open_move(const struct maint *maint,
			  const struct known_host *known,
			  const struct host_plan *plan)
{
	return plan && plan->work == HOST_MOVE &&
	       plan->step == HOST_DRAIN_REQUESTED && !known->ordering &&
	       known->host.state == HOST_UP &&
	       !strcmp(plan->worker, known->host.worker) &&
	       clk_now_ms(maint->env->clk) >= maint->earlier_end_ms;
}

static void take_back_move(struct maint *maint, const struct known_host *known,
			   const char *why)
{
	struct host_plan *plan =
		host_plan_find(maint->env->plans, known->host.name);

	log_info("move-taken-back host=%s worker=%s pool=%s to=%s why=%s",
		 plan->host, plan->worker, known->host.pool, plan->pool, why);
	maint_end_plan(maint, plan);
}

/*
 * A host was to be moved as it had no long-running task; one that has been placed
 * there since keeps it in its pool.
 */
static void keep_host_with_lasting_task(struct maint *maint,
					const struct known_host *known)
{
	const struct host_plan *plan =
		host_plan_find(maint->env->plans, known->host.name);

	if (has_open_move(maint, known, plan) &&
	    maint_load(maint, known->host.worker)->long_running)
		take_back_move(maint, known, "long-running-task");
}

/*
 * Whether the host's worker drains by itself, not for an order of ours, after
 * which the list may show it for a while.
 */
static bool drains_by_itself(const struct maint *maint,
			     const struct known_host *known,
			     const struct host_plan *plan)
{
	const struct worker *worker =
		worker_find(maint->env->workers, known->host.worker);

	return worker && worker->entry.draining &&
	       !(plan && !strcmp(plan->worker, known->host.worker));
}

/* Whether the pool's oldest waiting task fits; one that moves here is empty. */
static bool fits_oldest(const struct sizing_pool *pool,
			const struct known_host *known, const struct load *load)
{
	bool here = known->host.state == HOST_UP &&
		    !strcmp(known->host.pool, pool->name);
	int64_t cpu_milli = here ? load->cpu_milli : 0;
	int64_t mem_mib = here ? load->mem_mib : 0;

	return pool->oldest_cpu_milli <= known->host.cpu_milli - cpu_milli &&
	       pool->oldest_mem_mib <= known->host.mem_mib - mem_mib;
}

static void add_host(struct maint *maint, struct known_host *known)
{
	const struct host_plan *plan =
		host_plan_find(maint->env->plans, known->host.name);
	const struct load *load = maint_load(maint, known->host.worker);
	struct sizing_pool *pool;

	known->pool = pool_after_move(known, plan);
	known->movable = false;
	known->open_move = has_open_move(maint, known, plan);
	pool = find_pool(maint, slice_of_host(maint, known->host.name),
			 known->pool);
	if (!pool || known->host.state == HOST_DOWN ||
	    drains_by_itself(maint, known, plan))
		return;
	/* A host to be restarted is not counted. */
	if (plan && plan->work == HOST_RESTART &&
	    (plan->step != HOST_ORDER_DONE || known->host.state != HOST_UP))
		return;
	pool->hosts++;
	pool->arriving += strcmp(known->pool, known->host.pool) != 0;
	pool->oldest_fits |= fits_oldest(pool, known, load);
	known->load_milli = load->cpu_milli;
	known->idle = !load->has_tasks;
	known->movable = known->open_move ||
			 (maint_host_settled(maint, known, pool->standby) &&
			  !load->long_running);
	pool->movable += known->movable;
	pool->idle += known->movable && known->idle;
	pool->lasting_hosts += load->long_running &&
			       maint_host_settled(maint, known, pool->standby);
}

void maint_survey(struct maint *maint)
{
	struct job_store *jobs = maint->env->jobs;
	struct sizing_host host = mean_host(maint);
	GHashTableIter iter;
	void *value;

	g_array_set_size(maint->pool_sizes, 0);
	g_hash_table_remove_all(maint->loads);
	g_hash_table_iter_init(&iter, maint->known_hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count_host(maint, value);
	if (!maint->env->layout->shares)
		return;
	reset_pools(maint);
	for (guint i = 0; i < jobs->live->len; i++)
		add_job(maint, jobs->live->pdata[i], &host);
}

/* Adds the hosts to the pools of their slice. */
static void add_hosts(struct maint *maint)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, maint->known_hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		keep_host_with_lasting_task(maint, value);
		add_host(maint, value);
	}
}

/* Whether left is better moved to the pool: it is there still, or has less load. */
static bool moves_sooner(const struct known_host *left,
			 const struct known_host *right, const char *to)
{
	bool left_there = !strcmp(left->host.pool, to);

	if (left_there != !strcmp(right->host.pool, to))
		return left_there;
	return left->load_milli < right->load_milli;
}

/* The best movable host; for a standby pool, of those without a task. */
static struct known_host *choose_movable(struct maint *maint, uint32_t slice,
					 const struct sizing_pool *from,
					 const struct sizing_pool *to)
{
	struct known_host *best = NULL;
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, maint->known_hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct known_host *known = value;

		if (!known->movable || strcmp(known->pool, from->name) ||
		    (to->standby && !known->idle) ||
		    slice_of_host(maint, known->host.name) != slice)
			continue;
		if (!best || moves_sooner(known, best, to->name))
			best = known;
	}
	return best;
}

static bool move(struct maint *maint, uint32_t slice, struct sizing_pool *from,
		 struct sizing_pool *to)
{
	struct known_host *known = choose_movable(maint, slice, from, to);
	const struct host_plan *previous;
	struct host_plan plan = {
		.work = HOST_MOVE,
		.step = HOST_DRAIN_REQUESTED,
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
	to->unfit_since_ms = 0; /* the oldest waiting task fits on this one */
	if (known->open_move && !strcmp(known->host.pool, to->name)) {
		from->arriving--;
		take_back_move(maint, known, "needed");
		return true;
	}
	from->arriving -= known->open_move;
	to->arriving++;
	/* No tasks run in a standby pool. */
	if (from->standby && !known->open_move)
		plan.step = HOST_DRAINED;
	maint_add_plan(maint, &plan);
	log_info("host-lent host=%s from=%s to=%s wanted_from=%" G_GINT64_FORMAT
		 " late_from=%" G_GINT64_FORMAT " wanted_to=%" G_GINT64_FORMAT
		 " late_to=%" G_GINT64_FORMAT " hosts_to=%d min_to=%d "
		 "waiting_ms=%" G_GINT64_FORMAT,
		 plan.host, from->name, to->name, from->demand_milli,
		 from->late_milli, to->demand_milli, to->late_milli, to->hosts,
		 to->min_hosts,
		 to->waiting_since_ms
			 ? clk_now_ms(maint->env->clk) - to->waiting_since_ms
			 : 0);
	return true;
}

/* A task that starts in quarantine keeps other tasks away from its host. */
static void add_quarantine_demand(struct sizing_pool *pool,
				  const struct sizing *sizing)
{
	int64_t hosts = MIN(pool->suspects / MAINT_SUSPECTS_PER_HOST,
			    sizing->hosts / MAINT_QUARANTINE_PART);

	pool->demand_milli += hosts * sizing->host_milli;
}

static void decide_slice(struct maint *maint, uint32_t slice,
			 int64_t host_milli, int64_t now_ms)
{
	GArray *slice_pools = maint->slices[slice];
	struct sizing_pool *pools = (struct sizing_pool *)slice_pools->data;
	struct sizing sizing = { .host_milli = host_milli };
	uint32_t from, to;

	for (guint i = 0; i < slice_pools->len; i++)
		sizing.hosts += pools[i].hosts;
	for (guint i = 0; i < slice_pools->len; i++) {
		add_quarantine_demand(&pools[i], &sizing);
		sizing_observe(&sizing, &pools[i], now_ms);
	}
	while (sizing_next_move(&sizing, pools, slice_pools->len, now_ms, &from,
				&to))
		if (!move(maint, slice, &pools[from], &pools[to]))
			break;
}

void maint_decide_sizing(struct maint *maint)
{
	int64_t now_ms = clk_now_ms(maint->env->clk);
	int64_t host_milli = mean_host(maint).cpu_milli;

	add_hosts(maint);
	if (!host_milli)
		return;
	for (uint32_t k = 0; k < maint->env->layout->shares; k++)
		decide_slice(maint, k, host_milli, now_ms);
}
