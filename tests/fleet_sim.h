/*
 * Simulation of a log service, workers and several nodes in one process, on a
 * manual clock, with seeded faults between them. Each start of a task on a
 * worker is checked against the promised invariants, independently of the
 * nodes' code. Nothing sleeps.
 */
#ifndef FLEET_SIM_H
#define FLEET_SIM_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "host_plan.h"
#include "log_model.h"
#include "node.h"
#include "rnd.h"
#include "worker_model.h"

enum {
	SIM_MAX_NODES = 40,
	SIM_MAX_WORKERS = 512,
	/* A task under which so many workers have crashed may be started fewer
	   than SIM_STARTS_BEYOND_LIMIT times more. */
	SIM_CRASH_LIMIT = 3,
	SIM_STARTS_BEYOND_LIMIT = 3,
	SIM_MAX_DEADLY_TASKS = 8,
	/* A worker that a task has crashed is back after this time. */
	SIM_CRASH_MS = 3000,
	/* From an order for a host to its next worker. */
	SIM_RESTART_MS = 2000,
	SIM_MOVE_MS = 1500,
	SIM_END_KINDS = END_ALONE + 1
};

/* What a worker's registry entry has said of its capacity. */
struct sim_capacity {
	int64_t since_ms;
	int32_t cpu_milli;
	int32_t mem_mib;
};

/* A limit of what the organisation may have running. */
struct sim_limit {
	int64_t since_ms;
	int32_t cpu_milli;
};

struct sim_worker {
	struct worker_entry entry;
	int index;
	bool up;
	bool listed;
	int64_t started_at_ms;	/* simulated time of its last start */
	int64_t restart_at_ms;	/* it returns from a crash then; 0: by a call */
	int64_t entry_delay_ms; /* from its next start to its first entry */
	int64_t list_at_ms;	/* its first entry comes then; 0: it has come */
	bool host_gone;		/* the host list has its host no more */
	int64_t drained_ms;   /* when it said that it drains; 0: it does not */
	int32_t rate_percent; /* speed of its clock, of real time */
	GArray *capacities;   /* struct sim_capacity, the newest last */
	int replacements;     /* earlier workers of its host, by other ids */
	/* Of its host: */
	bool parked;	       /* in the standby pool, without a worker */
	int64_t order_ends_ms; /* of the order under way; 0: none */
	enum host_work order;
	bool next_parked; /* the order moves it to the standby pool */
	int64_t done_wave;
	int64_t host_fence;
	int64_t host_ordered_ms; /* of the last order, in simulated time */
	struct worker_model model;
};

struct sim_node {
	struct node *node;
	struct nodeconf settings;
	bool alive;
	bool paused;
	bool cut_from_log;
	bool log_answers_lost; /* the log executes its calls, unanswered */
	bool cut_from_host_list;
	/* So many of its next reads of this topic get no answer; -1: all. */
	const char *unanswered_topic;
	int unanswered_reads;
	int64_t disrupted_ms; /* when it was last out of touch with the log */
	int job_pages;	    /* pages of newest records of jobs that it awaits */
	int most_job_pages; /* at the same time */
	uint64_t read_bytes; /* of the log's records that were sent to it */
	uint32_t incarnation;
	GPtrArray *held_back; /* answers that arrived while it was paused */
	bool cut_from_worker[SIM_MAX_WORKERS];
	/* The worker executes its orders, unanswered. */
	bool answers_lost[SIM_MAX_WORKERS];
	bool start_answers_lost; /* all workers do so with starts */
};

struct sim_faults {
	uint32_t lost_percent;	  /* log answers that are lost */
	uint32_t late_percent;	  /* appends executed late, unanswered */
	uint32_t refused_percent; /* appends refused with 503 */
	uint32_t order_lost_percent;
	uint32_t unhealthy_percent;  /* starts refused by workers */
	uint32_t order_late_percent; /* orders executed seconds late */
	bool stops_lost;	     /* stop orders are not executed */
	int64_t start_answer_ms;     /* added delay of start answers */
	/* Appends and joins that are executed and never answered: the call ends
	   at its timeout. Reads are answered. */
	uint32_t unanswered_percent;
	int64_t append_answer_ms; /* added delay of answers to appends */
	bool log_down;
	bool host_list_down;
	uint32_t
		host_lost_percent; /* answers to orders for hosts that are lost */
	/* So many of the next orders for hosts get no answer, and are carried out
	   after host_late_ms. */
	uint32_t host_late;
	int64_t host_late_ms;
};

