#include <string.h>

#include "log.h"
#include "pool_int.h"
#include "pool_life.h"

enum { POOL_UNPLACED_STOP_RETRY_MS = 300 };

/* What a run uses, as of its step. */
struct need {
	const char *tenant; /* interned */
	int32_t cpu_milli;
	int32_t mem_mib;
	int32_t gpu;
	bool uses_idle_cpu;
};

/* A run that a worker may have, and that no placed task of a live job is. */
struct unplaced_run {
	char task[JOB_TASK_NAME_BYTES];
	int32_t run;
	guint slot;	/* its place among those of its worker */
	bool listed;	/* some report has listed it */
	bool inherited; /* see pool_unplaced_inherit */
	/* Its job has ended and that is stored, so that it will not be placed again;
	   need is known. */
	bool settled;
	uint32_t last_report;
	int64_t sent_ms;    /* of the last stop order; 0: none */
	int64_t stopped_ms; /* when the worker confirmed the stop; 0: not yet */
	struct need need;
};

/* Those of a worker. */
struct unplaced_worker {
	const char *name;   /* interned */
	GHashTable *by_run; /* set of struct unplaced_run, by task and run */
	GPtrArray *runs;    /* the same, in no order */
	guint next;	    /* from which the next stop is looked for */
};

/* Workers that have unplaced runs. */
struct pool_unplaced {
	GHashTable *by_name; /* struct unplaced_worker */
	GPtrArray *workers;  /* the same, in no order */
	guint next;	     /* worker that is the first one to be sent stops */
};

static guint hash_run(gconstpointer key)
{
	const struct unplaced_run *run = key;

	return g_str_hash(run->task) * 31 + (guint)run->run;
}

static gboolean equal_runs(gconstpointer a, gconstpointer b)
{
	const struct unplaced_run *left = a;
	const struct unplaced_run *right = b;

	return left->run == right->run && !strcmp(left->task, right->task);
}

static void free_worker(void *arg)
{
	struct unplaced_worker *at = arg;

	g_hash_table_destroy(at->by_run);
	g_ptr_array_free(at->runs, TRUE);
	g_free(at);
}

void pool_unplaced_init(struct pool *pool)
{
	pool->unplaced = g_new0(struct pool_unplaced, 1);
	pool->unplaced->by_name =
		g_hash_table_new_full(NULL, NULL, NULL, free_worker);
	pool->unplaced->workers = g_ptr_array_new();
}

void pool_unplaced_clear(struct pool *pool)
{
	g_ptr_array_set_size(pool->unplaced->workers, 0);
	g_hash_table_remove_all(pool->unplaced->by_name);
}

void pool_unplaced_free(struct pool *pool)
{
	g_ptr_array_free(pool->unplaced->workers, TRUE);
	g_hash_table_destroy(pool->unplaced->by_name);
	g_free(pool->unplaced);
}

uint32_t pool_unplaced_count(const struct pool *pool)
{
	const GPtrArray *workers = pool->unplaced->workers;
	uint32_t count = 0;

	for (guint i = 0; i < workers->len; i++) {
		const struct unplaced_worker *at = workers->pdata[i];

		count += at->runs->len;
	}
	return count;
}

static struct unplaced_worker *find_worker(const struct pool *pool,
					   const char *name)
{
	return g_hash_table_lookup(pool->unplaced->by_name, name);
}

static struct unplaced_worker *find_or_add_worker(struct pool *pool,
						  const char *name)
{
	struct unplaced_worker *at = find_worker(pool, name);

	if (at)
		return at;
	at = g_new0(struct unplaced_worker, 1);
	at->name = name;
	at->by_run = g_hash_table_new_full(hash_run, equal_runs, g_free, NULL);
	at->runs = g_ptr_array_new();
	g_hash_table_insert(pool->unplaced->by_name, (char *)name, at);
	g_ptr_array_add(pool->unplaced->workers, at);
	return at;
}

static void remove_worker(struct pool *pool, struct unplaced_worker *at)
{
	g_ptr_array_remove_fast(pool->unplaced->workers, at);
	g_hash_table_remove(pool->unplaced->by_name, at->name);
}

static struct unplaced_run *find_run(const struct unplaced_worker *at,
				     const char *task, int32_t run)
{
	struct unplaced_run key = { .run = run };

	g_strlcpy(key.task, task, sizeof(key.task));
	return at ? g_hash_table_lookup(at->by_run, &key) : NULL;
}

static struct unplaced_run *find_or_add(struct unplaced_worker *at,
					const char *task, int32_t run)
{
	struct unplaced_run *added = find_run(at, task, run);

	if (added)
		return added;
	added = g_new0(struct unplaced_run, 1);
	g_strlcpy(added->task, task, sizeof(added->task));
	added->run = run;
	added->slot = at->runs->len;
	g_ptr_array_add(at->runs, added);
	g_hash_table_add(at->by_run, added);
	return added;
}

