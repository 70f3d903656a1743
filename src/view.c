#include "view.h"

#include "jcursor.h"
#include "plan.h"

static struct json_object *team_json(const struct fleet_team *team,
				     bool with_settings)
{
	struct json_object *obj = json_object_new_object();

	jcursor_put_string(obj, "team", team->name);
	jcursor_put_int(obj, "version", team->version);
	if (with_settings)
		json_object_object_add(
			obj, "settings",
			json_tokener_parse(team->settings->text));
	return obj;
}

struct json_object *view_team(const struct fleet *fleet, const char *name)
{
	const struct fleet_team *team = fleet_team(fleet, name);

	return team ? team_json(team, true) : NULL;
}

struct json_object *view_teams(const struct fleet *fleet)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < table_count(fleet->teams); i++)
		json_object_array_add(
			list, team_json(table_at(fleet->teams, i), false));
	return list;
}

static void add_pools(const struct fleet *fleet, const struct fleet_team *team,
		      struct json_object *list)
{
	for (uint32_t i = 0; i < team->settings->pool_count; i++) {
		const char *pool = team->settings->pools[i].name;
		struct fleet_pool_use use =
			fleet_pool_use(fleet, team->name, pool);
		struct json_object *obj = json_object_new_object();

		jcursor_put_string(obj, "team", team->name);
		jcursor_put_string(obj, "pool", pool);
		jcursor_put_int(obj, "hosts", use.hosts);
		jcursor_put_int(obj, "available", use.available);
		jcursor_put_int(obj, "min_available", use.min_available);
		jcursor_put_int(obj, "planned_out", use.planned_out);
		jcursor_put_int(obj, "failed", use.failed);
		json_object_array_add(list, obj);
	}
}

struct json_object *view_pools(const struct fleet *fleet)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < table_count(fleet->teams); i++)
		add_pools(fleet, table_at(fleet->teams, i), list);
	return list;
}

static struct json_object *host_json(const struct fleet *fleet,
				     const struct fleet_host *host)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *waits = json_object_new_array();

	jcursor_put_string(obj, "host", host->name);
	jcursor_put_string(obj, "team", host->team);
	jcursor_put_string(obj, "pool", host->pool);
	jcursor_put_string(obj, "home_pool", host->home_pool);
	jcursor_put_string(obj, "state", fleet_host_state_name(host->state));
	jcursor_put_string(obj, "wave", host->wave);
	jcursor_put_string(obj, "wave_done", host->wave_done);
	jcursor_put_string(obj, "wave_failed", host->wave_failed);
	jcursor_put_string(obj, "move_to", host->move_to);
	jcursor_put_int(obj, "boot_id", host->boot_id);
	jcursor_put_string(obj, "reason", host->reason);
	jcursor_put_string(obj, "data_centre", host->data_centre);
	jcursor_put_string(obj, "rack", host->rack);
	jcursor_put_string(obj, "address", host->address);
	jcursor_put_int(obj, "port", host->port);
	json_object_object_add(obj, "known",
			       json_object_new_boolean(host->known));
	jcursor_put_int(obj, "drain", host->drain_offset);
	jcursor_put_int(obj, "changed", host->changed_offset);
	for (uint32_t i = 0; i < table_count(fleet->members); i++) {
		const struct fleet_member *member = table_at(fleet->members, i);

		if (host->state == FLEET_DRAINING &&
		    fleet_drain_needs_member(host, member) &&
		    !fleet_drain_confirmed(host, member))
			json_object_array_add(
				waits, json_object_new_string(member->name));
	}
	json_object_object_add(obj, "waits_for", waits);
	return obj;
}

struct json_object *view_host(const struct fleet *fleet, const char *name)
{
	const struct fleet_host *host = fleet_host(fleet, name);

	return host ? host_json(fleet, host) : NULL;
}

struct json_object *view_hosts(const struct fleet *fleet)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < table_count(fleet->hosts); i++)
		json_object_array_add(
			list, host_json(fleet, table_at(fleet->hosts, i)));
	return list;
}

struct json_object *view_members(const struct fleet *fleet)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < table_count(fleet->members); i++) {
		const struct fleet_member *member = table_at(fleet->members, i);
		struct json_object *obj = json_object_new_object();

		jcursor_put_string(obj, "member", member->name);
		jcursor_put_string(obj, "data_centre", member->data_centre);
		jcursor_put_string(obj, "state",
				   member->expired ? "expired" : "live");
		jcursor_put_int(obj, "incarnation", member->incarnation);
		jcursor_put_int(obj, "joined", member->join_offset);
		jcursor_put_int(obj, "heartbeat", member->seen_offset);
		json_object_array_add(list, obj);
	}
	return list;
}

static void add_plan_row(void *arg, const struct plan_row *row)
{
	struct json_object *obj = json_object_new_object();

	jcursor_put_string(obj, "team", row->team);
	jcursor_put_string(obj, "wave", row->wave ? row->wave : "");
	jcursor_put_string(obj, "batch", row->batch);
	jcursor_put_string(obj, "host", row->host);
	jcursor_put_string(obj, "state", row->state);
	jcursor_put_string(obj, "why", row->text);
	json_object_array_add(arg, obj);
}

struct json_object *view_plan(const struct fleet *fleet, int64_t utc_ms)
{
	struct json_object *list = json_object_new_array();

	plan_explain(fleet, utc_ms, add_plan_row, list);
	return list;
}

static struct json_object *audit_json(const struct fleet_audit *entry)
{
	struct json_object *obj = json_object_new_object();

	jcursor_put_int(obj, "offset", entry->offset);
	jcursor_put_int(obj, "at_ms", entry->at_ms);
	jcursor_put_string(obj, "author", entry->author);
	jcursor_put_string(obj, "action", entry->action);
	jcursor_put_string(obj, "target", entry->target);
	jcursor_put_string(obj, "before", entry->before);
	jcursor_put_string(obj, "after", entry->after);
	jcursor_put_string(obj, "result", err_name(entry->result));
	jcursor_put_string(obj, "detail", entry->detail);
	return obj;
}

struct json_object *view_audit(const struct fleet *fleet, int64_t from)
{
	uint32_t kept = fleet->audit_count < LIMIT_AUDIT_ENTRIES
				? fleet->audit_count
				: LIMIT_AUDIT_ENTRIES;
	struct json_object *list = json_object_new_array();

	for (uint32_t i = fleet->audit_count - kept; i < fleet->audit_count;
	     i++) {
		const struct fleet_audit *entry =
			&fleet->audit[i % LIMIT_AUDIT_ENTRIES];

		if (entry->offset >= from)
			json_object_array_add(list, audit_json(entry));
	}
	return list;
}
