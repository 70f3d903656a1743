/*
 * NAME
 *	job_int - decoding of records and lists, shared by the files of module job
 */
#ifndef JOB_INT_H
#define JOB_INT_H

#include "job.h"

/* job_index_init, job_index_free - make or free the lists of a store */
void job_index_init(struct job_store *store);
void job_index_free(struct job_store *store);

/* job_index_add - add a live job whose submission has been read to its share's */
void job_index_add(struct job_store *store, struct job *job);

/* job_index_set_idle - move a job to the list of its share that it belongs to */
void job_index_set_idle(struct job *job, bool idle);

/* job_index_remove - remove a job from its share's, if it is there */
void job_index_remove(struct job *job);

/*
 * job_index_place - add a placed task to those of its worker
 *
 * If the job is in the list of its share; else nothing.
 */
void job_index_place(struct job *job, struct job_task *task);

/* job_index_place_all - the same for all placed tasks of the job */
void job_index_place_all(struct job *job);

/* job_index_unplace - remove a task from those of its worker, if it is there */
void job_index_unplace(struct job_task *task);

/* job_open_until - bring all occurrences below the number into memory, unless done */
void job_open_until(struct job *job, uint32_t number);

/* job_task_numbered - task by its number; NULL: it is not in memory */
struct job_task *job_task_numbered(const struct job *job, uint32_t number);

/* job_clear_tasks - remove all tasks from memory */
void job_clear_tasks(struct job *job);

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
 * job_task_inherit - note that an earlier owner may have started the task's run
 *
 * settled: no order to do so may be executed any more, as start_settled says.
 */
void job_task_inherit(struct job_task *task, bool settled);

/*
 * job_read_tasks - read tasks of a progress record into newly made tasks
 *
 * Those of its ranges, if it is stored so.
 */
int job_read_tasks(struct job *job, const char *record, struct err *err);

#endif
