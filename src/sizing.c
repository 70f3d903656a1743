#include "sizing.h"

#include <glib.h>

enum {
	/* Capacity relative to demand: placements never fill hosts. */
	SIZING_CAPACITY_PERCENT = 115,
	/* A peak of demand counts for this long after it was seen. */
	SIZING_PEAK_HOLD_MS = 1500,
	/* Hosts that a pool without demand keeps: at least so many, and this
	   share of all hosts. */
	SIZING_MIN_HOSTS = 2,
	SIZING_MIN_PERCENT = 4,
	/* Spare hosts of a pool for the first tasks when demand shifts. */
	SIZING_SPARE_HOSTS = 1,
	SIZING_SPARE_PERCENT = 2,
	/* Interval between the samples that show a rise of demand. */
	SIZING_SAMPLE_MS = 800,
	/* Time to drain and move a host, over which a rise is extrapolated. */
	SIZING_MOVE_MS = 2200,
	/* A move to standby saves cost only if the surplus lasts. */
	SIZING_STANDBY_DELAY_MS = 1500,
	/* A long-running task that waits longer needs another host. */
	SIZING_LASTING_WAIT_MS = 1000,
	/* Part of all hosts that may be on their way to another pool when one is
	   taken from late jobs: their work is done by the owners of all pools. */
	SIZING_MOVING_PART = 8,
	/* So does a finite one that fits on none of its pool for longer. */
	SIZING_UNFIT_MS = 1000
};

/*
 * How many times the request fits, at most SIZING_HOST_PARTS times. A capacity
 * of 0 is not known.
 */
static int64_t times(int64_t capacity, int32_t request)
{
	int64_t count = SIZING_HOST_PARTS;

	if (request > 0 && capacity > 0)
		count = capacity / request;
	return count < SIZING_HOST_PARTS ? count : SIZING_HOST_PARTS;
}

int32_t sizing_task_parts(const struct sizing_host *host, int32_t cpu_milli,
			  int32_t mem_mib)
{
	int64_t by_cpu = times(host->cpu_milli, cpu_milli);
	int64_t by_mem = times(host->mem_mib, mem_mib);
	int64_t count = by_cpu < by_mem ? by_cpu : by_mem;

	if (count < 1)
		return SIZING_HOST_PARTS;
	return (int32_t)(SIZING_HOST_PARTS / count);
}

int32_t sizing_hosts_needed(const struct sizing *sizing,
			    const struct sizing_pool *pool,
			    int64_t wanted_milli)
{
	int64_t capacity_milli = wanted_milli * SIZING_CAPACITY_PERCENT / 100;
	int64_t hosts =
		(capacity_milli + sizing->host_milli - 1) / sizing->host_milli;

	if (pool->standby)
		return 0;
	return hosts > pool->min_hosts ? (int32_t)hosts : pool->min_hosts;
}

static int32_t share_of_hosts(const struct sizing *sizing, int32_t percent,
			      int32_t least)
{
	int32_t hosts = sizing->hosts * percent / 100;

	return hosts > least ? hosts : least;
}

/* Hosts beyond those needed for a demand, at most max; may be negative. */
static int32_t excess(const struct sizing *sizing,
		      const struct sizing_pool *pool, int64_t wanted_milli,
		      int32_t max)
{
	int32_t least =
		share_of_hosts(sizing, SIZING_MIN_PERCENT, SIZING_MIN_HOSTS);
	int32_t need = sizing_hosts_needed(sizing, pool, wanted_milli);
	int32_t excess_hosts;

	if (!pool->standby)
		need = (need > least ? need : least) +
		       share_of_hosts(sizing, SIZING_SPARE_PERCENT,
				      SIZING_SPARE_HOSTS);
	excess_hosts = pool->hosts - need;
	return excess_hosts < max ? excess_hosts : max;
}

/* Idle hosts that may move to standby. */
static int32_t surplus(const struct sizing *sizing,
		       const struct sizing_pool *pool)
{
	return excess(sizing, pool, pool->peak_milli, pool->idle);
}

/* What hosts are moved for. */
struct purpose {
	/* Demand that a pool wants hosts for, and that it keeps hosts for. */
	int64_t (*wanted_milli)(const struct sizing_pool *pool);
	int64_t (*kept_milli)(const struct sizing_pool *pool);
};

static int64_t no_milli(const struct sizing_pool *pool)
{
	(void)pool;
	return 0;
}

static int64_t in_time_milli(const struct sizing_pool *pool)
{
	return pool->demand_milli;
}

