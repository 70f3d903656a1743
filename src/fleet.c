#include "fleet_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[FLEET_HOST_STATE_COUNT] = {
	[FLEET_SERVING] = "serving", [FLEET_DRAINING] = "draining",
	[FLEET_DRAINED] = "drained", [FLEET_REBOOTING] = "rebooting",
	[FLEET_FAILED] = "failed",   [FLEET_RETIRED] = "retired",
};

const char *fleet_host_state_name(enum fleet_host_state state)
{
	return state < FLEET_HOST_STATE_COUNT ? state_names[state] : "unknown";
}

struct fleet *fleet_create(void)
{
	struct fleet *fleet = calloc(1, sizeof(*fleet));

	if (!fleet)
		return NULL;
	fleet->teams = table_create(sizeof(struct fleet_team));
	fleet->hosts = table_create(sizeof(struct fleet_host));
	fleet->members = table_create(sizeof(struct fleet_member));
	return fleet;
}

void fleet_destroy(struct fleet *fleet)
{
	if (!fleet)
		return;
	for (uint32_t i = 0; i < table_count(fleet->teams); i++)
		teamconf_destroy(
			((struct fleet_team *)table_at(fleet->teams, i))
				->settings);
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++)
		free(((struct fleet_host *)table_at(fleet->hosts, i))->quiet);
	table_destroy(fleet->teams);
	table_destroy(fleet->hosts);
	table_destroy(fleet->members);
	free(fleet);
}

struct fleet_host *fleet_host(const struct fleet *fleet, const char *name)
{
	return table_find(fleet->hosts, name);
}

struct fleet_team *fleet_team(const struct fleet *fleet, const char *name)
{
	return table_find(fleet->teams, name);
}

struct fleet_member *fleet_member(const struct fleet *fleet, const char *name)
{
	return table_find(fleet->members, name);
}

bool fleet_host_available(const struct fleet_host *host)
{
	return host->state == FLEET_SERVING && host->known;
}

bool fleet_data_centre_reachable(const struct fleet *fleet,
				 const char *data_centre)
{
	bool expired = false;

	for (uint32_t i = 0; i < table_count(fleet->members); i++) {
		const struct fleet_member *member = table_at(fleet->members, i);

		if (strcmp(member->data_centre, data_centre))
			continue;
		if (!member->expired)
			return true;
		expired = true;
	}
	return !expired;
}

bool fleet_host_counts_available(const struct fleet *fleet,
				 const struct fleet_host *host)
{
	return fleet_host_available(host) &&
	       fleet_data_centre_reachable(fleet, host->data_centre);
}

struct fleet_pool_use fleet_pool_use(const struct fleet *fleet,
				     const char *team_name,
				     const char *pool_name)
{
	const struct fleet_team *team = fleet_team(fleet, team_name);
	const struct teamconf_pool *pool =
		team ? teamconf_find_pool(team->settings, pool_name) : NULL;
	struct fleet_pool_use use = { 0 };

	if (pool)
		use.min_available = pool->min_available;
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);

		if (strcmp(host->team, team_name) ||
		    strcmp(host->pool, pool_name))
			continue;
		use.hosts++;
		use.available += fleet_host_counts_available(fleet, host);
		use.failed += host->state == FLEET_FAILED;
		use.planned_out += host->state == FLEET_DRAINING ||
				   host->state == FLEET_DRAINED ||
				   host->state == FLEET_REBOOTING;
	}
	return use;
}

bool fleet_drain_needs_member(const struct fleet_host *host,
			      const struct fleet_member *member)
{
	if (member->join_offset > host->drain_offset)
		return false;
	return !member->expired ||
	       !strcmp(member->data_centre, host->data_centre);
}

bool fleet_drain_confirmed(const struct fleet_host *host,
			   const struct fleet_member *member)
{
	for (uint32_t i = 0; i < host->quiet_count; i++)
		if (!strcmp(host->quiet[i].member, member->name) &&
		    host->quiet[i].incarnation == member->incarnation)
			return true;
	return false;
}

static void add_audit(struct fleet *fleet, int64_t offset,
		      const struct record *rec, const char *action,
		      const struct fleet_change *change, int result,
		      const char *detail)
{
	struct fleet_audit *entry =
		&fleet->audit[fleet->audit_count++ % LIMIT_AUDIT_ENTRIES];

	*entry = (struct fleet_audit){
		.offset = offset,
		.at_ms = rec->at_ms,
		.result = result,
	};
	snprintf(entry->author, sizeof(entry->author), "%s", rec->author);
	snprintf(entry->action, sizeof(entry->action), "%s", action);
	snprintf(entry->target, sizeof(entry->target), "%s", change->target);
	snprintf(entry->before, sizeof(entry->before), "%s", change->before);
	snprintf(entry->after, sizeof(entry->after), "%s", change->after);
	/* Plain truncation could split a UTF-8 character, and the invalid text
	   would make every later snapshot unreadable. */
	err_copy_text(entry->detail, sizeof(entry->detail), detail);
}

