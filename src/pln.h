/*
 * NAME
 *	pln - planner of maintenance waves and of moves between pools
 *
 * Decides from the fleet state and the time; makes no calls. What it proposes
 * is validated at its offset like any other record, so several planners do no
 * harm. They wait by rank, so that mostly one proposes a matter.
 */
#ifndef PLN_H
#define PLN_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "fleet.h"
#include "tms.h"

struct pln;

struct pln_config {
	const char *name;	   /* of this fleet daemon's host */
	int64_t reboot_timeout_ms; /* 0: LIMIT_REBOOT_TIMEOUT_MS */
	int64_t move_hold_ms;	   /* 0: LIMIT_MOVE_HOLD_MS */
	/* key names the matter; the record's contents are taken over. */
	void (*propose)(void *arg, const char *key, struct rec *rec);
	void *arg;
};

struct pln_input {
	const struct fleet *fleet;
	int64_t now_ms; /* for holds and timeouts; never goes back */
	int64_t utc_ms; /* wall clock, for the day and the hour */
};

struct pln *pln_create(const struct pln_config *config);
void pln_destroy(struct pln *pln);

/* pln_tick - propose what is due */
void pln_tick(struct pln *pln, const struct pln_input *input);

/* A host of a wave, or of a batch whose support ends soon. */
struct pln_row {
	const char *team;
	const char *wave; /* NULL for an alarm */
	const char *batch;
	const char *host;
	const char *state; /* "done", "out", "due", "waiting" or "alarm" */
	const char *text;  /* why */
};

/*
 * pln_explain - tell for each host of each wave when it is due, or why it is
 * not, and the alarms
 *
 * Changes nothing. The rows are valid during the callback.
 */
void pln_explain(const struct fleet *fleet, int64_t utc_ms,
		 void (*row)(void *arg, const struct pln_row *row), void *arg);

/*
 * pln_check - refuse settings with a wave that cannot be carried out
 *
 * A wave that cannot be carried out under the team's settings in force either
 * is not refused, so that a wave that is late does not block other changes.
 *
 * RETURN VALUE
 *	0, or ERR_INVALID with the text of what would make the wave possible.
 */
int pln_check(const struct fleet *fleet, const char *team,
	      const struct tms *settings, int32_t today, struct err *err);

#endif