struct sim {
	uint32_t share_hosts; /* setting of the nodes */
	int64_t lease_max_ms; /* longest that workers grant, as set at nodes */
	int64_t task_ms;      /* least duration of the tasks that start */
	int64_t crash_delay_ms; /* at work of a task that crashes its worker */
	int64_t crash_ms; /* until a worker that a task has crashed is back */
	struct clk clk;
	struct rnd rnd;
	GSequence *events;
	uint64_t next_event;
	struct log_model *log;
	/* The log sends its answers to all reads one after the other at this
	   rate; an answer holds the records of when it was queued. 0:
	   unlimited. */
	int64_t read_bytes_per_ms;
	uint32_t page_records; /* of a read of newest ones; 0: unlimited */
	bool reads_time_out;   /* the nodes give up reads that are late */
	int64_t reads_sent_us; /* when the last answer queued has been sent */
	void (*tick)(struct node *node); /* node_tick, or a wrapper of it */
	/* The nodes' decoder of registry entries, or a wrapper of it. */
	int (*decode_worker)(const char *id, const char *text, size_t len,
			     struct worker_entry *entry, struct err *err);
	bool unguarded; /* workers execute starts beyond their capacity */
	int32_t task_cpu_milli; /* of the tasks of jobs submitted from now on */
	int32_t task_mem_mib;
	bool gang;	  /* the tasks of each of their steps are a gang */
	bool fills;	  /* their tasks use the processor that others leave */
	int32_t attempts; /* of each task; see fleet_attempts_limit */
	const char
		*label; /* that workers must have for their tasks; NULL: none */
	const char *tenant; /* that all jobs belong to; "": none */
	/* Limits of what it has running, struct sim_limit, the newest last. */
	GArray *limits;
	bool limits_hidden; /* the configuration has none */
	/* The tail of tasks that serve, alone, and what a task that fills adds at
	   full speed, see fleet_pace.h. */
	int32_t tail_ms;
	int32_t added_ms;
	bool paces_ignored; /* workers do not carry out orders to change it */
	/* Runs save checkpoints, see fleet_saved.h; such as no record can hold. */
	bool saves;
	bool saves_unstorable;
	int32_t report_ms;     /* longest time that a report takes to arrive */
	uint32_t fail_percent; /* of the runs fail at their end */
	bool runs_succeed;     /* no run fails */
	int32_t deadly_tasks;  /* of the deadly jobs submitted from now on */
	bool deadly_at_work;   /* those of a gang crash once it is complete */
	bool hosts_obey; /* orders for hosts are carried out, else refused */
	bool keep_ids;	 /* a restarted host's worker has the same id */
	/* A worker restarted under its id refuses late orders of before. */
	bool refuse_old_orders;
	/* How long an order waits for a worker that is down; 0: it is lost. */
	int64_t order_wait_ms;
	/* An order without an answer ends at the time-out that the platform's
	   client sets, and is executed 2 to 12 s after it was sent. */
	bool order_timeouts;
	/* Answers to a paused node say what was so when they were sent. */
	bool stale_answers;
	/* Orders to a worker that is cut off which are executed late. */
	uint32_t cut_late_percent;
	struct sim_faults faults;
	int node_count;
	struct sim_node nodes[SIM_MAX_NODES];
	int worker_count;
	struct sim_worker workers[SIM_MAX_WORKERS];
	GPtrArray *retained; /* of killed nodes; kept reachable */
	/* State of the checks. */
	GHashTable *acknowledged; /* tasks whose success was acknowledged */
	GHashTable *done;	  /* tasks that succeeded on any worker */
	GHashTable *jobs;	  /* id -> struct sim_job */
	struct fleet_attempts *failures; /* failed runs of each task */
	GHashTable *carried; /* run of a gang -> checkpoint of its starts */
	char *last_carried;  /* by the last start order; NULL: none yet */
	uint32_t started;
	uint32_t
		ended[SIM_END_KINDS]; /* runs at the workers, by enum job_end */
	uint32_t starts_in_flight;    /* start orders in flight */
	uint32_t max_starts_in_flight; /* maximum so far */
	uint32_t stops_in_flight;      /* stop orders in flight */
	uint32_t max_stops_in_flight;  /* maximum so far */
	/* Hosts that the last wave allows to be restarted at once; 0: not checked. */
	int32_t wave_max_down;
	char broken[256]; /* first violated invariant; empty: none */
};

struct sim_job {
	char id[JOB_ID_BYTES];
	int32_t steps;
	int32_t width;
	int32_t cpu_milli; /* of each task */
	int32_t mem_mib;
	int64_t task_ms; /* least duration of its tasks; 0: that of the sim */
	bool accepted;
	bool cancel_requested; /* may take effect without an answer */
	bool rejected;
	int64_t cancelled_ms; /* time of the acknowledged cancel; 0: none */
	/* Its first tasks crash each worker that starts them. */
	bool deadly;
	int32_t deadly_tasks;
	bool gang;
	bool lasting;		/* its tasks run until they are stopped */
	int32_t target_ms;	/* of its tasks' response times; 0: none */
	bool fills;		/* its tasks use what others leave */
	const char *label;	/* that its tasks require; NULL: none */
	bool invalid;		/* workers refuse its starts as invalid */
	bool fails_at_once;	/* its runs fail after a short time */
	int32_t starts;		/* of its tasks */
	int32_t starts_refused; /* as it is invalid */
	int32_t crashes;	/* of workers under these tasks */
	int32_t crashes_met;	/* of any worker, under its runs */
	int32_t crashes_of[SIM_MAX_DEADLY_TASKS];
	/* After SIM_CRASH_LIMIT crashes. */
	int32_t starts_beyond_limit[SIM_MAX_DEADLY_TASKS];
};

