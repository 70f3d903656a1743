#include "fleet_attempts.h"

#include <string.h>

/* Version of the configuration that sets the limit. */
enum { LIMIT_VERSION = 2 };

struct failed_run {
	int32_t run;
	bool acknowledged;
};

struct attempts {
	GArray *failed; /* struct failed_run, in the order of their ends */
	GArray *starts; /* guint: failed runs before each start that counts */
};

struct fleet_attempts {
	GHashTable *tasks; /* name -> struct attempts */
};

struct fleet_attempts *fleet_attempts_create(void)
{
	struct fleet_attempts *all = g_new0(struct fleet_attempts, 1);

	all->tasks = g_hash_table_new(g_str_hash, g_str_equal);
	return all;
}

void fleet_attempts_limit(struct sim *sim, int32_t attempts,
			  uint32_t fail_percent)
{
	sim->attempts = attempts;
	sim->fail_percent = fail_percent;
	sim_put_version(sim, LIMIT_VERSION);
}

static struct attempts *find_or_add(struct sim *sim, const char *task)
{
	GHashTable *tasks = sim->failures->tasks;
	struct attempts *attempts = g_hash_table_lookup(tasks, task);

	if (attempts)
		return attempts;
	attempts = g_new0(struct attempts, 1);
	attempts->failed = g_array_new(FALSE, FALSE, sizeof(struct failed_run));
	attempts->starts = g_array_new(FALSE, FALSE, sizeof(guint));
	g_hash_table_insert(tasks, g_strdup(task), attempts);
	return attempts;
}

void fleet_attempts_failed(struct sim *sim, const struct worker_end *end)
{
	struct failed_run failed = { .run = end->run };

	g_array_append_val(find_or_add(sim, end->task)->failed, failed);
}

/* Whether all attempts had failed, and were acknowledged, before a start. */
static bool is_within_limit(const struct sim *sim,
			    const struct attempts *attempts)
{
	for (guint i = 0; i < attempts->starts->len; i++) {
		guint before = g_array_index(attempts->starts, guint, i);
		int32_t acknowledged = 0;

		for (guint j = 0; j < before; j++)
			acknowledged += g_array_index(attempts->failed,
						      struct failed_run, j)
						.acknowledged;
		if (acknowledged >= sim->attempts)
			return false;
	}
	return true;
}

bool fleet_attempts_acknowledged(struct sim *sim, const struct worker_end *end)
{
	struct attempts *attempts = find_or_add(sim, end->task);

	for (guint i = 0; i < attempts->failed->len; i++) {
		struct failed_run *failed =
			&g_array_index(attempts->failed, struct failed_run, i);

		if (failed->run == end->run)
			failed->acknowledged = true;
	}
	return is_within_limit(sim, attempts);
}

bool fleet_attempts_started(struct sim *sim, const char *task)
{
	struct attempts *attempts = find_or_add(sim, task);

	if ((int32_t)attempts->failed->len < sim->attempts)
		return true;
	g_array_append_val(attempts->starts, attempts->failed->len);
	return is_within_limit(sim, attempts);
}

bool fleet_attempts_used_up(const struct sim *sim, const char *job_id)
{
	GHashTableIter iter;
	void *task, *value;

	g_hash_table_iter_init(&iter, sim->failures->tasks);
	while (g_hash_table_iter_next(&iter, &task, &value)) {
		const struct attempts *attempts = value;

		if (!strncmp(task, job_id, strlen(job_id)) &&
		    (int32_t)attempts->failed->len >= sim->attempts)
			return true;
	}
	return false;
}
