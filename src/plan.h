/*
 * NAME
 *	plan - planner of maintenance waves and of moves between pools
 *
 * Decides from the fleet state and the time; makes no calls. What it proposes
 * is validated at its offset like any other record, so several planners do no
 * harm. They wait by rank, so that mostly one proposes a matter.
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
	/* key names the matter; the record's contents are taken over. */
	void (*propose)(void *arg, const char *key, struct record *rec);
	void *arg;
};

struct plan_input {
	const struct fleet *fleet;
	int64_t now_ms; /* for holds and timeouts; never goes back */
	int64_t utc_ms; /* wall clock, for the day and the hour */
};

struct plan *plan_create(const struct plan_config *config);
void plan_destroy(struct plan *pln);

/* plan_tick - propose what is due */
void plan_tick(struct plan *pln, const struct plan_input *input);

/* A host of a wave, or of a batch whose support ends soon. */
struct plan_row {
	const char *team;
	const char *wave; /* NULL for an alarm */
	const char *batch;
	const char *host;
	const char *state; /* "done", "out", "due", "waiting" or "alarm" */
	const char *text;  /* why */
};

/*
 * plan_explain - tell for each host of each wave when it is due, or why it is
 * not, and the alarms
 *
 * Changes nothing. The rows are valid during the callback.
 */
void plan_explain(const struct fleet *fleet, int64_t utc_ms,
		  void (*row)(void *arg, const struct plan_row *row),
		  void *arg);

/*
 * plan_check - refuse settings with a wave that cannot be carried out
 *
 * A wave that cannot be carried out under the team's settings in force either
 * is not refused, so that a wave that is late does not block other changes.
 *
 * RETURN VALUE
 *	0, or ERR_INVALID with the text of what would make the wave possible.
 */
int plan_check(const struct fleet *fleet, const char *team,
	       const struct teamconf *settings, int32_t today, struct err *err);

#endif
