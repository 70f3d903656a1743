/*
 * NAME
 *	job_cancel - cancels of jobs, also of jobs that are not known
 *
 * A caller whose submission was not answered may cancel the job at another node,
 * which does not know it. Its cancel is stored all the same, so that the job does
 * not run if the first node's record is stored later. Such a cancel holds for jobs
 * of the caller's organisation only, as nothing shows whose the job will be.
 *
 * The key of a cancel's record is the job's id, and for a job that the node did not
 * know a colon and the organisation. The value names the pool whose owner deletes the
 * record.
 */
#ifndef JOB_CANCEL_H
#define JOB_CANCEL_H

#include "job.h"

struct job_cancel {
	char id[JOB_ID_BYTES];
	const char *tenant; /* interned; NULL: of whichever organisation */
	const char *pool;   /* interned */
	int64_t read_ms;    /* first seen by an owner of the pool; 0: not yet */
	bool deleting;	    /* its record is being deleted */
};

/* job_cancels_init, job_cancels_free - make or free the cancels of a store */
void job_cancels_init(struct job_store *store);
void job_cancels_free(struct job_store *store);

/* job_cancels_clear - forget all cancels */
void job_cancels_clear(struct job_store *store);

/*
 * job_cancel_apply - apply the record of a cancel
 *
 * tenant is NULL if the node knew the job and that its caller may cancel it.
 * Idempotent; it may come before the job.
 */
void job_cancel_apply(struct job_store *store, const char *id,
		      const char *tenant, const char *pool);

/* job_cancel_remove - forget a cancel whose record has been deleted */
void job_cancel_remove(struct job_store *store, const char *id,
		       const char *tenant);

/* job_cancel_holds - whether a cancel that has been read holds for the job */
bool job_cancel_holds(const struct job_store *store, const struct job *job);

/* job_cancel_key - key of the cancel's record; free with g_free */
char *job_cancel_key(const char *id, const char *tenant);

#endif
