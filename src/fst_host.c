/* Fleet state: hosts, their drains, reboots and failures. */

#include "fst_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void fst_set_state(struct fst_host *host, enum fst_host_state state,
		   int64_t offset, const char *reason)
{
	host->state = state;
	host->failed_by_operator = false;
	host->changed_offset = offset;
	snprintf(host->reason, sizeof(host->reason), "%s", reason);
	if (state == FST_DRAINING || state == FST_DRAINED)
		return;
	free(host->quiet);
	host->quiet = NULL;
	host->quiet_count = 0;
	if (state == FST_REBOOTING || state == FST_RETIRED)
		return;
	host->drain_offset = FST_NONE;
	host->move_to[0] = 0;
	/* One that has not come back from its reboot keeps the wave, which it
	   completes when it returns, even if the wave was resumed meanwhile. */
	if (state != FST_FAILED || host->reboot_boot_id == FST_NONE)
		host->wave[0] = 0;
}

int fst_apply_host(struct fst *fst, int64_t offset, const struct rec *rec,
		   struct fst_change *change, struct err *err)
{
	struct fst_host *host = fst_host(fst, rec->host);

	change->target = rec->host;
	snprintf(change->after, sizeof(change->after), "%s:%" PRId64,
		 rec->address, rec->port);
	if (host && host->known)
		snprintf(change->before, sizeof(change->before), "%s:%" PRId64,
			 host->address, host->port);
	if (!host) {
		if (tbl_count(fst->hosts) >= LIM_HOSTS)
			return err_set(err, ERR_TOO_LARGE, "more than %d hosts",
				       LIM_HOSTS);
		host = tbl_add(fst->hosts, rec->host);
		host->reboot_boot_id = FST_NONE;
		fst_set_state(host, FST_SERVING, offset, "listed");
	}
	host->known = true;
	memcpy(host->data_centre, rec->data_centre, sizeof(host->data_centre));
	memcpy(host->rack, rec->rack, sizeof(host->rack));
	memcpy(host->address, rec->address, sizeof(host->address));
	host->port = rec->port;
	host->cpu_milli = rec->cpu_milli;
	host->mem_mib = rec->mem_mib;
	host->accelerators = rec->accelerators;
	host->slots = rec->slots;
	host->connections = rec->connections;
	host->boot_id = rec->boot_id;
	return 0;
}

static struct fst_host *host_in(const struct fst *fst, const struct rec *rec,
				uint32_t states, struct fst_change *change,
				struct err *err)
{
	struct fst_host *host = fst_host(fst, rec->host);

	change->target = rec->host;
	if (!host) {
		err_set(err, ERR_NOT_FOUND, "no host %s", rec->host);
		return NULL;
	}
	snprintf(change->before, sizeof(change->before), "%s",
		 fst_host_state_name(host->state));
	if (states & (1u << host->state))
		return host;
	err_set(err, ERR_STATE, "host %s is %s", host->name,
		fst_host_state_name(host->state));
	return NULL;
}

static bool has_pool(const struct fst *fst, const struct fst_host *host,
		     const char *pool)
{
	const struct fst_team *team = fst_team(fst, host->team);

	return team && tms_find_pool(team->settings, pool);
}

int fst_apply_drain(struct fst *fst, int64_t offset, const struct rec *rec,
		    struct fst_change *change, struct err *err)
{
	struct fst_host *host =
		host_in(fst, rec, 1u << FST_SERVING, change, err);
	struct fst_pool_use use;

	if (!host)
		return err->kind;
	if (rec->move_to[0] && !has_pool(fst, host, rec->move_to))
		return err_set(err, ERR_NOT_FOUND, "no pool %s in team \"%s\"",
			       rec->move_to, host->team);
	if (host->team[0]) {
		use = fst_pool_use(fst, host->team, host->pool);
		if (use.available <
		    use.min_available + fst_host_counts(fst, host))
			return err_set(err, ERR_BUDGET,
				       "pool %s/%s has %u of %u hosts "
				       "available and needs %u",
				       host->team, host->pool, use.available,
				       use.hosts, use.min_available);
	}
	fst_set_state(host, FST_DRAINING, offset, rec->reason);
	host->drain_offset = offset;
	memcpy(host->wave, rec->wave, sizeof(host->wave));
	memcpy(host->move_to, rec->move_to, sizeof(host->move_to));
	host->stays = rec->by_operator && rec->move_to[0];
	change->detail = host->reason;
	return 0;
}

int fst_apply_quiet(struct fst *fst, int64_t offset, const struct rec *rec,
		    struct fst_change *change, struct err *err)
{
	struct fst_host *host =
		host_in(fst, rec, 1u << FST_DRAINING, change, err);
	struct fst_member *member;
	struct fst_quiet *quiet;

	(void)offset;
	change->silent = true;
	if (!host)
		return err->kind;
	member = fst_same_incarnation(fst, rec, err);
	if (!member)
		return err->kind;
	if (host->drain_offset != rec->drain)
		return err_set(err, ERR_STATE,
			       "drain at offset %" PRId64 " is in force",
			       host->drain_offset);
	if (fst_is_quiet(host, member))
		return err_set(err, ERR_DUPLICATE, "already confirmed");
	quiet = realloc(host->quiet,
			(host->quiet_count + 1) * sizeof(*host->quiet));
	if (!quiet)
		return err_set(err, ERR_NO_MEMORY, "out of memory");
	host->quiet = quiet;
	quiet = &host->quiet[host->quiet_count++];
	memcpy(quiet->member, member->name, sizeof(quiet->member));
	quiet->incarnation = member->incarnation;
	return 0;
}

