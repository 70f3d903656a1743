/*
 * NAME
 *	job - jobs submitted by callers: steps, tasks, runs and their states
 *
 * The store is the result of replaying the log: one record submits a job, one
 * requests its cancellation, and the newest progress record has the state of
 * its tasks. The node that owns the job's pool changes tasks in memory and
 * stores the progress before it acts on the change; all other nodes only
 * apply records. The store uses no clock, network or wire format.
 */
#ifndef JOB_H
#define JOB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "cfg.h"
#include "err.h"
#include "job_room.h"
#include "limit.h"

enum {
	JOB_ID_BYTES = 17,
	JOB_MAX_STEPS = 32,
	JOB_MAX_TASKS = 20000,
	JOB_MAX_SPEC_BYTES = 4000,
	/* Of a checkpoint that records can hold, with the final null byte. */
	JOB_CHECKPOINT_BYTES = 4000,
	JOB_TASK_NAME_BYTES = 64,
	/* Tasks of a range of a job's progress; so many fit a record of the log
	   with the longest checkpoints. */
	JOB_RANGE_TASKS = 8,
	/* A job with more tasks stores its progress in ranges from the start, so
	   that a change of one task does not write all of them. */
	JOB_WHOLE_TASKS = 512,
	/* Of a submission's name, see job_apply_submission. */
	JOB_TOKEN_BYTES = 17,
	JOB_KEY_BYTES = 40, /* of a job's record, at most */
	JOB_BOOT_TAGS = 1000000
};

enum job_state { JOB_QUEUED, JOB_RUNNING, JOB_DONE, JOB_FAILED, JOB_CANCELLED };

enum job_task_state {
	TASK_WAITING, /* not placed: never started, or its last run ended */
	TASK_PLACED,  /* assigned to a worker, where it may be running */
	TASK_DONE
};

/* State of a placed task's order, as known to the owner of the pool. */
enum job_phase {
	PHASE_UNKNOWN,	 /* placed by an earlier owner; not reported since */
	PHASE_RECORDING, /* no record has the placement yet */
	PHASE_STORING,	 /* being stored, or the stream is not read up to it */
	PHASE_STARTING,	 /* stored; the worker has not confirmed the start */
	PHASE_RUNNING,	 /* confirmed by the worker */
	PHASE_STOPPING	 /* a stop has been sent, or is about to be */
};

/* How a run ended, as reported by its worker. */
enum job_end {
	END_DONE,
	END_FAILED,
	END_STOPPED,
	END_LAPSED, /* its lease expired */
	END_BROKEN, /* another task of its gang ended */
	END_ALONE   /* the other tasks of its gang did not start */
};

struct job_step {
	int32_t count;
	int32_t cpu_milli;
	int32_t mem_mib;
	int32_t gpu;
	int32_t estimate_ms;
	uint32_t depends; /* bit i: step i must be done first */
	bool gang;
	bool tight; /* slower when it spans racks */
	bool checkpointing;
	bool speculative;
	bool long_running;
	bool uses_idle_cpu; /* uses only processor time that others leave idle */
	int32_t max_per_worker;
	int32_t target_ms; /* bound on the tail latency; 0: none */
	int32_t may_miss;  /* tasks that maintenance may stop at once */
	char label[LIMIT_NAME_BYTES];
	char data_rack[LIMIT_NAME_BYTES];
	char image[LIMIT_NAME_BYTES];
};

struct job_spec {
	char *text; /* passed to each task unchanged */
	uint32_t step_count;
	struct job_step *steps;
	int32_t repeat_count; /* 0: runs once, immediately */
	int64_t start_at_ms;  /* wall clock */
	int64_t interval_ms;
};

struct job_placed;

