/*
 * NAME
 *	claim - claims of the keys of non-idempotent requests
 *
 * Keeps the window of claimed keys as read from the claims stream in offset
 * order, and this process's claims and releases that have not been read back.
 * Does no I/O and reads no clock. The first claim of a key holds it until its
 * holder releases it. A claim of this process is won only when it has been read
 * back, because then all earlier records of the stream are known.
 *
 * Batches of a process are numbered, and a batch is appended only after the
 * previous one has been read back. A duplicate of a batch is recognised by its
 * number, so appending is idempotent: a batch whose append has an unknown
 * outcome is appended again.
 *
 * Clocks may differ by up to LIMIT_CLAIM_SKEW_MS. A claim is evicted only once
 * claim_safe_from has passed the time of its key, regardless of its author's
 * clock.
 */
#ifndef CLAIM_H
#define CLAIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "limit.h"

struct claim;

struct claim_key {
	uint8_t bytes[16];
};

struct claim_time {
	int64_t now_ms;	 /* clock of the deadlines */
	int64_t wall_ms; /* wall clock, used for the times of keys */
};

struct claim_config {
	const char *author; /* name of the entry host */
	int64_t incarnation;
	const char *process; /* unique to the process: LIMIT_ID_BYTES */
	int64_t window_ms;
	uint32_t max_keys; /* capacity; the oldest are evicted early if full */
};

struct claim_stats {
	int64_t claims;	  /* claims accepted */
	int64_t lost;	  /* claims refused: another claim holds the key */
	int64_t releases; /* releases read back */
	int64_t too_old;  /* claims refused because of the key's time */
	int64_t invalid;  /* records that could not be parsed */
	int64_t duplicate_batches; /* duplicate batches read */
	int64_t appends;
	int64_t keys; /* keys in the window (gauge) */
};

/* claim_create - create with an empty window; NULL if memory is short */
struct claim *claim_create(const struct claim_config *config);

/* claim_destroy - free; pending claims and releases are not called back */
void claim_destroy(struct claim *claim);

/* claim_key_of - 128 bits of the SHA-256 of team and key */
struct claim_key claim_key_of(const char *team, const char *key);

/*
 * claim_acquire - claim a key for a request
 *
 * done is called exactly once, possibly before the return, with kind
 *	0		won before the deadline
 *	ERR_DUPLICATE	another claim holds the key; the text names its
 *			host
 *	ERR_GONE	the key's time is not after claim_safe_from, or is too
 *			far in the future
 *	ERR_INVALID	the deadline is further away than a quarter of the
 *			window
 *	ERR_UNAVAILABLE	not won before the deadline, too many pending
 *			claims, or out of memory
 * A claim that is won after done was called is released.
 */
void claim_acquire(struct claim *claim, const struct claim_time *at,
		   const struct claim_key *key, int64_t key_time_ms,
		   int64_t deadline_ms,
		   void (*done)(void *arg, const struct err *result),
		   void *arg);

/*
 * claim_release - release a key that was won
 *
 * done is called exactly once, possibly before the return: when the release has
 * been read back or after LIMIT_CLAIM_RELEASE_MS. Appending the release is
 * retried until it has been read back.
 */
void claim_release(struct claim *claim, const struct claim_time *at,
		   const struct claim_key *key, void (*done)(void *arg),
		   void *arg);

/*
 * claim_next_batch - next record to append
 *
 * live_members is the number of processes that share the rate of appends.
 *
 * RETURN VALUE
 *	The record's text, valid until the next call, or NULL if there is
 *	nothing to append now. The caller must append the text and call
 *	claim_append_done.
 */
const char *claim_next_batch(struct claim *claim, const struct claim_time *at,
			     uint32_t live_members);

/* claim_append_done - record the status of an append by platclient_append */
void claim_append_done(struct claim *claim, const struct claim_time *at,
		       int status);

/*
 * claim_apply_record - apply a record of the stream, in offset order
 *
 * RETURN VALUE
 *	0, or ERR_INVALID if the record is invalid and was ignored.
 */
int claim_apply_record(struct claim *claim, const struct claim_time *at,
		       const char *data, size_t len);

/* claim_report_gap - report that records before the next were lost to retention */
void claim_report_gap(struct claim *claim);

/* claim_report_end - report the end of the stream; enables appends */
void claim_report_end(struct claim *claim, const struct claim_time *at);

/* claim_tick - expire this process's claims and evict old keys */
void claim_tick(struct claim *claim, const struct claim_time *at);

/*
 * claim_safe_from - wall-clock time in ms that new keys must exceed
 *
 * All claims of keys with later times are known.
 */
int64_t claim_safe_from(const struct claim *claim, const struct claim_time *at);

/* claim_is_caught_up - whether the end of the stream has been reached */
bool claim_is_caught_up(const struct claim *claim);

struct claim_stats claim_stats(const struct claim *claim);

#endif