static bool all_confirmed(const struct fleet *fleet,
			  const struct fleet_host *host)
{
	for (uint32_t i = 0; i < table_count(fleet->members); i++) {
		const struct fleet_member *member = table_at(fleet->members, i);

		if (fleet_drain_needs_member(host, member) &&
		    !fleet_drain_confirmed(host, member))
			return false;
	}
	return true;
}

/* Marks draining hosts as drained once all needed members have confirmed. */
static void finish_drains(struct fleet *fleet, int64_t offset,
			  const struct record *rec)
{
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		struct fleet_host *host = table_at(fleet->hosts, i);
		struct fleet_change change = { .target = host->name };

		if (host->state != FLEET_DRAINING ||
		    !all_confirmed(fleet, host))
			continue;
		fleet_set_state(host, FLEET_DRAINED, offset,
				"no requests in progress");
		fleet->changes++;
		snprintf(change.before, sizeof(change.before), "draining");
		snprintf(change.after, sizeof(change.after), "drained");
		add_audit(fleet, offset, rec, "drained", &change, ERR_OK,
			  host->reason);
	}
}

static fleet_apply_fn *const handlers[RECORD_TYPE_COUNT] = {
	[RECORD_SETTINGS] = fleet_apply_settings,
	[RECORD_HOST] = fleet_apply_host,
	[RECORD_MEMBER] = fleet_apply_member,
	[RECORD_MEMBER_LEFT] = fleet_apply_member_left,
	[RECORD_MEMBER_EXPIRED] = fleet_apply_member_expired,
	[RECORD_DRAIN] = fleet_apply_drain,
	[RECORD_QUIET] = fleet_apply_quiet,
	[RECORD_UNDRAIN] = fleet_apply_undrain,
	[RECORD_REBOOT] = fleet_apply_reboot,
	[RECORD_RETURN] = fleet_apply_return,
	[RECORD_FAIL] = fleet_apply_fail,
	[RECORD_RETIRE] = fleet_apply_retire,
	[RECORD_ASSIGN] = fleet_apply_assign,
};

static bool has_id(const struct fleet *fleet, const char *id)
{
	uint32_t kept = fleet->id_count < LIMIT_RECORD_IDS ? fleet->id_count
							   : LIMIT_RECORD_IDS;

	for (uint32_t i = 0; i < kept; i++)
		if (!strcmp(fleet->ids[i], id))
			return true;
	return false;
}

static void store_id(struct fleet *fleet, const char *id)
{
	memcpy(fleet->ids[fleet->id_count++ % LIMIT_RECORD_IDS], id,
	       LIMIT_ID_BYTES);
}

int fleet_apply(struct fleet *fleet, int64_t offset, const struct record *rec,
		struct err *err)
{
	struct fleet_change change = { .detail = "" };
	struct err fault = { .kind = ERR_OK };
	int status;

	if (offset < fleet->next)
		return err_set(err, ERR_GONE,
			       "offset %" PRId64 " was applied before", offset);
	fleet->next = offset + 1;
	if (!rec)
		return err_set(err, ERR_INVALID, "record not valid");
	/* Heartbeats are deduplicated by seq, so their ids are not stored. */
	if (rec->type != RECORD_MEMBER) {
		if (has_id(fleet, rec->id))
			return err_set(err, ERR_DUPLICATE,
				       "id was applied before");
		store_id(fleet, rec->id);
	}
	status = handlers[rec->type](fleet, offset, rec, &change, &fault);
	/* A heartbeat of a live member cannot complete a drain. Skipping the
	   scan of all hosts removes most of the cost of such a record. */
	if (status == 0 && !(rec->type == RECORD_MEMBER && change.silent))
		finish_drains(fleet, offset, rec);
	if (status == 0 && !change.silent)
		fleet->changes++;
	if (status != ERR_DUPLICATE && !change.silent)
		add_audit(fleet, offset, rec, record_type_name(rec->type),
			  &change, status, status ? fault.text : change.detail);
	if (status && err)
		*err = fault;
	return status;
}
