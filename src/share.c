#include "share.h"

#include <string.h>

#include "rnd.h"

static uint32_t index_of(uint32_t hash, uint32_t count)
{
	return (uint32_t)((uint64_t)hash * count >> 32);
}

uint32_t share_count_for(uint32_t hosts, uint32_t hosts_per_share)
{
	uint32_t count = (hosts + hosts_per_share / 2) / hosts_per_share;

	return CLAMP(count, 1, SHARE_MAX_COUNT);
}

uint32_t share_of_hash(uint32_t hash, uint32_t count)
{
	return index_of(hash, count);
}

uint32_t share_of_job(const struct job *job, uint32_t count)
{
	return index_of(job->hash, count);
}

uint32_t share_of_host(const char *host, uint32_t count)
{
	return index_of(rnd_hash_name(host), count);
}

uint32_t share_of_worker(const struct worker *worker, uint32_t count)
{
	return index_of(worker->hash, count);
}

bool share_has_job(const struct share *share, const struct job *job)
{
	return share_of_job(job, share->count) == share->index &&
	       !strcmp(job->pool, share->pool);
}

const GPtrArray *share_workers(const struct share *share,
			       const struct worker_table *table)
{
	return worker_list_share(table, share->pool, share->index);
}

const struct job_share *share_jobs(const struct share *share,
				   const struct job_store *store)
{
	return job_share_find(store, share->pool, share->index);
}

bool share_has_worker(const struct share *share, const struct worker *worker)
{
	return share_of_worker(worker, share->count) == share->index &&
	       !strcmp(worker->entry.pool, share->pool);
}

uint32_t share_part(const struct share_layout *layout, uint32_t index)
{
	return index % MAX(layout->parts, 1);
}

/* Reads a digit from 1 to SHARE_MAX_COUNT; 0 if it is none. */
static uint32_t read_count(char digit)
{
	int count = g_ascii_digit_value(digit);

	return count > 0 && count <= SHARE_MAX_COUNT ? (uint32_t)count : 0;
}

bool share_layout_parse(const char *text, size_t len, struct share_layout *out)
{
	struct share_layout layout = { .parts = 1 };

	if (len != 1 && (len != 3 || text[1] != ' '))
		return false;
	layout.shares = read_count(text[0]);
	if (len == 3)
		layout.parts = read_count(text[2]);
	if (!layout.shares || !layout.parts || layout.parts > layout.shares)
		return false;
	*out = layout;
	return true;
}

char *share_layout_record(const struct share_layout *layout)
{
	return g_strdup_printf("%u %u", layout->shares, layout->parts);
}
