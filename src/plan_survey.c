/* Planner: pools, hosts, racks and waves as the state has them. */

#include "plan_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rnd.h"

/* Fixed-length key of two names for a table. */
static void key_of(char *key, const char *first, const char *second)
{
	uint64_t hash = rnd_hash(RND_HASH_START, first, strlen(first) + 1);

	snprintf(key, LIMIT_NAME_BYTES, "%016" PRIx64,
		 rnd_hash(hash, second, strlen(second)));
}

static void *entry_of(struct table *table, const char *name)
{
	void *entry = table_find(table, name);

	return entry ? entry : table_add(table, name);
}

static uint32_t centre_of(struct plan *pln, const char *name)
{
	for (uint32_t i = 0; i < pln->centre_count; i++)
		if (!strcmp(pln->centres[i], name))
			return i;
	if (pln->centre_count == MAX_DATA_CENTRES)
		return MAX_DATA_CENTRES - 1;
	snprintf(pln->centres[pln->centre_count], LIMIT_NAME_BYTES, "%s", name);
	return pln->centre_count++;
}

bool plan_is_out(const struct fleet_host *host)
{
	return host->state == FLEET_DRAINING || host->state == FLEET_DRAINED ||
	       host->state == FLEET_REBOOTING;
}

struct pool *plan_find_pool(struct plan *pln, const char *team,
			    const char *name)
{
	char key[LIMIT_NAME_BYTES];
	struct pool *pool;

	key_of(key, team, name);
	pool = table_find(pln->pools, key);
	return pool && pool->seq == pln->seq ? pool : NULL;
}

void plan_start_pools(struct plan *pln)
{
	for (uint32_t i = 0; i < table_count(pln->fleet->teams); i++) {
		const struct fleet_team *team = table_at(pln->fleet->teams, i);

		for (uint32_t k = 0; k < team->settings->pool_count; k++) {
			const struct teamconf_pool *settings =
				&team->settings->pools[k];
			char key[LIMIT_NAME_BYTES];
			struct pool *pool;
			int64_t since_ms;

			key_of(key, team->name, settings->name);
			pool = entry_of(pln->pools, key);
			since_ms = pool->seq ? pool->need_since_ms : -1;
			memset(pool, 0, sizeof(*pool));
			memcpy(pool->name, key, sizeof(key));
			pool->need_since_ms = since_ms;
			pool->team = team;
			pool->settings = settings;
			pool->seq = pln->seq;
		}
	}
}

static void count_host(struct plan *pln, struct host *host)
{
	const struct fleet_host *fleet = host->fleet;
	struct pool *pool = host->pool;
	bool counts;

	if (fleet->state == FLEET_RETIRED)
		return;
	counts = fleet_host_counts(pln->fleet, fleet);
	host->rack->out += !counts;
	if (!pool)
		return;
	pool->hosts++;
	pool->available += counts;
	pool->planned_out += plan_is_out(fleet);
	pool->centres[host->centre].hosts++;
	pool->centres[host->centre].available += counts;
}

void plan_start_host(struct plan *pln, const struct fleet_host *fleet)
{
	struct host *host = entry_of(pln->hosts, fleet->name);
	char key[LIMIT_NAME_BYTES];

	if (!host->seq) {
		host->move_since_ms = -1;
		host->state_offset = FLEET_NONE;
	}
	host->seq = pln->seq;
	host->fleet = fleet;
	if (host->state_offset != fleet->changed_offset) {
		host->state_offset = fleet->changed_offset;
		host->state_ms = pln->now_ms;
	}
	host->pool = fleet->team[0]
			     ? plan_find_pool(pln, fleet->team, fleet->pool)
			     : NULL;
	host->centre = centre_of(pln, fleet->data_centre);
	key_of(key, fleet->data_centre, fleet->rack);
	host->rack = entry_of(pln->racks, key);
	if (host->rack->seq != pln->seq) {
		host->rack->seq = pln->seq;
		host->rack->out = 0;
	}
	count_host(pln, host);
}

