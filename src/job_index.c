#include "job_int.h"

#include "share.h"

/* Live jobs of a pool whose submissions have been read. */
struct pool_jobs {
	struct job_share shares[SHARE_MAX_COUNT];
};

static void free_placed(void *arg)
{
	struct job_placed *placed = arg;

	g_array_free(placed->tasks, TRUE);
	g_free(placed);
}

static void init_share(struct job_share *share)
{
	share->live = g_ptr_array_new();
	share->idle = g_ptr_array_new();
	share->placed = g_ptr_array_new_with_free_func(free_placed);
	share->placed_at = g_hash_table_new(g_direct_hash, g_direct_equal);
}

static void clear_share(struct job_share *share)
{
	g_ptr_array_free(share->live, TRUE);
	g_ptr_array_free(share->idle, TRUE);
	g_ptr_array_free(share->placed, TRUE);
	g_hash_table_destroy(share->placed_at);
}

static void free_pool_jobs(void *arg)
{
	struct pool_jobs *jobs = arg;

	for (int i = 0; i < SHARE_MAX_COUNT; i++)
		clear_share(&jobs->shares[i]);
	g_free(jobs);
}

void job_index_init(struct job_store *store)
{
	store->share_count = 1;
	store->by_pool = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       free_pool_jobs);
	init_share(&store->no_share);
}

void job_index_free(struct job_store *store)
{
	g_hash_table_destroy(store->by_pool);
	clear_share(&store->no_share);
}

static struct pool_jobs *find_or_add_pool(struct job_store *store,
					  const char *pool)
{
	struct pool_jobs *jobs = g_hash_table_lookup(store->by_pool, pool);

	if (jobs)
		return jobs;
	jobs = g_new0(struct pool_jobs, 1);
	for (int i = 0; i < SHARE_MAX_COUNT; i++)
		init_share(&jobs->shares[i]);
	g_hash_table_insert(store->by_pool, g_strdup(pool), jobs);
	return jobs;
}

static struct job_placed *find_or_add_placed(struct job_share *share,
					     const char *worker)
{
	struct job_placed *placed =
		g_hash_table_lookup(share->placed_at, worker);

	if (placed)
		return placed;
	placed = g_new0(struct job_placed, 1);
	placed->share = share;
	placed->worker = worker;
	placed->tasks = g_array_new(FALSE, FALSE, sizeof(struct job_pos));
	g_hash_table_insert(share->placed_at, (char *)worker, placed);
	g_ptr_array_add(share->placed, placed);
	return placed;
}

/* Position of a task of the job. */
static struct job_pos find_pos(struct job *job, struct job_task *task)
{
	struct job_pos pos = {
		.job = job,
		.occurrence = task->number / job->tasks_per_occurrence,
		.index = task->number % job->tasks_per_occurrence,
		.task = task,
	};

	while (pos.index >= (uint32_t)job->spec.steps[pos.step].count)
		pos.index -= (uint32_t)job->spec.steps[pos.step++].count;
	return pos;
}

void job_index_place(struct job *job, struct job_task *task)
{
	struct job_pos pos = find_pos(job, task);
	struct job_placed *placed;

	job_index_unplace(task);
	if (!job->share)
		return;
	placed = find_or_add_placed(job->share, task->worker);
	task->placed = placed;
	task->placed_slot = placed->tasks->len;
	g_array_append_val(placed->tasks, pos);
}

void job_index_unplace(struct job_task *task)
{
	struct job_placed *placed = task->placed;

	if (!placed)
		return;
	task->placed = NULL;
	g_array_remove_index_fast(placed->tasks, task->placed_slot);
	if (task->placed_slot < placed->tasks->len)
		g_array_index(placed->tasks, struct job_pos, task->placed_slot)
			.task->placed_slot = task->placed_slot;
	if (placed->tasks->len)
		return;
	g_hash_table_remove(placed->share->placed_at, placed->worker);
	g_ptr_array_remove(placed->share->placed, placed);
}

void job_index_place_all(struct job *job)
{
	struct job_pos pos = { .job = job };

	if (job->tasks_outdated)
		return;
	while (job_next_task(&pos))
		if (pos.task->state == TASK_PLACED && pos.task->worker)
			job_index_place(job, pos.task);
}

void job_index_add(struct job_store *store, struct job *job)
{
	uint32_t index = share_of_job(job, store->share_count);

	job->share = &find_or_add_pool(store, job->pool)->shares[index];
	job->idle = false;
	g_ptr_array_add(job->share->live, job);
	job_index_place_all(job);
}

void job_index_set_idle(struct job *job, bool idle)
{
	struct job_share *share = job->share;

	if (!share || job->idle == idle)
		return;
	g_ptr_array_remove(idle ? share->live : share->idle, job);
	g_ptr_array_add(idle ? share->idle : share->live, job);
	job->idle = idle;
}

void job_index_remove(struct job *job)
{
	struct job_pos pos = { .job = job };

	if (!job->share)
		return;
	while (!job->tasks_outdated && job_next_task(&pos))
		job_index_unplace(pos.task);
	g_ptr_array_remove(job->idle ? job->share->idle : job->share->live,
			   job);
	job->share = NULL;
}

void job_store_set_shares(struct job_store *store, uint32_t count)
{
	store->share_count = count;
	for (guint i = 0; i < store->live->len; i++)
		job_index_remove(store->live->pdata[i]);
	for (guint i = 0; i < store->live->len; i++) {
		struct job *job = store->live->pdata[i];

		if (job->has_spec)
			job_index_add(store, job);
	}
}

const struct job_share *job_share_find(const struct job_store *store,
				       const char *pool, uint32_t index)
{
	const struct pool_jobs *jobs =
		g_hash_table_lookup(store->by_pool, pool);

	return jobs ? &jobs->shares[index] : &store->no_share;
}

const struct job_placed *job_placed_at(const struct job_share *share,
				       const char *worker)
{
	return g_hash_table_lookup(share->placed_at, worker);
}
