/*
 * NAME
 *	oracle - independent check of the fleet's safety properties
 *
 * Keeps its own account from the records, their results and what the entry
 * hosts of a session do. It calls nothing of fleet, so that a fault there is not
 * repeated here. The first violation of each promise is kept.
 */
#ifndef ORACLE_H
#define ORACLE_H

#include <stdint.h>

#include "record.h"

enum oracle_promise {
	ORACLE_BUDGET,	 /* a drain leaves min_available hosts of the pool */
	ORACLE_ONE_POOL, /* no two entry hosts use a host for two pools */
	ORACLE_GRACEFUL, /* nothing in flight at a drained host */
	ORACLE_NO_NEW,	 /* nothing new after the drain was applied */
	ORACLE_SETTINGS, /* versions rise; one of two racing changes wins */
	ORACLE_ONCE,	 /* a record id takes effect once */
	ORACLE_SAME,	 /* same records, same state */
	ORACLE_PROMISE_COUNT
};

/* oracle_promise_name - one or two words for tables and messages */
const char *oracle_promise_name(enum oracle_promise promise);

struct oracle;

struct oracle *oracle_create(void);
void oracle_destroy(struct oracle *oracle);

/* oracle_record - a record was stored; status is its result at its offset */
void oracle_record(struct oracle *oracle, int64_t offset,
		   const struct record *rec, int status);

/* oracle_observe - host as the state at the end of the log has it */
void oracle_observe(struct oracle *oracle, const char *host, const char *state,
		    const char *team, const char *pool);

/* oracle_send - entry host that applied records below next sends a request */
void oracle_send(struct oracle *oracle, const char *entry, const char *host,
		 const char *pool, int64_t next);

/* oracle_end - the oldest request of the entry host at the host has ended */
void oracle_end(struct oracle *oracle, const char *entry, const char *host);

/* oracle_crash - the entry host's process ended, and its requests with it */
void oracle_crash(struct oracle *oracle, const char *entry);

/*
 * oracle_cut_off - the entry host's lease ended: its requests in other data
 * centres may be interrupted (docs/PROOF.md, not proved)
 */
void oracle_cut_off(struct oracle *oracle, const char *entry,
		    const char *data_centre);

/*
 * oracle_view - at this instant the entry host would send to the host for that
 * pool; oracle_views_begin starts the views of an instant
 */
void oracle_views_begin(struct oracle *oracle);
void oracle_view(struct oracle *oracle, const char *entry, const char *host,
		 const char *pool);

/* oracle_check - check in-flight requests against the observed states */
void oracle_check(struct oracle *oracle);

/* oracle_version - the entry host uses this version of the team's settings */
void oracle_version(struct oracle *oracle, const char *entry, const char *team,
		    int64_t version);

/* oracle_bytes - hash of a replica's state before the record at next */
void oracle_bytes(struct oracle *oracle, const char *replica, int64_t next,
		  uint64_t hash);

/* oracle_violation - text of the first violation of a promise, or NULL */
const char *oracle_violation(const struct oracle *oracle,
			     enum oracle_promise promise);

/* oracle_cut_off_count - requests that oracle_cut_off excused at a drain */
uint32_t oracle_cut_off_count(const struct oracle *oracle);

#endif
