/*
 * NAME
 *	sizing - how many hosts each pool should have, as demand shifts
 *
 * Answers demand that goes by turns: one pool after the other is asked for
 * several times what its hosts can do, while the others stand almost idle.
 * Hosts follow the work, and hosts that nobody needs are parked in a pool
 * whose hosts are off. Pure: no network, no clock of its own.
 */
#ifndef SIZING_H
#define SIZING_H

#include <stdbool.h>
#include <stdint.h>

#include "limit.h"

enum { SIZING_HISTORY = 16 };

struct sizing_pool {
	char name[LIMIT_NAME_BYTES];
	/* Told before each decision. */
	bool standby;	      /* its hosts are off */
	int64_t wanted_milli; /* processor time that tasks run with, or wait for */
	int32_t hosts;	      /* up, or on their way here */
	int32_t movable;      /* of these, without long-running tasks, */
	int32_t idle;	      /* and without any */
	int32_t least;	      /* hosts that its long-running tasks need */
	/* Kept between decisions. */
	int64_t peak_milli; /* largest recent want */
	int64_t peak_ms;
	int64_t before_milli; /* want at before_ms, to see it rise */
	int64_t before_ms;
	int64_t rise_milli; /* that is expected while a host is on its way */
	int64_t surplus_since_ms; /* 0: none */
};

struct sizing {
	int64_t host_milli; /* processor time of a host */
};

/*
 * sizing_note - take the newest demand of a pool; before sizing_next
 *
 * While the want rises, it is taken to go on rising for the time that a host
 * needs to arrive.
 */
void sizing_note(const struct sizing *lend, struct sizing_pool *pool,
		 int64_t now_ms);

/*
 * sizing_next - the next move that is worth its price
 *
 * The caller counts the move in the pools and asks again.
 *
 * RETURN VALUE
 *	Whether there is one; from and to are then indexes.
 */
bool sizing_next(const struct sizing *lend, const struct sizing_pool *pools,
		 uint32_t count, int64_t now_ms, uint32_t *from, uint32_t *to);

/* sizing_need - hosts that a pool needs for what is wanted of it */
int32_t sizing_need(const struct sizing *lend, const struct sizing_pool *pool,
		    int64_t wanted_milli);

#endif
