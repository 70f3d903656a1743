/* Fleet state: members. */

#include "fleet_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

struct fleet_member *fleet_find_incarnation(const struct fleet *fleet,
					    const struct record *rec,
					    struct err *err)
{
	struct fleet_member *member = fleet_member(fleet, rec->member);

	if (!member)
		err_set(err, ERR_NOT_FOUND, "no member %s", rec->member);
	else if (member->incarnation != rec->incarnation)
		err_set(err, ERR_STATE, "incarnation %" PRId64 " is not %s's",
			rec->incarnation, rec->member);
	else
		return member;
	return NULL;
}

int fleet_apply_member(struct fleet *fleet, int64_t offset,
		       const struct record *rec, struct fleet_change *change,
		       struct err *err)
{
	struct fleet_member *member = fleet_member(fleet, rec->member);

	change->target = rec->member;
	snprintf(change->after, sizeof(change->after), "live");
	if (member && rec->incarnation < member->incarnation)
		return err_set(err, ERR_STATE,
			       "incarnation %" PRId64
			       " was replaced by %" PRId64,
			       rec->incarnation, member->incarnation);
	if (member && rec->incarnation == member->incarnation) {
		if (rec->seq <= member->seq)
			return err_set(err, ERR_DUPLICATE, "old heartbeat");
		change->silent = !member->expired;
		snprintf(change->before, sizeof(change->before), "%s",
			 member->expired ? "expired" : "live");
	} else {
		if (!member)
			member = table_add(fleet->members, rec->member);
		else
			snprintf(change->before, sizeof(change->before),
				 "replaced");
		member->incarnation = rec->incarnation;
		member->join_offset = offset;
	}
	member->seq = rec->seq;
	member->seen_offset = offset;
	member->expired = false;
	member->port = rec->port;
	memcpy(member->data_centre, rec->data_centre,
	       sizeof(member->data_centre));
	memcpy(member->address, rec->address, sizeof(member->address));
	return 0;
}

int fleet_apply_member_left(struct fleet *fleet, int64_t offset,
			    const struct record *rec,
			    struct fleet_change *change, struct err *err)
{
	(void)offset;
	change->target = rec->member;
	snprintf(change->after, sizeof(change->after), "left");
	if (!fleet_find_incarnation(fleet, rec, err))
		return err->kind;
	table_remove(fleet->members, rec->member);
	return 0;
}

int fleet_apply_member_expired(struct fleet *fleet, int64_t offset,
			       const struct record *rec,
			       struct fleet_change *change, struct err *err)
{
	struct fleet_member *member = fleet_find_incarnation(fleet, rec, err);

	(void)offset;
	change->target = rec->member;
	snprintf(change->before, sizeof(change->before), "live");
	snprintf(change->after, sizeof(change->after), "expired");
	if (!member)
		return err->kind;
	if (member->expired)
		return err_set(err, ERR_DUPLICATE, "already expired");
	if (member->seen_offset != rec->seen)
		return err_set(err, ERR_STATE,
			       "heartbeat at offset %" PRId64 " is newer",
			       member->seen_offset);
	member->expired = true;
	return 0;
}
