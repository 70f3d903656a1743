/*
 * NAME
 *	vew - the fleet state as JSON, for the operators' interface
 *
 * Each function returns a new value that the caller releases with
 * json_object_put.
 */
#ifndef VEW_H
#define VEW_H

#include <stdint.h>

#include <json-c/json.h>

#include "fleet.h"

/* vew_team, vew_host - one entity by name; NULL if there is none */
struct json_object *vew_team(const struct fleet *fleet, const char *name);
struct json_object *vew_host(const struct fleet *fleet, const char *name);

/* Lists of all entities, in the order of the state's tables. */
struct json_object *vew_teams(const struct fleet *fleet);
struct json_object *vew_pools(const struct fleet *fleet);
struct json_object *vew_hosts(const struct fleet *fleet);
struct json_object *vew_members(const struct fleet *fleet);

/* vew_plan - waves: each host, due or why not; and the alarms */
struct json_object *vew_plan(const struct fleet *fleet, int64_t utc_ms);

/* vew_audit - entries kept of the audit trail from an offset on */
struct json_object *vew_audit(const struct fleet *fleet, int64_t from);

#endif
