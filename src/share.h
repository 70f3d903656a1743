/*
 * NAME
 *	share - the part of a pool that one node owns
 *
 * A large pool is divided into shares, each with an owner of its own. All pools
 * have the same number of shares. A job belongs to a share by its id, and a
 * host by its name, in whichever pool it is; so the shares of one index form a
 * slice of the fleet, and hosts move between pools only within it. The
 * records of a slice are in one part of the jobs' stream, so that its appends
 * do not wait for those of other slices. Both numbers are decided once and
 * stored in the log, as two nodes with different numbers could own the same
 * job. Pure functions.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "job.h"
#include "worker.h"

enum { SHARE_MAX_COUNT = 4 };

struct share_layout {
	uint32_t shares; /* of each pool; 0: not decided yet */
	/* Of the jobs' stream: as many as shares, or 1 in a deployment that was
	   first started by a build that knew one part only. */
	uint32_t parts;
};

struct share {
	const char *pool;
	uint32_t index;
	uint32_t count; /* of shares of each pool; from 1 on */
};

/* share_count_for - number of shares of each pool for a number of hosts */
uint32_t share_count_for(uint32_t hosts, uint32_t hosts_per_share);

/* share_of_job, share_of_host - index of the share */
uint32_t share_of_job(const struct job *job, uint32_t count);
uint32_t share_of_host(const char *host, uint32_t count);

/* share_of_hash - share of a host by the hash of its name, see rnd_hash_name */
uint32_t share_of_hash(uint32_t hash, uint32_t count);

/* share_of_worker - share of its host; by its own id if that is unknown */
uint32_t share_of_worker(const struct worker *worker, uint32_t count);

bool share_has_job(const struct share *share, const struct job *job);
/* share_workers - workers of the share, see worker_list_share */
const GPtrArray *share_workers(const struct share *share,
			       const struct worker_table *table);

/* share_jobs - live jobs of the share */
const struct job_share *share_jobs(const struct share *share,
				   const struct job_store *store);

bool share_has_worker(const struct share *share, const struct worker *worker);

/* share_part - part of the jobs' stream that has the records of a slice */
uint32_t share_part(const struct share_layout *layout, uint32_t index);

/*
 * share_layout_parse - read a stored layout
 *
 * "SHARES PARTS", or "SHARES" alone, as older builds wrote it: one part.
 *
 * RETURN VALUE
 *	False if the text is not a layout; out is then unchanged.
 */
bool share_layout_parse(const char *text, size_t len, struct share_layout *out);

/* share_layout_record - text of a layout; free with g_free */
char *share_layout_record(const struct share_layout *layout);

#endif
