/* Fleet state: team settings. */

#include "fleet_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "plan.h"

enum { MS_PER_DAY = 24 * 3600 * 1000 };

static bool in_settings(const struct teamconf *settings, const char *host)
{
	return teamconf_pool_of(settings, host) != NULL;
}

/* Refuses settings that list a host of another team, or a retired free host. */
static int check_listed(const struct fleet *fleet, const char *team,
			const struct teamconf_pool *pool, struct err *err)
{
	for (uint32_t i = 0; i < pool->hosts.count; i++) {
		const struct fleet_host *host =
			fleet_host(fleet, pool->hosts.names[i]);

		if (!host)
			continue;
		if (host->state == FLEET_RETIRED && !host->team[0])
			return err_set(err, ERR_STATE, "host %s is retired",
				       host->name);
		if (!host->team[0])
			continue;
		if (strcmp(host->team, team))
			return err_set(err, ERR_CONFLICT,
				       "host %s belongs to team %s", host->name,
				       host->team);
	}
	return 0;
}

/* Refuses the removal of a host that is neither drained nor retired. */
static int check_removed_hosts(const struct fleet *fleet, const char *team,
			       const struct teamconf *settings, struct err *err)
{
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);

		if (strcmp(host->team, team) ||
		    in_settings(settings, host->name) ||
		    host->state == FLEET_DRAINED ||
		    host->state == FLEET_RETIRED)
			continue;
		return err_set(err, ERR_STATE,
			       "host %s is %s; drain or retire it before it is "
			       "left out",
			       host->name, fleet_host_state_name(host->state));
	}
	return 0;
}

/* Refuses the removal of a pool that still has hosts of the team. */
static int check_removed_pools(const struct fleet *fleet, const char *team,
			       const struct teamconf *settings, struct err *err)
{
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);

		if (strcmp(host->team, team) || host->state == FLEET_RETIRED ||
		    !in_settings(settings, host->name) ||
		    teamconf_find_pool(settings, host->pool))
			continue;
		return err_set(err, ERR_STATE,
			       "pools.%s: left out, but host %s is there; list "
			       "the host under another pool and leave the pool "
			       "out once it has moved",
			       host->pool, host->name);
	}
	return 0;
}

/* Use of a pool after the settings have added the free hosts that they list. */
static struct fleet_pool_use
use_after_settings(const struct fleet *fleet, const char *team,
		   const struct teamconf_pool *pool)
{
	struct fleet_pool_use use = fleet_pool_use(fleet, team, pool->name);

	for (uint32_t i = 0; i < pool->hosts.count; i++) {
		const struct fleet_host *host =
			fleet_host(fleet, pool->hosts.names[i]);

		if (!host || host->team[0])
			continue;
		/* assign_hosts returns a drained host to service. */
		use.available +=
			fleet_host_counts_available(fleet, host) ||
			(host->state == FLEET_DRAINED && host->known &&
			 fleet_data_centre_reachable(fleet, host->data_centre));
		use.planned_out += host->state == FLEET_DRAINING ||
				   host->state == FLEET_REBOOTING;
	}
	return use;
}

/* Refuses a budget above the hosts that drains in progress leave available. */
static int check_budgets(const struct fleet *fleet, const char *team,
			 const struct teamconf *settings, struct err *err)
{
	for (uint32_t i = 0; i < settings->pool_count; i++) {
		const struct teamconf_pool *pool = &settings->pools[i];
		struct fleet_pool_use use =
			use_after_settings(fleet, team, pool);

		if (use.planned_out && pool->min_available > use.available &&
		    pool->min_available > use.min_available)
			return err_set(err, ERR_BUDGET,
				       "pools.%s.min_available: %u given, but "
				       "%u hosts are available and %u are out "
				       "for maintenance",
				       pool->name, pool->min_available,
				       use.available, use.planned_out);
	}
	return 0;
}

