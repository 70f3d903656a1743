/*
 * NAME
 *	share - the part of a pool that one node owns
 *
 * A large pool is divided into shares, each with an owner of its own. All pools
 * have the same number of shares. A job belongs to a share by its id, and a
 * host by its name, in whichever pool it is; so the shares of one index form a
 * slice of the fleet, and hosts move between pools only within it. The number
 * is decided once and stored in the log, as two nodes with different numbers
 * could own the same job. Pure functions.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "job.h"
#include "worker.h"

enum { SHARE_MAX_COUNT = 4 };

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

/* share_of_worker - share of its host; by its own id if that is unknown */
uint32_t share_of_worker(const struct worker *worker, uint32_t count);

bool share_has_job(const struct share *share, const struct job *job);
bool share_has_worker(const struct share *share, const struct worker *worker);

/*
 * share_count_parse - read the stored number of shares
 *
 * RETURN VALUE
 *	The number, or 0 if the text is not a number from 1 to SHARE_MAX_COUNT.
 */
uint32_t share_count_parse(const char *text, size_t len);

#endif
