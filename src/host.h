/*
 * NAME
 *	host - hosts as the platform lists them, and waves of maintenance
 */
#ifndef HOST_H
#define HOST_H

#include <stdbool.h>
#include <stdint.h>

#include "limit.h"

enum host_state { HOST_UP, HOST_MOVING, HOST_MAINTENANCE, HOST_DOWN };

struct host {
	char name[LIMIT_NAME_BYTES];
	char pool[LIMIT_NAME_BYTES];
	char zone[LIMIT_NAME_BYTES];
	char worker[LIMIT_NAME_BYTES]; /* its present life; empty: none */
	enum host_state state;
	int32_t cpu_milli;
};

/* An operator's order that each of these hosts is restarted once. */
struct host_wave {
	int64_t number;
	uint32_t host_count;
	char (*hosts)[LIMIT_NAME_BYTES];
	int32_t max_down; /* hosts of the wave that may be down at once */
	int64_t within_s;
};

/* Answer to an order on a host. */
enum host_outcome {
	HOST_OK, /* done, or had been done */
	HOST_FENCED,
	HOST_BUSY,    /* not up, or leaving */
	HOST_NOT_DUE, /* not of that wave */
	HOST_INVALID,
	HOST_REFUSED, /* nothing was done; try again later */
	HOST_UNKNOWN  /* no answer; it may have been done, or may yet be */
};

struct host_page {
	enum host_outcome outcome;
	uint32_t count;
	const struct host *hosts;
	const char *next; /* token of the next page; NULL: the last one */
};

typedef void host_page_fn(void *arg, const struct host_page *page);
typedef void host_order_fn(void *arg, enum host_outcome outcome);

/* Who orders: the name and the fence of the node that holds the hosts. */
struct host_holder {
	const char *name;
	int64_t fence;
};

struct host_io {
	void *io;
	/* page is NULL for the first one. */
	void (*list)(void *io, const char *page, host_page_fn *fn, void *arg);
	void (*restart)(void *io, const struct host_holder *holder,
			const char *host, int64_t wave, host_order_fn *fn,
			void *arg);
	void (*move)(void *io, const struct host_holder *holder,
		     const char *host, const char *pool, host_order_fn *fn,
		     void *arg);
};

#endif
