/*
 * NAME
 *	job - jobs handed in by callers: steps, tasks, runs and their states
 *
 * The store is the fold of records of the log: one record hands a job in,
 * one asks for its cancelling, and the newest progress record tells what its
 * tasks have done. The node that owns the job's pool changes tasks in memory
 * and writes the progress before it acts on the change; all other nodes only
 * apply records. The store knows no clock, network or wire format.
 */
#ifndef JOB_H
#define JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "limit.h"

enum {
	JOB_ID_BYTES = 17,
	JOB_MAX_STEPS = 32,
	JOB_MAX_TASKS = 20000,
	JOB_MAX_SPEC_BYTES = 4000,
	JOB_TASK_NAME_BYTES = 64
};

enum job_state { JOB_QUEUED, JOB_RUNNING, JOB_DONE, JOB_FAILED, JOB_CANCELLED };

enum job_task_state {
	TASK_WAITING, /* not placed: never started, or its last run has ended */
	TASK_PLACED,  /* recorded at a worker; it may run there */
	TASK_DONE
};

/* What the owner of the pool knows about a placed task's order. */
enum job_phase {
	PHASE_UNKNOWN,	 /* placed by an earlier owner, not seen since */
	PHASE_RECORDING, /* the placement is in no record yet */
	PHASE_STORING,	 /* the record with the placement is not stored yet */
	PHASE_STARTING,	 /* stored; the worker has not confirmed it */
	PHASE_RUNNING,	 /* confirmed by the worker */
	PHASE_STOPPING	 /* told, or to be told, to stop */
};

/* How a run ended, as its worker says. */
enum job_end {
	END_DONE,
	END_FAILED,
	END_STOPPED,
	END_LAPSED, /* its lease ran out */
	END_BROKEN, /* another member of its gang ended */
	END_ALONE   /* the other members of its gang did not come */
};

struct job_step {
	int32_t count;
	int32_t cpu_milli;
	int32_t mem_mib;
	int32_t gpu;
	int32_t estimate_ms;
	uint32_t depends; /* bit i: all tasks of step i come first */
	bool gang;
	bool tight; /* slower when it spans racks */
	bool checkpointing;
	bool speculative;
	bool long_running;
	bool fills; /* uses the processor time that others leave */
	int32_t max_per_worker;
	int32_t target_ms; /* bound on its tail latency; 0: none */
	int32_t may_miss;  /* tasks that planned work may hold down at once */
	char label[LIMIT_NAME_BYTES];
	char data_rack[LIMIT_NAME_BYTES];
	char image[LIMIT_NAME_BYTES];
};

struct job_spec {
	char *text; /* handed to each task as it is */
	uint32_t step_count;
	struct job_step *steps;
	int32_t repeat_count; /* 0: runs once, at once */
	int64_t start_at_ms;  /* wall clock */
	int64_t interval_ms;
};

struct job_task {
	uint8_t state;
	uint8_t phase;
	int64_t wish_ms; /* since when its worker is to be emptied; 0: not */
	/* Start orders of this run without an answer: they may come late. */
	int32_t open_orders;
	bool stop_ok; /* its worker has confirmed the stop */
	int32_t run;
	int32_t failed;
	const char *worker; /* interned; where the newest run is or was */
	char *checkpoint;   /* NULL: none */
	/* The owner's view, not recorded. */
	int64_t since_ms;      /* of the phase */
	int64_t hold_until_ms; /* not started again before */
	int32_t percent;
	int32_t figure; /* tail latency in ms, or processor use in thousandths */
	int32_t pace;	/* percent it is held to */
	uint32_t seen;	/* number of the worker's report that listed it */
	uint32_t record; /* of the job, that holds the placement */
};

struct job {
	char id[JOB_ID_BYTES];
	char queue[LIMIT_NAME_BYTES];
	char pool[LIMIT_NAME_BYTES]; /* interned at hand-in; may be re-routed */
	bool has_spec;
	bool cancel_asked;
	bool dropping;	      /* its records are being dropped */
	enum job_state state; /* as changed in memory */
	enum job_state shown; /* as stored */
	bool started;	      /* as stored: a worker has begun some task */
	int64_t accepted_ms;  /* wall clock of the node that took it */
	int64_t ended_ms;     /* monotonic, of this node; 0: not ended */
	struct job_spec spec;
	uint32_t occurrences;
	uint32_t tasks_each; /* of an occurrence */
	struct job_task *tasks;
	bool dirty;	/* changed since the last progress record was made */
	char *progress; /* newest stored progress, NULL: none */
	int64_t given_offset;
	int64_t progress_offset;
	int64_t order;	   /* rank of hand-in */
	int64_t placed_ms; /* first placement by this owner; 0: none */
	uint32_t records;  /* progress records made by this owner */
};

