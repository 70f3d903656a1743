/*
 * NAME
 *	host_plan - planned restart or move of each host, as stored in the log
 *
 * The owner of the hosts requests that a host is drained, the owner of its pool
 * drains the worker and records that, and the owner of the hosts then orders
 * the restart or move. Each step is a record under the host's name, so that
 * another node can take over from either owner.
 */
#ifndef HOST_PLAN_H
#define HOST_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"
#include "host.h"

enum host_work { HOST_RESTART, HOST_MOVE };

enum host_step {
	HOST_DRAIN_REQUESTED, /* its worker is to be drained */
	HOST_DRAINED,	      /* the worker runs no task and gets none */
	HOST_ORDER_DONE,      /* the restart or move was carried out */
};

struct host_plan {
	char host[LIMIT_NAME_BYTES];
	uint32_t hash;	/* of its name, see share_of_hash */
	int64_t number; /* rises with each plan, so late answers are detected */
	char worker[LIMIT_NAME_BYTES]; /* incarnation it ends; empty: none */
	int64_t fence;		       /* of the owner that made the plan */
	enum host_work work;
	/* An outdated record is the newest of the host; its owner has to write
	   this plan again, for nodes that start later. */
	bool hidden;
	enum host_step step;
	int64_t wave;		     /* of a restart */
	char pool[LIMIT_NAME_BYTES]; /* target of a move */
	int64_t done_wave; /* last wave that restarted the host; 0: none */
	int64_t offset;	   /* of the record */
	/* Not in the record: number of the plan for which this node, as the
	   pool's owner, has stored HOST_DRAINED or is storing it. */
	int64_t drained_number;
	int64_t previous_seen_ms; /* seen_ms of the previous plan; 0: none */
	int64_t seen_ms; /* when a record or order last changed it here */
};

struct host_plans {
	GHashTable *by_host;
	GPtrArray *list;
};

struct host_plans *host_plans_create(void);
void host_plans_destroy(struct host_plans *plans);
struct host_plan *host_plan_find(const struct host_plans *plans,
				 const char *host);

/* host_plans_last_number - highest plan number; 0 if there are no plans */
int64_t host_plans_last_number(const struct host_plans *plans);

/* host_plan_put - add a plan, or replace the host's plan; copies it */
struct host_plan *host_plan_put(struct host_plans *plans,
				const struct host_plan *plan);

/*
 * host_plan_apply - apply a record; a value of NULL removes the plan
 *
 * HOST_DRAINED is applied only to the plan that requested the drain, or as a
 * later plan that needs no drain. own means
 * that this node owns the hosts: its plans in memory are newer than the
 * records, so only HOST_DRAINED of the pool's owner is applied.
 *
 * RETURN VALUE
 *	0, also if the record was outdated and ignored, or an error code with
 *	its text in err.
 */
int host_plan_apply(struct host_plans *plans, const char *host, int64_t offset,
		    const char *value, size_t len, bool own, int64_t now_ms,
		    struct err *err);

/* Next step of the owner of the hosts for a drained host. */
enum host_next {
	HOST_NEXT_ORDER,
	HOST_NEXT_WAIT,	 /* the host is not up, or its worker is unknown */
	HOST_NEXT_REPLAN /* the worker has a new incarnation: plan again */
};

/*
 * host_plan_next - next step, by the worker's current incarnation
 *
 * A host that crashed and came back may run tasks again, so the drain of an
 * earlier incarnation does not count.
 */
enum host_next host_plan_next(const struct host_plan *plan,
			      const struct host *host);

/* host_plan_record - JSON text of a plan's record; freed with g_free */
char *host_plan_record(const struct host_plan *plan, size_t *len);

#endif
