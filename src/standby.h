/*
 * NAME
 *	standby - whether a node may own pools (decider) or stands by
 *
 * The owner of a pool sends all its orders, so its link and processor limit
 * the rate at which the pool starts tasks. Where nodes differ in size, only the
 * large ones own pools: they announce themselves in the jobs' stream, which
 * every node follows. A small node joins the group only after no large one has
 * announced itself for STANDBY_SILENCE_MS. Uses no network and no clock of its
 * own.
 */
#ifndef STANDBY_H
#define STANDBY_H

#include <stdbool.h>
#include <stdint.h>

#include "nodeconf.h"

enum {
	/* A large node announces itself if none has for this time. */
	STANDBY_ANNOUNCE_MS = 1000,
	/* Longer than a membership, after which another node announces. */
	STANDBY_SILENCE_MS = 3500,
	/* If the log has not answered for longer, announcements may be missing
	   because nobody could make one: silence counts anew. */
	STANDBY_OUTAGE_MS = 2500
};

struct standby {
	bool small;
	int64_t last_announce_ms; /* last announcement by a large node */
	int64_t heard_ms;	  /* last value given to standby_decides */
	int64_t own_announce_ms;  /* last announcement by this node */
	bool decides;		  /* last result of standby_decides */
};

/* standby_init - take the size from the settings; silence counts from now */
void standby_init(struct standby *standby, const struct nodeconf *settings,
		  int64_t now_ms);

/* standby_note_announcement - note the announcement of a large node */
void standby_note_announcement(struct standby *standby, int64_t now_ms);

/*
 * standby_decides - whether the node is to be a member of the group
 *
 * heard_ms: all announcements made before that time have been noted. It stands
 * still while the log does not answer, and so does the silence.
 */
bool standby_decides(struct standby *standby, int64_t heard_ms);

/* standby_must_announce - whether a member must announce itself now; notes the time */
bool standby_must_announce(struct standby *standby, int64_t now_ms);

#endif
