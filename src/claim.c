#include "claim.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "claim_record.h"
#include "claim_window.h"

enum {
	RETRY_UNAVAILABLE_MS = 250,
	/* Short, because a duplicate batch is harmless. */
	RETRY_UNKNOWN_MS = 500,
	RETRY_UNREAD_MS = 3000
};

/* A claim or release of this process that has not been read back yet. */
struct item {
	struct claim_key key;
	bool release;
	bool batched;
	int64_t key_time_ms;
	int64_t deadline_ms;
	/* At most one is set; NULL once it has been called. */
	void (*claim_done)(void *arg, const struct err *result);
	void (*release_done)(void *arg);
	void *arg;
};

struct claim {
	struct claim_config config;
	char name[LIMIT_NAME_BYTES];
	char process[LIMIT_ID_BYTES];
	struct claim_stats stats;
	struct claim_window window;
	bool gap;	/* records before the next one were not read */
	bool caught_up; /* the end of the stream has been reached */

	GHashTable *items; /* by key; owns the items */
	GQueue *queue;	   /* items that are in no batch */
	GPtrArray *batch;  /* items of the batch not read back; NULL: none */
	char *text;	   /* encoding of that batch */
	int64_t batch_number;
	bool appending;
	bool may_be_appended; /* that batch may be on the log */
	bool in_tick;	      /* keeps callbacks from re-entering claim_tick */
	int64_t retry_ms;     /* earliest time to append that batch again */
	int64_t next_append_ms; /* earliest time of any append */
};

struct claim_key claim_key_of(const char *team, const char *key)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize len = sizeof(digest);
	struct claim_key out;

	/* The zero byte distinguishes "a" + "bc" from "ab" + "c". */
	g_checksum_update(sum, (const guchar *)team, (gssize)strlen(team) + 1);
	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(sum, digest, &len);
	g_checksum_free(sum);
	memcpy(out.bytes, digest, sizeof(out.bytes));
	return out;
}

struct claim *claim_create(const struct claim_config *config)
{
	struct claim *claim = calloc(1, sizeof(*claim));

	if (!claim)
		return NULL;
	claim->config = *config;
	g_strlcpy(claim->name, config->author, sizeof(claim->name));
	g_strlcpy(claim->process, config->process, sizeof(claim->process));
	claim->items = g_hash_table_new_full(
		claim_window_hash_key, claim_window_keys_equal, NULL, free);
	claim->queue = g_queue_new();
	if (!claim_window_init(&claim->window, config->window_ms,
			       config->max_keys)) {
		claim_destroy(claim);
		return NULL;
	}
	return claim;
}

void claim_destroy(struct claim *claim)
{
	if (!claim)
		return;
	g_queue_free(claim->queue);
	if (claim->batch)
		g_ptr_array_free(claim->batch, TRUE);
	g_hash_table_destroy(claim->items);
	g_free(claim->text);
	claim_window_clear(&claim->window);
	free(claim);
}

static bool is_own(const struct claim *claim, uint32_t author)
{
	return author != CLAIM_WINDOW_NONE &&
	       !strcmp(claim->window.authors[author].process, claim->process);
}

/*
 * Records that passed retention unread were appended before the first remaining
 * record, so the times of their keys are at most that record's time, apart from
 * the clock skew.
 */
static void close_gap(struct claim *claim, const struct claim_time *at,
		      int64_t at_ms)
{
	if (claim->gap)
		claim_window_raise_floor(&claim->window,
					 MIN(at_ms, at->wall_ms));
	claim->gap = false;
}

/* Claims and releases of this process */

static void free_item(struct claim *claim, struct item *item)
{
	g_hash_table_remove(claim->items, &item->key);
}

static void complete_claim(struct item *item, int kind, const char *text)
{
	void (*claim_done)(void *arg, const struct err *result) =
		item->claim_done;
	struct err result;

	item->claim_done = NULL;
	if (!claim_done)
		return;
	err_set(&result, kind, "%s", text);
	claim_done(item->arg, &result);
}

static void complete_release(struct item *item)
{
	void (*release_done)(void *arg) = item->release_done;

	item->release_done = NULL;
	if (release_done)
		release_done(item->arg);
}

static void report_duplicate(struct claim *claim, struct item *item,
			     uint32_t author)
{
	const char *holder = claim->window.authors[author].name;
	char text[LIMIT_REASON_BYTES];

	if (item->claim_done)
		claim->stats.lost++;
	snprintf(text, sizeof(text),
		 "an earlier claim by entry host %s holds the key; that "
		 "attempt may have run",
		 holder);
	complete_claim(item, ERR_DUPLICATE, text);
}

