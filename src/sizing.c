#include "sizing.h"

enum {
	/* Room beyond the want, as placements never fill hosts. */
	SIZING_ROOM_PERCENT = 115,
	/* Demand is taken to last so long beyond its last sight. */
	SIZING_PEAK_MS = 1500,
	/* Hosts that a pool keeps when nothing is wanted of it. */
	SIZING_KEPT = 2,
	/* Idle hosts that a pool keeps for the first tasks of a turn. */
	SIZING_RESERVE = 1,
	/* The want is compared with that of so long ago, */
	SIZING_RISE_MS = 800,
	/* and its rise goes on while a host is emptied and moved. */
	SIZING_ARRIVAL_MS = 2200,
	/* A parked host saves its price only after a while. */
	SIZING_PARK_MS = 1500
};

int32_t sizing_need(const struct sizing *lend, const struct sizing_pool *pool,
		    int64_t wanted_milli)
{
	int64_t room = wanted_milli * SIZING_ROOM_PERCENT / 100;
	int64_t hosts = (room + lend->host_milli - 1) / lend->host_milli;

	if (pool->standby)
		return 0;
	return hosts > pool->least ? (int32_t)hosts : pool->least;
}

/* Hosts beyond those needed for a want, of those that may be taken. */
static int32_t beyond(const struct sizing *lend, const struct sizing_pool *pool,
		      int64_t wanted_milli, int32_t takable)
{
	int32_t need = sizing_need(lend, pool, wanted_milli);
	int32_t over;

	if (!pool->standby)
		need = (need > SIZING_KEPT ? need : SIZING_KEPT) +
		       SIZING_RESERVE;
	over = pool->hosts - need;
	return over < takable ? over : takable;
}

/* Idle hosts that may be parked. */
static int32_t surplus(const struct sizing *lend,
		       const struct sizing_pool *pool)
{
	return beyond(lend, pool, pool->peak_milli, pool->idle);
}

/* Hosts that a pool in want may take; its want goes before a past peak. */
static int32_t lendable(const struct sizing *lend,
			const struct sizing_pool *pool)
{
	return beyond(lend, pool, pool->wanted_milli, pool->movable);
}

void sizing_note(const struct sizing *lend, struct sizing_pool *pool,
		 int64_t now_ms)
{
	if (pool->wanted_milli >= pool->peak_milli ||
	    now_ms - pool->peak_ms > SIZING_PEAK_MS) {
		pool->peak_milli = pool->wanted_milli;
		pool->peak_ms = now_ms;
	}
	if (now_ms - pool->before_ms >= SIZING_RISE_MS) {
		int64_t rise = pool->wanted_milli - pool->before_milli;
		int64_t passed_ms = now_ms - pool->before_ms;

		pool->rise_milli =
			rise > 0 && pool->before_ms
				? rise * SIZING_ARRIVAL_MS / passed_ms
				: 0;
		pool->before_milli = pool->wanted_milli;
		pool->before_ms = now_ms;
	}
	if (surplus(lend, pool) <= 0)
		pool->surplus_since_ms = 0;
	else if (!pool->surplus_since_ms)
		pool->surplus_since_ms = now_ms;
}

static int32_t deficit(const struct sizing *lend,
		       const struct sizing_pool *pool)
{
	int64_t wanted_milli = pool->wanted_milli + pool->rise_milli;

	return sizing_need(lend, pool, wanted_milli) - pool->hosts;
}

/* Parked hosts first: nothing is lost there; then the largest surplus. */
static bool find_source(const struct sizing *lend,
			const struct sizing_pool *pools, uint32_t count,
			uint32_t *from)
{
	int32_t best = 0;

	for (uint32_t i = 0; i < count; i++) {
		int32_t over = lendable(lend, &pools[i]);

		if (over > 0 && pools[i].standby) {
			*from = i;
			return true;
		}
		if (over <= best)
			continue;
		best = over;
		*from = i;
	}
	return best > 0;
}

static bool find_target(const struct sizing *lend,
			const struct sizing_pool *pools, uint32_t count,
			uint32_t *to)
{
	int32_t most = 0;

	for (uint32_t i = 0; i < count; i++) {
		int32_t lacking = deficit(lend, &pools[i]);

		if (lacking <= most)
			continue;
		most = lacking;
		*to = i;
	}
	return most > 0;
}

static bool find_parked(const struct sizing *lend,
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
		if (!pools[i].standby && surplus(lend, &pools[i]) > 0 &&
		    now_ms - pools[i].surplus_since_ms > SIZING_PARK_MS) {
			*from = i;
			return true;
		}
	return false;
}

bool sizing_next(const struct sizing *lend, const struct sizing_pool *pools,
		 uint32_t count, int64_t now_ms, uint32_t *from, uint32_t *to)
{
	if (lend->host_milli <= 0)
		return false;
	if (find_target(lend, pools, count, to))
		return find_source(lend, pools, count, from) && *from != *to;
	return find_parked(lend, pools, count, now_ms, from, to);
}
