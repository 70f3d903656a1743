#include "front_int.h"

#include "log.h"
#include "rnd.h"

enum {
	/* A job expected to take more than this part of its objective is
	   refused; above 100, as the estimates are rough. */
	FRONT_MAX_EXPECTED_PERCENT = 130,
	FRONT_RETRY_OVERLOAD_MS = 1000,
	/* Tasks come and go sooner than jobs, which are kept after their end. */
	FRONT_RETRY_TASKS_MS = 2000,
	FRONT_RETRY_BYTES_MS = 20000,
	/* Of a bound, as owners publish it in steps: the next one may be full. */
	FRONT_FULL_PERCENT = 100 - BACKLOG_ROOM_STEP_PERCENT,
	/* Work beyond this keeps a job from starting soon. */
	FRONT_SPARE_BACKLOG_MS = 150,
	/* Between two sums of what all workers have. */
	FRONT_CAPACITY_GAP_MS = 100
};

/* Later than the target of any job, so that all work counts in full. */
#define FRONT_LATEST_TARGET_MS LIMIT_NUMBER_MAX

/* Time until the share has done its work with earlier targets. */
static int64_t delay_ms(const struct front *front, const struct share *share,
			int64_t wall_ms, int64_t target_ms)
{
	const struct front_env *env = front->env;
	struct place place = {
		.share = *share,
		.cfg = *env->cfg,
		.jobs = env->jobs,
		.workers = env->workers,
		.wall_ms = wall_ms,
	};

	if (*env->jobs_loaded)
		return place_backlog_ms(&place, target_ms,
					front->max_listed_milli);
	return backlogs_delay_ms(env->backlogs, share, *env->cfg, target_ms,
				 front->max_listed_milli);
}

static struct share share_of(const struct front *front,
			     const struct front_request *request)
{
	struct job candidate = { .hash = rnd_hash_name(request->id) };
	uint32_t count = front->env->layout->shares;

	return (struct share){
		.pool = request->queue->pool,
		.index = share_of_job(&candidate, count),
		.count = count,
	};
}

/* Whether the backlog makes the job miss its objective. */
static bool would_be_late(const struct front *front,
			  const struct front_request *request,
			  const struct job_spec *spec)
{
	const struct front_env *env = front->env;
	const struct cfg_terms *terms = &request->queue->terms;
	struct job candidate = { .spec = *spec };
	struct share share = share_of(front, request);
	int64_t chain_ms = job_critical_path_ms(&candidate);
	int64_t wall_ms = clk_wall_ms(env->clk);
	int64_t backlog_ms, objective_ms;
	bool late;

	objective_ms =
		terms->slack_ms + (int64_t)(terms->stretch * (double)chain_ms);

	backlog_ms = delay_ms(front, &share, wall_ms, wall_ms + objective_ms);
	late = backlog_ms + chain_ms >
	       objective_ms * FRONT_MAX_EXPECTED_PERCENT / 100;
	if (late)
		log_info("refused id=%s why=overload queue=%s "
			 "backlog_ms=%" G_GINT64_FORMAT
			 " chain_ms=%" G_GINT64_FORMAT
			 " objective_ms=%" G_GINT64_FORMAT,
			 request->id, request->queue->name, backlog_ms,
			 chain_ms, objective_ms);
	return late;
}

/* How long the job's organisation has to wait for its rate; 0: not at all. */
static int64_t rate_wait(const struct front *front,
			 const struct front_request *request)
{
	const struct front_env *env = front->env;
	const struct cfg_tenant *tenant;

	if (!env->rate || !*request->tenant)
		return 0;
	tenant = cfg_tenant_find(*env->cfg, request->tenant);
	return tenant ? rate_wait_ms(env->rate, tenant->name, tenant->weight,
				     clk_now_ms(env->clk))
		      : 0;
}

/*
 * Whether a job beyond its organisation's rate could keep others waiting, by all
 * work that the share has.
 */