static void queue_release(struct claim *claim, struct item *item)
{
	item->release = true;
	item->batched = false;
	g_queue_push_tail(claim->queue, item);
}

/* Completes a claim of this process that has been read back. */
static void settle_claim(struct claim *claim, const struct claim_time *at,
			 struct item *item)
{
	uint32_t holder = claim_window_holder(&claim->window, &item->key);

	if (holder != CLAIM_WINDOW_NONE && !is_own(claim, holder)) {
		report_duplicate(claim, item, holder);
		free_item(claim, item);
	} else if (item->key_time_ms <= claim->window.floor_ms) {
		/* An earlier claim may have been evicted in the meantime. */
		if (item->claim_done)
			claim->stats.too_old++;
		queue_release(claim, item);
		complete_claim(
			item, ERR_GONE,
			"earlier claims of the key may be past retention");
	} else if (!item->claim_done || at->now_ms >= item->deadline_ms) {
		queue_release(claim, item);
		complete_claim(
			item, ERR_UNAVAILABLE,
			"the deadline passed before the claim was read back");
	} else {
		void (*claim_done)(void *arg, const struct err *) =
			item->claim_done;
		struct err won = { .kind = ERR_OK };
		void *arg = item->arg;

		/* Freed first, because the callback may release the key. */
		free_item(claim, item);
		claim_done(arg, &won);
	}
}

static void settle_batch(struct claim *claim, const struct claim_time *at)
{
	GPtrArray *batch = claim->batch;

	claim->batch = NULL;
	for (guint i = 0; batch && i < batch->len; i++) {
		struct item *item = batch->pdata[i];

		if (!item->release) {
			settle_claim(claim, at, item);
			continue;
		}
		claim->stats.releases++;
		complete_release(item);
		free_item(claim, item);
	}
	if (batch)
		g_ptr_array_free(batch, TRUE);
}

static void apply_record(struct claim_window *window,
			 const struct claim_time *at,
			 const struct claim_record *record, uint32_t author)
{
	const struct claim_key *releases = record->keys + record->claim_count;

	for (size_t i = 0; i < record->release_count; i++)
		claim_window_release(window, &releases[i], author);
	for (size_t i = 0; i < record->claim_count; i++)
		if (claim_window_holder(window, &record->keys[i]) ==
		    CLAIM_WINDOW_NONE)
			claim_window_add(window, at, &record->keys[i], author);
}

int claim_apply_record(struct claim *claim, const struct claim_time *at,
		       const char *data, size_t len)
{
	struct claim_record record;
	struct claim_window_author *author;
	uint32_t index;

	if (len > LIMIT_RECORD_BYTES ||
	    claim_record_parse(&record, data, len) != 0) {
		claim->stats.invalid++;
		return ERR_INVALID;
	}
	close_gap(claim, at, record.at_ms);
	index = claim_window_author(&claim->window, at, record.process,
				    record.author);
	/* Keys whose claims cannot be stored must not count as free. */
	if (index == CLAIM_WINDOW_NONE) {
		claim_window_raise_floor(&claim->window, at->wall_ms);
		return 0;
	}
	author = &claim->window.authors[index];
	author->seen_wall_ms = at->wall_ms;
	if (record.batch <= author->last_batch) {
		claim->stats.duplicate_batches++;
		return 0;
	}
	author->last_batch = record.batch;
	apply_record(&claim->window, at, &record, index);
	if (!strcmp(record.process, claim->process))
		settle_batch(claim, at);
	return 0;
}

void claim_report_gap(struct claim *claim)
{
	claim->gap = true;
}

void claim_report_end(struct claim *claim, const struct claim_time *at)
{
	close_gap(claim, at, at->wall_ms);
	claim->caught_up = true;
}

int64_t claim_safe_from(const struct claim *claim, const struct claim_time *at)
{
	return MAX(at->wall_ms - claim->config.window_ms,
		   claim->window.floor_ms);
}