struct job_task {
	uint32_t number; /* among all tasks of the job */
	uint8_t state;
	uint8_t phase;
	int64_t stop_wanted_ms; /* since when a stop is wanted; 0: not wanted */
	/* Orders to start this run without an answer, which may be executed late:
	   those of this owner, or 1 if an earlier owner may have sent some. */
	int32_t unanswered_starts;
	int64_t start_sent_ms; /* of this owner's last one; 0: none */
	int64_t stop_sent_ms;  /* of the last order to stop this run; 0: none */
	bool start_settled;    /* it runs, and there are none; stored */
	bool stop_ok;	       /* its worker has confirmed the stop */
	bool gang_waits;       /* it runs, but not yet all tasks of its gang */
	bool moved_off; /* its newest run was stopped as its worker leaves */
	int32_t run;
	int32_t failed;
	int32_t crashes;     /* workers that have crashed under it */
	int32_t lapses;	     /* runs lost with a worker that may have crashed */
	int32_t crashed_run; /* newest run under which that was counted */
	const char *worker;  /* of the newest run; interned */
	/* Start of that worker, by its clock, or the tag of it that is stored, see
	   job_boot_tag; 0: unknown. */
	int64_t worker_boot_ms;
	char *checkpoint; /* see job_checkpoint; NULL: none */
	/* The rest is known to the owner only and not stored. */
	const char *reserved; /* worker kept from others for it; NULL: none */
	int64_t reserved_ms;  /* when it was reserved */
	/* Where a run lapsed that is not settled yet, see pool_settle_lapses,
	   and the start of that worker or its tag. */
	const char *lapsed_at;
	int64_t lapsed_boot_ms;
	int64_t since_ms;      /* start of the phase */
	int64_t hold_until_ms; /* not placed again before */
	int64_t waits_ms; /* since when a finite one has no room; 0: it has */
	int64_t no_reserve_until_ms; /* no reservation before, see reserve.h */
	int64_t listed_ms; /* a worker had a run of before at that time */
	/* Runs of a long-running one in a row that ended soon. */
	int32_t short_runs;
	int32_t refusals; /* starts refused as invalid since the last one */
	int64_t away_ms; /* since when it is not at work; 0: it is, or not ready */
	bool away_logged;
	int32_t percent;
	/* Tail latency in ms, or processor use in thousandths. */
	int32_t load_metric;
	/* Speed limit in percent of full speed, as its worker has confirmed; -1:
	   not known. */
	int32_t pace;
	int64_t pace_sent_ms;	/* of the last order to change it; 0: none */
	int64_t pace_ok_ms;	/* when one was answered last */
	int64_t pace_unsure_ms; /* until then one without an answer may come */
	struct job_placed *placed; /* list that it is in; NULL: none */
	guint placed_slot;	   /* its place there */
	uint32_t last_report; /* number of the last report that listed it */
	uint32_t
		placement_record; /* number of the progress record with the placement */
};

/* An occurrence that is due and not done, or that has been started. */
struct job_occurrence {
	uint32_t number;
	struct job_task tasks[]; /* all of it, by step */
};

struct job {
	char id[JOB_ID_BYTES];
	struct job_share *share; /* that lists it as live; NULL: none */
	bool idle;		 /* which of the share's lists it is in */
	int64_t idle_until_ms;	 /* wall clock, of an idle one */
	uint32_t hash;		 /* of the id */
	char queue[CFG_QUEUE_NAME_BYTES];
	/* Organisation that it belongs to, interned; "": none. */
	const char *tenant;
	/* Accepted beyond what that is entitled to submit; comes after others. */
	bool beyond_rate;
	/* Set at submission; not changed if the queue moves to another pool. */
	char pool[LIMIT_NAME_BYTES];
	/* Likewise; not known of jobs that an older build has accepted. */
	struct cfg_terms terms;
	bool has_spec;
	bool has_lasting; /* some step is long-running */
	bool cancel_requested;
	bool deleting;		     /* its records are being deleted */
	enum job_state state;	     /* as changed in memory */
	enum job_state stored_state; /* as stored; reported to callers */
	bool started;		     /* as stored: some task has started */
	int64_t accepted_ms; /* wall clock of the node that accepted it */
	int64_t ended_ms;    /* monotonic, of this node; 0: not ended */
	/* Likewise, when it read the stored end; 0: not, or as it loaded the jobs. */
	int64_t end_read_ms;
	struct job_spec spec;
	uint32_t occurrences;
	uint32_t tasks_per_occurrence; /* tasks of one occurrence */
	/* Only occurrences that are due have tasks in memory: those below opened
	   are in open, by number, or done. */
	GPtrArray *open; /* struct job_occurrence; NULL: none */
	uint32_t opened;
	struct job_room *room; /* of the store */
	int64_t counted_bytes; /* there */
	int64_t counted_tasks; /* there, as live ones */
	bool tasks_outdated;   /* progress has not been read into the tasks */
	/* Progress is stored in ranges of tasks, each in a record of its own, and
	   the progress record has the state only. Decided for good once the
	   job's progress does not fit one record. */
	bool in_ranges;
	bool *touched; /* ranges that have changed since their last record */
	GHashTable *ranges; /* number -> newest stored record; NULL: none */
	bool dirty; /* changed since the last progress record was made */
	bool has_placements; /* that the newest progress record does not have */
	bool refreshed; /* its state was derived since its tasks were read */
	char *progress; /* newest stored progress, NULL: none */
	char token[JOB_TOKEN_BYTES]; /* of the submission that holds */
	int64_t submission_offset;   /* likewise */
	GPtrArray *overtaken;	     /* tokens of the others; NULL: none */
	int64_t progress_offset;
	int64_t submission_rank; /* rank by submission */
	int64_t placed_ms;	 /* first placement by this owner; 0: none */
	uint32_t record_count;	 /* progress records made by this owner */
	/* With the last one of these, the log refused a record; 0: none. */
	uint32_t refused_record;
	int64_t store_after_ms; /* not stored again before */
	/* Newest state that this owner has published, see index.h, plus 1. */
	uint8_t published;
	bool unindexed; /* its owner has found it missing in the index once */
};

