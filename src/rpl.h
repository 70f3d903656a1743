/*
 * NAME
 *	rpl - a process's replica of the fleet state
 *
 * Applies records in order, keeps the last ones for others to fetch, and
 * adopts a snapshot only if it is newer: the state never goes back.
 */
#ifndef RPL_H
#define RPL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "fleet.h"
#include "rec.h"

struct rpl;

struct rpl_record {
	int64_t offset;
	char *data;
	size_t len;
};

/* rpl_create - replica without a state: not ready, next offset 0 */
struct rpl *rpl_create(void);
void rpl_destroy(struct rpl *rpl);

/*
 * rpl_on_applied - call fn after each record that was read
 *
 * rec is NULL for a record that is not valid. status is that of fleet_apply.
 */
void rpl_on_applied(struct rpl *rpl,
		    void (*fn)(void *arg, int64_t offset, const struct rec *rec,
			       const struct err *result),
		    void *arg);

/* rpl_state - the state; valid until the next rpl_adopt */
const struct fleet *rpl_state(const struct rpl *rpl);

/* rpl_next - offset of the next record to apply */
int64_t rpl_next(const struct rpl *rpl);

/*
 * rpl_ready - whether the state may be used
 *
 * Set by the follower once the tail after a snapshot was applied: a snapshot
 * alone may be older than what this host has already served.
 */
bool rpl_ready(const struct rpl *rpl);
void rpl_set_ready(struct rpl *rpl);

/* rpl_apply - apply a record as read; one that was applied before is skipped */
void rpl_apply(struct rpl *rpl, int64_t offset, const char *data, size_t len);

/* rpl_skip_to - nothing is stored between the next offset and this one */
void rpl_skip_to(struct rpl *rpl, int64_t next);

/*
 * rpl_adopt - take over a snapshot; does not make the replica ready
 *
 * ERRORS
 *	ERR_GONE	it is not newer than the state held
 *	ERR_INVALID	it cannot be read
 */
int rpl_adopt(struct rpl *rpl, const char *text, size_t len, struct err *err);

/*
 * rpl_tail - records held from an offset on
 *
 * RETURN VALUE
 *	How many were written to out, or ERR_GONE if older ones are no longer
 *	held.
 */
int rpl_tail(const struct rpl *rpl, int64_t from, uint32_t max,
	     const struct rpl_record **out);

#endif
