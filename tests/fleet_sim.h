/*
 * A log service, workers and several nodes in one process, on a manual clock,
 * with seeded faults between them. The workers judge every start, apart from
 * the nodes' own code. Nothing sleeps.
 */
#ifndef FLEET_SIM_H
#define FLEET_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "log_model.h"
#include "node.h"
#include "rnd.h"
#include "worker_model.h"

enum { SIM_MAX_NODES = 4, SIM_MAX_WORKERS = 512 };

struct sim_worker {
	struct worker_entry entry;
	int index;
	bool up;
	bool listed;
	int64_t born_at_ms;   /* of the simulation */
	int32_t rate_percent; /* of its clock */
	struct worker_model model;
};

struct sim_node {
	struct node *node;
	struct nodeconf settings;
	bool alive;
	bool paused;
	bool cut_from_log;
	uint32_t life;
	GPtrArray *held_back; /* answers that came while it was paused */
	bool cut_from_worker[SIM_MAX_WORKERS];
};

struct sim_faults {
	uint32_t lost_percent;	  /* answers of the log that get lost */
	uint32_t late_percent;	  /* appends carried out late, unanswered */
	uint32_t refused_percent; /* 503 of the log */
	uint32_t order_lost_percent;
	uint32_t unhealthy_percent;  /* starts that a worker refuses */
	uint32_t order_late_percent; /* orders carried out seconds late */
	int64_t start_answer_ms;     /* more that answers to starts take */
	bool log_down;
};

struct sim {
	struct clk clk;
	struct rnd rnd;
	GSequence *events;
	uint64_t next_event;
	struct log_model *log;
	void (*tick)(
		struct node *node); /* node_tick, or one that measures it */
	struct sim_faults faults;
	int node_count;
	struct sim_node nodes[SIM_MAX_NODES];
	int worker_count;
	struct sim_worker workers[SIM_MAX_WORKERS];
	GPtrArray *dropped; /* what dead nodes left, kept reachable */
	/* Judged. */
	GHashTable *noted; /* tasks whose end done was acknowledged */
	GHashTable *done;  /* tasks that ended done somewhere */
	GHashTable *jobs;  /* id -> struct sim_job */
	uint32_t started;
	uint32_t starts_open;	   /* start orders under way */
	uint32_t most_starts_open; /* at any time */
	char broken[256];	   /* the first broken promise; empty: none */
};

struct sim_job {
	char id[JOB_ID_BYTES];
	int32_t steps;
	int32_t width;
	bool accepted;
	bool cancel_asked; /* it may be in force without an answer */
	bool refused_for_good;
	int64_t cancelled_ms; /* when the cancel was acknowledged; 0: not */
};

/* sim_create - kept until the process ends, as dead nodes' answers are */
struct sim *sim_create(uint64_t seed, int nodes, int workers);

/* sim_run_for - let time pass */
void sim_run_for(struct sim *sim, int64_t ms);

/* sim_hand_in - hand a job of so many steps and tasks in at a live node */
struct sim_job *sim_hand_in(struct sim *sim, int node, int32_t steps,
			    int32_t width);
void sim_cancel(struct sim *sim, int node, struct sim_job *job);

/* sim_state - state of a job as a node shows it; -1: not known there */
int sim_state(struct sim *sim, int node, const char *id);

/* sim_make_small - start a node anew with a link too slow to decide */
void sim_make_small(struct sim *sim, int node);

void sim_kill(struct sim *sim, int node);
void sim_start(struct sim *sim, int node);
void sim_pause(struct sim *sim, int node);
void sim_resume(struct sim *sim, int node);
void sim_crash_worker(struct sim *sim, int worker);
void sim_restart_worker(struct sim *sim, int worker);
/* sim_list_worker - whether the registry has the worker's entry */
void sim_list_worker(struct sim *sim, int worker, bool listed);

#endif
