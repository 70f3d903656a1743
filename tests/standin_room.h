/*
 * Room of a stand-in worker that does not guard its capacity: what it has said
 * of itself, and whether a start takes it over that.
 */
#ifndef STANDIN_ROOM_H
#define STANDIN_ROOM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include "worker_model.h"

/* A smaller capacity counts after stableWindowMs (3,000) and one beat. */
enum { ROOM_SHRUNK_MS = 4000 };

struct standin_room {
	struct json_object *capacity; /* as it says now; NULL: says none */
	GArray *said;		      /* what counted since when */
};

/* room_say - say a capacity, which may be no valid one; takes it over */
void room_say(struct standin_room *room, struct json_object *capacity,
	      int64_t now_ms);

/* room_restart - forget what was said before the last time */
void room_restart(struct standin_room *room);

/* room_parse_use - read "cpu=C mem=M gpu=G" from the text of a task */
void room_parse_use(const char *text, struct model_run *run);

/*
 * room_exceeded - whether the runs use more than was said
 *
 * Those that are being stopped count. What is no number counts as nothing.
 */
bool room_exceeded(const struct standin_room *room,
		   const struct worker_model *model, int64_t now_ms);

#endif
