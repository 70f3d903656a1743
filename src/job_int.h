/*
 * NAME
 *	job_int - records of jobs, shared by the files of module job
 */
#ifndef JOB_INT_H
#define JOB_INT_H

#include "job.h"

/* job_read_head - queue, pool and time from the head of a hand-in record */
int job_read_head(struct job *job, const char *head, size_t len,
		  struct err *err);

/* job_read_shown - the state that callers are shown, from a progress record */
int job_read_shown(struct job *job, const char *record, size_t len,
		   struct err *err);

/* job_read_tasks - the tasks of a progress record; they start out untouched */
int job_read_tasks(struct job *job, const char *record, struct err *err);

#endif
