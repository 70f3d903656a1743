#include <string.h>

#include "crash.h"
#include "log.h"
#include "pool_int.h"

/* The tasks that a worker's crash is judged by. */
struct crash_scene {
	const struct worker *worker;
	GArray *tasks;	    /* struct job_pos */
	uint32_t new_tasks; /* not known to have survived their start */
};

/* Whether the run began, if at all, in an earlier life of the worker. */
static bool is_of_earlier_life(const struct worker *worker,
			       const struct job_task *task)
{
	return task->worker_boot_ms && worker->boot_ms &&
	       job_boot_tag(task->worker_boot_ms) !=
		       job_boot_tag(worker->boot_ms) &&
	       task->last_report != worker->reports;
}

static bool crashed_under(const struct worker *worker, bool dead,
			  const struct job_task *task)
{
	return task->state == TASK_PLACED && task->worker == worker->name &&
	       crash_may_count(task) &&
	       (dead || is_of_earlier_life(worker, task));
}

static bool is_new(const struct crash_scene *scene, const struct job_pos *pos)
{
	return !crash_is_settled(pos->task, scene->worker->last_report_ms);
}

static void add_task(struct crash_scene *scene, const struct job_pos *pos)
{
	g_array_append_val(scene->tasks, *pos);
	scene->new_tasks += is_new(scene, pos);
}

static void find_tasks(struct pool *pool, bool dead, struct crash_scene *scene)
{
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;

	for (guint i = 0; i < jobs->len; i++) {
		struct job_pos pos = { .job = jobs->pdata[i] };

		while (job_next_task(&pos))
			if (crashed_under(scene->worker, dead, pos.task))
				add_task(scene, &pos);
	}
}

static void give_up(struct pool *pool, struct job_pos *pos)
{
	const struct job_task *task = pos->task;
	char name[JOB_TASK_NAME_BYTES];

	job_task_name(pos, name, sizeof(name));
	log_warn("task-given-up task=%s run=%d worker=%s crashes=%d lapses=%d",
		 name, task->run, task->worker, task->crashes, task->lapses);
	pool->env->counts.tasks_given_up++;
	job_give_up(pos->job);
}

/*
 * Whether the task may have crashed the worker. A worker that is emptied may
 * leave with tasks on it.
 */
static bool is_to_blame(const struct crash_scene *scene,
			const struct job_pos *pos)
{
	const struct worker *worker = scene->worker;

	if (is_new(scene, pos))
		return true;
	return !scene->new_tasks && !worker->entry.draining &&
	       !worker->leaving &&
	       !crash_is_cleared(pos->task, worker->last_report_ms);
}

static void judge(struct pool *pool, const struct crash_scene *scene,
		  struct job_pos *pos)
{
	/* Tasks of an ended job only show that others are not to blame. */
	if (job_ended(pos->job->state) || !is_to_blame(scene, pos))
		return;
	crash_count(pos, false);
	if (crash_must_give_up(pos->task))
		give_up(pool, pos);
}

static void count_crash(struct pool *pool, struct worker *worker, bool dead,
			const char *why)
{
	struct crash_scene scene = {
		.worker = worker,
		.tasks = g_array_new(FALSE, FALSE, sizeof(struct job_pos)),
	};

	find_tasks(pool, dead, &scene);
	if (scene.tasks->len) {
		pool->env->counts.worker_crashes++;
		log_info("worker-crashed worker=%s host=%s why=%s tasks=%u "
			 "new_tasks=%u",
			 worker->entry.id, worker->entry.host, why,
			 scene.tasks->len, scene.new_tasks);
	}
	for (guint i = 0; i < scene.tasks->len; i++)
		judge(pool, &scene,
		      &g_array_index(scene.tasks, struct job_pos, i));
	g_array_free(scene.tasks, TRUE);
}

void pool_note_dead_workers(struct pool *pool)
{
	const GPtrArray *workers =
		share_workers(&pool->share, pool->env->workers);

	for (guint i = 0; i < workers->len; i++) {
		struct worker *worker = workers->pdata[i];

		if (!worker_is_dead(worker) ||
		    worker->counted_dead_ms == worker->dead_ms)
			continue;
		worker->counted_dead_ms = worker->dead_ms;
		count_crash(pool, worker, true, "worker-gone");
	}
}