/*
 * Live jobs of a share of a pool (see share.h) whose submission has been read, and
 * where their tasks are placed, as far as their progress has been read. Those that
 * have nothing to do before their next occurrence are due are apart, so that they
 * take no processor time.
 */
struct job_share {
	GPtrArray *live;       /* struct job, in order of submission */
	GPtrArray *idle;       /* likewise: until an occurrence is due */
	GPtrArray *placed;     /* struct job_placed, none of them empty */
	GHashTable *placed_at; /* the same, by worker */
};

/* Tasks of a share that are placed on a worker. */
struct job_placed {
	struct job_share *share;
	const char *worker; /* interned */
	GArray *tasks;	    /* struct job_pos, in no order */
};

struct job_store {
	GHashTable *jobs;    /* id -> struct job */
	GPtrArray *list;     /* in order of submission */
	GPtrArray *live;     /* jobs that have not ended */
	GHashTable *cancels; /* see job_cancel.h */
	struct job_room room;
	struct job_task absent_task; /* see job_task_find */
	uint32_t share_count;	     /* of each pool */
	GHashTable *by_pool;	   /* pool -> its shares, see job_share_find */
	struct job_share no_share; /* without jobs */
	int64_t next_order;
	/* Decodes the body of a submission; returns 0 or an error kind. */
	int (*decode)(const char *body, size_t len, struct job_spec *spec,
		      struct err *err);
};

struct job_store *job_store_create(int (*decode)(const char *body, size_t len,
						 struct job_spec *spec,
						 struct err *err));
void job_store_destroy(struct job_store *store);

/* job_store_set_shares - set the number of shares of each pool; 1 at first */
void job_store_set_shares(struct job_store *store, uint32_t count);

/* job_spec_clear - free the memory that a decoded specification owns */
void job_spec_clear(struct job_spec *spec);

/*
 * job_spec_check - check that a specification can be run
 *
 * RETURN VALUE
 *	0 or ERR_INVALID, with err filled in.
 */
int job_spec_check(const struct job_spec *spec, struct err *err);

/* job_valid_id - whether text is 16 hexadecimal digits */
bool job_valid_id(const char *text);

struct job *job_find(const struct job_store *store, const char *id);

/*
 * job_apply_submission - apply the record of a submission
 *
 * A caller may send a job to several nodes, and each of them may store it, a node
 * that was cut off also long after the others. Of all submissions of a job the one
 * at the lowest offset holds. The token is that part of the record's key which tells
 * them apart ("" in records of older builds), so that the log retains each of them,
 * and a reader that starts later sees the same ones as a reader that followed.
 * Idempotent.
 *
 * RETURN VALUE
 *	0, or ERR_INVALID if the record cannot be decoded; the job is then
 *	kept as failed, so that its caller can see the failure.
 */
int job_apply_submission(struct job_store *store, const char *id,
			 const char *token, int64_t offset, const char *record,
			 size_t len, struct err *err);

/*
 * job_terms - what the job was accepted under
 *
 * Of a job that was stored without, what cfg says of its queue, which may not be
 * there any more.
 */
struct cfg_terms job_terms(const struct job *job, const struct cfg *cfg);

/*
 * job_apply_progress - apply a progress record
 *
 * own: this node owns the pool. Its tasks in memory are newer than the record,
 * so only the stored state, which callers are shown, changes.
 */
int job_apply_progress(struct job_store *store, const char *id, int64_t offset,
		       const char *record, size_t len, bool own,
		       struct err *err);

/*
 * job_apply_range - apply the record of a range of a job's tasks
 *
 * own: as of job_apply_progress.
 */