/* Sets error and returns its kind if a claim cannot be appended, or 0. */
static int check_claim(struct claim *claim, const struct claim_time *at,
		       const struct item *item, struct err *error)
{
	int64_t safe_from = claim_safe_from(claim, at);
	int64_t max_wait_ms = claim->config.window_ms / 4;

	if (item->key_time_ms <= safe_from)
		return err_set(error, ERR_GONE,
			       "the key is too old to tell whether it was "
			       "used: its time is %" PRId64
			       ", keys are known from %" PRId64,
			       item->key_time_ms, safe_from);
	if (item->key_time_ms > at->wall_ms + LIMIT_CLAIM_SKEW_MS)
		return err_set(error, ERR_GONE,
			       "the key's time is %" PRId64
			       " ms ahead of this host's clock, so its age "
			       "is unknown",
			       item->key_time_ms - at->wall_ms);
	if (item->deadline_ms > at->now_ms + max_wait_ms)
		return err_set(error, ERR_INVALID,
			       "the deadline of a request with a key may be "
			       "at most %" PRId64 " ms",
			       max_wait_ms);
	if (g_hash_table_size(claim->items) >= LIMIT_CLAIMS_WAITING)
		return err_set(error, ERR_UNAVAILABLE,
			       "too many claims are pending");
	return 0;
}

/*
 * Attaches a new attempt to the pending claim of an earlier attempt that has
 * been refused in the meantime, so that a retry through the same host after an
 * outage is not answered as a duplicate.
 */
static bool join_pending_claim(struct claim *claim, const struct item *attempt)
{
	struct item *item = g_hash_table_lookup(claim->items, &attempt->key);

	if (!item || item->release || item->claim_done)
		return false;
	item->key_time_ms = MIN(item->key_time_ms, attempt->key_time_ms);
	item->deadline_ms = attempt->deadline_ms;
	item->claim_done = attempt->claim_done;
	item->arg = attempt->arg;
	return true;
}

void claim_acquire(struct claim *claim, const struct claim_time *at,
		   const struct claim_key *key, int64_t key_time_ms,
		   int64_t deadline_ms,
		   void (*done)(void *arg, const struct err *result), void *arg)
{
	uint32_t holder = claim_window_holder(&claim->window, key);
	struct item *item = calloc(1, sizeof(*item));
	struct err error = { .kind = ERR_OK };

	if (!item) {
		err_set(&error, ERR_UNAVAILABLE, "out of memory");
		done(arg, &error);
		return;
	}
	*item = (struct item){
		.key = *key,
		.key_time_ms = key_time_ms,
		.deadline_ms = deadline_ms,
		.claim_done = done,
		.arg = arg,
	};
	if (holder != CLAIM_WINDOW_NONE) {
		report_duplicate(claim, item, holder);
	} else if (check_claim(claim, at, item, &error)) {
		claim->stats.too_old += error.kind == ERR_GONE;
		complete_claim(item, error.kind, error.text);
	} else if (join_pending_claim(claim, item)) {
		claim->stats.claims++;
	} else if (g_hash_table_contains(claim->items, key)) {
		claim->stats.lost++;
		complete_claim(
			item, ERR_DUPLICATE,
			"an earlier attempt through this entry host is under "
			"way");
	} else {
		claim->stats.claims++;
		g_hash_table_insert(claim->items, &item->key, item);
		g_queue_push_tail(claim->queue, item);
		return;
	}
	free(item);
}

void claim_release(struct claim *claim, const struct claim_time *at,
		   const struct claim_key *key, void (*done)(void *arg),
		   void *arg)
{
	struct item *item = NULL;

	if (is_own(claim, claim_window_holder(&claim->window, key)) &&
	    !g_hash_table_contains(claim->items, key))
		item = calloc(1, sizeof(*item));
	if (!item) {
		done(arg);
		return;
	}
	*item = (struct item){
		.key = *key,
		.deadline_ms = at->now_ms + LIMIT_CLAIM_RELEASE_MS,
		.release_done = done,
		.arg = arg,
	};
	g_hash_table_insert(claim->items, &item->key, item);
	queue_release(claim, item);
}

/* Batches */

static size_t copy_batch_keys(const struct claim *claim, bool release,
			      struct claim_key *keys)
{
	size_t count = 0;

	for (guint i = 0; i < claim->batch->len; i++) {
		const struct item *item = claim->batch->pdata[i];

		if (item->release == release)
			keys[count++] = item->key;
	}
	return count;
}

