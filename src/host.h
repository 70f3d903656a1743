/*
 * NAME
 *	host - hosts as the platform lists them, and waves of maintenance
 */
#ifndef HOST_H
#define HOST_H

#include <stdbool.h>
#include <stdint.h>

#include "lim.h"

enum host_state { HOST_UP, HOST_MOVING, HOST_MAINTENANCE, HOST_DOWN };

struct host {
	char name[LIM_NAME_BYTES];
	char pool[LIM_NAME_BYTES];
	char zone[LIM_NAME_BYTES];
	char worker[LIM_NAME_BYTES]; /* its present life; empty: none */
	enum host_state state;
	int32_t cpu_milli;
};

/* An operator's order that each of these hosts is restarted once. */
struct host_wave {
	int64_t number;
	uint32_t host_count;
	char (*hosts)[LIM_NAME_BYTES];
	int32_t max_down; /* hosts of the wave that may be down at once */
	int64_t within_s;
};

#endif