void job_apply_range(struct job_store *store, const char *id, uint32_t number,
		     int64_t offset, const char *record, size_t len, bool own);

/* job_remove - remove a job whose records have been deleted */
void job_remove(struct job_store *store, const char *id);

/* job_store_clear - remove all jobs, as their records are not followed */
void job_store_clear(struct job_store *store);

/*
 * job_reload - return to the stored state, as after a loss of ownership
 *
 * Discards changes in memory that have not been stored.
 */
void job_reload(struct job_store *store, struct job *job);

/*
 * job_load_tasks - read the newest stored progress into the tasks
 *
 * Progress of a job that this node does not own is kept unread at first.
 * job_next_task does this by itself; it is needed before job_task_at.
 */
void job_load_tasks(struct job *job);

/*
 * job_spec_is_unrated - whether the job is refused for no backlog and does not count
 * against a rate: it is long-running or scheduled
 */
static inline bool job_spec_is_unrated(const struct job_spec *spec)
{
	return spec->steps[0].long_running || spec->repeat_count > 0;
}

/* What is stored of a submission beside its body. */
struct job_origin {
	const struct cfg_queue *queue;
	const char *tenant; /* organisation that it belongs to; "": none */
	bool beyond_rate;   /* see the member of struct job */
	int64_t wall_ms;    /* when it was accepted */
};

/* job_submission_record, job_progress_record - encode a record; free with g_free */
char *job_submission_record(const struct job_origin *origin, const char *body,
			    size_t body_len, size_t *len);
char *job_progress_record(const struct job *job, size_t *len);

/*
 * job_progress_stored - note that a progress record has been stored at offset
 *
 * Has no effect if a newer record has been applied.
 */
void job_progress_stored(struct job_store *store, struct job *job,
			 int64_t offset, const char *record, size_t len);

/*
 * job_must_use_ranges - whether the job's progress has to be stored in ranges
 *
 * record_len is that of its progress record, max_bytes the most that one may
 * have. False if it is stored so already.
 */
bool job_must_use_ranges(const struct job *job, size_t record_len,
			 size_t max_bytes);

/* job_use_ranges - store the progress in ranges from now on, all of them anew */
void job_use_ranges(struct job *job);

/* job_range_remove - forget a range whose record has been deleted */
void job_range_remove(struct job *job, uint32_t number);

/*
 * job_ranges_outdated - stored ranges below the first occurrence that is not done
 *
 * Their records may be deleted after the progress record, which says that they are
 * done. Each is returned once.
 *
 * RETURN VALUE
 *	Numbers, uint32_t; free with g_array_unref.
 */
GArray *job_ranges_outdated(const struct job *job);

/* job_touch - note that a task has changed in what is stored of it */
void job_touch(struct job *job, const struct job_task *task);

/* job_range_count - number of ranges that the job's tasks make up */
uint32_t job_range_count(const struct job *job);

/*
 * job_range_record - encode a range that has changed; free with g_free
 *
 * Ranges are stored before the progress record, whose placements count as stored
 * with it.
 *
 * RETURN VALUE
 *	NULL if the range has not changed since its last record.
 */
char *job_range_record(struct job *job, uint32_t number, size_t *len);

/* job_unload_tasks - remove the tasks from memory, until they are needed again */
void job_unload_tasks(struct job *job);

/* Position of a task. */
struct job_pos {
	struct job *job;
	guint open_index; /* of its occurrence, while iterating */
	uint32_t occurrence;
	uint32_t step;
	uint32_t index;
	struct job_task *task;
};

/* job_share_find - a share of a pool; an empty one if the pool has no jobs */
const struct job_share *job_share_find(const struct job_store *store,
				       const char *pool, uint32_t index);

/*
 * job_placed_at - tasks of the share on a worker, whose name is interned
 *
 * The list changes with each placement and each end of a run, and is freed with
 * the end of its last one.
 *
 * RETURN VALUE
 *	NULL if there are none.
 */
const struct job_placed *job_placed_at(const struct job_share *share,
				       const char *worker);

/*
 * job_task_at - task by position; all numbers must be in range
 *
 * RETURN VALUE
 *	NULL if the occurrence has no tasks in memory.
 */
struct job_task *job_task_at(const struct job *job, uint32_t occurrence,
			     uint32_t step, uint32_t index);

/*
 * job_next_task - iterate over the tasks of a job that are in memory
 *
 * Start with all members zero except job. Of a job that this node does not own,
 * the newest progress is read first if it has not been.
 *
 * RETURN VALUE
 *	Whether pos is at a task; false after the last one.
 */