static int64_t rising_milli(const struct sizing_pool *pool)
{
	return pool->demand_milli + pool->rise_milli;
}

static int64_t all_milli(const struct sizing_pool *pool)
{
	return pool->demand_milli + pool->late_milli;
}

static int64_t rising_all_milli(const struct sizing_pool *pool)
{
	return all_milli(pool) + pool->rise_milli;
}

static int64_t peak_milli(const struct sizing_pool *pool)
{
	return pool->peak_milli;
}

/* A pool's min_hosts, whatever the jobs that end by themselves ask for. */
static const struct purpose for_long_running = {
	.wanted_milli = no_milli,
	.kept_milli = no_milli,
};

/* Present demand has priority over a past peak of another pool. */
static const struct purpose for_jobs_in_time = {
	.wanted_milli = rising_milli,
	.kept_milli = all_milli,
};

/* The same, from pools that have late jobs. */
static const struct purpose before_late_jobs = {
	.wanted_milli = rising_milli,
	.kept_milli = in_time_milli,
};

/* Late jobs do not take a host that may soon be needed back. */
static const struct purpose for_all_jobs = {
	.wanted_milli = rising_all_milli,
	.kept_milli = peak_milli,
};

/* Hosts that another pool may take. */
static int32_t lendable(const struct sizing *sizing,
			const struct sizing_pool *pool,
			const struct purpose *purpose)
{
	return excess(sizing, pool, purpose->kept_milli(pool), pool->movable);
}

/* Whether the pool's long-running tasks have waited for long enough. */
static bool has_waited(const struct sizing_pool *pool, int64_t now_ms)
{
	return pool->waiting_since_ms &&
	       now_ms - pool->waiting_since_ms >= SIZING_LASTING_WAIT_MS;
}

static void observe_waiting(struct sizing_pool *pool, int64_t now_ms)
{
	int64_t hosts = (pool->waiting_parts + SIZING_HOST_PARTS - 1) /
			SIZING_HOST_PARTS;

	if (hosts < pool->waiting_hosts)
		hosts = pool->waiting_hosts;
	hosts += pool->lasting_hosts;
	if (!pool->waiting_parts)
		pool->waiting_since_ms = 0;
	else if (!pool->waiting_since_ms)
		pool->waiting_since_ms = now_ms;
	else if (has_waited(pool, now_ms) && hosts > pool->min_hosts)
		pool->min_hosts = (int32_t)hosts;
}

static void observe_unfit(struct sizing_pool *pool, int64_t now_ms)
{
	if (!pool->oldest_waits || pool->oldest_fits)
		pool->unfit_since_ms = 0;
	else if (!pool->unfit_since_ms)
		pool->unfit_since_ms = now_ms;
}

void sizing_observe(const struct sizing *sizing, struct sizing_pool *pool,
		    int64_t now_ms)
{
	observe_waiting(pool, now_ms);
	observe_unfit(pool, now_ms);
	if (all_milli(pool) >= pool->peak_milli ||
	    now_ms - pool->peak_ms > SIZING_PEAK_HOLD_MS) {
		pool->peak_milli = all_milli(pool);
		pool->peak_ms = now_ms;
	}
	if (now_ms - pool->sample_ms >= SIZING_SAMPLE_MS) {
		int64_t rise_milli = pool->demand_milli - pool->sample_milli;
		int64_t elapsed_ms = now_ms - pool->sample_ms;

		pool->rise_milli =
			rise_milli > 0 && pool->sample_ms
				? rise_milli * SIZING_MOVE_MS / elapsed_ms
				: 0;
		pool->sample_milli = pool->demand_milli;
		pool->sample_ms = now_ms;
	}
	if (surplus(sizing, pool) <= 0)
		pool->surplus_since_ms = 0;
	else if (!pool->surplus_since_ms)
		pool->surplus_since_ms = now_ms;
}

static int32_t deficit(const struct sizing *sizing,
		       const struct sizing_pool *pool,
		       const struct purpose *purpose)
{
	return sizing_hosts_needed(sizing, pool, purpose->wanted_milli(pool)) -
	       pool->hosts;
}

/*
 * Prefers standby hosts, which cost no capacity, then the largest surplus. A pool
 * that misses hosts itself gives none, though it may keep fewer than it wants.
 */