struct job_store {
	GHashTable *jobs; /* id -> struct job */
	GPtrArray *list;  /* in order of hand-in */
	GPtrArray *live;  /* those that have not ended */
	int64_t next_order;
	/* Decodes the body of a hand-in; returns an error kind. */
	int (*decode)(const char *body, size_t len, struct job_spec *spec,
		      struct err *err);
};

struct job_store *job_store_create(int (*decode)(const char *body, size_t len,
						 struct job_spec *spec,
						 struct err *err));
void job_store_destroy(struct job_store *store);

/* job_spec_clear - free what a decoded specification holds */
void job_spec_clear(struct job_spec *spec);

/*
 * job_spec_check - refuse a specification that cannot be run
 *
 * RETURN VALUE
 *	0 or ERR_INVALID, with err filled in.
 */
int job_spec_check(const struct job_spec *spec, struct err *err);

/* job_valid_id - whether text is 16 hexadecimal digits */
bool job_valid_id(const char *text);

struct job *job_find(const struct job_store *store, const char *id);

/*
 * job_apply_given - apply the record of a hand-in
 *
 * A second record of the same job changes nothing.
 *
 * RETURN VALUE
 *	0, or ERR_INVALID if the record cannot be read; the job is then known
 *	as failed, so that its caller hears of it.
 */
int job_apply_given(struct job_store *store, const char *id, int64_t offset,
		    const char *record, size_t len, struct err *err);

/* job_apply_cancel - apply the record that asks for cancelling */
void job_apply_cancel(struct job_store *store, const char *id);

/*
 * job_apply_progress - apply a progress record
 *
 * own tells that this node owns the pool: its memory is newer than the
 * record, and only what callers are shown changes.
 */
int job_apply_progress(struct job_store *store, const char *id, int64_t offset,
		       const char *record, size_t len, bool own,
		       struct err *err);

/* job_forget - drop a job whose records have been dropped */
void job_forget(struct job_store *store, const char *id);

/* job_reload - return to what is stored, after ownership was lost */
void job_reload(struct job_store *store, struct job *job);

/* job_given_record, job_progress_record - records, freed with g_free */
char *job_given_record(const char *queue, const char *pool, int64_t wall_ms,
		       const char *body, size_t body_len, size_t *len);
char *job_progress_record(const struct job *job, size_t *len);

/*
 * job_stored - the progress record has been stored at that offset
 *
 * Nothing changes if a newer one has been applied.
 */
void job_stored(struct job_store *store, struct job *job, int64_t offset,
		const char *record, size_t len);

/* Position of a task. */
struct job_pos {
	struct job *job;
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	struct job_task *task;
};

/* job_task_at - task by position; all numbers must be in range */
struct job_task *job_task_at(const struct job *job, uint32_t occurrence,
			     uint32_t step, uint32_t index);

/*
 * job_next_task - step through all tasks of a job
 *
 * Begin with all but job zero; ends with false.
 */
bool job_next_task(struct job_pos *pos);

/* job_task_name - the name that workers know a task by */
void job_task_name(const struct job_pos *place, char *out, size_t size);

/* job_task_find - position of a named task; false if there is none */
bool job_task_find(const struct job_store *store, const char *name,
		   struct job_pos *place);

/* job_step_first - index of the step's first task within an occurrence */
uint32_t job_step_first(const struct job *job, uint32_t step);

/* job_step_ready - whether all steps that it depends on are done */
bool job_step_ready(const struct job *job, uint32_t occurrence, uint32_t step);

/* job_due_ms - wall clock from which an occurrence may start; 0: at once */
int64_t job_due_ms(const struct job *job, uint32_t occurrence);

/* job_chain_ms - longest chain of estimated work of one occurrence */
int64_t job_chain_ms(const struct job *job);

/* job_rest_ms - longest chain of estimated work that an occurrence still has */
int64_t job_rest_ms(const struct job *job, uint32_t occurrence);

/* job_work_left - estimated processor time, in milli-cores times ms, still to do */
double job_work_left(const struct job *job);

/* job_ended - whether a state is final */
static inline bool job_ended(enum job_state state)
{
	return state >= JOB_DONE;
}

const char *job_state_name(enum job_state state);

/*
 * job_place_task - place a task at a worker, under the next run number
 *
 * The caller writes the progress before it sends the order.
 */
void job_place_task(struct job *job, struct job_task *task, const char *worker,
		    int32_t run, int64_t now_ms);

/*
 * job_end_run - take the end of a task's newest run
 *
 * attempts bounds the failed runs, except for a long-running task.
 */
void job_end_run(struct job_pos *place, enum job_end how,
		 const char *checkpoint, int32_t attempts);

/* job_refresh - derive the job's state from its tasks; marks changes */
void job_refresh(struct job *job);

#endif