bool job_next_task(struct job_pos *pos);

/* job_task_name - name of the task in orders and reports */
void job_task_name(const struct job_pos *pos, char *out, size_t size);

/*
 * job_boot_tag - short form of the time of a worker's start
 *
 * Two starts of a worker differ in it. The tag of a tag is the tag itself.
 */
static inline int64_t job_boot_tag(int64_t boot_ms)
{
	return boot_ms % JOB_BOOT_TAGS;
}

/*
 * job_task_find - look a task up by name; false if there is none
 *
 * A task that is not in memory is stood for by one that is done, or that was never
 * started, until the next call.
 */
bool job_task_find(struct job_store *store, const char *name,
		   struct job_pos *pos);

/*
 * job_open_due - bring the occurrences that are due into memory
 *
 * As far as there is room; the others follow once tasks have ended. An occurrence of
 * a job without times is always due.
 */
void job_open_due(struct job *job, int64_t wall_ms);

/*
 * job_store_open_due - the same for all live jobs
 *
 * Also moves jobs between the lists of their shares, which must not be iterated.
 */
void job_store_open_due(struct job_store *store, int64_t wall_ms);

/* job_count_waiting_due - occurrences that are due and not in memory for want of room */
uint32_t job_count_waiting_due(const struct job *job, int64_t wall_ms);

/* job_close_done - remove the occurrences from memory of which all tasks are done */
void job_close_done(struct job *job);

/* job_occurrence_is_closed - whether it is done and not in memory any more */
bool job_occurrence_is_closed(const struct job *job, uint32_t occurrence);

/* job_first_undone - number of the first occurrence that is not closed */
uint32_t job_first_undone(const struct job *job);

/* job_step_first - index of the step's first task within an occurrence */
uint32_t job_step_first(const struct job *job, uint32_t step);

/* job_step_ready - whether all steps that the step depends on are done */
bool job_step_ready(const struct job *job, uint32_t occurrence, uint32_t step);

/* job_due_ms - wall clock at which an occurrence may start; 0: any time */
int64_t job_due_ms(const struct job *job, uint32_t occurrence);

/* job_critical_path_ms - estimated duration of the critical path of an occurrence */
int64_t job_critical_path_ms(const struct job *job);

/* job_remaining_path_ms - critical path of the steps that an occurrence has yet to do */
int64_t job_remaining_path_ms(const struct job *job, uint32_t occurrence);

/* job_ended - whether a state is final */
static inline bool job_ended(enum job_state state)
{
	return state >= JOB_DONE;
}

const char *job_state_name(enum job_state state);

/*
 * job_place_task - assign a task to a worker under a new run number
 *
 * boot_ms is the start of the worker. The caller stores the progress before it
 * sends the order.
 */
void job_place_task(struct job *job, struct job_task *task, const char *worker,
		    int64_t boot_ms, int32_t run, int64_t now_ms);

/*
 * job_run_confirmed - note that a worker has confirmed the start of a task
 *
 * A gang works from the confirmation of its last task on: since_ms of all its
 * tasks is reset then.
 */
void job_run_confirmed(const struct job_pos *pos, int64_t now_ms);

/*
 * job_checkpoint - what the task's next run starts from; NULL: the beginning
 *
 * All members of a gang start from the same one.
 */
const char *job_checkpoint(const struct job_pos *pos);

/* job_set_checkpoint - set or remove a task's own one; false: there is no room */
bool job_set_checkpoint(const struct job *job, struct job_task *task,
			const char *checkpoint);

/*
 * job_keep_checkpoint - keep what a run has saved; NULL: nothing
 *
 * Of a gang, the last one of any member is kept. It is stored with the next record of
 * the task, or of the gang's first member.
 *
 * RETURN VALUE
 *	false if there is no room for it (job_room.h): the task's last one holds.
 */
bool job_keep_checkpoint(const struct job_pos *pos, const char *checkpoint);

/*
 * job_end_run - record the end of a task's newest run
 *
 * A long-running task waits for its next run, however this one ended.
 *
 * The job fails with the given number of failed runs (attempts) of one task,
 * unless the task is long-running.
 */
void job_end_run(struct job_pos *pos, enum job_end how, const char *checkpoint,
		 int32_t attempts);

/* job_give_up - let the job fail because a task crashes its workers */
void job_give_up(struct job *job);

/* job_refresh - derive the job's state from its tasks; mark it if changed */
void job_refresh(struct job *job);

#endif
