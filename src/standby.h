/*
 * NAME
 *	standby - whether a node may own pools (decider) or stands by
 *
 * The owner of a pool sends all its orders, so its link and processor limit
 * the rate at which the pool starts tasks. Where nodes differ in size, only the
 * large ones own pools: they announce themselves in the index, which every node
 * follows. A small node joins the group only after no large one has announced
 * itself for STANDBY_SILENCE_MS. Only a part of the small nodes do so, as each
 * member reads all jobs: they belong to STANDBY_GROUPS groups by their names, and
 * a group joins only if the one before it does not announce itself either. Uses no
 * network and no clock of its own.
 */
#ifndef STANDBY_H
#define STANDBY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "nodeconf.h"

enum {
	/* A large node announces itself if none has for this time. */
	STANDBY_ANNOUNCE_MS = 1000,
	/* Longer than a membership, after which another node announces. */
	STANDBY_SILENCE_MS = 3500,
	/* If the log has not answered for longer, announcements may be missing
	   because nobody could make one: silence counts anew. */
	STANDBY_OUTAGE_MS = 2500,
	STANDBY_GROUPS = 4,
	/* Between two groups; a member has announced itself by then. */
	STANDBY_GROUP_MS = 1500
};

struct standby {
	bool small;
	int64_t group_delay_ms;	  /* the groups before this node's join first */
	int64_t last_announce_ms; /* last announcement by a large node */
	int64_t last_reserve_ms;  /* last one by a small node; 0: none */
	int64_t heard_ms;	  /* last value given to standby_decides */
	int64_t own_announce_ms;  /* last announcement by this node */
	bool decides;		  /* last result of standby_decides */
};

/* standby_init - take the size from the settings; silence counts from now */
void standby_init(struct standby *standby, const struct nodeconf *settings,
		  int64_t now_ms);

/* standby_record - text of an announcement of this node; free with g_free */
char *standby_record(const struct standby *standby, const char *name);

/* standby_apply - note an announcement by its text */
void standby_apply(struct standby *standby, const char *text, size_t len,
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