void pool_note_restart(struct pool *pool, struct worker *worker)
{
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;

	count_crash(pool, worker, false, "worker-restarted");
	for (guint i = 0; i < jobs->len; i++) {
		struct job_pos pos = { .job = jobs->pdata[i] };

		/* The order that may have caused the crash is not repeated. */
		while (job_next_task(&pos))
			if (pos.task->state == TASK_PLACED &&
			    pos.task->worker == worker->name &&
			    pos.task->phase == PHASE_STARTING &&
			    pos.task->unanswered_starts &&
			    is_of_earlier_life(worker, pos.task))
				pool_stop_task(pool, &pos);
	}
}

/* Whether the registry lists a later worker of the same host. */
static bool is_replaced(const struct pool *pool, const struct worker *worker)
{
	GPtrArray *workers = pool->env->workers->list;

	for (guint i = 0; worker->entry.host[0] && i < workers->len; i++) {
		const struct worker *other = workers->pdata[i];

		if (other != worker && other->listed &&
		    other->entry.boot_ms > worker->entry.boot_ms &&
		    !strcmp(other->entry.host, worker->entry.host))
			return true;
	}
	return false;
}

/* Whether the run may have ended by a crash of its worker; nothing tells. */
static bool may_have_crashed(const struct worker *worker,
			     const struct job_task *task)
{
	return !worker || (worker->up_ms <= worker->last_report_ms &&
			   !crash_is_settled(task, worker->last_report_ms));
}

static void count_lapse(struct pool *pool, struct worker *worker,
			struct job_pos *pos)
{
	const struct job_step *step = &pos->job->spec.steps[pos->step];
	struct job_task *task = pos->task;

	crash_count(pos, true);
	task->lapsed_at = NULL;
	/* The tasks of a gang may lapse at several workers by one crash. */
	if (worker && task->worker_boot_ms && !step->gang) {
		worker->lapsed = true;
		task->lapsed_at = worker->name;
		task->lapsed_boot_ms = task->worker_boot_ms;
	}
	log_info("run-lapsed id=%s step=%u index=%u run=%d worker=%s "
		 "crashes=%d lapses=%d",
		 pos->job->id, pos->step, pos->index, task->run, task->worker,
		 task->crashes, task->lapses);
	if (crash_must_give_up(task))
		give_up(pool, pos);
}

static void settle_lapse(struct pool *pool, const struct worker *worker,
			 struct job_pos *pos)
{
	struct job_task *task = pos->task;
	bool crashed = job_boot_tag(task->lapsed_boot_ms) !=
		       job_boot_tag(worker->boot_ms);

	task->lapsed_at = NULL;
	if (!task->lapses)
		return;
	task->lapses--;
	task->crashes += crashed;
	job_touch(pos->job, task);
	log_info("lapse-settled id=%s step=%u index=%u worker=%s crashed=%d "
		 "crashes=%d lapses=%d",
		 pos->job->id, pos->step, pos->index, worker->entry.id, crashed,
		 task->crashes, task->lapses);
	/* One that has been started anew may survive its start. */
	if (task->state == TASK_WAITING && crash_must_give_up(task))
		give_up(pool, pos);
}

void pool_settle_lapses(struct pool *pool, struct worker *worker)
{
	const GPtrArray *jobs = share_jobs(&pool->share, pool->env->jobs)->live;

	if (!worker->lapsed)
		return;
	worker->lapsed = false;
	for (guint i = 0; i < jobs->len; i++) {
		struct job_pos pos = { .job = jobs->pdata[i] };

		if (job_ended(pos.job->state))
			continue;
		while (job_next_task(&pos))
			if (pos.task->lapsed_at == worker->name)
				settle_lapse(pool, worker, &pos);
	}
}

void pool_note_lost_run(struct pool *pool, struct job_pos *pos)
{
	struct worker *worker =
		worker_find(pool->env->workers, pos->task->worker);

	if (!crash_may_count(pos->task))
		return;
	if (worker && is_replaced(pool, worker))
		count_crash(pool, worker, true, "worker-replaced");
	else if (may_have_crashed(worker, pos->task))
		count_lapse(pool, worker, pos);
}
