/*
 * NAME
 *	claim_window - the window of claimed keys and the processes that hold them
 *
 * Internal to module claim. A ring of entries in the order of reading, and a
 * hash table of buckets that chains their indexes.
 */
#ifndef CLAIM_WINDOW_H
#define CLAIM_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "claim.h"

enum { CLAIM_WINDOW_NONE = UINT32_MAX };

/* A process that has appended batches. */
struct claim_window_author {
	bool used;
	char process[LIMIT_ID_BYTES];
	char name[LIMIT_NAME_BYTES];
	int64_t last_batch; /* -1: none yet */
	int64_t seen_wall_ms;
	uint32_t keys; /* number of its entries in the window */
};

struct claim_window {
	int64_t window_ms;
	uint32_t max_keys;
	struct claim_window_entry *entries;
	uint32_t *buckets;
	uint32_t cap; /* of both; a power of two */
	uint64_t head;
	uint64_t tail;
	uint32_t keys; /* entries that are held */
	uint32_t author_count;
	struct claim_window_author *authors;
	/* Claims of keys with times up to this one may have been evicted or
	   never read. */
	int64_t floor_ms;
};

/* claim_window_init - set up an empty window; false if memory is short */
bool claim_window_init(struct claim_window *window, int64_t window_ms,
		       uint32_t max_keys);

/* claim_window_clear - free what the window has allocated */
void claim_window_clear(struct claim_window *window);

/* claim_window_raise_floor - raise floor_ms past wall_ms and the clock skew */
void claim_window_raise_floor(struct claim_window *window, int64_t wall_ms);

/*
 * claim_window_holder - who holds a key
 *
 * RETURN VALUE
 *	Index in authors, or CLAIM_WINDOW_NONE.
 */
uint32_t claim_window_holder(const struct claim_window *window,
			     const struct claim_key *key);

/*
 * claim_window_add - add a claim, read at this time, of a key that nobody holds
 *
 * Evicts the oldest claim if the window is full.
 */
void claim_window_add(struct claim_window *window, const struct claim_time *at,
		      const struct claim_key *key, uint32_t author);

/* claim_window_release - remove the claim of a key if the author holds it */
void claim_window_release(struct claim_window *window,
			  const struct claim_key *key, uint32_t author);

/* claim_window_evict_expired - evict claims older than the window */
void claim_window_evict_expired(struct claim_window *window,
				const struct claim_time *at);

/*
 * claim_window_author - find the author of a process, or add it
 *
 * RETURN VALUE
 *	Index in authors, or CLAIM_WINDOW_NONE if memory is short.
 */
uint32_t claim_window_author(struct claim_window *window,
			     const struct claim_time *at, const char *process,
			     const char *name);

/* claim_window_hash_key, claim_window_keys_equal - for tables by claim_key */
guint claim_window_hash_key(gconstpointer key);
gboolean claim_window_keys_equal(gconstpointer a, gconstpointer b);

#endif
