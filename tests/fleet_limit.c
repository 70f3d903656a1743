#include "fleet_limit.h"

enum {
	OVERAGE_PERCENT = 10,
	NODES = 4,
	WORKERS = 12,
	SHARE_HOSTS = 3,
	PLAY_MILLI = 9000, /* of the 48,000 that there is room for */
	PLAY_TASK_MS = 1200,
	PLAY_STOP_MS = 600,
	WARM_UP_MS = 4000,
	STEPS = 80,
	STEP_MS = 300,
	RECOVERY_MS = 150 * 1000,
	CANCEL_STEPS =
		8, /* many jobs are cancelled once in this number of steps */
	CANCEL_PERCENT = 60
};

void fleet_limit_set(struct sim *sim, int32_t cpu_milli)
{
	struct sim_limit limit = {
		.since_ms = sim->clk.manual_ms,
		.cpu_milli = cpu_milli,
	};

	if (!sim->limits)
		sim->limits =
			g_array_new(FALSE, FALSE, sizeof(struct sim_limit));
	g_array_append_val(sim->limits, limit);
	sim->tenant = "org";
	sim_put_version(sim, 1 + (int64_t)sim->limits->len);
}

void fleet_limit_hide(struct sim *sim)
{
	sim->limits_hidden = true;
}

char *fleet_limit_tenants(const struct sim *sim)
{
	int32_t cpu_milli;

	if (!sim->limits)
		return g_strdup("");
	cpu_milli = g_array_index(sim->limits, struct sim_limit,
				  sim->limits->len - 1)
			    .cpu_milli;
	return g_strdup_printf(",\"tenants\":[{\"name\":\"%s\","
			       "\"keys\":[\"key\"],\"weight\":1000,"
			       "\"maxCount\":{\"cpu\":%d}}]",
			       sim->tenant, sim->limits_hidden ? 0 : cpu_milli);
}

/* The highest limit that may be in force. */
static int64_t highest_limit(const struct sim *sim)
{
	int64_t from_ms = sim->clk.manual_ms - FLEET_LIMIT_CFG_MS;
	int64_t highest = 0;

	for (guint i = sim->limits->len; i > 0; i--) {
		const struct sim_limit *limit =
			&g_array_index(sim->limits, struct sim_limit, i - 1);

		highest = MAX(highest, limit->cpu_milli);
		if (limit->since_ms <= from_ms)
			break;
	}
	return highest;
}

bool fleet_limit_exceeded(const struct sim *sim)
{
	int64_t running = 0, largest = 0;

	if (!sim->limits)
		return false;
	for (int i = 0; i < sim->worker_count; i++) {
		const struct sim_worker *worker = &sim->workers[i];

		for (guint k = 0; worker->up && k < worker->model.runs->len;
		     k++) {
			const struct sim_job *job;
			char id[JOB_ID_BYTES];

			g_strlcpy(id,
				  g_array_index(worker->model.runs,
						struct model_run, k)
					  .task,
				  sizeof(id));
			job = g_hash_table_lookup(sim->jobs, id);
			if (!job)
				continue;
			running += job->cpu_milli;
			largest = MAX(largest, job->cpu_milli);
		}
	}
	return running >
	       highest_limit(sim) * (100 + OVERAGE_PERCENT) / 100 + largest;
}

static void inject_limit_fault(struct sim *sim)
{
	int node = (int)rnd_below(&sim->rnd, NODES);
	int worker = (int)rnd_below(&sim->rnd, WORKERS);
	struct sim_node *target = &sim->nodes[node];
	int32_t halves;

	switch (rnd_below(&sim->rnd, 12)) {
	case 0:
	case 1:
		if (target->alive)
			sim_kill(sim, node);
		else
			sim_start(sim, node);
		break;
	case 2:
		if (!target->alive)
			sim_start(sim, node);
		else if (target->paused)
			sim_resume(sim, node);
		else
			sim_pause(sim, node);
		break;
	case 3:
		target->cut_from_log = !target->cut_from_log;
		break;
	case 4:
	case 5:
		for (int i = 0; i < NODES; i++)
			sim->nodes[i].cut_from_worker[worker] ^= true;
		break;
	case 6:
		sim->faults.lost_percent = rnd_below(&sim->rnd, 2) * 20;
		sim->faults.late_percent = rnd_below(&sim->rnd, 2) * 10;
		sim->faults.refused_percent = rnd_below(&sim->rnd, 2) * 20;
		break;
	case 7:
		sim->faults.order_lost_percent = rnd_below(&sim->rnd, 2) * 30;
		sim->faults.stops_lost = rnd_below(&sim->rnd, 2);
		break;
	case 8:
	case 9:
		halves = 1 + (int32_t)rnd_below(&sim->rnd, 3);
		fleet_limit_set(sim, PLAY_MILLI / 2 * halves);
		break;
	default:
		break;
	}
}

static void press(struct sim *sim, GPtrArray *jobs)
{
	int node = fleet_pick_node(sim);
	int32_t steps = 1 + (int32_t)rnd_below(&sim->rnd, 2);
	int32_t width = 1 + (int32_t)rnd_below(&sim->rnd, 6);

	if (node < 0)
		return;
	sim->task_cpu_milli = 500 << rnd_below(&sim->rnd, 3);
	g_ptr_array_add(jobs, sim_submit_job(sim, node, steps, width));
	if (rnd_below(&sim->rnd, CANCEL_STEPS))
		return;
	for (guint i = 0; i < jobs->len; i++)
		if (rnd_below(&sim->rnd, 100) < CANCEL_PERCENT)
			sim_cancel(sim, node, jobs->pdata[i]);
}

void fleet_limit_play(uint64_t seed, struct fleet_play *play)
{
	struct sim *sim = sim_create_shared(seed, NODES, WORKERS, SHARE_HOSTS);
	GPtrArray *jobs = g_ptr_array_new();

	fleet_limit_set(sim, PLAY_MILLI);
	sim->task_ms = PLAY_TASK_MS;
	for (int i = 0; i < WORKERS; i++)
		sim->workers[i].model.stop_ms = PLAY_STOP_MS;
	sim_run_for(sim, WARM_UP_MS);
	for (int i = 0; i < STEPS && !sim->broken[0]; i++) {
		press(sim, jobs);
		inject_limit_fault(sim);
		sim_run_for(sim, STEP_MS);
	}
	fleet_lift_faults(sim);
	fleet_limit_set(sim, PLAY_MILLI);
	if (!sim->broken[0])
		sim_run_for(sim, RECOVERY_MS);
	g_strlcpy(play->broken, sim->broken, sizeof(play->broken));
	if (!play->broken[0])
		fleet_check_ends(sim, play);
	play->started += sim->started;
	g_ptr_array_free(jobs, TRUE);
}
