/*
 * NAME
 *	fleet_int - internal interface of the fleet state's source files
 *
 * Only the fleet files include this header.
 */
#ifndef FLEET_INT_H
#define FLEET_INT_H

#include "fleet.h"

/* A handler's description of a record's effect, for the audit trail. */
struct fleet_change {
	const char *target;
	char before[LIMIT_NAME_BYTES];
	char after[LIMIT_NAME_BYTES];
	const char *detail;
	bool silent; /* heartbeats and confirmations are not audited */
};

/*
 * Handler of one record type: checks the record against the state, changes the
 * state if the record is accepted, and fills in change in either case.
 */
typedef int fleet_apply_fn(struct fleet *fleet, int64_t offset,
			   const struct record *rec,
			   struct fleet_change *change, struct err *err);

fleet_apply_fn fleet_apply_settings;
fleet_apply_fn fleet_apply_host;
fleet_apply_fn fleet_apply_member;
fleet_apply_fn fleet_apply_member_left;
fleet_apply_fn fleet_apply_member_expired;
fleet_apply_fn fleet_apply_drain;
fleet_apply_fn fleet_apply_quiet;
fleet_apply_fn fleet_apply_undrain;
fleet_apply_fn fleet_apply_reboot;
fleet_apply_fn fleet_apply_return;
fleet_apply_fn fleet_apply_fail;
fleet_apply_fn fleet_apply_retire;
fleet_apply_fn fleet_apply_assign;

/* fleet_set_state - change a host's state; ends its drain if the state does */
void fleet_set_state(struct fleet_host *host, enum fleet_host_state state,
		     int64_t offset, const char *reason);

/*
 * fleet_find_incarnation - member that a record names
 *
 * RETURN VALUE
 *	The member, or NULL with err filled in if it is unknown or its
 *	incarnation is not the record's.
 */
struct fleet_member *fleet_find_incarnation(const struct fleet *fleet,
					    const struct record *rec,
					    struct err *err);

#endif
