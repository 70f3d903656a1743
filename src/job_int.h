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

/* job_range_put - keep the record of a range, unless a newer one is known */
void job_range_put(struct job *job, uint32_t number, int64_t offset,
		   const char *record, size_t len);

/* job_ranges_clear - forget the records of all ranges */
void job_ranges_clear(struct job *job);

/* job_read_ranges - read the tasks of all stored ranges into newly made tasks */
int job_read_ranges(struct job *job, struct err *err);

/*
 * job_read_tasks - read tasks of a progress record into newly made tasks
 *
 * Those of its ranges, if it is stored so.
 */
int job_read_tasks(struct job *job, const char *record, struct err *err);

#endif
