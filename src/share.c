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

bool share_has_worker(const struct share *share, const struct worker *worker)
{
	return share_of_worker(worker, share->count) == share->index &&
	       !strcmp(worker->entry.pool, share->pool);
}

uint32_t share_count_parse(const char *text, size_t len)
{
	uint32_t count;

	if (len != 1 || !g_ascii_isdigit(text[0]))
		return 0;
	count = (uint32_t)g_ascii_digit_value(text[0]);
	return count <= SHARE_MAX_COUNT ? count : 0;
}
