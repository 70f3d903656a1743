#include <string.h>

#include "avail.h"
#include "log.h"
#include "pool_int.h"

/*
 * Stops long-running tasks on workers that are draining or leaving, as far as
 * the availability budget of the tasks allows.
 */
static void stop_long_running(struct pool *pool, struct job *job,
			      int64_t now_ms)
{
	struct job_pos pos = { .job = job };

	while (job_next_task(&pos)) {
		struct worker *worker;
		char name[JOB_TASK_NAME_BYTES];

		if (pos.task->state != TASK_PLACED ||
		    pos.task->phase != PHASE_RUNNING ||
		    !job->spec.steps[pos.step].long_running)
			continue;
		worker = worker_find(pool->env->workers, pos.task->worker);
		if (!worker || !(worker->leaving || worker->entry.draining))
			continue;
		if (!pos.task->stop_wanted_ms)
			pos.task->stop_wanted_ms = now_ms;
		if (!avail_may_stop(pool->env->workers, &pos, now_ms))
			continue;
		job_task_name(&pos, name, sizeof(name));
		log_info("task-moved-off task=%s run=%d worker=%s why=%s", name,
			 pos.task->run, worker->entry.id,
			 worker->entry.draining ? "draining" : "leaving");
		pool_stop_task(pool, &pos);
	}
}

static bool is_empty(const struct pool *pool, const struct worker *worker)
{
	struct job_store *jobs = pool->env->jobs;

	for (guint i = 0; i < jobs->live->len; i++) {
		struct job_pos pos = { .job = jobs->live->pdata[i] };

		if (!share_has_job(&pool->share, pos.job))
			continue;
		while (job_next_task(&pos))
			if (pos.task->state == TASK_PLACED &&
			    pos.task->worker == worker->name)
				return false;
	}
	return true;
}

static void store_host_drained(struct pool *pool, struct host_plan *plan)
{
	struct host_plan drained = *plan;
	char key[LIMIT_NAME_BYTES + 2];
	size_t len;
	char *record;

	drained.step = HOST_DRAINED;
	plan->drained_number = plan->number;
	record = host_plan_record(&drained, &len);
	g_snprintf(key, sizeof(key), "h:%s", plan->host);
	writer_add(pool->ownership.writer, key, record, len, NULL, NULL);
	g_free(record);
	log_info("host-clear host=%s worker=%s", plan->host, plan->worker);
}

void pool_drain_workers(struct pool *pool)
{
	struct host_plans *plans = pool->env->plans;
	struct job_store *jobs = pool->env->jobs;
	int64_t now_ms = pool_now_ms(pool);

	for (guint i = 0; i < jobs->live->len; i++) {
		struct job *job = jobs->live->pdata[i];

		if (share_has_job(&pool->share, job) && !job_ended(job->state))
			stop_long_running(pool, job, now_ms);
	}
	for (guint i = 0; i < plans->list->len; i++) {
		struct host_plan *plan = plans->list->pdata[i];
		struct worker *worker =
			worker_find(pool->env->workers, plan->worker);

		if (plan->step != HOST_DRAIN_REQUESTED ||
		    plan->drained_number == plan->number || !worker ||
		    !share_has_worker(&pool->share, worker))
			continue;
		if (is_empty(pool, worker))
			store_host_drained(pool, plan);
	}
}
