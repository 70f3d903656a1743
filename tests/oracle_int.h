/*
 * NAME
 *	oracle_int - internals shared by the files of module oracle
 *
 * oracle_records.c follows the accepted records and checks budgets and
 * settings; oracle.c checks what the entry hosts do.
 */
#ifndef ORACLE_INT_H
#define ORACLE_INT_H

#include <stdbool.h>

#include "oracle.h"
#include "table.h"

enum {
	ORACLE_MAX_CHANGES = 256,
	ORACLE_MAX_REQUESTS = 256,
	ORACLE_MAX_OFFSETS = 4096
};

struct oracle_host {
	char name[LIMIT_NAME_BYTES];
	bool known;   /* listed by the platform */
	bool serving; /* according to the accepted records */
	char data_centre[LIMIT_NAME_BYTES];
	char team[LIMIT_NAME_BYTES];
	char pool[2 * LIMIT_NAME_BYTES];	/* "team/pool", or empty */
	char observed_state[LIMIT_NAME_BYTES];	/* in the fleet state */
	char viewed_pool[2 * LIMIT_NAME_BYTES]; /* at this instant, or empty */
	uint32_t change_count;
	struct {
		int64_t offset;
		bool serving;
	} changes[ORACLE_MAX_CHANGES];
};

struct oracle_member {
	char name[LIMIT_NAME_BYTES];
	bool expired;
	char data_centre[LIMIT_NAME_BYTES];
};

struct oracle_pool {
	char name[LIMIT_NAME_BYTES]; /* "team/pool", truncated */
	uint32_t min_available;
};

struct oracle_version {
	char name[LIMIT_NAME_BYTES]; /* team, or "entry team" */
	int64_t version;
};

struct oracle_accepted_id {
	char name[LIMIT_NAME_BYTES];
};

struct oracle_request {
	bool used;    /* false: free slot */
	bool cut_off; /* excused: the lease of its entry host expired */
	bool counted; /* in cut_off_count */
	char entry[LIMIT_NAME_BYTES];
	char host[LIMIT_NAME_BYTES];
	char pool[2 * LIMIT_NAME_BYTES];
};

struct oracle {
	struct table *hosts;
	struct table *pools;
	struct table *members;
	struct table *versions;	     /* in force, by team */
	struct table *seen_versions; /* at the entry hosts */
	struct table *ids;
	struct oracle_request requests[ORACLE_MAX_REQUESTS];
	bool has_hash[ORACLE_MAX_OFFSETS];
	uint64_t hashes[ORACLE_MAX_OFFSETS];
	uint32_t cut_off_count;
	char violations[ORACLE_PROMISE_COUNT][512];
};

/* oracle_find_or_add - the entity of this name */
void *oracle_find_or_add(struct table *table, const char *name);

/* oracle_report - note a violation of a promise, unless one is noted */
void oracle_report(struct oracle *oracle, enum oracle_promise promise,
		   const char *fmt, ...) __attribute__((format(printf, 3, 4)));

#endif