static void assign_hosts(struct fleet *fleet, int64_t offset, const char *team,
			 const struct teamconf *settings)
{
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		struct fleet_host *host = table_at(fleet->hosts, i);

		if (strcmp(host->team, team) ||
		    in_settings(settings, host->name))
			continue;
		host->team[0] = 0;
		host->pool[0] = 0;
		host->home_pool[0] = 0;
		host->wave_done[0] = 0;
		host->wave_failed[0] = 0;
	}
	for (uint32_t i = 0; i < settings->pool_count; i++) {
		const struct teamconf_pool *pool = &settings->pools[i];

		for (uint32_t k = 0; k < pool->hosts.count; k++) {
			const char *name = pool->hosts.names[k];
			struct fleet_host *host = fleet_host(fleet, name);

			if (!host) {
				host = table_add(fleet->hosts, name);
				host->reboot_boot_id = FLEET_NONE;
				fleet_set_state(host, FLEET_SERVING, offset,
						"assigned");
			}
			if (strcmp(host->home_pool, pool->name))
				host->keep_in_pool = false;
			memcpy(host->home_pool, pool->name,
			       sizeof(host->home_pool));
			if (host->state == FLEET_RETIRED)
				memcpy(host->pool, pool->name,
				       sizeof(host->pool));
			if (host->team[0])
				continue;
			if (host->state == FLEET_DRAINED)
				fleet_set_state(host, FLEET_SERVING, offset,
						"assigned");
			snprintf(host->team, sizeof(host->team), "%s", team);
			snprintf(host->pool, sizeof(host->pool), "%s",
				 pool->name);
		}
	}
}

/* Clears the failures of waves whose resume number was raised. */
static void resume_waves(struct fleet *fleet, const struct fleet_team *team,
			 const struct teamconf *settings)
{
	for (uint32_t i = 0; i < settings->wave_count; i++) {
		const struct teamconf_wave *wave = &settings->waves[i];
		const struct teamconf_wave *before =
			teamconf_find_wave(team->settings, wave->name);

		if (!before || wave->resume <= before->resume)
			continue;
		for (uint32_t k = 0; k < table_count(fleet->hosts); k++) {
			struct fleet_host *host = table_at(fleet->hosts, k);

			if (!strcmp(host->team, team->name) &&
			    !strcmp(host->wave_failed, wave->name))
				host->wave_failed[0] = 0;
		}
	}
}

int fleet_apply_settings(struct fleet *fleet, int64_t offset,
			 const struct record *rec, struct fleet_change *change,
			 struct err *err)
{
	struct fleet_team *team = fleet_team(fleet, rec->team);
	int64_t version = team ? team->version : FLEET_NONE;
	struct teamconf *settings;
	int status = 0;

	change->target = rec->team;
	snprintf(change->before, sizeof(change->before), "%" PRId64, version);
	snprintf(change->after, sizeof(change->after), "%" PRId64, offset);
	if (rec->base != version)
		return err_set(err, ERR_CONFLICT,
			       "based on version %" PRId64
			       ", but version %" PRId64 " is in force",
			       rec->base, version);
	if (!team && table_count(fleet->teams) >= LIMIT_TEAMS)
		return err_set(err, ERR_TOO_LARGE, "more than %d teams",
			       LIMIT_TEAMS);
	settings = teamconf_parse(rec->settings, strlen(rec->settings), err);
	if (!settings)
		return err->kind;
	for (uint32_t i = 0; i < settings->pool_count && status == 0; i++)
		status = check_listed(fleet, rec->team, &settings->pools[i],
				      err);
	if (status == 0)
		status = check_removed_hosts(fleet, rec->team, settings, err);
	if (status == 0)
		status = check_removed_pools(fleet, rec->team, settings, err);
	if (status == 0)
		status = check_budgets(fleet, rec->team, settings, err);
	if (status == 0)
		status = plan_check(fleet, rec->team, settings,
				    (int32_t)(rec->at_ms / MS_PER_DAY), err);
	if (status < 0) {
		teamconf_destroy(settings);
		return status;
	}
	if (team)
		resume_waves(fleet, team, settings);
	else
		team = table_add(fleet->teams, rec->team);
	teamconf_destroy(team->settings);
	team->settings = settings;
	team->version = offset;
	assign_hosts(fleet, offset, rec->team, settings);
	return 0;
}