static bool has_backlog(const struct front *front,
			const struct front_request *request)
{
	struct share share = share_of(front, request);

	return delay_ms(front, &share, clk_wall_ms(front->env->clk),
			FRONT_LATEST_TARGET_MS) > FRONT_SPARE_BACKLOG_MS;
}

/* Whether the job exceeds a bound, by what the owners publish. */
static bool is_published_full(const struct front *front,
			      const struct job_spec *spec,
			      enum job_bound *bound)
{
	bool timed = job_class_of(spec) == JOB_TIMED;

	for (int i = 0; i < JOB_BOUND_COUNT; i++) {
		if ((i == JOB_BOUND_TIMED_BYTES) != timed)
			continue;
		*bound = i;
		if (backlogs_room_percent(front->env->backlogs, i) >=
		    FRONT_FULL_PERCENT)
			return true;
	}
	return false;
}

/* Tasks of jobs that this node is accepting and may not have read yet. */
static int64_t pending_tasks(const struct front *front)
{
	int64_t tasks = 0;

	for (guint i = 0; i < front->pending->len; i++) {
		const struct front_pending *pending = front->pending->pdata[i];

		tasks += pending->tasks;
	}
	return tasks;
}

/* Whether the nodes have no memory for the job; which bound says so. */
static bool has_no_room(const struct front *front,
			const struct front_request *request,
			const struct job_spec *spec, enum job_bound *bound)
{
	const struct front_env *env = front->env;
	const struct job_room *room = &env->jobs->room;
	bool full = *env->jobs_loaded
			    ? job_room_refuses(room, spec, pending_tasks(front),
					       bound)
			    : is_published_full(front, spec, bound);

	if (full)
		log_info("refused id=%s why=%s queue=%s "
			 "tasks=%" G_GINT64_FORMAT " bytes=%" G_GINT64_FORMAT
			 " timed_bytes=%" G_GINT64_FORMAT
			 " published_percent=%d",
			 request->id, job_bound_name(*bound),
			 request->queue->name, room->live_tasks,
			 room->bytes[JOB_UNTIMED], room->bytes[JOB_TIMED],
			 backlogs_room_percent(env->backlogs, *bound));
	return full;
}

struct front_decision front_decide(struct front *front,
				   const struct front_request *request,
				   const struct job_spec *spec)
{
	struct front_decision decision = { .refusal = FRONT_ACCEPT };
	enum job_bound bound;
	int64_t wait_ms;

	if (has_no_room(front, request, spec, &bound)) {
		decision.refusal = FRONT_REFUSE_FULL;
		decision.retry_after_ms = bound == JOB_BOUND_TASKS
						  ? FRONT_RETRY_TASKS_MS
						  : FRONT_RETRY_BYTES_MS;
		return decision;
	}
	if (job_spec_is_unrated(spec))
		return decision;
	wait_ms = rate_wait(front, request);
	if (wait_ms && has_backlog(front, request)) {
		log_info("refused id=%s why=rate tenant=%s queue=%s "
			 "wait_ms=%" G_GINT64_FORMAT,
			 request->id, request->tenant, request->queue->name,
			 wait_ms);
		decision.refusal = FRONT_REFUSE_RATE;
		decision.retry_after_ms = wait_ms;
	} else if (would_be_late(front, request, spec)) {
		decision.refusal = FRONT_REFUSE_LATE;
		decision.retry_after_ms = FRONT_RETRY_OVERLOAD_MS;
	} else if (wait_ms) {
		decision.beyond_rate = true;
		front->env->counts.accepted_beyond++;
	}
	return decision;
}

void front_sum_capacity(struct front *front, int64_t now_ms)
{
	const struct front_env *env = front->env;
	int64_t listed_milli;

	if (now_ms < front->next_capacity_ms)
		return;
	front->next_capacity_ms = now_ms + FRONT_CAPACITY_GAP_MS;
	listed_milli = *env->jobs_loaded ? place_listed_milli(env->workers)
					 : backlogs_full_milli(env->backlogs);
	front->max_listed_milli = MAX(front->max_listed_milli, listed_milli);
}
