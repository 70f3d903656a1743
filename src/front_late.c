#include "front_int.h"

#include "log.h"
#include "rnd.h"

enum {
	/* A job expected to take more than this part of its objective is
	   refused; above 100, as the estimates are rough. */
	FRONT_MAX_EXPECTED_PERCENT = 130,
	/* Between two sums of what all workers have. */
	FRONT_CAPACITY_GAP_MS = 100
};

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

bool front_would_be_late(struct front *front,
			 const struct front_request *request,
			 const struct job_spec *spec)
{
	struct front_env *env = front->env;
	const struct cfg_terms *terms = &request->queue->terms;
	struct job candidate = {
		.spec = *spec,
		.hash = rnd_hash_name(request->id),
	};
	struct share share = {
		.pool = request->queue->pool,
		.index = share_of_job(&candidate, env->layout->shares),
		.count = env->layout->shares,
	};
	int64_t chain_ms = job_critical_path_ms(&candidate);
	int64_t wall_ms = clk_wall_ms(env->clk);
	int64_t backlog_ms, objective_ms;
	bool late;

	if (spec->steps[0].long_running || spec->repeat_count > 0)
		return false;
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
