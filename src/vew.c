#include "vew.h"

#include "jsn.h"
#include "pln.h"

static struct json_object *team_json(const struct fst_team *team,
				     bool with_settings)
{
	struct json_object *obj = json_object_new_object();

	jsn_put_string(obj, "team", team->name);
	jsn_put_int(obj, "version", team->version);
	if (with_settings)
		json_object_object_add(
			obj, "settings",
			json_tokener_parse(team->settings->text));
	return obj;
}

struct json_object *vew_team(const struct fst *fst, const char *name)
{
	const struct fst_team *team = fst_team(fst, name);

	return team ? team_json(team, true) : NULL;
}

struct json_object *vew_teams(const struct fst *fst)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < tbl_count(fst->teams); i++)
		json_object_array_add(list,
				      team_json(tbl_at(fst->teams, i), false));
	return list;
}

static void add_pools(const struct fst *fst, const struct fst_team *team,
		      struct json_object *list)
{
	for (uint32_t i = 0; i < team->settings->pool_count; i++) {
		const char *pool = team->settings->pools[i].name;
		struct fst_pool_use use = fst_pool_use(fst, team->name, pool);
		struct json_object *obj = json_object_new_object();

		jsn_put_string(obj, "team", team->name);
		jsn_put_string(obj, "pool", pool);
		jsn_put_int(obj, "hosts", use.hosts);
		jsn_put_int(obj, "available", use.available);
		jsn_put_int(obj, "min_available", use.min_available);
		jsn_put_int(obj, "planned_out", use.planned_out);
		jsn_put_int(obj, "failed", use.failed);
		json_object_array_add(list, obj);
	}
}

struct json_object *vew_pools(const struct fst *fst)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < tbl_count(fst->teams); i++)
		add_pools(fst, tbl_at(fst->teams, i), list);
	return list;
}

static struct json_object *host_json(const struct fst *fst,
				     const struct fst_host *host)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *waits = json_object_new_array();

	jsn_put_string(obj, "host", host->name);
	jsn_put_string(obj, "team", host->team);
	jsn_put_string(obj, "pool", host->pool);
	jsn_put_string(obj, "home_pool", host->home_pool);
	jsn_put_string(obj, "state", fst_host_state_name(host->state));
	jsn_put_string(obj, "wave", host->wave);
	jsn_put_string(obj, "wave_done", host->wave_done);
	jsn_put_string(obj, "wave_failed", host->wave_failed);
	jsn_put_string(obj, "move_to", host->move_to);
	jsn_put_int(obj, "boot_id", host->boot_id);
	jsn_put_string(obj, "reason", host->reason);
	jsn_put_string(obj, "data_centre", host->data_centre);
	jsn_put_string(obj, "rack", host->rack);
	jsn_put_string(obj, "address", host->address);
	jsn_put_int(obj, "port", host->port);
	json_object_object_add(obj, "known",
			       json_object_new_boolean(host->known));
	jsn_put_int(obj, "drain", host->drain_offset);
	jsn_put_int(obj, "changed", host->changed_offset);
	for (uint32_t i = 0; i < tbl_count(fst->members); i++) {
		const struct fst_member *member = tbl_at(fst->members, i);

		if (host->state == FST_DRAINING &&
		    fst_member_needed(host, member) &&
		    !fst_is_quiet(host, member))
			json_object_array_add(
				waits, json_object_new_string(member->name));
	}
	json_object_object_add(obj, "waits_for", waits);
	return obj;
}

struct json_object *vew_host(const struct fst *fst, const char *name)
{
	const struct fst_host *host = fst_host(fst, name);

	return host ? host_json(fst, host) : NULL;
}

struct json_object *vew_hosts(const struct fst *fst)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++)
		json_object_array_add(list,
				      host_json(fst, tbl_at(fst->hosts, i)));
	return list;
}

struct json_object *vew_members(const struct fst *fst)
{
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < tbl_count(fst->members); i++) {
		const struct fst_member *member = tbl_at(fst->members, i);
		struct json_object *obj = json_object_new_object();

		jsn_put_string(obj, "member", member->name);
		jsn_put_string(obj, "data_centre", member->data_centre);
		jsn_put_string(obj, "state",
			       member->expired ? "expired" : "live");
		jsn_put_int(obj, "incarnation", member->incarnation);
		jsn_put_int(obj, "joined", member->join_offset);
		jsn_put_int(obj, "heartbeat", member->seen_offset);
		json_object_array_add(list, obj);
	}
	return list;
}

static void add_plan_row(void *arg, const struct pln_row *row)
{
	struct json_object *obj = json_object_new_object();

	jsn_put_string(obj, "team", row->team);
	jsn_put_string(obj, "wave", row->wave ? row->wave : "");
	jsn_put_string(obj, "batch", row->batch);
	jsn_put_string(obj, "host", row->host);
	jsn_put_string(obj, "state", row->state);
	jsn_put_string(obj, "why", row->text);
	json_object_array_add(arg, obj);
}

struct json_object *vew_plan(const struct fst *fst, int64_t utc_ms)
{
	struct json_object *list = json_object_new_array();

	pln_explain(fst, utc_ms, add_plan_row, list);
	return list;
}

static struct json_object *audit_json(const struct fst_audit *entry)
{
	struct json_object *obj = json_object_new_object();

	jsn_put_int(obj, "offset", entry->offset);
	jsn_put_int(obj, "at_ms", entry->at_ms);
	jsn_put_string(obj, "author", entry->author);
	jsn_put_string(obj, "action", entry->action);
	jsn_put_string(obj, "target", entry->target);
	jsn_put_string(obj, "before", entry->before);
	jsn_put_string(obj, "after", entry->after);
	jsn_put_string(obj, "result", err_name(entry->result));
	jsn_put_string(obj, "detail", entry->detail);
	return obj;
}

struct json_object *vew_audit(const struct fst *fst, int64_t from)
{
	uint32_t kept = fst->audit_count < LIM_AUDIT_ENTRIES
				? fst->audit_count
				: LIM_AUDIT_ENTRIES;
	struct json_object *list = json_object_new_array();

	for (uint32_t i = fst->audit_count - kept; i < fst->audit_count; i++) {
		const struct fst_audit *entry =
			&fst->audit[i % LIM_AUDIT_ENTRIES];

		if (entry->offset >= from)
			json_object_array_add(list, audit_json(entry));
	}
	return list;
}
