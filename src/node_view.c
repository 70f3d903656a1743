#include "node_int.h"

#include <string.h>

#include "job_view.h"
#include "node_metrics.h"

static int64_t count_waiting_tasks(const struct node *node)
{
	int64_t count = 0;

	for (guint i = 0; i < node->jobs->live->len; i++) {
		struct job_pos pos = { .job = node->jobs->live->pdata[i] };

		if (!node_owner_of_job(node, pos.job))
			continue;
		while (job_next_task(&pos))
			count += pos.task->state == TASK_WAITING;
	}
	return count;
}

/* Sets the gauges that are sums over the pools. */
static void sum_pools(const struct node *node, struct node_gauges *gauges)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, node->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		gauges->pools_owned += pool_is_owned(value);
		gauges->unplaced_runs += pool_count_unplaced(value);
	}
}

static int64_t count_jobs_bytes(const struct node *node)
{
	int64_t bytes = 0;

	for (uint32_t i = 0; i < MAX(node->layout.parts, 1); i++)
		bytes += tail_read_bytes(node->jobs_tails[i]);
	return bytes;
}

char *node_metrics(const struct node *node, apr_pool_t *pool)
{
	const struct job_room *room = &node->jobs->room;
	struct node_gauges gauges = {
		.hosts_held = maint_is_owner(node->maint),
		.jobs_live = node->jobs->live->len,
		.tasks_waiting = count_waiting_tasks(node),
		.tasks_in_memory =
			room->tasks[JOB_UNTIMED] + room->tasks[JOB_TIMED],
		.job_bytes = room->bytes[JOB_UNTIMED] + room->bytes[JOB_TIMED],
		.checkpoint_bytes = room->checkpoint_bytes,
		.cfg_version = node->cfg ? node->cfg->version : -1,
		.cfg_age_ms = tail_age_ms(node->operators_tail),
		.ready = node_ready(node),
		.stream_age_ms = node_jobs_age_ms(node),
		.index_age_ms = tail_age_ms(node->index_tail),
		.registry_age_ms = tail_age_ms(node->registry_tail),
		.read_jobs_bytes = count_jobs_bytes(node),
		.read_index_bytes = tail_read_bytes(node->index_tail),
		.read_registry_bytes = tail_read_bytes(node->registry_tail),
		.append_stalled_ms = node_stalled_ms(node),
	};

	sum_pools(node, &gauges);
	for (guint i = 0; i < node->workers->list->len; i++) {
		const struct worker *worker = node->workers->list->pdata[i];

		gauges.workers_listed += worker->listed;
	}
	return node_metrics_text(pool, &node->front_env, &node->pool_env,
				 &node->maint_env, &node->lag, &gauges);
}

struct json_object *node_view(const struct node *node, const char *path)
{
	static const char jobs_path[] = "/v1/jobs";
	struct job_view view = {
		.cfg = node->cfg,
		.jobs = node->jobs,
		.workers = node->workers,
		.index = node->index,
		.wall_ms = clk_wall_ms(node->config.clk),
	};
	char id[JOB_ID_BYTES];
	const char *suffix;

	if (!strcmp(path, jobs_path))
		return job_view_list(&view);
	if (!g_str_has_prefix(path, "/v1/jobs/"))
		return NULL;
	path += strlen("/v1/jobs/");
	g_strlcpy(id, path, sizeof(id));
	if (!job_valid_id(id))
		return NULL;
	suffix = path + JOB_ID_BYTES - 1;
	if (!*suffix)
		return job_view_one(&view, id);
	return strcmp(suffix, "/explain") ? NULL : job_view_explain(&view, id);
}
