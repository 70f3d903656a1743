#include "job_room.h"

#include <string.h>

#include "job.h"

enum {
	/* Of a job besides its specification: its entries in tables and in the
	   index, a progress record, and what the allocator adds. */
	JOB_ROOM_OTHER_BYTES = 850,
	/* Of a checkpoint besides its text, with what the allocator adds. */
	JOB_ROOM_TEXT_BYTES = 24
};

void job_room_set(struct job_room *room, int64_t max_tasks, int64_t max_bytes)
{
	for (int i = 0; i < JOB_CLASS_COUNT; i++) {
		room->max_tasks[i] = max_tasks / JOB_CLASS_COUNT;
		room->max_bytes[i] = max_bytes / JOB_CLASS_COUNT;
	}
}

enum job_class job_class_of(const struct job_spec *spec)
{
	return spec->repeat_count > 0 ? JOB_TIMED : JOB_UNTIMED;
}

bool job_room_fits(const struct job_room *room, enum job_class class,
		   int64_t tasks)
{
	/* Whatever its size, a job has room if there is no other. */
	return !room->max_tasks[class] || !room->tasks[class] ||
	       room->tasks[class] + tasks <= room->max_tasks[class];
}

int64_t job_checkpoint_bytes(const char *checkpoint)
{
	return checkpoint ? (int64_t)strlen(checkpoint) + JOB_ROOM_TEXT_BYTES
			  : 0;
}

bool job_room_has_checkpoint(const struct job_room *room, const char *was,
			     const char *checkpoint)
{
	int64_t change =
		job_checkpoint_bytes(checkpoint) - job_checkpoint_bytes(was);

	return change <= 0 || !room->max_checkpoint_bytes ||
	       room->checkpoint_bytes + change <= room->max_checkpoint_bytes;
}

int64_t job_spec_bytes(const struct job_spec *spec)
{
	return (int64_t)(sizeof(struct job) + JOB_ROOM_OTHER_BYTES +
			 strlen(spec->text) +
			 spec->step_count * sizeof(struct job_step));
}

static int64_t used(const struct job_room *room, enum job_bound bound)
{
	if (bound == JOB_BOUND_TASKS)
		return room->live_tasks;
	return room->bytes[bound == JOB_BOUND_TIMED_BYTES];
}

static int64_t most(const struct job_room *room, enum job_bound bound)
{
	if (bound == JOB_BOUND_TASKS)
		return room->max_tasks[JOB_UNTIMED];
	return room->max_bytes[bound == JOB_BOUND_TIMED_BYTES];
}

int32_t job_room_percent(const struct job_room *room, enum job_bound bound)
{
	int64_t max = most(room, bound);

	return max ? (int32_t)(used(room, bound) * 100 / max) : 0;
}

int64_t job_spec_tasks(const struct job_spec *spec)
{
	int64_t tasks = 0;

	for (uint32_t i = 0; i < spec->step_count; i++)
		tasks += spec->steps[i].count;
	return tasks;
}

bool job_room_refuses(const struct job_room *room, const struct job_spec *spec,
		      int64_t pending_tasks, enum job_bound *bound)
{
	enum job_class class = job_class_of(spec);
	int64_t tasks = room->live_tasks + pending_tasks;
	int64_t max_tasks = room->max_tasks[class];
	int64_t bytes = room->bytes[class] + job_spec_bytes(spec);

	if (room->max_bytes[class] && bytes > room->max_bytes[class]) {
		*bound = class == JOB_TIMED ? JOB_BOUND_TIMED_BYTES
					    : JOB_BOUND_BYTES;
		return true;
	}
	*bound = JOB_BOUND_TASKS;
	/* Whatever its size, a job has room if there is no other. */
	return class == JOB_UNTIMED && max_tasks && tasks &&
	       tasks + job_spec_tasks(spec) > max_tasks;
}

const char *job_bound_name(enum job_bound bound)
{
	static const char *const names[] = {
		[JOB_BOUND_TASKS] = "tasks-in-memory",
		[JOB_BOUND_BYTES] = "bytes-of-jobs",
		[JOB_BOUND_TIMED_BYTES] = "bytes-of-timed-jobs",
	};

	return names[bound];
}
