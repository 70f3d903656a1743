/*
 * NAME
 *	replica - a process's replica of the fleet state
 *
 * Applies records in order, keeps the last ones for others to fetch, and
 * adopts a snapshot only if it is newer: the state never goes back.
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

/* replica_create - replica without a state: not ready, next offset 0 */
struct replica *replica_create(void);
void replica_destroy(struct replica *replica);

/*
 * replica_on_applied - call fn after each record that was read
 *
 * record is NULL for a record that is not valid. status is that of fleet_apply.
 */
void replica_on_applied(struct replica *replica,
			void (*fn)(void *arg, int64_t offset,
				   const struct record *rec,
				   const struct err *result),
			void *arg);

/* replica_state - the state; valid until the next replica_adopt */
const struct fleet *replica_state(const struct replica *replica);

/* replica_next - offset of the next record to apply */
int64_t replica_next(const struct replica *replica);

/*
 * replica_ready - whether the state may be used
 *
 * Set by the follower once the tail after a snapshot was applied: a snapshot
 * alone may be older than what this host has already served.
 */
bool replica_ready(const struct replica *replica);
void replica_set_ready(struct replica *replica);

/* replica_apply - apply a record as read; one that was applied before is skipped */
void replica_apply(struct replica *replica, int64_t offset, const char *data,
		   size_t len);

/* replica_skip_to - nothing is stored between the next offset and this one */
void replica_skip_to(struct replica *replica, int64_t next);

/*
 * replica_adopt - take over a snapshot; does not make the replica ready
 *
 * ERRORS
 *	ERR_GONE	it is not newer than the state held
 *	ERR_INVALID	it cannot be read
 */
int replica_adopt(struct replica *replica, const char *text, size_t len,
		  struct err *err);

/*
 * replica_tail - records held from an offset on
 *
 * RETURN VALUE
 *	How many were written to out, or ERR_GONE if older ones are no longer
 *	held.
 */
int replica_tail(const struct replica *replica, int64_t from, uint32_t max,
		 const struct replica_record **out);

#endif
