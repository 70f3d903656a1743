/* Planner: counts of the pools, hosts, racks and waves of the fleet state. */

#include "plan_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rnd.h"

/* Table key for a pair of names: their hash, as the names may be too long. */
static void make_key(char *key, const char *first, const char *second)
{
	uint64_t hash = rnd_hash(RND_HASH_START, first, strlen(first) + 1);

	snprintf(key, LIMIT_NAME_BYTES, "%016" PRIx64,
		 rnd_hash(hash, second, strlen(second)));
}

static void *find_or_add(struct table *table, const char *name)
{
	void *entry = table_find(table, name);

	return entry ? entry : table_add(table, name);
}

static uint32_t data_centre_index(struct plan *plan, const char *name)
{
	for (uint32_t i = 0; i < plan->data_centre_count; i++)
		if (!strcmp(plan->data_centres[i], name))
			return i;
	if (plan->data_centre_count == MAX_DATA_CENTRES)
		return MAX_DATA_CENTRES - 1;
	snprintf(plan->data_centres[plan->data_centre_count], LIMIT_NAME_BYTES,
		 "%s", name);
	return plan->data_centre_count++;
}

bool plan_is_out(const struct fleet_host *host)
{
	return host->state == FLEET_DRAINING || host->state == FLEET_DRAINED ||
	       host->state == FLEET_REBOOTING;
}

struct pool *plan_find_pool(struct plan *plan, const char *team,
			    const char *name)
{
	char key[LIMIT_NAME_BYTES];
	struct pool *pool;

	make_key(key, team, name);
	pool = table_find(plan->pools, key);
	return pool && pool->seq == plan->seq ? pool : NULL;
}

void plan_reset_pools(struct plan *plan)
{
	for (uint32_t i = 0; i < table_count(plan->fleet->teams); i++) {
		const struct fleet_team *team = table_at(plan->fleet->teams, i);

		for (uint32_t k = 0; k < team->settings->pool_count; k++) {
			const struct teamconf_pool *settings =
				&team->settings->pools[k];
			char key[LIMIT_NAME_BYTES];
			struct pool *pool;
			int64_t since_ms;

			make_key(key, team->name, settings->name);
			pool = find_or_add(plan->pools, key);
			since_ms = pool->seq ? pool->shortage_since_ms : -1;
			memset(pool, 0, sizeof(*pool));
			memcpy(pool->name, key, sizeof(key));
			pool->shortage_since_ms = since_ms;
			pool->team = team;
			pool->settings = settings;
			pool->seq = plan->seq;
		}
	}
}

static void count_host(struct plan *plan, struct host *host)
{
	const struct fleet_host *entry = host->entry;
	struct pool *pool = host->pool;
	bool counts;

	if (entry->state == FLEET_RETIRED)
		return;
	counts = fleet_host_counts_available(plan->fleet, entry);
	host->rack->out += !counts;
	if (!pool)
		return;
	pool->hosts++;
	pool->available += counts;
	pool->planned_out += plan_is_out(entry);
	pool->data_centres[host->data_centre_no].hosts++;
	pool->data_centres[host->data_centre_no].available += counts;
}

void plan_count_host(struct plan *plan, const struct fleet_host *entry)
{
	struct host *host = find_or_add(plan->hosts, entry->name);
	char key[LIMIT_NAME_BYTES];

	if (!host->seq) {
		host->move_since_ms = -1;
		host->state_offset = FLEET_NONE;
	}
	host->seq = plan->seq;
	host->entry = entry;
	if (host->state_offset != entry->changed_offset) {
		host->state_offset = entry->changed_offset;
		host->state_ms = plan->now_ms;
	}
	host->pool = entry->team[0]
			     ? plan_find_pool(plan, entry->team, entry->pool)
			     : NULL;
	host->data_centre_no = data_centre_index(plan, entry->data_centre);
	make_key(key, entry->data_centre, entry->rack);
	host->rack = find_or_add(plan->racks, key);
	if (host->rack->seq != plan->seq) {
		host->rack->seq = plan->seq;
		host->rack->out = 0;
	}
	count_host(plan, host);
}

/* Teams that give roll-out time the highest weight use the whole budget. */
static bool weighs_rollout_most(const struct teamconf *settings)
{
	return settings->weight_rollout > settings->weight_spare &&
	       settings->weight_rollout > settings->weight_moves;
}

int32_t plan_pool_room(const struct pool *pool)
{
	return (int32_t)(pool->available + pool->planned_out) -
	       (int32_t)pool->settings->min_available;
}

void plan_set_budgets(struct plan *plan)
{
	for (uint32_t i = 0; i < table_count(plan->pools); i++) {
		struct pool *pool = table_at(plan->pools, i);
		int32_t reserve;

		if (pool->seq != plan->seq)
			continue;
		reserve = plan_pool_room(pool) >= 2 &&
			  !weighs_rollout_most(pool->team->settings);
		pool->drains_left = (int32_t)pool->available -
				    (int32_t)pool->settings->min_available -
				    reserve;
		pool->to_undrain = (int32_t)pool->settings->min_available -
				   (int32_t)pool->available;
	}
}

