/*
 * NAME
 *	index - states of all jobs, for callers' questions at any node
 *
 * Every node follows a stream with a short record for each job and state, and so
 * answers for jobs whose own records it does not read. The node that accepts a
 * job or its cancel writes a record before it answers, and the owner of the
 * job's share writes one when its state changes. A state only advances, so that
 * records of several writers, late or repeated, give the same result.
 */
#ifndef INDEX_H
#define INDEX_H

#include <glib.h>

#include "job.h"

/* In the order in which a state replaces another; the first end holds. */
enum index_state {
	INDEX_QUEUED,
	INDEX_RUNNING,
	INDEX_CANCEL_REQUESTED,
	INDEX_DONE,
	INDEX_FAILED,
	INDEX_CANCELLED,
	INDEX_STATE_COUNT
};

struct index_entry {
	char id[JOB_ID_BYTES];
	enum index_state state;
	/* Of the newest record, which alone the log retains: an earlier state if
	   its append was late. The owner then publishes the state again. */
	enum index_state recorded;
	const char *queue;  /* interned */
	const char *tenant; /* interned; "": none */
	bool unrated;	    /* see index_record */
};

struct index {
	GHashTable *entries; /* id -> struct index_entry */
	GHashTable *waiting; /* queue -> number of its jobs in INDEX_QUEUED */
};

struct index *index_create(void);
void index_destroy(struct index *index);

/* index_find - entry of a job, or NULL */
const struct index_entry *index_find(const struct index *index, const char *id);

/*
 * index_apply - apply the record of a job
 *
 * RETURN VALUE
 *	0, also if the state is not newer, or ERR_INVALID.
 */
int index_apply(struct index *index, const char *id, const char *value,
		size_t len, struct err *err);

/* index_remove - remove a job whose record has been deleted */
void index_remove(struct index *index, const char *id);

/* index_count_waiting - accepted jobs of a queue that have not begun */
int64_t index_count_waiting(const struct index *index, const char *queue);

/*
 * index_record - text of a record; free with g_free
 *
 * tenant is the job's organisation; "": none. unrated: the job does not count
 * against the rate of its organisation. *len is the length of the text,
 * which may have a zero byte.
 */
char *index_record(enum index_state state, const char *queue,
		   const char *tenant, bool unrated, size_t *len);

/* index_state_of - state of a job as it is stored */
enum index_state index_state_of(const struct job *job);

/* index_job_state - state that callers are shown */
enum job_state index_job_state(enum index_state state);

/* index_ended - whether a state is final */
static inline bool index_ended(enum index_state state)
{
	return state >= INDEX_DONE;
}

/* index_replaces - whether a job's state advances from one to the other */
static inline bool index_replaces(enum index_state from, enum index_state to)
{
	return !index_ended(from) && to > from;
}

#endif
