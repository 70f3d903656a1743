#include "pool_int.h"

#include <string.h>

enum {
	/* Between two records of a share's load. */
	POOL_PUBLISH_MS = 250,
	/* Between two records of an unchanged load: a late append of an earlier
	   owner may have replaced the last one. */
	POOL_REPUBLISH_MS = 2000
};

static void publish(struct pool *pool, struct job *job, enum index_state state)
{
	char key[JOB_ID_BYTES + 2];
	size_t len;
	char *record = index_record(
		state, job->queue, job->tenant,
		job->has_spec && job_spec_is_unrated(&job->spec), &len);

	g_snprintf(key, sizeof(key), "i:%s", job->id);
	writer_add(pool->env->publisher, key, record, len, NULL, NULL);
	g_free(record);
	job->published = (uint8_t)(state + 1);
}

void pool_publish_state(struct pool *pool, struct job *job)
{
	enum index_state state = index_state_of(job);

	/* A job's acceptance was published by the node that accepted it. */
	if (state > INDEX_QUEUED && job->published < state + 1)
		publish(pool, job, state);
}

/* Whether the entry says what its newest record does, and names as the job does. */
static bool is_published(const struct index_entry *entry, const struct job *job)
{
	return entry->recorded == entry->state &&
	       (!job->has_spec || (!strcmp(entry->queue, job->queue) &&
				   !strcmp(entry->tenant, job->tenant)));
}

void pool_check_published(struct pool *pool, struct job *job)
{
	const struct index_entry *entry = index_find(pool->env->index, job->id);

	if (entry && !is_published(entry, job))
		publish(pool, job, entry->state);
}

void pool_publish_missing(struct pool *pool)
{
	const GPtrArray *jobs = pool->env->jobs->list;

	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];
		const struct index_entry *entry;
		enum index_state state;

		if (!job->has_spec || !share_has_job(&pool->share, job))
			continue;
		entry = index_find(pool->env->index, job->id);
		state = index_state_of(job);
		job->published = 0;
		if (!entry || index_replaces(entry->state, state))
			publish(pool, job, state);
		else
			pool_check_published(pool, job);
	}
}

static void publish_unindexed(struct pool *pool, const GPtrArray *jobs)
{
	for (guint i = 0; i < jobs->len; i++) {
		struct job *job = jobs->pdata[i];
		const struct index_entry *entry;

		if (job->published)
			continue;
		entry = index_find(pool->env->index, job->id);
		if (entry && is_published(entry, job))
			continue;
		if (job->unindexed)
			publish(pool, job, index_state_of(job));
		job->unindexed = true;
	}
}

void pool_publish_unindexed(struct pool *pool)
{
	const struct job_share *jobs =
		share_jobs(&pool->share, pool->env->jobs);

	publish_unindexed(pool, jobs->live);
	publish_unindexed(pool, jobs->idle);
}

void pool_publish_load(struct pool *pool, const struct place *place)
{
	struct backlog backlog;
	char *name, *key, *record;

	if (place->now_ms < pool->next_publish_ms)
		return;
	pool->next_publish_ms = place->now_ms + POOL_PUBLISH_MS;
	place_survey_backlog(place, &backlog);
	if (backlog_equal(&backlog, &pool->published) &&
	    place->now_ms < pool->republish_ms)
		return;
	pool->published = backlog;
	pool->republish_ms = place->now_ms + POOL_REPUBLISH_MS;
	name = backlog_key(&pool->share);
	key = g_strdup_printf("s:%s", name);
	record = backlog_record(&backlog);
	writer_add(pool->env->publisher, key, record, strlen(record), NULL,
		   NULL);
	g_free(name);
	g_free(key);
	g_free(record);
}