struct host *plan_find_host(const struct plan *plan, const char *name)
{
	struct host *host = table_find(plan->hosts, name);

	return host && host->seq == plan->seq ? host : NULL;
}

/*
 * A host stores only the last wave that it completed, so a later wave of a
 * batch includes the earlier ones. Otherwise two waves of one batch would
 * take turns on its hosts endlessly.
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

struct host *plan_wave_host(const struct plan *plan, const struct wave *wave,
			    uint32_t index)
{
	struct host *host =
		plan_find_host(plan, wave->batch->hosts.names[index]);

	return host && !strcmp(host->entry->team, wave->team->name) ? host
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
	/* Civil date from days since 1970-01-01; an era is 400 years. */
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

/*
 * Whether a wave has to stop: any failure in the canary stage, afterwards at
 * least two failures that are more than 5 % of the hosts.
 */
static bool failed_too_often(const struct wave *wave)
{
	if (plan_in_canary_stage(wave))
		return wave->failed > 0;
	return wave->failed >= 2 && wave->failed * 20 > wave->total;
}

static void set_hold_reason(const struct plan *plan, struct wave *wave)
{
	const struct teamconf_wave *settings = wave->settings;
	char day[16];

	plan_format_day(day, sizeof(day), settings->start_day);
	wave->stopped = failed_too_often(wave);
	wave->hold_reason[0] = 0;
	if (settings->paused)
		snprintf(wave->hold_reason, sizeof(wave->hold_reason),
			 "the wave is paused by its settings");
	else if (wave->stopped)
		snprintf(wave->hold_reason, sizeof(wave->hold_reason),
			 "stopped: %u of %u hosts failed%s; publish with a "
			 "higher resume to go on",
			 wave->failed, wave->total,
			 plan_in_canary_stage(wave) ? " in the canary stage"
						    : "");
	else if (plan->day < settings->start_day)
		snprintf(wave->hold_reason, sizeof(wave->hold_reason),
			 "the wave starts on %s", day);
	else if (!in_window(settings, plan->hour))
		snprintf(wave->hold_reason, sizeof(wave->hold_reason),
			 "outside the hours from %u to %u UTC",
			 settings->from_hour, settings->to_hour);
}

static void count_wave(const struct plan *plan, struct wave *wave)
{
	const struct teamconf *settings = wave->team->settings;

	for (uint32_t i = 0; i < wave->batch->hosts.count; i++) {
		struct host *host = plan_wave_host(plan, wave, i);
		bool done, failed;

		if (!host)
			continue;
		done = plan_wave_done(settings, wave->settings, host->entry);
		if (host->entry->state == FLEET_RETIRED && !done)
			continue;
		failed =
			!strcmp(host->entry->wave_failed, wave->settings->name);
		wave->total++;
		wave->done += done;
		wave->healthy += done && !failed;
		wave->failed += failed;
		wave->todo += !done;
		wave->out += !done && plan_is_out(host->entry) &&
			     !strcmp(host->entry->wave, wave->settings->name);
	}
	set_hold_reason(plan, wave);
	for (uint32_t i = 0; i < wave->batch->hosts.count; i++) {
		struct host *host = plan_wave_host(plan, wave, i);

		if (!host || !host->pool ||
		    host->entry->state == FLEET_RETIRED ||
		    plan_wave_done(settings, wave->settings, host->entry) ||
		    !strcmp(host->entry->wave_failed, wave->settings->name) ||
		    plan->day < wave->settings->start_day || wave->stopped)
			continue;
		host->pool->has_wave_hosts = true;
		host->pool->has_open_wave |= !wave->hold_reason[0];
	}
}

static int compare_support_end(const void *a, const void *b)
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

void plan_count_waves(struct plan *plan)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table_count(plan->fleet->teams); i++)
		count += ((struct fleet_team *)table_at(plan->fleet->teams, i))
				 ->settings->wave_count;
	free(plan->waves);
	plan->wave_count = 0;
	plan->waves = calloc(count + 1, sizeof(*plan->waves));
	for (uint32_t i = 0; plan->waves && i < table_count(plan->fleet->teams);
	     i++) {
		const struct fleet_team *team = table_at(plan->fleet->teams, i);

		for (uint32_t k = 0; k < team->settings->wave_count; k++) {
			struct wave *wave = &plan->waves[plan->wave_count++];

			wave->team = team;
			wave->settings = &team->settings->waves[k];
			wave->batch = teamconf_find_batch(
				team->settings, wave->settings->batch);
			count_wave(plan, wave);
		}
	}
	if (plan->waves)
		qsort(plan->waves, plan->wave_count, sizeof(*plan->waves),
		      compare_support_end);
}

const struct wave *plan_find_wave(const struct plan *plan, const char *team,
				  const char *name)
{
	for (uint32_t i = 0; i < plan->wave_count; i++)
		if (!strcmp(plan->waves[i].settings->name, name) &&
		    !strcmp(plan->waves[i].team->name, team))
			return &plan->waves[i];
	return NULL;
}
