/*
 * NAME
 *	host_plan - what is to be done with each host, as the log keeps it
 *
 * The node that holds the hosts asks for one; the owner of its pool empties
 * its worker and says so; the holder then gives the order. Each step is a
 * record under the host's name, so that either node may be replaced.
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
	HOST_ASKED,   /* its worker is to be emptied */
	HOST_CLEAR,   /* nothing runs there, nor will */
	HOST_ORDERED, /* the order was carried out */
};

struct host_plan {
	char host[LIMIT_NAME_BYTES];
	int64_t number; /* rises with each plan, so that late answers show */
	char worker[LIMIT_NAME_BYTES]; /* the life that ends; empty: none */
	int64_t fence;		       /* of the holder that made it */
	enum host_work work;
	enum host_step step;
	int64_t wave;		     /* of a restart */
	char pool[LIMIT_NAME_BYTES]; /* that a move leads to */
	int64_t done_wave;	     /* last one that restarted it; 0: none */
	int64_t offset;		     /* of the record */
	/* Not in the record: the plan for which its pool's owner has stored
	   HOST_CLEAR, or is about to. */
	int64_t clearing;
	int64_t earlier_ms; /* seen_ms of the plan before it; 0: none */
	int64_t seen_ms;    /* when the record was applied here */
};

struct host_plans {
	GHashTable *by_host;
	GPtrArray *list;
};

struct host_plans *host_plans_create(void);
void host_plans_destroy(struct host_plans *plans);
struct host_plan *host_plan_find(const struct host_plans *plans,
				 const char *host);

/* host_plans_highest - highest number of a plan; 0: there is none */
int64_t host_plans_highest(const struct host_plans *plans);

/* host_plan_put - keep a plan, in place of an earlier one of the host */
struct host_plan *host_plan_put(struct host_plans *plans,
				const struct host_plan *plan);

/*
 * host_plan_apply - apply a record; value NULL drops the plan
 *
 * That a worker is empty counts only for the plan that asked for it. own
 * tells that this node holds the hosts: its memory is newer than the record,
 * and only that answer changes it.
 */
int host_plan_apply(struct host_plans *plans, const char *host, int64_t offset,
		    const char *value, size_t len, bool own, int64_t now_ms,
		    struct err *err);

/* What the holder of the hosts does about a plan whose worker is empty. */
enum host_next {
	HOST_NEXT_ORDER,
	HOST_NEXT_WAIT, /* the host is not up, or its worker is not known */
	HOST_NEXT_ASK	/* another life has begun there: ask for it anew */
};

/*
 * host_plan_next - whether the host still runs the life that was emptied
 *
 * A host that crashed and came back may have been given work since.
 */
enum host_next host_plan_next(const struct host_plan *plan,
			      const struct host *host);

/* host_plan_record - record of a plan, freed with g_free */
char *host_plan_record(const struct host_plan *plan, size_t *len);

#endif
