/*
 * NAME
 *	plan - planner of maintenance waves and of moves between pools
 *
 * Decides from the fleet state and the time only; does no I/O. Proposed records
 * are validated at their offset like any other record, so several planners may
 * run at once. Each delays its proposals by its rank, so that usually only one
 * planner proposes an action.
 */
#ifndef PLAN_H
#define PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "fleet.h"
#include "teamconf.h"

struct plan;

struct plan_config {
	const char *name;	   /* of this fleet daemon's host */
	int64_t reboot_timeout_ms; /* 0: LIMIT_REBOOT_TIMEOUT_MS */
	int64_t move_hold_ms;	   /* 0: LIMIT_MOVE_HOLD_MS */
	/* key identifies the action. Takes ownership of rec's contents. */
	void (*propose)(void *arg, const char *key, struct record *rec);
	void *arg;
};

struct plan_input {
	const struct fleet *fleet;
	int64_t now_ms; /* for holds and timeouts; never goes back */
	int64_t utc_ms; /* wall clock, for the day and the hour */
};

struct plan *plan_create(const struct plan_config *config);
void plan_destroy(struct plan *plan);

/* plan_tick - propose the actions that are due */
void plan_tick(struct plan *plan, const struct plan_input *input);

/* A host of a wave, or of a batch whose support ends soon. */
struct plan_row {
	const char *team;
	const char *wave; /* NULL for an alarm */
	const char *batch;
	const char *host;
	const char *state; /* "done", "out", "due", "waiting" or "alarm" */
	const char *text;  /* reason for the state */
};

/*
 * plan_explain - report the state of each host of each wave, and the alarms
 *
 * Makes a plan without proposing anything. A row is valid only during its
 * callback.
 */
void plan_explain(const struct fleet *fleet, int64_t utc_ms,
		  void (*row)(void *arg, const struct plan_row *row),
		  void *arg);

/*
 * plan_check - refuse settings with a wave that cannot be completed
 *
 * A wave that cannot be completed under the settings in force either is
 * accepted, so that a late wave does not block other changes.
 *
 * RETURN VALUE
 *	0, or ERR_INVALID; its text says what would make the wave possible.
 *
 * The text becomes part of the fleet state (audit trail), which is the same in
 * all processes.
 */
int plan_check(const struct fleet *fleet, const char *team,
	       const struct teamconf *settings, int32_t today, struct err *err);

#endif