int fst_apply_undrain(struct fst *fst, int64_t offset, const struct rec *rec,
		      struct fst_change *change, struct err *err)
{
	struct fst_host *host = host_in(
		fst, rec, 1u << FST_DRAINING | 1u << FST_DRAINED, change, err);

	if (!host)
		return err->kind;
	host->stays = false;
	fst_set_state(host, FST_SERVING, offset, rec->reason);
	change->detail = host->reason;
	return 0;
}

/* Reboot and retirement need the drain that the author saw to be in force. */
static struct fst_host *drained_host(const struct fst *fst,
				     const struct rec *rec,
				     struct fst_change *change, struct err *err)
{
	struct fst_host *host =
		host_in(fst, rec, 1u << FST_DRAINED, change, err);

	if (host && host->drain_offset != rec->drain) {
		err_set(err, ERR_STATE,
			"drain at offset %" PRId64 " is in force",
			host->drain_offset);
		return NULL;
	}
	return host;
}

int fst_apply_reboot(struct fst *fst, int64_t offset, const struct rec *rec,
		     struct fst_change *change, struct err *err)
{
	struct fst_host *host = drained_host(fst, rec, change, err);

	if (!host)
		return err->kind;
	fst_set_state(host, FST_REBOOTING, offset, "reboot");
	host->reboot_boot_id = host->boot_id;
	return 0;
}

int fst_apply_retire(struct fst *fst, int64_t offset, const struct rec *rec,
		     struct fst_change *change, struct err *err)
{
	struct fst_host *host = drained_host(fst, rec, change, err);

	if (!host)
		return err->kind;
	if (host->wave[0])
		memcpy(host->wave_done, host->wave, sizeof(host->wave_done));
	fst_set_state(host, FST_RETIRED, offset, "retired");
	return 0;
}

int fst_apply_assign(struct fst *fst, int64_t offset, const struct rec *rec,
		     struct fst_change *change, struct err *err)
{
	struct fst_host *host = drained_host(fst, rec, change, err);

	if (!host)
		return err->kind;
	if (!has_pool(fst, host, rec->pool))
		return err_set(err, ERR_NOT_FOUND, "no pool %s in team \"%s\"",
			       rec->pool, host->team);
	memcpy(change->before, host->pool, sizeof(change->before));
	memcpy(change->after, rec->pool, sizeof(change->after));
	memcpy(host->pool, rec->pool, sizeof(host->pool));
	fst_set_state(host, FST_SERVING, offset, "assigned");
	return 0;
}

int fst_apply_return(struct fst *fst, int64_t offset, const struct rec *rec,
		     struct fst_change *change, struct err *err)
{
	struct fst_host *host = host_in(
		fst, rec, 1u << FST_REBOOTING | 1u << FST_FAILED, change, err);

	bool booted;

	if (!host)
		return err->kind;
	booted = host->reboot_boot_id != FST_NONE &&
		 host->boot_id > host->reboot_boot_id;
	if (host->state == FST_REBOOTING && !booted && !rec->by_operator)
		return err_set(err, ERR_STATE,
			       "host %s has boot_id %" PRId64
			       " as at its reboot",
			       host->name, host->boot_id);
	/* One that failed in its reboot and came back later needs no other. */
	if (host->wave[0] && (booted || host->state == FST_REBOOTING))
		memcpy(host->wave_done, host->wave, sizeof(host->wave_done));
	host->reboot_boot_id = FST_NONE;
	fst_set_state(host, FST_SERVING, offset, rec->reason);
	change->detail = host->reason;
	return 0;
}

/* Whether the wave that a host has completed has others to do. */
static bool wave_goes_on(const struct fst *fst, const struct fst_host *host)
{
	const struct fst_team *team = fst_team(fst, host->team);
	const struct tms_wave *wave =
		team ? tms_find_wave(team->settings, host->wave_done) : NULL;
	const struct tms_batch *batch =
		wave ? tms_find_batch(team->settings, wave->batch) : NULL;

	for (uint32_t i = 0; batch && i < batch->hosts.count; i++) {
		const struct fst_host *other =
			fst_host(fst, batch->hosts.names[i]);

		if (other && other->state != FST_RETIRED &&
		    strcmp(other->wave_done, wave->name))
			return true;
	}
	return false;
}

int fst_apply_fail(struct fst *fst, int64_t offset, const struct rec *rec,
		   struct fst_change *change, struct err *err)
{
	struct fst_host *host =
		host_in(fst, rec,
			1u << FST_SERVING | 1u << FST_DRAINING |
				1u << FST_DRAINED | 1u << FST_REBOOTING,
			change, err);

	if (!host)
		return err->kind;
	if (host->state == FST_REBOOTING)
		memcpy(host->wave_failed, host->wave,
		       sizeof(host->wave_failed));
	else if (host->wave_done[0] && wave_goes_on(fst, host))
		memcpy(host->wave_failed, host->wave_done,
		       sizeof(host->wave_failed));
	fst_set_state(host, FST_FAILED, offset, rec->reason);
	host->failed_by_operator = rec->by_operator;
	change->detail = host->reason;
	return 0;
}
