/*
 * NAME
 *	backlog - load of each share of a pool, as published by its owner
 *
 * A node that does not read a share's jobs decides by this record whether
 * another job can be done in time. Pure functions.
 */
#ifndef BACKLOG_H
#define BACKLOG_H

#include <glib.h>

#include "cfg.h"
#include "err.h"
#include "limit.h"
#include "share.h"

/* Work is summed up by how far its target lies ahead of the survey. */
enum { BACKLOG_SPANS = 12, BACKLOG_ROOM_STEP_PERCENT = 5 };

struct backlog {
	int64_t at_ms;	    /* wall clock of the survey */
	int64_t own_milli;  /* processor time of the share's listed workers */
	int64_t full_milli; /* the same when nothing is shrunk */
	/* Used by its placed tasks, and by those that are ready and in time. */
	int64_t claimed_milli;
	/* Remaining work in milli-cores times ms, of jobs whose target is within
	   backlog_span_ms of the survey; the last one has all of it. */
	int64_t work[BACKLOG_SPANS];
	/* How much of each bound on the memory of jobs is used at the owner, see
	   job_room.h, in steps of BACKLOG_ROOM_STEP_PERCENT. */
	int32_t room_percent[JOB_BOUND_COUNT];
};

/* Newest record of each share; pool and index -> struct backlog. */
struct backlogs {
	GHashTable *shares;
};

/* backlog_span_ms - upper bound of a span; the last one is INT64_MAX */
int64_t backlog_span_ms(uint32_t span);

/* backlog_add_work - add a job's remaining work, by its target */
void backlog_add_work(struct backlog *backlog, int64_t target_ms, double work);

/* backlog_equal - whether two surveys differ in their time only */
bool backlog_equal(const struct backlog *a, const struct backlog *b);

void backlogs_init(struct backlogs *backlogs);
void backlogs_clear(struct backlogs *backlogs);

/* backlog_key - "POOL/INDEX" of a share; free with g_free */
char *backlog_key(const struct share *share);

/* backlog_record - text of a record; free with g_free */
char *backlog_record(const struct backlog *backlog);

/*
 * backlogs_apply - apply the record under a key
 *
 * RETURN VALUE
 *	0 or ERR_INVALID.
 */
int backlogs_apply(struct backlogs *backlogs, const char *key,
		   const char *value, size_t len, struct err *err);

/* backlogs_find - newest record of a share, or NULL */
const struct backlog *backlogs_find(const struct backlogs *backlogs,
				    const struct share *share);

/* backlogs_room_percent - the largest part of the bound that any owner has used */
int32_t backlogs_room_percent(const struct backlogs *backlogs,
			      enum job_bound bound);

/* backlogs_full_milli - processor time of all listed workers */
int64_t backlogs_full_milli(const struct backlogs *backlogs);

/*
 * backlogs_delay_ms - time that a share needs for its work before a new job
 *
 * As place_backlog_ms, from the records; cfg names the other pools.
 *
 * RETURN VALUE
 *	0 if nothing is known of the share.
 */
int64_t backlogs_delay_ms(const struct backlogs *backlogs,
			  const struct share *share, const struct cfg *cfg,
			  int64_t target_ms, int64_t all_milli);

#endif
