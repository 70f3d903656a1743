/*
 * NAME
 *	snapshot - snapshots of the fleet state on the platform's log
 *
 * A snapshot is split into records of the `snapshots` stream. Each part carries
 * the id of its snapshot, so that parts of concurrent writers are not mixed,
 * and the offset in the fleet stream from which the state continues.
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
 * Whether a complete snapshot is usable. One that is not is ignored, so that it
 * neither hides an older one nor keeps members from writing the next.
 */
typedef bool snapshot_valid_fn(const char *text, size_t len,
			       int64_t fleet_next);

/* snapshot_create - valid may be NULL: every complete snapshot is accepted */
struct snapshot *snapshot_create(struct platclient *platclient, struct rnd *rnd,
				 snapshot_valid_fn *valid);
void snapshot_destroy(struct snapshot *snapshot);

/*
 * snapshot_load - read the stream and pass on its newest complete snapshot
 *
 * text is NULL if there is none, and valid only during the callback. Does
 * nothing while a load or poll is in progress.
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
 * Takes ownership of text, which was allocated with malloc. A failed write is
 * abandoned: readers ignore a snapshot with missing parts. If another write is
 * in progress, only frees text.
 */
void snapshot_write(struct snapshot *snapshot, char *text, size_t len,
		    int64_t fleet_next);

/* snapshot_busy - whether a write is in progress */
bool snapshot_busy(const struct snapshot *snapshot);

/*
 * snapshot_newest - next fleet offset of the newest complete snapshot
 *
 * Only snapshots that were read by snapshot_load or snapshot_poll and are still
 * retained count; -1 if there is none.
 */
int64_t snapshot_newest(const struct snapshot *snapshot);

/* snapshot_invalid - number of invalid parts and complete snapshots read */
int64_t snapshot_invalid(const struct snapshot *snapshot);

/* snapshot_poll - read what was written since the last load or poll */
void snapshot_poll(struct snapshot *snapshot);

#endif
