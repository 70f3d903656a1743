/*
 * NAME
 *	job_int - decoding of records, shared by the files of module job
 */
#ifndef JOB_INT_H
#define JOB_INT_H

#include "job.h"

/* job_read_head - read queue, pool and time from the head of a submission */
int job_read_head(struct job *job, const char *head, size_t len,
		  struct err *err);

/* job_read_state - read the job's state from a progress record */
int job_read_state(struct job *job, const char *record, size_t len,
		   struct err *err);

/* job_read_tasks - read tasks of a progress record into newly made tasks */
int job_read_tasks(struct job *job, const char *record, struct err *err);

#endif
