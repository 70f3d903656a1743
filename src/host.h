/*
 * NAME
 *	host - the platform's hosts and maintenance waves
 */
#ifndef HOST_H
#define HOST_H

#include <stdbool.h>
#include <stdint.h>

#include "limit.h"

enum {
	/* A host list that was asked for longer ago tells nothing of now. */
	HOST_LIST_AGE_MS = 1000,
	/* What is missing is gone if all lists of so long a time lack it: the pages of
	   one are read one after the other, while hosts come and go. */
	HOST_GONE_MS = 1000
};

enum host_state { HOST_UP, HOST_MOVING, HOST_MAINTENANCE, HOST_DOWN };

struct host {
	char name[LIMIT_NAME_BYTES];
	char pool[LIMIT_NAME_BYTES];
	char zone[LIMIT_NAME_BYTES];
	char worker[LIMIT_NAME_BYTES]; /* current incarnation; empty: none */
	enum host_state state;
	int32_t cpu_milli;
	int32_t mem_mib;
};

/* Maintenance wave: an operator's order to restart each of the hosts once. */
struct host_wave {
	int64_t number;
	uint32_t host_count;
	char (*hosts)[LIMIT_NAME_BYTES];
	int32_t max_down; /* hosts of the wave that may be down at once */
	int64_t within_s;
};

/* Answer to an order for a host. */
enum host_outcome {
	HOST_OK,      /* done, now or earlier */
	HOST_FENCED,  /* a node with a higher fence has ordered */
	HOST_BUSY,    /* not up, or leaving */
	HOST_NOT_DUE, /* the wave does not include the host */
	HOST_INVALID,
	HOST_REFUSED, /* not done; retry later */
	HOST_UNKNOWN  /* no answer; may have been done or may still be */
};

struct host_page {
	enum host_outcome outcome;
	uint32_t count;
	const struct host *hosts;
	const char *next; /* token of the next page; NULL: last page */
};

typedef void host_page_fn(void *arg, const struct host_page *page);
typedef void host_order_fn(void *arg, enum host_outcome outcome);

/* Node that owns the hosts, and its fencing token. */
struct host_owner {
	const char *name;
	int64_t fence;
};

struct host_io {
	void *io;
	/* page is the token of the page; NULL: first page. */
	void (*list)(void *io, const char *page, host_page_fn *fn, void *arg);
	void (*restart)(void *io, const struct host_owner *owner,
			const char *host, int64_t wave, host_order_fn *fn,
			void *arg);
	void (*move)(void *io, const struct host_owner *owner, const char *host,
		     const char *pool, host_order_fn *fn, void *arg);
};

#endif
