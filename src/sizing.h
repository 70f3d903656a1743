/*
 * NAME
 *	sizing - number of hosts of each pool, by demand
 *
 * Designed for demand that shifts between pools: one pool after the other gets
 * several times the load that its hosts can run, while the others are almost
 * idle. Hosts move to the pool with the demand, and surplus hosts to a standby
 * pool, whose hosts are off. Pure functions: no I/O, and the caller passes the
 * time.
 */
#ifndef SIZING_H
#define SIZING_H

#include <stdbool.h>
#include <stdint.h>

#include "limit.h"

enum { SIZING_HISTORY = 16, SIZING_HOST_PARTS = 1000 };

struct sizing_pool {
	char name[LIMIT_NAME_BYTES];
	/* Set by the caller before each decision. */
	bool standby; /* its hosts are off */
	/* CPU of running and ready tasks, in millicores: of jobs that can be in
	   time and of long-running ones, and of jobs that are too late. */
	int64_t demand_milli;
	int64_t late_milli;
	int32_t suspects;      /* ready tasks that wait for their quarantine */
	int32_t hosts;	       /* including those moving here */
	int32_t arriving;      /* of them, those that are moving here */
	int32_t movable;       /* hosts without long-running tasks */
	int32_t idle;	       /* movable hosts without any task */
	int32_t min_hosts;     /* hosts that its long-running tasks need */
	int64_t lasting_parts; /* of hosts, that these tasks take */
	int32_t lasting_hosts; /* hosts with such tasks, none of them leaving */
	int64_t waiting_parts; /* of lasting_parts: of tasks that wait */
	int32_t waiting_hosts; /* that a step's waiting tasks must spread over */
	int64_t oldest_ms; /* acceptance of the oldest finite task that waits */
	int32_t oldest_cpu_milli; /* its request */
	int32_t oldest_mem_mib;
	bool oldest_waits; /* there is one */
	bool oldest_fits;  /* on one of the hosts */
	/* Updated by sizing_observe. */
	int64_t waiting_since_ms; /* such tasks wait since then; 0: none does */
	int64_t unfit_since_ms; /* the oldest one fits on no host; 0: it does */
	int64_t peak_milli; /* highest recent demand, that of late jobs included */
	int64_t peak_ms;
	int64_t sample_milli; /* demand sampled at before_ms */
	int64_t sample_ms;
	int64_t rise_milli;	  /* expected rise until a moved host arrives */
	int64_t surplus_since_ms; /* 0: none */
};

struct sizing {
	int64_t host_milli; /* mean CPU of a host, in millicores */
	int32_t hosts;	    /* of all these pools together */
};

/* Mean capacity of a host; 0: not known. */
struct sizing_host {
	int64_t cpu_milli;
	int64_t mem_mib;
};

/*
 * sizing_task_parts - part of a host that a long-running task takes
 *
 * By processor or memory, whatever fewer such tasks fit by. A task that uses only
 * idle CPU has a cpu_milli of 0.
 *
 * RETURN VALUE
 *	In SIZING_HOST_PARTS of a host, from 1 on.
 */
int32_t sizing_task_parts(const struct sizing_host *host, int32_t cpu_milli,
			  int32_t mem_mib);

/*
 * sizing_observe - record a pool's demand; called before sizing_next_move
 *
 * Rising demand is extrapolated over the time that a move takes. If long-running
 * tasks have waited for a while, those at work leave no host with room for them,
 * whatever room the hosts have in sum: min_hosts is raised by hosts for them.
 */
void sizing_observe(const struct sizing *sizing, struct sizing_pool *pool,
		    int64_t now_ms);

/*
 * sizing_next_move - next move of a host that is worth its cost
 *
 * Long-running tasks come first, then jobs that can be in time: a pool with late
 * ones gives up hosts for them, but few at a time, as a host on its way does no
 * work. The caller adjusts the counts of both pools and calls again.
 *
 * RETURN VALUE
 *	Whether there is such a move; from and to are then set to pool indexes.
 */
bool sizing_next_move(const struct sizing *sizing,
		      const struct sizing_pool *pools, uint32_t count,
		      int64_t now_ms, uint32_t *from, uint32_t *to);

/* sizing_hosts_needed - number of hosts that a pool needs for a demand */
int32_t sizing_hosts_needed(const struct sizing *sizing,
			    const struct sizing_pool *pool,
			    int64_t wanted_milli);

#endif
