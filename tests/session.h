/*
 * NAME
 *	session - replays a session of the fleet stream with several entry hosts
 *
 * A session is text with one event per line; # starts a comment. The text
 * determines the clock and the order of events, so a replay is deterministic.
 *
 *	entry NAME DC		start an entry host
 *	host NAME DC		the platform lists a worker host
 *	place ENTRY TEAM HOST POOL MIN
 *				an operator reads ENTRY's state and publishes
 *				the team's settings with HOST in POOL ('-': in
 *				no pool) and POOL's min_available set to MIN
 *	drain|undrain|reboot|return|fail|retire HOST
 *	record TYPE FIELDS	store any record; FIELDS lack id, author, at_ms
 *	again N			store a second copy of the record N before the
 *				last one
 *	lose ENTRY		the response to ENTRY's next append is lost, so
 *				ENTRY appends that record twice
 *	hold ENTRY, release ENTRY
 *				delay ENTRY's appends until release
 *	run MS			advance the clock; entry hosts follow and propose
 *	lag ENTRY N		ENTRY applies at most N records per step; '-'
 *				removes the limit
 *	pause ENTRY, resume ENTRY
 *	cut DC, heal DC		partition a data centre from the platform
 *	send ENTRY TEAM POOL HOST, done ENTRY HOST
 *	snapshot ENTRY		ENTRY's state becomes the newest snapshot
 *	restore ENTRY		ENTRY rebuilds its state from snapshot and tail
 *	adopt ENTRY		ENTRY loads the snapshot, even if it is older
 *	restart ENTRY		ENTRY's process is replaced by a new one
 *	leave ENTRY		graceful stop
 */
#ifndef SESSION_H
#define SESSION_H

#include <stdint.h>
#include <stdio.h>

#include "oracle.h"

/*
 * Guards that a replay can disable; bit i of a mask is guard i. The comments
 * state the rule that each one enforces.
 */
enum session_guard {
	GUARD_BUDGET,	 /* a drain that exceeds the budget is refused */
	GUARD_RAISE,	 /* no budget is raised above what a drain leaves */
	GUARD_IN_FLIGHT, /* confirm a drain only with nothing in flight */
	GUARD_DRAINING,	 /* a draining host gets no new requests */
	GUARD_LEASE,	 /* send to other data centres only with a lease */
	GUARD_CAUGHT_UP, /* renew the lease only once the heartbeat is applied */
	GUARD_ALL_QUIET, /* a drain waits for all members that may send */
	GUARD_LOCAL,	 /* a drain waits for expired members of its centre */
	GUARD_SEEN,	 /* an expiry must name the last heartbeat */
	GUARD_JOINED,	 /* send requests only after joining */
	GUARD_BASE,	 /* settings must be based on the version in force */
	GUARD_IDS,	 /* a record id takes effect once */
	GUARD_TAIL,	 /* the log's tail is applied after a snapshot */
	GUARD_MOVE,	 /* settings do not move a serving host */
	GUARD_EVERY,	 /* a replica applies every record */
	GUARD_SNAPSHOT,	 /* a snapshot is complete */
	/* Not a guard of the fleet state: the oracle excuses requests to
	   other data centres once the lease has expired. Disabled, it shows
	   which property does not hold. */
	GUARD_CUT_OFF,
	GUARD_COUNT
};

enum { SESSION_ALL = (1 << ORACLE_PROMISE_COUNT) - 1 };

/*
 * session_guard_name - name of a guard in session files
 *
 * RETURN VALUE
 *	The name, or NULL if there is no such guard.
 */
const char *session_guard_name(int guard);

struct session_result {
	const char *violation; /* NULL: none; valid until the next replay */
	enum oracle_promise promise;
	uint32_t records;
	uint32_t accepted;
	uint32_t sent;
	uint32_t drained;
	uint32_t cut_off; /* requests excused after the lease's expiry */
};

/*
 * session_run - replay a session with some guards disabled
 *
 * guards_off is a mask of disabled guards, promises a mask of oracle_promise.
 * Stops at the first violation of one of these promises. The outcome is written to out
 * as text, unless out is NULL.
 */
void session_run(const char *text, uint32_t guards_off, uint32_t promises,
		 FILE *out, struct session_result *result);

#endif