static bool find_source(const struct sizing *sizing,
			const struct sizing_pool *pools, uint32_t count,
			const struct purpose *purpose, uint32_t to,
			uint32_t *from)
{
	int32_t best = 0;

	for (uint32_t i = 0; i < count; i++) {
		int32_t excess_hosts = lendable(sizing, &pools[i], purpose);

		if (i == to || deficit(sizing, &pools[i], purpose) > 0)
			continue;
		if (excess_hosts > 0 && pools[i].standby) {
			*from = i;
			return true;
		}
		if (excess_hosts <= best)
			continue;
		best = excess_hosts;
		*from = i;
	}
	return best > 0;
}

static bool find_target(const struct sizing *sizing,
			const struct sizing_pool *pools, uint32_t count,
			const struct purpose *purpose, uint32_t *to)
{
	int32_t most = 0;

	for (uint32_t i = 0; i < count; i++) {
		int32_t missing = deficit(sizing, &pools[i], purpose);

		if (missing <= most)
			continue;
		most = missing;
		*to = i;
	}
	return most > 0;
}

static bool may_take_from_late_jobs(const struct sizing *sizing,
				    const struct sizing_pool *pools,
				    uint32_t count)
{
	int32_t arriving = 0;

	for (uint32_t i = 0; i < count; i++)
		arriving += pools[i].arriving;
	return arriving * SIZING_MOVING_PART < sizing->hosts;
}

/* A host for the pool that misses most for jobs that can be in time. */
static bool find_source_in_time(const struct sizing *sizing,
				const struct sizing_pool *pools, uint32_t count,
				uint32_t to, uint32_t *from)
{
	return find_source(sizing, pools, count, &for_jobs_in_time, to, from) ||
	       (may_take_from_late_jobs(sizing, pools, count) &&
		find_source(sizing, pools, count, &before_late_jobs, to, from));
}

/*
 * Next host for long-running tasks. They cannot wait for the end of a burst, so
 * that those that wait get hosts that other pools have demand for.
 */
static bool find_lasting_move(const struct sizing *sizing,
			      const struct sizing_pool *pools, uint32_t count,
			      int64_t now_ms, uint32_t *from, uint32_t *to)
{
	if (!find_target(sizing, pools, count, &for_long_running, to))
		return false;
	if (find_source_in_time(sizing, pools, count, *to, from))
		return true;
	return has_waited(&pools[*to], now_ms) &&
	       find_source(sizing, pools, count, &for_long_running, *to, from);
}

/*
 * A pool whose oldest waiting task fits on none of its hosts, as each has too
 * little memory or processor time left, though there is enough in sum.
 */
static bool is_unfit(const struct sizing_pool *pool, int64_t now_ms)
{
	return !pool->standby && pool->unfit_since_ms &&
	       now_ms - pool->unfit_since_ms >= SIZING_UNFIT_MS;
}

static bool find_unfit_move(const struct sizing *sizing,
			    const struct sizing_pool *pools, uint32_t count,
			    int64_t now_ms, uint32_t *from, uint32_t *to)
{
	for (uint32_t i = 0; i < count; i++) {
		*to = i;
		if (is_unfit(&pools[i], now_ms) &&
		    find_source(sizing, pools, count, &for_all_jobs, i, from))
			return true;
	}
	return false;
}

static bool find_standby_move(const struct sizing *sizing,
			      const struct sizing_pool *pools, uint32_t count,
			      int64_t now_ms, uint32_t *from, uint32_t *to)
{
	bool any = false;

	for (uint32_t i = 0; i < count; i++)
		if (pools[i].standby) {
			*to = i;
			any = true;
		}
	for (uint32_t i = 0; any && i < count; i++)
		if (!pools[i].standby && surplus(sizing, &pools[i]) > 0 &&
		    now_ms - pools[i].surplus_since_ms >
			    SIZING_STANDBY_DELAY_MS) {
			*from = i;
			return true;
		}
	return false;
}

bool sizing_next_move(const struct sizing *sizing,
		      const struct sizing_pool *pools, uint32_t count,
		      int64_t now_ms, uint32_t *from, uint32_t *to)
{
	if (sizing->host_milli <= 0)
		return false;
	if (find_lasting_move(sizing, pools, count, now_ms, from, to))
		return true;
	if (find_target(sizing, pools, count, &for_jobs_in_time, to))
		return find_source_in_time(sizing, pools, count, *to, from);
	if (find_target(sizing, pools, count, &for_all_jobs, to))
		return find_source(sizing, pools, count, &for_all_jobs, *to,
				   from);
	if (find_unfit_move(sizing, pools, count, now_ms, from, to))
		return true;
	return find_standby_move(sizing, pools, count, now_ms, from, to);
}
