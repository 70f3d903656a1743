/*
 * NAME
 *	worker - registry entries of workers and the pool owner's state of them
 *
 * A worker is one incarnation of a host: after a restart, the host runs a new
 * worker. A lease ends by the worker's clock; lease_end_ms is an upper bound of
 * that end on this node's clock.
 */
#ifndef WORKER_H
#define WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "host_view.h"
#include "job.h"
#include "limit.h"
#include "pace.h"
#include "speed.h"

enum {
	WORKER_MAX_LABELS = 8,
	WORKER_LABEL_BYTES = LIMIT_NAME_BYTES, /* as of job_step.label */
	/* Ids whose rejected entries are remembered; other ids beyond that are
	   not logged, so that writing under ever new ones fills no log. */
	WORKER_MAX_REJECTED = 1024
};

/* An entry of the registry. */
struct worker_entry {
	char id[LIMIT_NAME_BYTES];
	char pool[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES]; /* address:port */
	char zone[LIMIT_NAME_BYTES];
	char host[LIMIT_NAME_BYTES]; /* that it runs on; empty: unknown */
	bool draining;
	int64_t drain_left_ms; /* while draining: least time until it leaves */
	int64_t boot_ms;       /* wall clock of its start */
	int32_t cpu_milli;
	int32_t mem_mib;
	int32_t gpu;
	uint32_t label_count;
	char labels[WORKER_MAX_LABELS][WORKER_LABEL_BYTES];
};

/* Progress that a worker has saved for a run. */
struct worker_checkpoint {
	char *text;	    /* NULL: none, or left out */
	bool left_out;	    /* no record could hold it, or no memory was left */
	int64_t sent_bytes; /* of one that is left out, as sent */
};

/* A run that a worker reports as running. */
struct worker_run {
	char task[JOB_TASK_NAME_BYTES];
	int32_t run;
	struct worker_checkpoint checkpoint;
	int32_t percent;
	int32_t load_metric; /* tail latency in ms, or processor use in thousandths */
};

/* A run that a worker reports as ended. */
struct worker_end {
	int64_t number; /* counts from 1 since the worker's start */
	char task[JOB_TASK_NAME_BYTES];
	int32_t run;
	enum job_end how;
	struct worker_checkpoint checkpoint;
};

/* A worker's answer to the renewal of its lease. */
struct worker_report {
	int64_t clock_ms; /* of the worker */
	int64_t boot_ms;  /* wall clock of its start; 0: unknown */
	uint32_t run_count;
	struct worker_run *runs;
	uint32_t end_count;
	struct worker_end *ends; /* the oldest that are not acknowledged */
	/* The list of ends is full: others may follow once these have been
	   acknowledged. The list of runs is always complete. */
	bool more_ends;
};

void worker_report_clear(struct worker_report *report);

struct worker {
	struct worker_entry entry;
	const char *name; /* entry.id, interned like job_task.worker */
	guint number;	  /* place in the table's list */
	GPtrArray *peers; /* workers of its share of a pool, with itself */
	uint32_t hash;	  /* of its host's name; of its id if that is unknown */
	/* Most processor time that its entries have stated since its start. */
	int32_t full_cpu_milli;
	/* When this node read the first entry of its present incarnation. */
	int64_t life_seen_ms;
	bool listed;   /* the registry has an entry for it */
	bool leaving;  /* its host is to be restarted or moved */
	bool may_stay; /* it leaves, but has not been reported as empty */
	/* The rest is state of the pool's owner; see worker_reset_owner_state. */
	/* Has accepted the newest fence of this owner, see pool_life.h. */
	bool fence_accepted;
	uint32_t fence_raises; /* of the owner's fence for this worker */
	bool fences_used_up;   /* no higher one is left; it gets no tasks */
	bool bounded;  /* its lease must not be extended now, see bound.h */
	bool renewing; /* a renewal is in flight */
	int64_t renew_sent_ms;	 /* of the last one */
	int64_t renew_due_ms;	 /* its answer is missed from then on */
	bool renew_overdue;	 /* it was missed at the last look already */
	int32_t renew_repeats;	 /* since the last report, of a missed one */
	int64_t report_asked_ms; /* when the last report was asked for */
	int64_t report_part_ms;	 /* last part of the one in flight; 0: none */
	int64_t answer_begin_ms; /* that its last answer took to begin */
	bool extending;		 /* a renewal of the lease alone is in flight */
	int64_t lease_kept_ms; /* last renewal of the lease that was answered */
	int64_t boot_ms;       /* start of the worker that reported last */
	int64_t clock_ms;      /* worker's clock at clock_at_ms of this node */
	int64_t clock_at_ms;
	int64_t lease_end_ms;	/* upper bound, on this node's clock */
	int64_t lease_sent_ms;	/* of the last order that grants a lease */
	int64_t last_report_ms; /* time of the last report */
	/* Capacity in the registry entry at the last report. */
	int32_t noted_cpu_milli;
	int32_t noted_mem_mib;
	int32_t noted_gpu;
	int64_t unanswered_since_ms; /* oldest unanswered start order; 0: none */
	/* It was dead at this time, see liveness; 0: not known. */
	int64_t dead_ms;
	int64_t dead_seen_ms; /* of the newest host list that shows it dead */
	int64_t replaced_ms;  /* its host ran another one then; 0: not known */
	int64_t up_ms;	      /* its host ran it then; 0: not known */
	/* Requests of the first and the last host list in a row without its host;
	   0: the last one has it. */
	int64_t unlisted_since_ms;
	int64_t unlisted_seen_ms;
	/* Its host is missing in all lists from the first of these times to the
	   second, when they were requested; 0: it is in the last one. */
	int64_t missing_since_ms;
	int64_t missing_seen_ms;
	int64_t counted_dead_ms; /* dead_ms whose crash has been counted */
	bool lapsed;	  /* runs have lapsed there since its last report */
	int32_t starting; /* start orders in flight */
	int32_t stopping; /* stop orders in flight */
	int64_t next_renew_ms;
	int64_t avoid_until_ms; /* no new tasks before, after refusals */
	uint32_t reports;	/* received so far */
	int32_t renew_failures;
	int64_t cursor_processed; /* number of the last ended run processed */
	int64_t cursor_storing;	  /* up to which the ends are being stored */
	int64_t cursor;		  /* up to which they are stored; sent as ack */
	bool ends_left_out;	  /* by its last report; logged once */
	int32_t cpu_used_milli;	  /* by placed tasks; see place_account */
	int32_t filling_cpu_milli; /* requested by placed tasks that fill */
	int32_t mem_used_mib;
	int32_t gpu_used;
	int32_t unknown_runs; /* runs that use an unknown part of its room */
	int32_t tasks;	      /* placed tasks */
	int32_t long_running_tasks; /* placed tasks that are long-running */
	int32_t suspects; /* placed tasks under which workers crashed */
	int32_t new_tasks; /* placed tasks that may not have survived their start */
	int32_t lasting_cpu_milli; /* used by placed long-running tasks */
	int32_t lasting_mem_mib;
	bool reserved;	     /* for a task that starts or waits in quarantine */
	uint32_t held;	     /* number of a reservation in this pass; 0: none */
	double failure_rate; /* moving average over its ended runs */
	struct speed speed;  /* measured by its own clock */
	/* Longest wait for its next report, to see whether its tasks still
	   stand still; 0: as usual. */
	int64_t stall_check_ms;
	int64_t slow_until_ms; /* no new tasks before; 0: not slow */
	struct pace pace;      /* of its tasks that fill */
	bool paced;	       /* it has such tasks beside some that serve */
	int32_t pacing; /* orders in flight that change the pace of one */
};

