/* Fleet state: team settings. */

#include "fst_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "pln.h"

enum { MS_PER_DAY = 24 * 3600 * 1000 };

static bool in_settings(const struct tms *settings, const char *host)
{
	return tms_pool_of(settings, host) != NULL;
}

/* A listed host must be free, or already of this team. */
static int check_listed(const struct fst *fst, const char *team,
			const struct tms_pool *pool, struct err *err)
{
	for (uint32_t i = 0; i < pool->hosts.count; i++) {
		const struct fst_host *host =
			fst_host(fst, pool->hosts.names[i]);

		if (!host)
			continue;
		if (host->state == FST_RETIRED && !host->team[0])
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

/* A host may be left out only once it serves no more. */
static int check_removed(const struct fst *fst, const char *team,
			 const struct tms *settings, struct err *err)
{
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++) {
		const struct fst_host *host = tbl_at(fst->hosts, i);

		if (strcmp(host->team, team) ||
		    in_settings(settings, host->name) ||
		    host->state == FST_DRAINED || host->state == FST_RETIRED)
			continue;
		return err_set(err, ERR_STATE,
			       "host %s is %s; drain or retire it before it is "
			       "left out",
			       host->name, fst_host_state_name(host->state));
	}
	return 0;
}

/* A pool may be left out only once no host serves there. */
static int check_present_pools(const struct fst *fst, const char *team,
			       const struct tms *settings, struct err *err)
{
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++) {
		const struct fst_host *host = tbl_at(fst->hosts, i);

		if (strcmp(host->team, team) || host->state == FST_RETIRED ||
		    !in_settings(settings, host->name) ||
		    tms_find_pool(settings, host->pool))
			continue;
		return err_set(err, ERR_STATE,
			       "pools.%s: left out, but host %s is there; list "
			       "the host under another pool and leave the pool "
			       "out once it has moved",
			       host->pool, host->name);
	}
	return 0;
}

/* Use of a pool once the settings have added the free hosts that they list. */
static struct fst_pool_use next_use(const struct fst *fst, const char *team,
				    const struct tms_pool *pool)
{
	struct fst_pool_use use = fst_pool_use(fst, team, pool->name);

	for (uint32_t i = 0; i < pool->hosts.count; i++) {
		const struct fst_host *host =
			fst_host(fst, pool->hosts.names[i]);

		if (!host || host->team[0])
			continue;
		/* assign_hosts lets a drained host serve. */
		use.available += fst_host_counts(fst, host) ||
				 (host->state == FST_DRAINED && host->known &&
				  fst_visible(fst, host->data_centre));
		use.planned_out += host->state == FST_DRAINING ||
				   host->state == FST_REBOOTING;
	}
	return use;
}

/* A budget may not be raised above what a drain under way leaves. */
static int check_budgets(const struct fst *fst, const char *team,
			 const struct tms *settings, struct err *err)
{
	for (uint32_t i = 0; i < settings->pool_count; i++) {
		const struct tms_pool *pool = &settings->pools[i];
		struct fst_pool_use use = next_use(fst, team, pool);

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

static void assign_hosts(struct fst *fst, int64_t offset, const char *team,
			 const struct tms *settings)
{
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++) {
		struct fst_host *host = tbl_at(fst->hosts, i);

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
		const struct tms_pool *pool = &settings->pools[i];

		for (uint32_t k = 0; k < pool->hosts.count; k++) {
			const char *name = pool->hosts.names[k];
			struct fst_host *host = fst_host(fst, name);

			if (!host) {
				host = tbl_add(fst->hosts, name);
				host->reboot_boot_id = FST_NONE;
				fst_set_state(host, FST_SERVING, offset,
					      "assigned");
			}
			if (strcmp(host->home_pool, pool->name))
				host->stays = false;
			memcpy(host->home_pool, pool->name,
			       sizeof(host->home_pool));
			if (host->state == FST_RETIRED)
				memcpy(host->pool, pool->name,
				       sizeof(host->pool));
			if (host->team[0])
				continue;
			if (host->state == FST_DRAINED)
				fst_set_state(host, FST_SERVING, offset,
					      "assigned");
			snprintf(host->team, sizeof(host->team), "%s", team);
			snprintf(host->pool, sizeof(host->pool), "%s",
				 pool->name);
		}
	}
}

/* Forgets the failures of waves that the operators resume. */
static void resume_waves(struct fst *fst, const struct fst_team *team,
			 const struct tms *settings)
{
	for (uint32_t i = 0; i < settings->wave_count; i++) {
		const struct tms_wave *wave = &settings->waves[i];
		const struct tms_wave *before =
			tms_find_wave(team->settings, wave->name);

		if (!before || wave->resume <= before->resume)
			continue;
		for (uint32_t k = 0; k < tbl_count(fst->hosts); k++) {
			struct fst_host *host = tbl_at(fst->hosts, k);

			if (!strcmp(host->team, team->name) &&
			    !strcmp(host->wave_failed, wave->name))
				host->wave_failed[0] = 0;
		}
	}
}

int fst_apply_settings(struct fst *fst, int64_t offset, const struct rec *rec,
		       struct fst_change *change, struct err *err)
{
	struct fst_team *team = fst_team(fst, rec->team);
	int64_t version = team ? team->version : FST_NONE;
	struct tms *settings;
	int status = 0;

	change->target = rec->team;
	snprintf(change->before, sizeof(change->before), "%" PRId64, version);
	snprintf(change->after, sizeof(change->after), "%" PRId64, offset);
	if (rec->base != version)
		return err_set(err, ERR_CONFLICT,
			       "based on version %" PRId64
			       ", but version %" PRId64 " is in force",
			       rec->base, version);
	if (!team && tbl_count(fst->teams) >= LIM_TEAMS)
		return err_set(err, ERR_TOO_LARGE, "more than %d teams",
			       LIM_TEAMS);
	settings = tms_parse(rec->settings, strlen(rec->settings), err);
	if (!settings)
		return err->kind;
	for (uint32_t i = 0; i < settings->pool_count && status == 0; i++)
		status = check_listed(fst, rec->team, &settings->pools[i], err);
	if (status == 0)
		status = check_removed(fst, rec->team, settings, err);
	if (status == 0)
		status = check_present_pools(fst, rec->team, settings, err);
	if (status == 0)
		status = check_budgets(fst, rec->team, settings, err);
	if (status == 0)
		status = pln_check(fst, rec->team, settings,
				   (int32_t)(rec->at_ms / MS_PER_DAY), err);
	if (status < 0) {
		tms_destroy(settings);
		return status;
	}
	if (team)
		resume_waves(fst, team, settings);
	else
		team = tbl_add(fst->teams, rec->team);
	tms_destroy(team->settings);
	team->settings = settings;
	team->version = offset;
	assign_hosts(fst, offset, rec->team, settings);
	return 0;
}
