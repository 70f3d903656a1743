/* Planner: validation of the waves in a team's settings. */

#include "plan_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool is_retired(const struct fleet *fleet, const char *name)
{
	const struct fleet_host *host = fleet_host(fleet, name);

	return host && host->state == FLEET_RETIRED;
}

static bool is_listed(const struct teamconf_hosts *hosts, const char *name)
{
	for (uint32_t i = 0; i < hosts->count; i++)
		if (!strcmp(hosts->names[i], name))
			return true;
	return false;
}

static uint32_t pool_size(const struct fleet *fleet,
			  const struct teamconf_pool *pool)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < pool->hosts.count; i++)
		count += !is_retired(fleet, pool->hosts.names[i]);
	return count;
}

/* Number of the pool's hosts that have yet to complete the wave. */
static uint32_t pool_todo(const struct fleet *fleet,
			  const struct teamconf *settings,
			  const struct teamconf_wave *wave,
			  const struct teamconf_pool *pool)
{
	const struct teamconf_batch *batch =
		teamconf_find_batch(settings, wave->batch);
	uint32_t count = 0;

	for (uint32_t i = 0; batch && i < batch->hosts.count; i++) {
		const char *name = batch->hosts.names[i];
		const struct fleet_host *host = fleet_host(fleet, name);

		count += !is_retired(fleet, name) &&
			 is_listed(&pool->hosts, name) &&
			 !(host && plan_wave_done(settings, wave, host));
	}
	return count;
}

/* Number of hosts that the spare pool can lend to the pool. */
static uint32_t spare_size(const struct fleet *fleet,
			   const struct teamconf *settings,
			   const struct teamconf_pool *pool)
{
	const struct teamconf_pool *spare =
		settings->spare_pool[0]
			? teamconf_find_pool(settings, settings->spare_pool)
			: NULL;
	uint32_t size = spare && spare != pool ? pool_size(fleet, spare) : 0;

	return size > (spare ? spare->min_available : 0)
		       ? size - spare->min_available
		       : 0;
}

static int check_budget(const struct fleet *fleet,
			const struct teamconf *settings,
			const struct teamconf_wave *wave,
			const struct teamconf_pool *pool, uint32_t todo,
			struct err *err)
{
	uint32_t size = pool_size(fleet, pool);

	if (wave->action == TEAMCONF_RETIRE &&
	    size < pool->min_available + todo)
		return err_set(err, ERR_INVALID,
			       "waves.%s: pool %s has %u hosts, %u of them to "
			       "be retired, and min_available %u; list %u more "
			       "hosts, or lower min_available to %u",
			       wave->name, pool->name, size, todo,
			       pool->min_available,
			       pool->min_available + todo - size, size - todo);
	if (size > pool->min_available || spare_size(fleet, settings, pool))
		return 0;
	return err_set(
		err, ERR_INVALID,
		"waves.%s: pool %s has %u hosts and min_available %u, so "
		"none can be taken out; lower min_available to %u, list "
		"another host, or name a spare_pool that has a host more "
		"than its min_available",
		wave->name, pool->name, size, pool->min_available,
		size ? size - 1 : 0);
}

/* Reboots in sequence that fit the wave's hours if each takes the timeout. */
static uint32_t rounds_per_night(const struct teamconf_wave *wave)
{
	uint32_t from = wave->from_hour, to = wave->to_hour % HOURS_PER_DAY;
	uint32_t hours = from == to
				 ? HOURS_PER_DAY
				 : (to + HOURS_PER_DAY - from) % HOURS_PER_DAY;

	return hours * (MS_PER_HOUR / LIMIT_REBOOT_TIMEOUT_MS);
}

static int check_support_end(const struct fleet *fleet,
			     const struct teamconf *settings,
			     const struct teamconf_wave *wave,
			     const struct teamconf_pool *pool, uint32_t todo,
			     int32_t today, struct err *err)
{
	const struct teamconf_batch *batch =
		teamconf_find_batch(settings, wave->batch);
	int32_t first = wave->start_day > today ? wave->start_day : today;
	int32_t nights = batch->support_ends_day - first + 1;
	uint32_t size = pool_size(fleet, pool);
	uint32_t at_once =
		size > pool->min_available ? size - pool->min_available : 1;
	uint32_t per_night = at_once * rounds_per_night(wave);
	int32_t needed = (int32_t)((todo + per_night - 1) / per_night);
	char day[16];

	if (needed <= nights)
		return 0;
	plan_format_day(day, sizeof(day), first + needed - 1);
	return err_set(err, ERR_INVALID,
		       "waves.%s: %u hosts of pool %s, %u at a time, take %d "
		       "nights of %u rounds, %d are left before the support of "
		       "batch %s ends; a support end from %s on, a lower "
		       "min_available, longer hours or an earlier start would "
		       "make it possible",
		       wave->name, todo, pool->name, at_once, needed,
		       rounds_per_night(wave), nights > 0 ? nights : 0,
		       batch->name, day);
}

static int check_wave(const struct fleet *fleet,
		      const struct teamconf *settings,
		      const struct teamconf_wave *wave, int32_t today,
		      struct err *err)
{
	int status = 0;

	for (uint32_t i = 0; i < settings->pool_count && status == 0; i++) {
		const struct teamconf_pool *pool = &settings->pools[i];
		uint32_t todo = pool_todo(fleet, settings, wave, pool);

		if (!todo)
			continue;
		status = check_budget(fleet, settings, wave, pool, todo, err);
		if (status == 0)
			status = check_support_end(fleet, settings, wave, pool,
						   todo, today, err);
	}
	return status;
}

int plan_check(const struct fleet *fleet, const char *team_name,
	       const struct teamconf *settings, int32_t today, struct err *err)
{
	const struct fleet_team *team = fleet_team(fleet, team_name);
	struct err fault = { .kind = ERR_OK };

	for (uint32_t i = 0; i < settings->wave_count; i++) {
		const struct teamconf_wave *wave = &settings->waves[i];
		const struct teamconf_wave *before =
			team ? teamconf_find_wave(team->settings, wave->name)
			     : NULL;

		if (check_wave(fleet, settings, wave, today, &fault) == 0)
			continue;
		if (before &&
		    check_wave(fleet, team->settings, before, today, NULL) < 0)
			continue;
		if (err)
			*err = fault;
		return fault.kind;
	}
	return 0;
}
