/*
 * Events of the simulation: answers and executions that are due at a time. Internal
 * interface of its source files.
 */
#ifndef FLEET_SIM_INT_H
#define FLEET_SIM_INT_H

#include "fleet_sim.h"

enum {
	STEP_MS = 10,
	TASK_MS = 400,
	/* Orders without an answer are carried out so late, and by so much more. */
	LATE_MIN_MS = 500,
	LATE_RANGE_MS = 8000,
};

/* The io argument of one node incarnation's calls. */
struct client {
	struct sim *sim;
	int node;
	uint32_t incarnation;
};

struct event {
	int64_t at_ms;
	uint64_t number; /* orders events of the same time */
	void (*fn)(struct sim *sim, struct event *event);
	struct client client;
	/* Append. */
	struct stream_id id;
	char *producer;
	int64_t epoch;
	int64_t sequence;
	GByteArray *bytes;
	int64_t timeout_ms;
	struct stream_append_result appended;
	stream_append_fn *on_append;
	/* Read. */
	int64_t from;
	int64_t until_ms;
	stream_batch_fn *on_batch;
	bool newest;
	int64_t give_up_ms; /* when the reader no longer waits; 0: never */
	bool given_up;
	char *after; /* key that the page of newest records follows; NULL: first */
	int64_t end; /* of the stream for this answer; -1: at its delivery */
	/* Group membership. */
	char *member_name;
	struct stream_join join;
	struct stream_membership membership;
	int32_t parts[LOG_MODEL_PARTS];
	stream_member_fn *on_member;
	/* Order. */
	int worker;
	int64_t born_ms;  /* start of the worker incarnation addressed */
	int replacements; /* of the worker whose id the order names */
	bool waited;	  /* until the worker was up */
	int64_t waited_ms;
	int64_t clock_ms; /* of the worker when it executed the order */
	char *task;
	int32_t run;
	int64_t order_until_ms;
	int64_t fence;
	int64_t cursor;
	char kind; /* 's' start, 'x' stop, 'r' renew, 'p' pace */
	int32_t percent;
	enum order_outcome outcome;
	bool unanswered; /* executed after its sender timed out */
	bool sealed;	 /* report or membership is that of its sending */
	bool arriving;	 /* the report, in parts, until until_ms */
	bool lease_only; /* as of struct order_renew */
	void (*on_part)(void *arg);
	struct worker_report report;
	order_fn *on_order;
	order_renew_fn *on_renew;
	/* Host list. */
	host_page_fn *on_page;
	struct host *hosts;
	uint32_t host_count;
	/* Order for a host. */
	host_order_fn *on_host_order;
	enum host_work work;
	enum host_outcome host_outcome;
	int64_t wave;
	bool to_standby;
	void *arg;
};

uint32_t sim_random_below(struct sim *sim, uint32_t bound);

struct event *sim_event_new(const struct client *client,
			    void (*fn)(struct sim *, struct event *));
void sim_event_free(struct event *event);

/* sim_schedule - let the event happen after this time */
void sim_schedule(struct sim *sim, struct event *event, int64_t delay_ms);

/* sim_event_node - the node whose call the event belongs to */
struct sim_node *sim_event_node(struct sim *sim, const struct event *event);

/*
 * sim_can_deliver - whether the answer can be delivered now
 *
 * If not, the event is held back (node paused) or retained (node incarnation gone),
 * and must not be used again.
 */
bool sim_can_deliver(struct sim *sim, struct event *event);

/*
 * sim_check_start - check that a run may begin at the worker
 * sim_check_fitness - check that the worker may take it; not for orders carried out late
 * sim_deadly_index - number of the task among those of its job that crash the workers
 *	that start them; -1 if it is not one
 */
void sim_check_start(struct sim *sim, struct sim_worker *worker, int node,
		     const char *task);
void sim_check_fitness(struct sim *sim, const struct sim_worker *worker,
		       const struct sim_job *job, const char *task);
int sim_deadly_index(const struct sim_job *job, const char *task);

/* sim_report_violation - note the first violated invariant */
void sim_report_violation(struct sim *sim, const char *what, const char *task);

/* sim_record_end, sim_record_acknowledged - note the end of a worker's run */
void sim_record_end(void *arg, const struct worker_end *end);
void sim_record_acknowledged(void *arg, const struct worker_end *end);

/* sim_end_host_order - start the next worker of a host whose order has ended */
void sim_end_host_order(struct sim *sim, struct sim_worker *worker);

/* The interfaces of a node's calls; stream_io lacks add_record. */
struct stream_io sim_stream_io(struct client *client);
struct order_io sim_order_io(struct client *client);
struct host_io sim_host_io(struct client *client);

#endif
