/*
 * NAME
 *	snapshot - snapshots of the fleet state on the platform's log
 *
 * A snapshot is cut into records of the `snapshots` stream. Each part names
 * the writer's id, so that parts of two writers are not mixed, and the offset
 * of the fleet stream at which the state is to be continued.
 */
#ifndef SNAPSHOT_H
#define SNAPSHOT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "platclient.h"
#include "rnd.h"

struct snapshot;

/*
 * Whether a whole snapshot can be used. One that cannot is passed over, so
 * that it neither hides an older one nor keeps members from writing the next.
 */
typedef bool snapshot_valid(const char *text, size_t len, int64_t fleet_next);

/* snapshot_create - valid may be NULL: every whole snapshot is taken */
struct snapshot *snapshot_create(struct platclient *platclient, struct rnd *rnd,
				 snapshot_valid *valid);
void snapshot_destroy(struct snapshot *snapshot);

/*
 * snapshot_load - read the stream and give its newest whole snapshot
 *
 * text is NULL if there is none. It is valid during the callback. One load
 * at a time; a second call while one is under way does nothing.
 *
 * ERRORS (to the callback)
 *	ERR_UNAVAILABLE	the stream could not be read to its end
 */
void snapshot_load(struct snapshot *snapshot,
		   void (*fn)(void *arg, int status, const char *text,
			      size_t len),
		   void *arg);

/*
 * snapshot_write - append a snapshot, part by part
 *
 * Takes over text, which was allocated with malloc. A write that fails is
 * given up: readers ignore a snapshot of which parts are missing. Does nothing
 * while another write is under way.
 */
void snapshot_write(struct snapshot *snapshot, char *text, size_t len,
		    int64_t fleet_next);

bool snapshot_busy(const struct snapshot *snapshot);

/*
 * snapshot_newest - fleet offset of the newest whole snapshot that was read by
 * snapshot_load or snapshot_poll and is still retained; -1 if none
 */
int64_t snapshot_newest(const struct snapshot *snapshot);

/* snapshot_invalid - parts and whole snapshots that were not valid */
int64_t snapshot_invalid(const struct snapshot *snapshot);

/* snapshot_poll - look at what others have written since the last load or poll */
void snapshot_poll(struct snapshot *snapshot);

#endif