struct worker_table {
	GHashTable *by_id;
	GPtrArray *list;
	uint32_t share_count; /* of each pool */
	GHashTable *by_pool;  /* pool -> workers of its shares */
	GPtrArray *none;      /* no workers */
	GHashTable *rejected; /* ids whose newest entry was rejected */
	bool hosts_known;     /* all entries so far have named their host */
	bool host_list_down;  /* the last request for the host list failed */
	struct host_view host_view;
};

struct worker_table *worker_table_create(void);
void worker_table_destroy(struct worker_table *table);

/* worker_table_set_shares - set the number of shares of each pool; 1 at first */
void worker_table_set_shares(struct worker_table *table, uint32_t count);

/*
 * worker_list_share - workers of a share of a pool (see share.h), listed or not
 *
 * By their newest entries, in the order of the table's list.
 */
const GPtrArray *worker_list_share(const struct worker_table *table,
				   const char *pool, uint32_t index);

struct worker *worker_find(const struct worker_table *table, const char *id);

/* worker_put - add or update a registry entry; keeps the owner's state */
struct worker *worker_put(struct worker_table *table,
			  const struct worker_entry *entry);

/* worker_unlist - note that the registry dropped it; tasks may still run */
void worker_unlist(struct worker_table *table, const char *id);

/*
 * worker_reject - note that the newest entry of an id names no worker
 *
 * A worker of that id is unlisted and keeps all else: its tasks run on, and its
 * lease is renewed while it has any, at the address of its last valid entry.
 *
 * RETURN VALUE
 *	Whether this is to be logged: the id's entry before was not rejected.
 */
bool worker_reject(struct worker_table *table, const char *id);

/* worker_reset_owner_state - reset the owner's state when the pool changes owners */
void worker_reset_owner_state(struct worker *worker);

/* worker_is_silent - whether starts or renewals remain unanswered */
bool worker_is_silent(const struct worker *worker, int64_t now_ms);

/*
 * worker_has_current_entry - whether its entry is of the life that reported last
 *
 * A worker that starts again under its id may have another capacity, which is
 * not known until both its entry and a report are of that life.
 */
bool worker_has_current_entry(const struct worker *worker);

/* worker_is_dead - whether the worker is dead and all its runs have ended */
bool worker_is_dead(const struct worker *worker);

/*
 * worker_is_replaced - whether the worker is dead and will not return
 *
 * Another worker runs on its host. An order that names this one is refused
 * there, however late it comes.
 */
bool worker_is_replaced(const struct worker *worker);

/*
 * worker_host_is_gone - whether the platform has no such host any more
 *
 * All lists of HOST_GONE_MS on end lack it.
 */
bool worker_host_is_gone(const struct worker *worker);

/* worker_has_work - whether tasks are placed, or other runs are, on the worker */
bool worker_has_work(const struct worker *worker);

bool worker_has_label(const struct worker *worker, const char *label);

/*
 * worker_clock_ms - lower bound of the worker's clock at now_ms
 *
 * Assumes that its clock runs slow by at most WORKER_CLOCK_SLACK_PERCENT.
 */
int64_t worker_clock_ms(const struct worker *worker, int64_t now_ms);

/* worker_lease_bound_ms - upper bound of the end of a lease granted now */
int64_t worker_lease_bound_ms(int64_t now_ms, int64_t lease_ms);

/* worker_lease_within_ms - longest lease granted now that is over at end_ms */
int64_t worker_lease_within_ms(int64_t now_ms, int64_t end_ms);

enum {
	WORKER_CLOCK_SLACK_PERCENT = 2,
	WORKER_LEASE_MARGIN_MS = 100,
	/* Workers usually answer orders within a few milliseconds. */
	WORKER_SILENT_MS = 300
};

#endif
