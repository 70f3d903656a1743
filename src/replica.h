/*
 * NAME
 *	replica - a process's replica of the fleet state
 *
 * Applies records in order, keeps the latest ones in memory for other processes
 * to fetch, and accepts a snapshot only if it is newer: the state never goes
 * back.
 */
#ifndef REPLICA_H
#define REPLICA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "fleet.h"
#include "record.h"

struct replica;

struct replica_record {
	int64_t offset;
	char *data;
	size_t len;
};

/* replica_create - create an empty replica: not ready, next offset 0 */
struct replica *replica_create(void);
void replica_destroy(struct replica *replica);

/*
 * replica_on_applied - call fn after each record
 *
 * rec is NULL for a record that could not be parsed; result then is the parse
 * error, otherwise the result of fleet_apply.
 */
void replica_on_applied(struct replica *replica,
			void (*fn)(void *arg, int64_t offset,
				   const struct record *rec,
				   const struct err *result),
			void *arg);

/* replica_state - the fleet state; valid until the next replica_install_snapshot */
const struct fleet *replica_state(const struct replica *replica);

/* replica_next - offset of the next record to apply */
int64_t replica_next(const struct replica *replica);

/*
 * replica_ready - whether the state may be used
 *
 * Set by the follower after it has applied the records that follow the
 * snapshot: a snapshot alone may be older than a state that this host has
 * already served.
 */
bool replica_ready(const struct replica *replica);
void replica_set_ready(struct replica *replica);

/* replica_apply - apply a record; one that was already applied is skipped */
void replica_apply(struct replica *replica, int64_t offset, const char *data,
		   size_t len);

/* replica_skip_to - advance the next offset past offsets without a record */
void replica_skip_to(struct replica *replica, int64_t next);

/*
 * replica_install_snapshot - replace the state by a snapshot
 *
 * Does not make the replica ready.
 *
 * ERRORS
 *	ERR_GONE	the snapshot is not newer than the state
 *	ERR_INVALID	the snapshot cannot be decoded
 */
int replica_install_snapshot(struct replica *replica, const char *text,
			     size_t len, struct err *err);

/*
 * replica_tail - recent records from an offset on
 *
 * RETURN VALUE
 *	Number of pointers written to out, at most max; ERR_GONE if records from
 *	this offset on are no longer held. The records are valid until the next
 *	replica_apply or replica_install_snapshot.
 */
int replica_tail(const struct replica *replica, int64_t from, uint32_t max,
		 const struct replica_record **out);

#endif
