/*
 * NAME
 *	worker - workers as the registry lists them and as their pool's owner
 *	knows them
 *
 * A worker is one life of a host. Its lease ends by its own clock; what is
 * kept here is a bound on this node's clock, later than the true end.
 */
#ifndef WORKER_H
#define WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "job.h"
#include "limit.h"
#include "speed.h"

enum { WORKER_MAX_LABELS = 8, WORKER_LABEL_BYTES = 32 };

/* An entry of the registry. */
struct worker_entry {
	char id[LIMIT_NAME_BYTES];
	char pool[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES]; /* address:port */
	char zone[LIMIT_NAME_BYTES];
	char host[LIMIT_NAME_BYTES]; /* that it is a life of; empty: not told */
	bool draining;
	int64_t drain_left_ms; /* least time until it leaves; while draining */
	int64_t born_ms;       /* wall clock of its start */
	int32_t cpu_milli;
	int32_t mem_mib;
	int32_t gpu;
	uint32_t label_count;
	char labels[WORKER_MAX_LABELS][WORKER_LABEL_BYTES];
};

/* A run that a worker lists as under way. */
struct worker_run {
	char task[JOB_TASK_NAME_BYTES];
	int32_t run;
	char *checkpoint; /* NULL: none */
	int32_t percent;
	int32_t figure; /* tail latency in ms, or processor use in thousandths */
};

/* A run that a worker lists as ended. */
struct worker_end {
	int64_t number; /* rises from 1 in each life of the worker */
	char task[JOB_TASK_NAME_BYTES];
	int32_t run;
	enum job_end how;
	char *checkpoint;
};

/* What a worker answers when its lease is renewed. */
struct worker_report {
	int64_t clock_ms; /* of the worker */
	int64_t born_ms;  /* 0: not told */
	uint32_t run_count;
	struct worker_run *runs;
	uint32_t end_count;
	struct worker_end *ends;
};

void worker_report_clear(struct worker_report *report);

struct worker {
	struct worker_entry entry;
	bool listed;  /* the registry has an entry for it */
	bool leaving; /* its host is to be restarted or moved */
	/* The rest is the pool owner's. */
	bool reached;	  /* has accepted this owner's fence */
	bool renewing;	  /* a renewal is under way */
	int64_t life_ms;  /* born_ms of the life that has reported */
	int64_t clock_ms; /* of the worker, at clock_at_ms of this node */
	int64_t clock_at_ms;
	int64_t lease_end_ms;  /* upper bound, on this node's clock */
	int64_t heard_ms;      /* of the last report */
	int64_t open_since_ms; /* oldest order without an answer; 0: none */
	/* Its life of before was over then; see life. 0: not known. */
	int64_t gone_ms;
	int32_t starting; /* start orders under way */
	int64_t next_renew_ms;
	int64_t avoid_until_ms; /* no new work after refusals and failures */
	uint32_t reports;	/* taken so far */
	int32_t renew_failures;
	int64_t cursor_seen;	 /* number of the last end taken */
	int64_t cursor_flushing; /* of those in the append under way */
	int64_t cursor;		 /* of those stored; told to the worker */
	int32_t cpu_used_milli;	 /* of placed tasks; see place */
	int32_t mem_used_mib;
	int32_t gpu_used;
	int32_t tasks;	       /* placed there, */
	int32_t lasting;       /* of these, long-running ones */
	double failure_rate;   /* of its ended runs, newest count most */
	struct speed speed;    /* by its own clock */
	int64_t slow_until_ms; /* gets no new work before; 0: not slow */
};

struct worker_table {
	GHashTable *by_id;
	GPtrArray *list;
};

struct worker_table *worker_table_create(void);
void worker_table_destroy(struct worker_table *table);
struct worker *worker_find(const struct worker_table *table, const char *id);

/* worker_put - add or update an entry; a new life starts with empty views */
struct worker *worker_put(struct worker_table *table,
			  const struct worker_entry *entry);

/* worker_unlist - the registry has dropped the entry; what ran may still run */
void worker_unlist(struct worker_table *table, const char *id);

/* worker_remove - forget a worker on which nothing can run any more */
void worker_remove(struct worker_table *table, struct worker *worker);

/* worker_disown - forget the owner's view, when a pool changes its owner */
void worker_disown(struct worker *worker);

/* worker_is_silent - whether orders or renewals stay without an answer */
bool worker_is_silent(const struct worker *worker, int64_t now_ms);

/* worker_is_gone - whether all that ran there has ended with its life */
bool worker_is_gone(const struct worker *worker);

/* worker_has_work - whether tasks are placed there */
bool worker_has_work(const struct worker *worker);

bool worker_has_label(const struct worker *worker, const char *label);

/*
 * worker_clock_ms - lower bound of the worker's clock at now_ms
 *
 * The worker's clock may run slow by WORKER_CLOCK_SLACK_PERCENT.
 */
int64_t worker_clock_ms(const struct worker *worker, int64_t now_ms);

/* worker_lease_bound_ms - when a lease of lease_ms given now surely ends */
int64_t worker_lease_bound_ms(int64_t now_ms, int64_t lease_ms);

enum {
	WORKER_CLOCK_SLACK_PERCENT = 2,
	WORKER_LEASE_MARGIN_MS = 100,
	/* Orders are answered within a few milliseconds. */
	WORKER_SILENT_MS = 300
};

#endif
