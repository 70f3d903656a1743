/*
 * NAME
 *	claim - claims of the keys of non-idempotent requests
 *
 * Keeps the window of claimed keys as read from the claims stream in offset
 * order, and this process's own claims and releases on their way there. Makes
 * no calls and reads no clock. The first claim of a key holds it until its
 * holder releases it. A claim of this process is won only when it was read
 * back, so that everything before it on the stream is known.
 *
 * Batches of a process are numbered, and one is appended only when the one
 * before was read back. A copy of a batch is therefore known by its number,
 * and a batch whose append has an unknown outcome is simply appended again.
 *
 * All clocks may differ by LIMIT_CLAIM_SKEW_MS. A claim is forgotten only after
 * safe_from has passed the time of its key, whatever its author's clock says.
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
	int64_t now_ms;	 /* of the clock that deadlines use */
	int64_t wall_ms; /* of the wall clock, which key times use */
};

struct claim_config {
	const char *author; /* name of the entry host */
	int64_t incarnation;
	const char *process; /* unique to the process: LIMIT_ID_BYTES */
	int64_t window_ms;
	uint32_t max_keys; /* beyond it, the oldest are forgotten early */
};

struct claim_stats {
	int64_t claims;	  /* accepted to be appended */
	int64_t lost;	  /* answered as held by another claim */
	int64_t releases; /* read back */
	int64_t too_old;  /* refused for the key's time */
	int64_t invalid;  /* records that could not be parsed */
	int64_t copies;	  /* batches read again */
	int64_t appends;
	int64_t keys; /* held in the window */
};

/* claim_create - nothing read yet; NULL if memory is short */
struct claim *claim_create(const struct claim_config *config);

/* claim_destroy - drops own claims and releases without calling back */
void claim_destroy(struct claim *claim);

/* claim_key_of - 128 bits of the SHA-256 of team and key */
struct claim_key claim_key_of(const char *team, const char *key);

/*
 * claim_claim - claim a key for a request
 *
 * done is called once, at once or later, with kind
 *	0		won before the deadline
 *	ERR_DUPLICATE	another claim holds the key; the text names its host
 *	ERR_GONE	the key's time is not after safe_from, or too far ahead
 *	ERR_INVALID	the deadline is further than a quarter of the window
 *	ERR_UNAVAILABLE	not won before the deadline, or too many claims wait
 * A claim that is won after done was called is released.
 */
void claim_claim(struct claim *claim, const struct claim_time *at,
		 const struct claim_key *key, int64_t key_time_ms,
		 int64_t deadline_ms,
		 void (*done)(void *arg, const struct err *result), void *arg);

/*
 * claim_release - release a key that was won
 *
 * done is called once, when the release was read back or after
 * LIMIT_CLAIM_RELEASE_MS. The release is appended until it was read back.
 */
void claim_release(struct claim *claim, const struct claim_time *at,
		   const struct claim_key *key, void (*done)(void *arg),
		   void *arg);

/*
 * claim_batch - record to append now
 *
 * RETURN VALUE
 *	Its text, valid until the next call, or NULL if nothing is to be
 *	appended now. After a text, claim_appended must be called.
 */
const char *claim_batch(struct claim *claim, const struct claim_time *at,
			uint32_t live_members);

/* claim_appended - outcome of the append, as platclient_append reports it */
void claim_appended(struct claim *claim, const struct claim_time *at,
		    int status);

/*
 * claim_read - apply a record of the stream; records come in offset order
 *
 * RETURN VALUE
 *	0, or ERR_INVALID for a record that is ignored.
 */
int claim_read(struct claim *claim, const struct claim_time *at,
	       const char *data, size_t len);

/* claim_gap - records before the next one have passed retention unread */
void claim_gap(struct claim *claim);

/* claim_end - the end of the stream was reached; nothing is appended before */
void claim_end(struct claim *claim, const struct claim_time *at);

/* claim_tick - ends claims past their deadline and forgets old keys */
void claim_tick(struct claim *claim, const struct claim_time *at);

/* claim_safe_from - wall time that the time of a new key must be after */
int64_t claim_safe_from(const struct claim *claim, const struct claim_time *at);

/* claim_current - whether the end of the stream was reached once */
bool claim_current(const struct claim *claim);

struct claim_stats claim_stats(const struct claim *claim);

#endif