/* Teams that weigh roll-out time most use the whole budget. */
static bool is_rollout_heavy(const struct teamconf *settings)
{
	return settings->weight_rollout > settings->weight_spare &&
	       settings->weight_rollout > settings->weight_moves;
}

/* Hosts of a pool that could be taken out if nothing planned were out. */
int32_t plan_pool_room(const struct pool *pool)
{
	return (int32_t)(pool->available + pool->planned_out) -
	       (int32_t)pool->settings->min_available;
}

void plan_set_budgets(struct plan *pln)
{
	for (uint32_t i = 0; i < table_count(pln->pools); i++) {
		struct pool *pool = table_at(pln->pools, i);
		int32_t kept;

		if (pool->seq != pln->seq)
			continue;
		kept = plan_pool_room(pool) >= 2 &&
		       !is_rollout_heavy(pool->team->settings);
		pool->left = (int32_t)pool->available -
			     (int32_t)pool->settings->min_available - kept;
		pool->undo = (int32_t)pool->settings->min_available -
			     (int32_t)pool->available;
	}
}

struct host *plan_host_of(const struct plan *pln, const char *name)
{
	struct host *host = table_find(pln->hosts, name);

	return host && host->seq == pln->seq ? host : NULL;
}

/*
 * Whether a host has completed a wave. A host remembers only the last wave
 * that it completed; of several waves of one batch the later ones include the
 * earlier ones, or they would take turns for ever.
 */
bool plan_wave_done(const struct teamconf *settings,
		    const struct teamconf_wave *wave,
		    const struct fleet_host *host)
{
	const struct teamconf_wave *last;

	if (!host->wave_done[0])
		return false;
	if (!strcmp(host->wave_done, wave->name))
		return true;
	last = teamconf_find_wave(settings, host->wave_done);
	return last && !strcmp(last->batch, wave->batch) &&
	       (last->start_day > wave->start_day ||
		(last->start_day == wave->start_day && last > wave));
}

/* The host if it belongs to the wave's team; others are none of its hosts. */
struct host *plan_wave_host(const struct plan *pln, const struct wave *wave,
			    uint32_t index)
{
	struct host *host = plan_host_of(pln, wave->batch->hosts.names[index]);

	return host && !strcmp(host->fleet->team, wave->team->name) ? host
								    : NULL;
}

static bool in_window(const struct teamconf_wave *wave, uint32_t hour)
{
	uint32_t from = wave->from_hour, to = wave->to_hour % HOURS_PER_DAY;

	if (from == to)
		return true;
	if (from < to)
		return hour >= from && hour < to;
	return hour >= from || hour < to;
}

void plan_format_day(char *text, size_t size, int32_t day)
{
	/* Civil date from days since 1970-01-01, by 400-year cycles. */
	int32_t z = day + 719468;
	int32_t era = z / 146097;
	int32_t doe = z - era * 146097;
	int32_t yoe = (doe - doe / 1460 + doe / 36524 - doe / 146096) / 365;
	int32_t doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
	int32_t mp = (5 * doy + 2) / 153;
	int32_t month = mp < 10 ? mp + 3 : mp - 9;

	snprintf(text, size, "%04d-%02d-%02d", yoe + era * 400 + (month <= 2),
		 month, doy - (153 * mp + 2) / 5 + 1);
}

bool plan_in_canary_stage(const struct wave *wave)
{
	uint32_t canary = wave->settings->canary_hosts;

	return wave->healthy < (canary < wave->total ? canary : wave->total);
}

/* A failed canary host, or more than one host in twenty, at least two. */
static bool failed_too_often(const struct wave *wave)
{
	if (plan_in_canary_stage(wave))
		return wave->failed > 0;
	return wave->failed >= 2 && wave->failed * 20 > wave->total;
}