static char *encode_batch(const struct claim *claim,
			  const struct claim_time *at)
{
	struct claim_record record = {
		.incarnation = claim->config.incarnation,
		.batch = claim->batch_number,
		.at_ms = at->wall_ms,
	};

	memcpy(record.process, claim->process, sizeof(record.process));
	memcpy(record.author, claim->name, sizeof(record.author));
	record.claim_count = copy_batch_keys(claim, false, record.keys);
	record.release_count =
		copy_batch_keys(claim, true, record.keys + record.claim_count);
	return claim_record_encode(&record);
}

static void form_batch(struct claim *claim)
{
	claim->batch = g_ptr_array_new();
	while (!g_queue_is_empty(claim->queue) &&
	       claim->batch->len < CLAIM_RECORD_KEYS) {
		struct item *item = g_queue_pop_head(claim->queue);

		item->batched = true;
		g_ptr_array_add(claim->batch, item);
	}
	claim->batch_number++;
	claim->may_be_appended = false;
}

/*
 * Returns the items of a batch that is certainly not on the log to the queue.
 * Drops claims whose request has ended, so that they are not appended.
 */
static void requeue_batch(struct claim *claim)
{
	GPtrArray *batch = claim->batch;

	claim->batch = NULL;
	for (guint i = batch->len; i > 0; i--) {
		struct item *item = batch->pdata[i - 1];

		item->batched = false;
		if (item->release || item->claim_done)
			g_queue_push_head(claim->queue, item);
		else
			free_item(claim, item);
	}
	g_ptr_array_free(batch, TRUE);
	claim->batch_number--;
}

const char *claim_next_batch(struct claim *claim, const struct claim_time *at,
			     uint32_t live_members)
{
	int64_t interval_ms = (int64_t)MAX(live_members, 1) * 1000 /
			      LIMIT_CLAIM_APPENDS_PER_S;

	claim_tick(claim, at);
	if (!claim->caught_up || claim->appending ||
	    at->now_ms < claim->next_append_ms)
		return NULL;
	if (claim->batch ? at->now_ms < claim->retry_ms
			 : g_queue_is_empty(claim->queue))
		return NULL;
	if (!claim->batch)
		form_batch(claim);
	/* Encoded with the time of this append: a process for which this is the
	   oldest remaining record assumes that all unread ones are older. */
	g_free(claim->text);
	claim->text = encode_batch(claim, at);
	claim->appending = true;
	claim->next_append_ms = at->now_ms + interval_ms;
	claim->stats.appends++;
	return claim->text;
}

void claim_append_done(struct claim *claim, const struct claim_time *at,
		       int status)
{
	claim->appending = false;
	if (!claim->batch)
		return;
	if (status == 0 || status == ERR_UNKNOWN) {
		claim->may_be_appended = true;
		claim->retry_ms = at->now_ms + (status == 0 ? RETRY_UNREAD_MS
							    : RETRY_UNKNOWN_MS);
		return;
	}
	claim->retry_ms = at->now_ms + RETRY_UNAVAILABLE_MS;
	claim->next_append_ms = claim->retry_ms;
	if (!claim->may_be_appended)
		requeue_batch(claim);
}

static void expire_item(struct claim *claim, struct item *item)
{
	if (item->release) {
		complete_release(item);
		return;
	}
	complete_claim(item, ERR_UNAVAILABLE,
		       claim->caught_up
			       ? "the platform log did not answer in time"
			       : "the claims stream was not read in time");
	/* A claim that may be on the log is kept until it is read back. */
	if (item->batched)
		return;
	g_queue_remove(claim->queue, item);
	free_item(claim, item);
}

void claim_tick(struct claim *claim, const struct claim_time *at)
{
	GHashTableIter iter;
	GPtrArray *due;
	gpointer value;

	if (claim->in_tick)
		return;
	claim->in_tick = true;
	due = g_ptr_array_new();
	g_hash_table_iter_init(&iter, claim->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;

		if ((item->claim_done || item->release_done) &&
		    at->now_ms >= item->deadline_ms)
			g_ptr_array_add(due, item);
	}
	/* The callbacks may add claims and releases, but never remove any. */
	for (guint i = 0; i < due->len; i++)
		expire_item(claim, due->pdata[i]);
	g_ptr_array_free(due, TRUE);
	claim_window_evict_expired(&claim->window, at);
	claim->in_tick = false;
}

bool claim_is_caught_up(const struct claim *claim)
{
	return claim->caught_up;
}

struct claim_stats claim_stats(const struct claim *claim)
{
	struct claim_stats stats = claim->stats;

	stats.keys = claim->window.keys;
	return stats;
}