static void remove_run(struct unplaced_worker *at, struct unplaced_run *run)
{
	guint slot = run->slot;

	g_ptr_array_remove_index_fast(at->runs, slot);
	if (slot < at->runs->len)
		((struct unplaced_run *)at->runs->pdata[slot])->slot = slot;
	g_hash_table_remove(at->by_run, run);
}

void pool_unplaced_add_job(struct pool *pool, struct job *job)
{
	struct job_pos pos = { .job = job };
	char name[JOB_TASK_NAME_BYTES];

	while (job_next_task(&pos)) {
		if (pos.task->state != TASK_PLACED)
			continue;
		job_task_name(&pos, name, sizeof(name));
		find_or_add(find_or_add_worker(pool, pos.task->worker), name,
			    pos.task->run);
	}
}

/*
 * Whether runs of the job may go on without a report: it has a limit, and its end was
 * read no longer ago than a worker out of reach keeps a run.
 */
static bool may_run_on(const struct pool *pool, const struct job *job)
{
	int64_t now_ms = pool_now_ms(pool);

	return *job->tenant && job->end_read_ms &&
	       job_ended(job->stored_state) &&
	       now_ms < pool_longest_lease_end_ms(pool, job->end_read_ms) &&
	       share_has_job(&pool->share, job);
}

static struct need need_of(const struct job_pos *pos)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];

	return (struct need){
		.tenant = pos->job->tenant,
		.cpu_milli = step->cpu_milli,
		.mem_mib = step->mem_mib,
		.gpu = step->gpu,
		.uses_idle_cpu = step->uses_idle_cpu,
	};
}

static void inherit_run(struct pool *pool, const struct job_pos *pos)
{
	struct unplaced_worker *at =
		find_or_add_worker(pool, pos->task->worker);
	char name[JOB_TASK_NAME_BYTES];
	struct unplaced_run *run;

	job_task_name(pos, name, sizeof(name));
	run = find_or_add(at, name, pos->task->run);
	run->need = need_of(pos);
	run->settled = true;
	run->inherited = true;
}

void pool_unplaced_inherit(struct pool *pool)
{
	const GPtrArray *jobs = pool->env->jobs->list;
	uint32_t count;

	for (guint i = 0; i < jobs->len; i++) {
		struct job_pos pos = { .job = jobs->pdata[i] };

		if (!may_run_on(pool, pos.job))
			continue;
		while (job_next_task(&pos))
			if (pos.task->state == TASK_PLACED)
				inherit_run(pool, &pos);
		job_unload_tasks(pos.job);
	}
	count = pool_unplaced_count(pool);
	if (count)
		log_info("runs-of-ended-jobs tenure=%s count=%u",
			 pool->ownership.name, count);
}

bool pool_unplaced_listed(struct pool *pool, const struct worker *worker,
			  const struct worker_run *run)
{
	struct unplaced_worker *at = find_or_add_worker(pool, worker->name);
	struct unplaced_run *unplaced = find_or_add(at, run->task, run->run);
	bool first = !unplaced->listed;

	unplaced->inherited = false;
	unplaced->listed = true;
	unplaced->last_report = worker->reports;
	return first;
}

void pool_unplaced_ended(struct pool *pool, const struct worker *worker,
			 const struct worker_end *end)
{
	struct unplaced_worker *at = find_worker(pool, worker->name);
	struct unplaced_run *run = find_run(at, end->task, end->run);

	if (run)
		remove_run(at, run);
}

void pool_unplaced_reported(struct pool *pool, const struct worker *worker,
			    int64_t asked_ms)
{
	struct unplaced_worker *at = find_worker(pool, worker->name);

	for (guint i = at ? at->runs->len : 0; i > 0; i--) {
		struct unplaced_run *run = at->runs->pdata[i - 1];
		/* Until a stop is confirmed, a delayed start may arrive. */
		bool stopped = run->stopped_ms && run->stopped_ms < asked_ms;

		if (run->last_report != worker->reports &&
		    (run->listed || run->inherited || stopped))
			remove_run(at, run);
	}
}

void pool_unplaced_stopped(struct pool *pool, const char *worker,
			   const char *task, int32_t run)
{
	struct unplaced_run *unplaced =
		find_run(find_worker(pool, g_intern_string(worker)), task, run);

	if (unplaced && !unplaced->stopped_ms)
		unplaced->stopped_ms = pool_now_ms(pool);
}

/* Whether the run is a placed task of a job whose end is not stored yet. */
static bool is_placed(const struct unplaced_worker *at,
		      const struct unplaced_run *run, const struct job_pos *pos)
{
	return !(job_ended(pos->job->state) &&
		 job_ended(pos->job->stored_state)) &&
	       pos->task->state == TASK_PLACED && pos->task->run == run->run &&
	       pos->task->worker == at->name;
}

