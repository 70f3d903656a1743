/*
 * NAME
 *	oracle - independent check of the fleet's safety properties
 *
 * Derives its own state from the records, their results and the actions of the
 * entry hosts of a session. It does not call module fleet, so that a fault there
 * is not repeated here. Keeps the first violation of each promise.
 */
#ifndef ORACLE_H
#define ORACLE_H

#include <stdint.h>

#include "record.h"

enum oracle_promise {
	ORACLE_BUDGET,	 /* a drain leaves min_available hosts of the pool */
	ORACLE_ONE_POOL, /* entry hosts never use one host for two pools */
	ORACLE_GRACEFUL, /* no request in flight at a drained host */
	ORACLE_NO_NEW,	 /* no new request once the drain is applied */
	ORACLE_SETTINGS, /* versions only rise; one of two racing changes wins */
	ORACLE_ONCE,	 /* a record id takes effect once */
	ORACLE_SAME,	 /* the same records give the same state */
	ORACLE_PROMISE_COUNT
};

/* oracle_promise_name - one or two words for tables and messages */
const char *oracle_promise_name(enum oracle_promise promise);

struct oracle;

struct oracle *oracle_create(void);
void oracle_destroy(struct oracle *oracle);

/* oracle_record - a record was stored; status is the result of applying it */
void oracle_record(struct oracle *oracle, int64_t offset,
		   const struct record *rec, int status);

/* oracle_observe - host in the fleet state at the end of the log */
void oracle_observe(struct oracle *oracle, const char *host, const char *state,
		    const char *team, const char *pool);

/* oracle_send - an entry host that applied all records before next sends */
void oracle_send(struct oracle *oracle, const char *entry, const char *host,
		 const char *pool, int64_t next);

/* oracle_end - the oldest request of the entry host at the host has ended */
void oracle_end(struct oracle *oracle, const char *entry, const char *host);

/* oracle_crash - the entry host's process and its requests ended */
void oracle_crash(struct oracle *oracle, const char *entry);

/*
 * oracle_cut_off - the entry host's lease expired
 *
 * Its requests to other data centres may be interrupted from now on
 * (docs/PROOF.md, "Not proved").
 */
void oracle_cut_off(struct oracle *oracle, const char *entry,
		    const char *data_centre);

/*
 * oracle_view - the entry host would now send to the host for that pool
 *
 * oracle_views_begin starts a new instant and discards the views before it.
 */
void oracle_views_begin(struct oracle *oracle);
void oracle_view(struct oracle *oracle, const char *entry, const char *host,
		 const char *pool);

/* oracle_check_in_flight - check requests in flight against the observed host states */
void oracle_check_in_flight(struct oracle *oracle);

/* oracle_version - version of the team's settings at the entry host */
void oracle_version(struct oracle *oracle, const char *entry, const char *team,
		    int64_t version);

/* oracle_state_hash - hash of a replica's state after all records before next */
void oracle_state_hash(struct oracle *oracle, const char *replica, int64_t next,
		       uint64_t hash);

/* oracle_violation - text of the first violation of a promise, or NULL */
const char *oracle_violation(const struct oracle *oracle,
			     enum oracle_promise promise);

/* oracle_cut_off_count - requests excused at a drain by oracle_cut_off */
uint32_t oracle_cut_off_count(const struct oracle *oracle);

#endif