static void set_held(const struct plan *pln, struct wave *wave)
{
	const struct teamconf_wave *settings = wave->settings;
	char day[16];

	plan_format_day(day, sizeof(day), settings->start_day);
	wave->stopped = failed_too_often(wave);
	wave->held[0] = 0;
	if (settings->paused)
		snprintf(wave->held, sizeof(wave->held),
			 "the wave is paused by its settings");
	else if (wave->stopped)
		snprintf(wave->held, sizeof(wave->held),
			 "stopped: %u of %u hosts failed%s; publish with a "
			 "higher resume to go on",
			 wave->failed, wave->total,
			 plan_in_canary_stage(wave) ? " in the canary stage"
						    : "");
	else if (pln->day < settings->start_day)
		snprintf(wave->held, sizeof(wave->held),
			 "the wave starts on %s", day);
	else if (!in_window(settings, pln->hour))
		snprintf(wave->held, sizeof(wave->held),
			 "outside of the hours from %u to %u UTC",
			 settings->from_hour, settings->to_hour);
}

static void count_wave(const struct plan *pln, struct wave *wave)
{
	const struct teamconf *settings = wave->team->settings;

	for (uint32_t i = 0; i < wave->batch->hosts.count; i++) {
		struct host *host = plan_wave_host(pln, wave, i);
		bool done, failed;

		if (!host)
			continue;
		done = plan_wave_done(settings, wave->settings, host->fleet);
		if (host->fleet->state == FLEET_RETIRED && !done)
			continue;
		failed =
			!strcmp(host->fleet->wave_failed, wave->settings->name);
		wave->total++;
		wave->done += done;
		wave->healthy += done && !failed;
		wave->failed += failed;
		wave->todo += !done;
		wave->out += !done && plan_is_out(host->fleet) &&
			     !strcmp(host->fleet->wave, wave->settings->name);
	}
	set_held(pln, wave);
	for (uint32_t i = 0; i < wave->batch->hosts.count; i++) {
		struct host *host = plan_wave_host(pln, wave, i);

		if (!host || !host->pool ||
		    host->fleet->state == FLEET_RETIRED ||
		    plan_wave_done(settings, wave->settings, host->fleet) ||
		    !strcmp(host->fleet->wave_failed, wave->settings->name) ||
		    pln->day < wave->settings->start_day || wave->stopped)
			continue;
		host->pool->waits = true;
		host->pool->can_wait |= !wave->held[0];
	}
}

/* Batches whose support ends first come first. */
static int by_support_end(const void *a, const void *b)
{
	const struct wave *first = a, *second = b;

	if (first->batch->support_ends_day != second->batch->support_ends_day)
		return first->batch->support_ends_day <
				       second->batch->support_ends_day
			       ? -1
			       : 1;
	if (first->settings->start_day != second->settings->start_day)
		return first->settings->start_day < second->settings->start_day
			       ? -1
			       : 1;
	if (first->team != second->team)
		return first->team < second->team ? -1 : 1;
	return first->settings < second->settings ? -1 : 1;
}

void plan_start_waves(struct plan *pln)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table_count(pln->fleet->teams); i++)
		count += ((struct fleet_team *)table_at(pln->fleet->teams, i))
				 ->settings->wave_count;
	free(pln->waves);
	pln->wave_count = 0;
	pln->waves = calloc(count + 1, sizeof(*pln->waves));
	for (uint32_t i = 0; pln->waves && i < table_count(pln->fleet->teams);
	     i++) {
		const struct fleet_team *team = table_at(pln->fleet->teams, i);

		for (uint32_t k = 0; k < team->settings->wave_count; k++) {
			struct wave *wave = &pln->waves[pln->wave_count++];

			wave->team = team;
			wave->settings = &team->settings->waves[k];
			wave->batch = teamconf_find_batch(
				team->settings, wave->settings->batch);
			count_wave(pln, wave);
		}
	}
	if (pln->waves)
		qsort(pln->waves, pln->wave_count, sizeof(*pln->waves),
		      by_support_end);
}

const struct wave *plan_find_wave(const struct plan *pln, const char *team,
				  const char *name)
{
	for (uint32_t i = 0; i < pln->wave_count; i++)
		if (!strcmp(pln->waves[i].settings->name, name) &&
		    !strcmp(pln->waves[i].team->name, team))
			return &pln->waves[i];
	return NULL;
}
