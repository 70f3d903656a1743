/*
 * NAME
 *	standby - whether a node takes part in deciding, or only stands by
 *
 * The owner of a pool sends all its orders, so that the pool starts tasks no
 * faster than the owner's link and processor carry. Where nodes differ, the
 * large ones decide: they tell of themselves in the jobs' stream, which every
 * node follows, and a small one joins them only while nobody has told of
 * himself for STANDBY_SILENCE_MS. Pure: no network, no clock of its own.
 */
#ifndef STANDBY_H
#define STANDBY_H

#include <stdbool.h>
#include <stdint.h>

#include "nodeconf.h"

enum {
	/* A large node tells of itself if none has for so long. */
	STANDBY_TELL_MS = 1000,
	/* Longer than a membership, after which another large node tells. */
	STANDBY_SILENCE_MS = 3500
};

struct standby {
	bool small;
	int64_t seen_ms; /* when a large node was last told of */
	int64_t told_ms; /* when this one last told of itself */
	bool decides;
};

/* standby_init - small as the settings say; the silence begins now */
void standby_init(struct standby *reserve, const struct nodeconf *settings,
		  int64_t now_ms);

/* standby_seen - a large node has told of itself */
void standby_seen(struct standby *reserve, int64_t now_ms);

/*
 * standby_decides - whether the node is to be a member of the group
 *
 * Silence while the log does not answer says nothing.
 */
bool standby_decides(struct standby *reserve, int64_t now_ms, bool log_answers);

/* standby_tells - whether a member is to tell of itself; notes that it does */
bool standby_tells(struct standby *reserve, int64_t now_ms);

#endif