/* Looks the run's task up; settles it once the end of its job is stored. */
static bool find_task(struct pool *pool, struct unplaced_run *run,
		      struct job_pos *pos)
{
	if (!job_task_find(pool->env->jobs, run->task, pos))
		return false;
	if (!job_ended(pos->job->state) || !job_ended(pos->job->stored_state))
		return true;
	run->need = need_of(pos);
	run->settled = true;
	return true;
}

static void account_need(struct worker *worker, const struct need *need,
			 struct quota_use *quota)
{
	struct job_step step = {
		.cpu_milli = need->cpu_milli,
		.mem_mib = need->mem_mib,
		.gpu = need->gpu,
		.uses_idle_cpu = need->uses_idle_cpu,
	};

	if (worker)
		place_occupy(worker, &step);
	if (quota)
		quota_use_add(quota, need->tenant, &step);
}

/* A run of a job that has not ended, or whose end is not stored yet. */
static void account_unsettled(struct pool *pool, struct unplaced_worker *at,
			      struct unplaced_run *run, struct worker *worker,
			      struct quota_use *quota)
{
	struct job_pos pos = { 0 };
	struct need need;

	if (!find_task(pool, run, &pos)) {
		worker->unknown_runs++;
		return;
	}
	need = need_of(&pos);
	if (!is_placed(at, run, &pos))
		account_need(worker, &need, quota);
	if (run->listed)
		pos.task->listed_ms = pool_now_ms(pool);
}

void pool_unplaced_account(struct pool *pool, struct quota_use *quota)
{
	const GPtrArray *workers = pool->unplaced->workers;

	for (guint i = 0; i < workers->len; i++) {
		struct unplaced_worker *at = workers->pdata[i];
		struct worker *worker =
			worker_find(pool->env->workers, at->name);

		for (guint k = 0; k < at->runs->len; k++) {
			struct unplaced_run *run = at->runs->pdata[k];

			if (run->inherited)
				account_need(NULL, &run->need, quota);
			else if (worker && run->settled)
				account_need(worker, &run->need, quota);
			else if (worker)
				account_unsettled(pool, at, run, worker, quota);
		}
	}
}

static bool stop_due(struct pool *pool, struct unplaced_worker *at,
		     struct unplaced_run *run, int64_t now_ms)
{
	struct job_pos pos = { 0 };

	if (run->inherited || run->stopped_ms ||
	    (run->sent_ms &&
	     now_ms - run->sent_ms < POOL_UNPLACED_STOP_RETRY_MS))
		return false;
	return run->settled || !find_task(pool, run, &pos) ||
	       pos.job->cancel_requested || !is_placed(at, run, &pos);
}

/* Sends the worker stops as far as it may get more, in turn. */
static void send_stops(struct pool *pool, struct unplaced_worker *at,
		       struct worker *worker)
{
	int64_t now_ms = pool_now_ms(pool);

	for (guint left = at->runs->len; left; left--) {
		struct unplaced_run *run;

		if (!pool_may_send_stop(pool, worker))
			return;
		if (at->next >= at->runs->len)
			at->next = 0;
		run = at->runs->pdata[at->next++];
		if (!stop_due(pool, at, run, now_ms))
			continue;
		run->sent_ms = now_ms;
		pool_send_stop(pool, worker, run->task, run->run);
	}
}

void pool_unplaced_stop_at(struct pool *pool, struct worker *worker)
{
	struct unplaced_worker *at = find_worker(pool, worker->name);

	if (at)
		send_stops(pool, at, worker);
}

/* Drops runs whose lease is over, or whose worker is not known. */
static void drop_ended(struct pool *pool, struct unplaced_worker *at,
		       const struct worker *worker)
{
	bool over = pool_now_ms(pool) >= pool_lease_end_ms(pool, at->name);

	for (guint i = at->runs->len; i > 0; i--) {
		struct unplaced_run *run = at->runs->pdata[i - 1];

		if (over || (!worker && !run->inherited))
			remove_run(at, run);
	}
	if (!at->runs->len)
		remove_worker(pool, at);
}

void pool_unplaced_stop(struct pool *pool)
{
	struct pool_unplaced *unplaced = pool->unplaced;

	for (guint i = unplaced->workers->len; i > 0; i--) {
		struct unplaced_worker *at = unplaced->workers->pdata[i - 1];

		drop_ended(pool, at, worker_find(pool->env->workers, at->name));
	}
	/* Another worker comes first each time, as all share one bound. */
	for (guint i = 0; i < unplaced->workers->len; i++) {
		struct unplaced_worker *at =
			unplaced->workers->pdata[(unplaced->next + i) %
						 unplaced->workers->len];
		struct worker *worker =
			worker_find(pool->env->workers, at->name);

		if (worker)
			send_stops(pool, at, worker);
	}
	unplaced->next++;
}
