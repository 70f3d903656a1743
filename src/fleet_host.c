/* Fleet state: hosts, with their drains, reboots and failures. */

#include "fleet_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void fleet_set_state(struct fleet_host *host, enum fleet_host_state state,
		     int64_t offset, const char *reason)
{
	host->state = state;
	host->failed_by_operator = false;
	host->changed_offset = offset;
	snprintf(host->reason, sizeof(host->reason), "%s", reason);
	if (state == FLEET_DRAINING || state == FLEET_DRAINED)
		return;
	free(host->quiet);
	host->quiet = NULL;
	host->quiet_count = 0;
	if (state == FLEET_REBOOTING || state == FLEET_RETIRED)
		return;
	host->drain_offset = FLEET_NONE;
	host->move_to[0] = 0;
	/* A host that failed in its reboot keeps its wave: it completes the
	   wave when it returns, even if the wave was resumed meanwhile. */
	if (state != FLEET_FAILED || host->reboot_boot_id == FLEET_NONE)
		host->wave[0] = 0;
}

int fleet_apply_host(struct fleet *fleet, int64_t offset,
		     const struct record *rec, struct fleet_change *change,
		     struct err *err)
{
	struct fleet_host *host = fleet_host(fleet, rec->host);

	change->target = rec->host;
	snprintf(change->after, sizeof(change->after), "%s:%" PRId64,
		 rec->address, rec->port);
	if (host && host->known)
		snprintf(change->before, sizeof(change->before), "%s:%" PRId64,
			 host->address, host->port);
	if (!host) {
		if (table_count(fleet->hosts) >= LIMIT_HOSTS)
			return err_set(err, ERR_TOO_LARGE, "more than %d hosts",
				       LIMIT_HOSTS);
		host = table_add(fleet->hosts, rec->host);
		host->reboot_boot_id = FLEET_NONE;
		fleet_set_state(host, FLEET_SERVING, offset, "listed");
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

static struct fleet_host *
host_in_state(const struct fleet *fleet, const struct record *rec,
	      uint32_t states, struct fleet_change *change, struct err *err)
{
	struct fleet_host *host = fleet_host(fleet, rec->host);

	change->target = rec->host;
	if (!host) {
		err_set(err, ERR_NOT_FOUND, "no host %s", rec->host);
		return NULL;
	}
	snprintf(change->before, sizeof(change->before), "%s",
		 fleet_host_state_name(host->state));
	if (states & (1u << host->state))
		return host;
	err_set(err, ERR_STATE, "host %s is %s", host->name,
		fleet_host_state_name(host->state));
	return NULL;
}

static bool has_pool(const struct fleet *fleet, const struct fleet_host *host,
		     const char *pool)
{
	const struct fleet_team *team = fleet_team(fleet, host->team);

	return team && teamconf_find_pool(team->settings, pool);
}

int fleet_apply_drain(struct fleet *fleet, int64_t offset,
		      const struct record *rec, struct fleet_change *change,
		      struct err *err)
{
	struct fleet_host *host =
		host_in_state(fleet, rec, 1u << FLEET_SERVING, change, err);
	struct fleet_pool_use use;

	if (!host)
		return err->kind;
	if (rec->move_to[0] && !has_pool(fleet, host, rec->move_to))
		return err_set(err, ERR_NOT_FOUND, "no pool %s in team \"%s\"",
			       rec->move_to, host->team);
	if (host->team[0]) {
		use = fleet_pool_use(fleet, host->team, host->pool);
		if (use.available <
		    use.min_available +
			    fleet_host_counts_available(fleet, host))
			return err_set(err, ERR_BUDGET,
				       "pool %s/%s has %u of %u hosts "
				       "available and needs %u",
				       host->team, host->pool, use.available,
				       use.hosts, use.min_available);
	}
	fleet_set_state(host, FLEET_DRAINING, offset, rec->reason);
	host->drain_offset = offset;
	memcpy(host->wave, rec->wave, sizeof(host->wave));
	memcpy(host->move_to, rec->move_to, sizeof(host->move_to));
	host->keep_in_pool = rec->by_operator && rec->move_to[0];
	change->detail = host->reason;
	return 0;
}

int fleet_apply_quiet(struct fleet *fleet, int64_t offset,
		      const struct record *rec, struct fleet_change *change,
		      struct err *err)
{
	struct fleet_host *host =
		host_in_state(fleet, rec, 1u << FLEET_DRAINING, change, err);
	struct fleet_member *member;
	struct fleet_quiet *quiet;

	(void)offset;
	change->silent = true;
	if (!host)
		return err->kind;
	member = fleet_find_incarnation(fleet, rec, err);
	if (!member)
		return err->kind;
	if (host->drain_offset != rec->drain)
		return err_set(err, ERR_STATE,
			       "drain at offset %" PRId64 " is in force",
			       host->drain_offset);
	if (fleet_drain_confirmed(host, member))
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

int fleet_apply_undrain(struct fleet *fleet, int64_t offset,
			const struct record *rec, struct fleet_change *change,
			struct err *err)
{
	struct fleet_host *host = host_in_state(
		fleet, rec, 1u << FLEET_DRAINING | 1u << FLEET_DRAINED, change,
		err);

	if (!host)
		return err->kind;
	host->keep_in_pool = false;
	fleet_set_state(host, FLEET_SERVING, offset, rec->reason);
	change->detail = host->reason;
	return 0;
}

/* Host for a record that is valid only for the drain that its author saw. */
static struct fleet_host *drained_host(const struct fleet *fleet,
				       const struct record *rec,
				       struct fleet_change *change,
				       struct err *err)
{
	struct fleet_host *host =
		host_in_state(fleet, rec, 1u << FLEET_DRAINED, change, err);

	if (host && host->drain_offset != rec->drain) {
		err_set(err, ERR_STATE,
			"drain at offset %" PRId64 " is in force",
			host->drain_offset);
		return NULL;
	}
	return host;
}

int fleet_apply_reboot(struct fleet *fleet, int64_t offset,
		       const struct record *rec, struct fleet_change *change,
		       struct err *err)
{
	struct fleet_host *host = drained_host(fleet, rec, change, err);

	if (!host)
		return err->kind;
	fleet_set_state(host, FLEET_REBOOTING, offset, "reboot");
	host->reboot_boot_id = host->boot_id;
	return 0;
}

int fleet_apply_retire(struct fleet *fleet, int64_t offset,
		       const struct record *rec, struct fleet_change *change,
		       struct err *err)
{
	struct fleet_host *host = drained_host(fleet, rec, change, err);

	if (!host)
		return err->kind;
	if (host->wave[0])
		memcpy(host->wave_done, host->wave, sizeof(host->wave_done));
	fleet_set_state(host, FLEET_RETIRED, offset, "retired");
	return 0;
}

int fleet_apply_assign(struct fleet *fleet, int64_t offset,
		       const struct record *rec, struct fleet_change *change,
		       struct err *err)
{
	struct fleet_host *host = drained_host(fleet, rec, change, err);

	if (!host)
		return err->kind;
	if (!has_pool(fleet, host, rec->pool))
		return err_set(err, ERR_NOT_FOUND, "no pool %s in team \"%s\"",
			       rec->pool, host->team);
	memcpy(change->before, host->pool, sizeof(change->before));
	memcpy(change->after, rec->pool, sizeof(change->after));
	memcpy(host->pool, rec->pool, sizeof(host->pool));
	fleet_set_state(host, FLEET_SERVING, offset, "assigned");
	return 0;
}

int fleet_apply_return(struct fleet *fleet, int64_t offset,
		       const struct record *rec, struct fleet_change *change,
		       struct err *err)
{
	struct fleet_host *host = host_in_state(
		fleet, rec, 1u << FLEET_REBOOTING | 1u << FLEET_FAILED, change,
		err);

	bool booted;

	if (!host)
		return err->kind;
	booted = host->reboot_boot_id != FLEET_NONE &&
		 host->boot_id > host->reboot_boot_id;
	if (host->state == FLEET_REBOOTING && !booted && !rec->by_operator)
		return err_set(err, ERR_STATE,
			       "host %s has boot_id %" PRId64
			       " as at its reboot",
			       host->name, host->boot_id);
	/* A host that failed in its reboot and booted later has completed the
	   wave without another reboot. */
	if (host->wave[0] && (booted || host->state == FLEET_REBOOTING))
		memcpy(host->wave_done, host->wave, sizeof(host->wave_done));
	host->reboot_boot_id = FLEET_NONE;
	fleet_set_state(host, FLEET_SERVING, offset, rec->reason);
	change->detail = host->reason;
	return 0;
}

/* Whether other hosts have yet to complete the wave that a host completed. */
static bool wave_in_progress(const struct fleet *fleet,
			     const struct fleet_host *host)
{
	const struct fleet_team *team = fleet_team(fleet, host->team);
	const struct teamconf_wave *wave =
		team ? teamconf_find_wave(team->settings, host->wave_done)
		     : NULL;
	const struct teamconf_batch *batch =
		wave ? teamconf_find_batch(team->settings, wave->batch) : NULL;

	for (uint32_t i = 0; batch && i < batch->hosts.count; i++) {
		const struct fleet_host *other =
			fleet_host(fleet, batch->hosts.names[i]);

		if (other && other->state != FLEET_RETIRED &&
		    strcmp(other->wave_done, wave->name))
			return true;
	}
	return false;
}

int fleet_apply_fail(struct fleet *fleet, int64_t offset,
		     const struct record *rec, struct fleet_change *change,
		     struct err *err)
{
	struct fleet_host *host = host_in_state(
		fleet, rec,
		1u << FLEET_SERVING | 1u << FLEET_DRAINING |
			1u << FLEET_DRAINED | 1u << FLEET_REBOOTING,
		change, err);

	if (!host)
		return err->kind;
	if (host->state == FLEET_REBOOTING)
		memcpy(host->wave_failed, host->wave,
		       sizeof(host->wave_failed));
	else if (host->wave_done[0] && wave_in_progress(fleet, host))
		memcpy(host->wave_failed, host->wave_done,
		       sizeof(host->wave_failed));
	fleet_set_state(host, FLEET_FAILED, offset, rec->reason);
	host->failed_by_operator = rec->by_operator;
	change->detail = host->reason;
	return 0;
}
