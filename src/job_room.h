/*
 * NAME
 *	job_room - how much memory the jobs of a node may take
 *
 * Two bounds, each divided evenly between jobs with set times and all others, so that
 * work which waits for its hour does not keep other callers out: tasks in memory,
 * and bytes of the jobs themselves, ended ones that are still kept included. A node
 * that reads the jobs reads those of all pools, so that each one counts the same
 * ones; others go by what the owners publish with their load, see backlog.h.
 *
 * Tasks that are due and have no room come into memory later, so that a process
 * starts whatever the log has. Bytes are bounded at admission alone. Checkpoints have a
 * bound of their own, beyond which a task keeps the one that it has: a job whose tasks
 * save much costs its own progress, and no other job is refused for it. Pure functions.
 */
#ifndef JOB_ROOM_H
#define JOB_ROOM_H

#include <stdbool.h>
#include <stdint.h>

struct job_spec;

enum job_class {
	JOB_UNTIMED,
	JOB_TIMED, /* its occurrences are due at set times */
	JOB_CLASS_COUNT
};

/* Bounds that admission looks at; those of JOB_TIMED have no bound of tasks. */
enum job_bound {
	JOB_BOUND_TASKS,
	JOB_BOUND_BYTES,
	JOB_BOUND_TIMED_BYTES,
	JOB_BOUND_COUNT
};

/* A bound of 0 is none. */
struct job_room {
	int64_t tasks[JOB_CLASS_COUNT]; /* in memory */
	/* Of jobs without times that have not ended, in memory or not. */
	int64_t live_tasks;
	int64_t max_tasks[JOB_CLASS_COUNT];
	int64_t bytes[JOB_CLASS_COUNT]; /* of the jobs without their tasks */
	int64_t max_bytes[JOB_CLASS_COUNT];
	int64_t checkpoint_bytes; /* of all tasks in memory */
	int64_t max_checkpoint_bytes;
};

/* job_room_set - set the bounds, of both classes together */
void job_room_set(struct job_room *room, int64_t max_tasks, int64_t max_bytes);

enum job_class job_class_of(const struct job_spec *spec);

/* job_room_fits - whether so many more tasks may come into memory */
bool job_room_fits(const struct job_room *room, enum job_class class,
		   int64_t tasks);

/* job_room_has_checkpoint - whether a checkpoint has room in place of another */
bool job_room_has_checkpoint(const struct job_room *room, const char *was,
			     const char *checkpoint);

/* job_checkpoint_bytes - estimated bytes of a checkpoint in memory; of NULL 0 */
int64_t job_checkpoint_bytes(const char *checkpoint);

/* job_spec_bytes - estimated bytes of a job in memory, without its tasks */
int64_t job_spec_bytes(const struct job_spec *spec);

/* job_spec_tasks - tasks of an occurrence */
int64_t job_spec_tasks(const struct job_spec *spec);

/*
 * job_room_percent - how much of a bound is used, in percent
 *
 * RETURN VALUE
 *	0 if there is no such bound.
 */
int32_t job_room_percent(const struct job_room *room, enum job_bound bound);

/*
 * job_room_refuses - whether a job has no room
 *
 * pending_tasks are those of jobs that are being accepted. *bound is set to the bound
 * that it exceeds.
 */
bool job_room_refuses(const struct job_room *room, const struct job_spec *spec,
		      int64_t pending_tasks, enum job_bound *bound);

/* job_bound_name - name of a bound, for logs */
const char *job_bound_name(enum job_bound bound);

#endif
