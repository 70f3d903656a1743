/*
 * NAME
 *	sns - snapshots of the fleet state on the platform's log
 *
 * A snapshot is cut into records of the `snapshots` stream. Each part names
 * the writer's id, so that parts of two writers are not mixed, and the offset
 * of the fleet stream at which the state is to be continued.
 */
#ifndef SNS_H
#define SNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "platclient.h"
#include "rnd.h"

struct sns;

/*
 * Whether a whole snapshot can be used. One that cannot is passed over, so
 * that it neither hides an older one nor keeps members from writing the next.
 */
typedef bool sns_valid(const char *text, size_t len, int64_t fleet_next);

/* sns_create - valid may be NULL: every whole snapshot is taken */
struct sns *sns_create(struct platclient *platclient, struct rnd *rnd,
		       sns_valid *valid);
void sns_destroy(struct sns *sns);

/*
 * sns_load - read the stream and give its newest whole snapshot
 *
 * text is NULL if there is none. It is valid during the callback. One load
 * at a time; a second call while one is under way does nothing.
 *
 * ERRORS (to the callback)
 *	ERR_UNAVAILABLE	the stream could not be read to its end
 */
void sns_load(struct sns *sns,
	      void (*fn)(void *arg, int status, const char *text, size_t len),
	      void *arg);

/*
 * sns_write - append a snapshot, part by part
 *
 * Takes over text, which was allocated with malloc. A write that fails is
 * given up: readers ignore a snapshot of which parts are missing. Does nothing
 * while another write is under way.
 */
void sns_write(struct sns *sns, char *text, size_t len, int64_t fleet_next);

bool sns_busy(const struct sns *sns);

/*
 * sns_newest - fleet offset of the newest whole snapshot that was read by
 * sns_load or sns_poll and is still retained; -1 if none
 */
int64_t sns_newest(const struct sns *sns);

/* sns_invalid - parts and whole snapshots that were not valid */
int64_t sns_invalid(const struct sns *sns);

/* sns_poll - look at what others have written since the last load or poll */
void sns_poll(struct sns *sns);

#endif