/*
 * sim_create - create a simulation with running nodes and workers
 *
 * It is kept until the process ends, as are killed nodes and answers to them.
 */
struct sim *sim_create(uint64_t seed, int nodes, int workers);

/* sim_create_shared - the same, with pools in shares of so many hosts each */
struct sim *sim_create_shared(uint64_t seed, int nodes, int workers,
			      uint32_t share_hosts);

/* sim_create_sized - the same, with large nodes first, then small ones */
struct sim *sim_create_sized(uint64_t seed, int large, int small, int workers);

/* sim_reserve_room - let the nodes reserve room for large tasks, see reserve.h */
void sim_reserve_room(struct sim *sim);

/* sim_set_lease_max - set the longest lease that workers grant, also at the nodes */
void sim_set_lease_max(struct sim *sim, int64_t lease_max_ms);

/* sim_renewal_in_flight - whether the worker is to answer one, or has not yet */
bool sim_renewal_in_flight(const struct sim *sim, int worker);

/*
 * sim_next_late_start_ms - when the next start without an answer is due at the worker
 *
 * RETURN VALUE
 *	-1: none is.
 */
int64_t sim_next_late_start_ms(const struct sim *sim, int worker);

/* sim_run_for - advance the simulated time */
void sim_run_for(struct sim *sim, int64_t ms);

/*
 * sim_submit_job - submit a job to a live node
 *
 * The job has the given number of steps, each of width tasks, and each step
 * depends on the previous one.
 *
 * RETURN VALUE
 *	The job, owned by the simulation; whether it was accepted is known
 *	only after time has passed.
 */
struct sim_job *sim_submit_job(struct sim *sim, int node, int32_t steps,
			       int32_t width);
/* When the occurrences of a job are due, in simulated time. */
struct sim_times {
	int32_t count;
	int64_t start_ms;
	int64_t interval_ms;
};
/* sim_submit_schedule - the same; the job is repeated */
struct sim_job *sim_submit_schedule(struct sim *sim, int node, int32_t steps,
				    int32_t width,
				    const struct sim_times *times);
/* sim_submit_deadly_job - the same; its first task crashes workers */
struct sim_job *sim_submit_deadly_job(struct sim *sim, int node, int32_t steps,
				      int32_t width);
/* sim_submit_lasting_job - one step of long-running tasks, one to a worker */
struct sim_job *sim_submit_lasting_job(struct sim *sim, int node,
				       int32_t width);
/* sim_submit_serving_job - the same, with a target of their response times */
struct sim_job *sim_submit_serving_job(struct sim *sim, int node, int32_t width,
				       int32_t target_ms);
/*
 * sim_order_wave - let an operator order a wave of all hosts
 *
 * Needs hosts_obey.
 */
void sim_order_wave(struct sim *sim, int64_t number, int32_t max_down,
		    int64_t within_s);
/* sim_add_standby_pool - let the nodes move hosts to a standby pool and back */
void sim_add_standby_pool(struct sim *sim);
/* sim_plan_restart - record that the worker's host is to be drained */
void sim_plan_restart(struct sim *sim, int worker);
/* sim_plan_move - the same, for a move to another pool */
void sim_plan_move(struct sim *sim, int worker, const char *pool);
void sim_cancel(struct sim *sim, int node, struct sim_job *job);

/*
 * sim_get_job_state - state of a job as reported by a node
 *
 * Advances the time by 500 ms.
 *
 * RETURN VALUE
 *	An enum job_state; -1 if the node does not know the job.
 */
int sim_get_job_state(struct sim *sim, int node, const char *id);

/* sim_restart_with_slow_link - restart a node with a link too slow to be a decider */
void sim_restart_with_slow_link(struct sim *sim, int node);

void sim_kill(struct sim *sim, int node);
void sim_start(struct sim *sim, int node);
void sim_pause(struct sim *sim, int node);
void sim_resume(struct sim *sim, int node);
void sim_crash_worker(struct sim *sim, int worker);

/* sim_lose_host - crash the worker for good, with its host; the registry drops it */
void sim_lose_host(struct sim *sim, int worker);

/* sim_restart_worker - start it under its id; see also entry_delay_ms */
void sim_restart_worker(struct sim *sim, int worker);
/* sim_set_configuration - store the configuration; guarded: of the workers */
void sim_set_configuration(struct sim *sim, bool guarded);
/* sim_put_version - store another version of the configuration */
void sim_put_version(struct sim *sim, int64_t version);
/* sim_replace_worker - start another worker, with an id of its own, on its host */
void sim_replace_worker(struct sim *sim, int worker);
/* sim_set_worker_listed - add the worker's entry to the registry or delete it */
void sim_set_worker_listed(struct sim *sim, int worker, bool listed);
/* sim_drain_worker - let the worker say that it drains, as before a shutdown */
void sim_drain_worker(struct sim *sim, int worker);

#endif
