/*
 * NAME
 *	fst_int - what the parts of the fleet state share among themselves
 *
 * Only the fst files include this header.
 */
#ifndef FST_INT_H
#define FST_INT_H

#include "fst.h"

/* What a handler tells about an accepted record, for the audit trail. */
struct fst_change {
	const char *target;
	char before[LIM_NAME_BYTES];
	char after[LIM_NAME_BYTES];
	const char *detail;
	bool silent; /* heartbeats and confirmations are not audited */
};

/*
 * Applies one type of record: checks it against the state, changes the state
 * if it is accepted, and fills in change for the audit trail in either case.
 */
typedef int fst_apply_fn(struct fst *fst, int64_t offset, const struct rec *rec,
			 struct fst_change *change, struct err *err);

fst_apply_fn fst_apply_settings;
fst_apply_fn fst_apply_host;
fst_apply_fn fst_apply_member;
fst_apply_fn fst_apply_member_left;
fst_apply_fn fst_apply_member_expired;
fst_apply_fn fst_apply_drain;
fst_apply_fn fst_apply_quiet;
fst_apply_fn fst_apply_undrain;
fst_apply_fn fst_apply_reboot;
fst_apply_fn fst_apply_return;
fst_apply_fn fst_apply_fail;
fst_apply_fn fst_apply_retire;
fst_apply_fn fst_apply_assign;

/* fst_set_state - change a host's state; ends its drain where that applies */
void fst_set_state(struct fst_host *host, enum fst_host_state state,
		   int64_t offset, const char *reason);

/* fst_same_incarnation - the record's member, or NULL with err filled in */
struct fst_member *fst_same_incarnation(const struct fst *fst,
					const struct rec *rec, struct err *err);

#endif
