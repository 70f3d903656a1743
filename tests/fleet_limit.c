#include "fleet_limit.h"

enum { OVERAGE_PERCENT = 10 };

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
