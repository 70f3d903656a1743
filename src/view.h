/*
 * NAME
 *	view - the fleet state as JSON, for the operators' interface
 *
 * Each function returns a new value that the caller releases with
 * json_object_put.
 */
#ifndef VIEW_H
#define VIEW_H

#include <stdint.h>

#include <json-c/json.h>

#include "fleet.h"

/* view_team, view_host - one entity by name; NULL if there is none */
struct json_object *view_team(const struct fleet *fleet, const char *name);
struct json_object *view_host(const struct fleet *fleet, const char *name);

/* Lists of all entities, in the order of the fleet state's tables. */
struct json_object *view_teams(const struct fleet *fleet);
struct json_object *view_pools(const struct fleet *fleet);
struct json_object *view_hosts(const struct fleet *fleet);
struct json_object *view_members(const struct fleet *fleet);

/* view_plan - state of each host of each wave, and the alarms */
struct json_object *view_plan(const struct fleet *fleet, int64_t utc_ms);

/* view_audit - stored entries of the audit trail from an offset on */
struct json_object *view_audit(const struct fleet *fleet, int64_t from);

#endif
