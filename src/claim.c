#include "claim.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "jcursor.h"

enum {
	NONE = UINT32_MAX,
	FIRST_ENTRIES = 1024,
	KEY_HEX_BYTES = 33,
	/* A batch of so many keys has at most 22 KiB. */
	BATCH_KEYS = 600,
	RETRY_UNAVAILABLE_MS = 250,
	/* A copy does no harm, so there is no need to wait for long. */
	RETRY_UNKNOWN_MS = 500,
	RETRY_UNREAD_MS = 3000
};

/* A process that appended batches. */
struct author {
	bool used;
	char process[LIMIT_ID_BYTES];
	char name[LIMIT_NAME_BYTES];
	int64_t last_batch;
	int64_t seen_wall_ms;
	uint32_t keys; /* entries of the window */
};

/* A claim of the window, in the order of reading. */
struct entry {
	struct claim_key key;
	uint32_t next;	 /* in its bucket, or NONE */
	uint32_t author; /* NONE: released */
	int64_t read_wall_ms;
};

/* A claim or release of this process that was not read back yet. */
struct item {
	struct claim_key key;
	bool release;
	bool batched;
	int64_t key_time_ms;
	int64_t deadline_ms;
	/* NULL: called already */
	void (*claimed)(void *arg, const struct err *result);
	void (*released)(void *arg);
	void *arg;
};

struct claim {
	struct claim_config config;
	char name[LIMIT_NAME_BYTES];
	char process[LIMIT_ID_BYTES];
	struct claim_stats stats;

	/* Window: a ring of entries, and buckets with chains of indexes. */
	struct entry *entries;
	uint32_t *buckets;
	uint32_t cap; /* of both; a power of two */
	uint64_t head;
	uint64_t tail;
	uint32_t author_count;
	struct author *authors;

	/* Keys with times up to this one may have been forgotten. */
	int64_t floor_ms;
	bool gap;
	bool current;

	GHashTable *items; /* by key */
	GQueue *queue;
	GPtrArray *batch; /* items of the batch not read back; NULL: none */
	char *text;	  /* of that batch */
	int64_t batch_number;
	bool appending;
	bool maybe_appended;
	bool ticking; /* a callee must not start a second pass */
	int64_t retry_ms;
	int64_t next_append_ms;
};

static guint hash_key(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

static gboolean same_key(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct claim_key));
}

struct claim_key claim_key_of(const char *team, const char *key)
{
	GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize len = sizeof(digest);
	struct claim_key out;

	/* The zero byte keeps "a" + "bc" apart from "ab" + "c". */
	g_checksum_update(sum, (const guchar *)team, (gssize)strlen(team) + 1);
	g_checksum_update(sum, (const guchar *)key, (gssize)strlen(key));
	g_checksum_get_digest(sum, digest, &len);
	g_checksum_free(sum);
	memcpy(out.bytes, digest, sizeof(out.bytes));
	return out;
}

/* Replaces the window by an empty one; false, and no change, if memory is
   short. The former arrays are the caller's. */
static bool alloc_window(struct claim *claim, uint32_t cap)
{
	struct entry *entries = calloc(cap, sizeof(*entries));
	uint32_t *buckets = malloc(cap * sizeof(*buckets));

	if (!entries || !buckets) {
		free(entries);
		free(buckets);
		return false;
	}
	memset(buckets, 0xff, cap * sizeof(*buckets));
	claim->entries = entries;
	claim->buckets = buckets;
	claim->cap = cap;
	return true;
}

struct claim *claim_create(const struct claim_config *config)
{
	struct claim *claim = calloc(1, sizeof(*claim));

	if (!claim)
		return NULL;
	claim->config = *config;
	g_strlcpy(claim->name, config->author, sizeof(claim->name));
	g_strlcpy(claim->process, config->process, sizeof(claim->process));
	claim->floor_ms = INT64_MIN;
	claim->items = g_hash_table_new_full(hash_key, same_key, NULL, free);
	claim->queue = g_queue_new();
	if (!alloc_window(claim, FIRST_ENTRIES)) {
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
	free(claim->entries);
	free(claim->buckets);
	free(claim->authors);
	free(claim);
}

/* Window */

static uint32_t *bucket_of(struct claim *claim, const struct claim_key *key)
{
	return &claim->buckets[hash_key(key) & (claim->cap - 1)];
}

/* What points to the entry with the key: its bucket or the entry before. */
static uint32_t *find_link(struct claim *claim, const struct claim_key *key)
{
	uint32_t *link = bucket_of(claim, key);

	while (*link != NONE && !same_key(&claim->entries[*link].key, key))
		link = &claim->entries[*link].next;
	return link;
}

/* Index of the author who holds the key, or NONE. */
static uint32_t holder_of(struct claim *claim, const struct claim_key *key)
{
	uint32_t index = *find_link(claim, key);

	return index == NONE ? NONE : claim->entries[index].author;
}

static void remove_entry(struct claim *claim, uint32_t *link)
{
	struct entry *entry = &claim->entries[*link];

	claim->authors[entry->author].keys--;
	entry->author = NONE;
	*link = entry->next;
	claim->stats.keys--;
}

static void raise_floor(struct claim *claim, int64_t wall_ms)
{
	if (wall_ms + LIMIT_CLAIM_SKEW_MS > claim->floor_ms)
		claim->floor_ms = wall_ms + LIMIT_CLAIM_SKEW_MS;
}

static void forget_oldest(struct claim *claim)
{
	struct entry *entry = &claim->entries[claim->head & (claim->cap - 1)];

	if (entry->author != NONE) {
		raise_floor(claim, entry->read_wall_ms);
		remove_entry(claim, find_link(claim, &entry->key));
	}
	claim->head++;
}

static void append_entry(struct claim *claim, const struct entry *source)
{
	uint32_t index = (uint32_t)(claim->tail++ & (claim->cap - 1));
	uint32_t *bucket = bucket_of(claim, &source->key);

	claim->entries[index] = *source;
	if (source->author == NONE)
		return;
	claim->entries[index].next = *bucket;
	*bucket = index;
}

static void grow_window(struct claim *claim)
{
	struct entry *entries = claim->entries;
	uint32_t *buckets = claim->buckets;
	uint32_t cap = claim->cap;
	uint64_t head = claim->head, tail = claim->tail;

	if (cap * 2 > claim->config.max_keys || !alloc_window(claim, cap * 2)) {
		forget_oldest(claim);
		return;
	}
	claim->head = claim->tail = 0;
	for (uint64_t i = head; i < tail; i++)
		append_entry(claim, &entries[i & (cap - 1)]);
	free(entries);
	free(buckets);
}

static void add_entry(struct claim *claim, const struct claim_time *at,
		      const struct claim_key *key, uint32_t author)
{
	struct entry entry = {
		.key = *key,
		.author = author,
		.read_wall_ms = at->wall_ms,
	};

	if (claim->tail - claim->head == claim->cap)
		grow_window(claim);
	append_entry(claim, &entry);
	claim->authors[author].keys++;
	claim->stats.keys++;
}

static bool is_past_window(const struct claim *claim,
			   const struct claim_time *at, int64_t wall_ms)
{
	return wall_ms + claim->config.window_ms + LIMIT_CLAIM_SKEW_MS <
	       at->wall_ms;
}

static void forget_old(struct claim *claim, const struct claim_time *at)
{
	while (claim->head < claim->tail &&
	       is_past_window(claim, at,
			      claim->entries[claim->head & (claim->cap - 1)]
				      .read_wall_ms))
		forget_oldest(claim);
}

/* Index of the author, added if it is new; NONE if memory is short. */
static uint32_t author_of(struct claim *claim, const struct claim_time *at,
			  const char *process, const char *name)
{
	uint32_t slot = NONE;
	struct author *author;

	for (uint32_t i = 0; i < claim->author_count; i++) {
		author = &claim->authors[i];
		if (author->used && !strcmp(author->process, process))
			return i;
		if (author->used && author->keys == 0 &&
		    is_past_window(claim, at, author->seen_wall_ms))
			author->used = false;
		if (!author->used)
			slot = i;
	}
	if (slot == NONE) {
		author = realloc(claim->authors, (claim->author_count +
						  1) * sizeof(*claim->authors));
		if (!author)
			return NONE;
		claim->authors = author;
		slot = claim->author_count++;
	}
	author = &claim->authors[slot];
	*author = (struct author){ .used = true, .last_batch = -1 };
	g_strlcpy(author->process, process, sizeof(author->process));
	g_strlcpy(author->name, name, sizeof(author->name));
	return slot;
}

static bool is_own(const struct claim *claim, uint32_t author)
{
	return author != NONE &&
	       !strcmp(claim->authors[author].process, claim->process);
}

/* Records */

struct record {
	char process[LIMIT_ID_BYTES];
	char author[LIMIT_NAME_BYTES];
	int64_t batch;
	int64_t at_ms;
	size_t claim_count;
	size_t release_count;
	struct claim_key keys[2 * BATCH_KEYS]; /* claims, then releases */
};

static void key_to_hex(const struct claim_key *key, char *hex)
{
	for (size_t i = 0; i < sizeof(key->bytes); i++)
		snprintf(hex + 2 * i, 3, "%02x", key->bytes[i]);
}

static void read_key(const struct jcursor *at, struct claim_key *key)
{
	char hex[KEY_HEX_BYTES];

	jcursor_string(at, hex, sizeof(hex), NULL);
	if (at->err->kind != ERR_OK)
		return;
	for (size_t i = 0; i < sizeof(key->bytes); i++) {
		int high = g_ascii_xdigit_value(hex[2 * i]);
		int low = high < 0 ? -1 : g_ascii_xdigit_value(hex[2 * i + 1]);

		if (low < 0) {
			jcursor_refuse(at, "32 hexadecimal digits");
			return;
		}
		key->bytes[i] = (uint8_t)(high << 4 | low);
	}
}

static size_t read_keys(const struct jcursor *root, const char *name,
			struct claim_key *keys)
{
	struct jcursor list = jcursor_member(root, name);
	size_t count = jcursor_array(&list, BATCH_KEYS);

	for (size_t i = 0; i < count; i++) {
		struct jcursor at = jcursor_item(&list, i);

		read_key(&at, &keys[i]);
	}
	return count;
}

static int parse(struct record *record, const char *data, size_t len)
{
	static const char *const keys[] = { "type",   "process",     "batch",
					    "author", "incarnation", "at_ms",
					    "claims", "releases",    NULL };
	struct err fault = { .kind = ERR_OK };
	struct json_object *value = jcursor_parse(data, len, &fault);
	struct jcursor root = jcursor_root(value, &fault);
	struct jcursor type_at = jcursor_member(&root, "type");
	struct jcursor process_at = jcursor_member(&root, "process");
	struct jcursor author_at = jcursor_member(&root, "author");
	struct jcursor batch_at = jcursor_member(&root, "batch");
	struct jcursor incarnation_at = jcursor_member(&root, "incarnation");
	struct jcursor time_at = jcursor_member(&root, "at_ms");
	char type[LIMIT_NAME_BYTES];

	if (!value)
		return ERR_INVALID;
	jcursor_keys(&root, keys);
	jcursor_name(&type_at, type, sizeof(type));
	if (strcmp(type, "claims"))
		jcursor_refuse(&type_at, "\"claims\"");
	jcursor_name(&process_at, record->process, sizeof(record->process));
	jcursor_name(&author_at, record->author, sizeof(record->author));
	record->batch = jcursor_int(&batch_at, 0, LIMIT_NUMBER_MAX, -1);
	jcursor_int(&incarnation_at, 0, LIMIT_NUMBER_MAX, -1);
	record->at_ms = jcursor_int(&time_at, 0, LIMIT_NUMBER_MAX, -1);
	record->claim_count = read_keys(&root, "claims", record->keys);
	record->release_count = read_keys(&root, "releases",
					  record->keys + record->claim_count);
	json_object_put(value);
	return fault.kind;
}

/*
 * What passed retention unread was appended before the first record that is
 * left, so the times of its keys are not after that record's time, but for the
 * difference of the clocks.
 */
static void close_gap(struct claim *claim, const struct claim_time *at,
		      int64_t at_ms)
{
	if (claim->gap)
		raise_floor(claim, MIN(at_ms, at->wall_ms));
	claim->gap = false;
}

/* Own claims and releases */

static void free_item(struct claim *claim, struct item *item)
{
	g_hash_table_remove(claim->items, &item->key);
}

static void report(struct item *item, int kind, const char *text)
{
	void (*claimed)(void *arg, const struct err *result) = item->claimed;
	struct err result;

	item->claimed = NULL;
	if (!claimed)
		return;
	err_set(&result, kind, "%s", text);
	claimed(item->arg, &result);
}

static void report_released(struct item *item)
{
	void (*released)(void *arg) = item->released;

	item->released = NULL;
	if (released)
		released(item->arg);
}

static void lose(struct claim *claim, struct item *item, uint32_t author)
{
	const char *holder = claim->authors[author].name;
	char text[LIMIT_REASON_BYTES];

	if (item->claimed)
		claim->stats.lost++;
	snprintf(text, sizeof(text),
		 "an earlier claim by entry host %s holds the key; that "
		 "attempt may have run",
		 holder);
	report(item, ERR_DUPLICATE, text);
}

static void queue_release(struct claim *claim, struct item *item)
{
	item->release = true;
	item->batched = false;
	g_queue_push_tail(claim->queue, item);
}

/* An own claim was read back. */
static void settle_claim(struct claim *claim, const struct claim_time *at,
			 struct item *item)
{
	uint32_t holder = holder_of(claim, &item->key);

	if (holder != NONE && !is_own(claim, holder)) {
		lose(claim, item, holder);
		free_item(claim, item);
	} else if (item->key_time_ms <= claim->floor_ms) {
		/* An earlier claim may have been forgotten since. */
		if (item->claimed)
			claim->stats.too_old++;
		queue_release(claim, item);
		report(item, ERR_GONE,
		       "earlier claims of the key may be past retention");
	} else if (!item->claimed || at->now_ms >= item->deadline_ms) {
		queue_release(claim, item);
		report(item, ERR_UNAVAILABLE,
		       "the deadline passed before the claim was read back");
	} else {
		void (*claimed)(void *arg, const struct err *) = item->claimed;
		struct err won = { .kind = ERR_OK };
		void *arg = item->arg;

		/* Freed first: the callee may release the key at once. */
		free_item(claim, item);
		claimed(arg, &won);
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
		report_released(item);
		free_item(claim, item);
	}
	if (batch)
		g_ptr_array_free(batch, TRUE);
}

static void apply(struct claim *claim, const struct claim_time *at,
		  const struct record *record, uint32_t author)
{
	const struct claim_key *releases = record->keys + record->claim_count;

	for (size_t i = 0; i < record->release_count; i++) {
		uint32_t *link = find_link(claim, &releases[i]);

		if (*link != NONE && claim->entries[*link].author == author)
			remove_entry(claim, link);
	}
	for (size_t i = 0; i < record->claim_count; i++)
		if (holder_of(claim, &record->keys[i]) == NONE)
			add_entry(claim, at, &record->keys[i], author);
}

int claim_read(struct claim *claim, const struct claim_time *at,
	       const char *data, size_t len)
{
	struct record record;
	struct author *author;
	uint32_t index;

	if (len > LIMIT_RECORD_BYTES || parse(&record, data, len) != 0) {
		claim->stats.invalid++;
		return ERR_INVALID;
	}
	close_gap(claim, at, record.at_ms);
	index = author_of(claim, at, record.process, record.author);
	/* A claim that cannot be kept must not be taken as free. */
	if (index == NONE) {
		raise_floor(claim, at->wall_ms);
		return 0;
	}
	author = &claim->authors[index];
	author->seen_wall_ms = at->wall_ms;
	if (record.batch <= author->last_batch) {
		claim->stats.copies++;
		return 0;
	}
	author->last_batch = record.batch;
	apply(claim, at, &record, index);
	if (!strcmp(record.process, claim->process))
		settle_batch(claim, at);
	return 0;
}

void claim_gap(struct claim *claim)
{
	claim->gap = true;
}

void claim_end(struct claim *claim, const struct claim_time *at)
{
	close_gap(claim, at, at->wall_ms);
	claim->current = true;
}

int64_t claim_safe_from(const struct claim *claim, const struct claim_time *at)
{
	return MAX(at->wall_ms - claim->config.window_ms, claim->floor_ms);
}

/* Why a claim cannot be appended, or 0. */
static int refusal(struct claim *claim, const struct claim_time *at,
		   const struct item *item, struct err *why)
{
	int64_t safe_from = claim_safe_from(claim, at);
	int64_t longest_ms = claim->config.window_ms / 4;

	if (item->key_time_ms <= safe_from)
		return err_set(why, ERR_GONE,
			       "the key is too old to tell whether it was "
			       "used: its time is %" PRId64
			       ", keys are known from %" PRId64,
			       item->key_time_ms, safe_from);
	if (item->key_time_ms > at->wall_ms + LIMIT_CLAIM_SKEW_MS)
		return err_set(why, ERR_GONE,
			       "the key's time is %" PRId64
			       " ms ahead of this host's clock, so its age "
			       "cannot be told",
			       item->key_time_ms - at->wall_ms);
	if (item->deadline_ms > at->now_ms + longest_ms)
		return err_set(why, ERR_INVALID,
			       "the deadline of a request with a key may be "
			       "at most %" PRId64 " ms",
			       longest_ms);
	if (g_hash_table_size(claim->items) >= LIMIT_CLAIMS_WAITING)
		return err_set(why, ERR_UNAVAILABLE, "too many claims wait");
	return 0;
}

/*
 * Lets a new attempt wait for the claim of one that was refused since, so
 * that a retry through the same host after an outage is not a duplicate.
 */
static bool take_over(struct claim *claim, const struct item *from)
{
	struct item *item = g_hash_table_lookup(claim->items, &from->key);

	if (!item || item->release || item->claimed)
		return false;
	item->key_time_ms = MIN(item->key_time_ms, from->key_time_ms);
	item->deadline_ms = from->deadline_ms;
	item->claimed = from->claimed;
	item->arg = from->arg;
	return true;
}

void claim_claim(struct claim *claim, const struct claim_time *at,
		 const struct claim_key *key, int64_t key_time_ms,
		 int64_t deadline_ms,
		 void (*done)(void *arg, const struct err *result), void *arg)
{
	uint32_t holder = holder_of(claim, key);
	struct item *item = calloc(1, sizeof(*item));
	struct err why = { .kind = ERR_OK };

	if (!item) {
		err_set(&why, ERR_UNAVAILABLE, "out of memory");
		done(arg, &why);
		return;
	}
	*item = (struct item){
		.key = *key,
		.key_time_ms = key_time_ms,
		.deadline_ms = deadline_ms,
		.claimed = done,
		.arg = arg,
	};
	if (holder != NONE) {
		lose(claim, item, holder);
	} else if (refusal(claim, at, item, &why)) {
		claim->stats.too_old += why.kind == ERR_GONE;
		report(item, why.kind, why.text);
	} else if (take_over(claim, item)) {
		claim->stats.claims++;
	} else if (g_hash_table_contains(claim->items, key)) {
		claim->stats.lost++;
		report(item, ERR_DUPLICATE,
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

	if (is_own(claim, holder_of(claim, key)) &&
	    !g_hash_table_contains(claim->items, key))
		item = calloc(1, sizeof(*item));
	if (!item) {
		done(arg);
		return;
	}
	*item = (struct item){
		.key = *key,
		.deadline_ms = at->now_ms + LIMIT_CLAIM_RELEASE_MS,
		.released = done,
		.arg = arg,
	};
	g_hash_table_insert(claim->items, &item->key, item);
	queue_release(claim, item);
}

/* Batches */

static char *encode(struct claim *claim, const struct claim_time *at)
{
	struct json_object *root = json_object_new_object();
	struct json_object *claims = json_object_new_array();
	struct json_object *releases = json_object_new_array();
	char hex[KEY_HEX_BYTES];
	char *text;

	for (guint i = 0; i < claim->batch->len; i++) {
		const struct item *item = claim->batch->pdata[i];

		key_to_hex(&item->key, hex);
		json_object_array_add(item->release ? releases : claims,
				      json_object_new_string(hex));
	}
	jcursor_put_string(root, "type", "claims");
	jcursor_put_string(root, "process", claim->process);
	jcursor_put_int(root, "batch", claim->batch_number);
	jcursor_put_string(root, "author", claim->name);
	jcursor_put_int(root, "incarnation", claim->config.incarnation);
	jcursor_put_int(root, "at_ms", at->wall_ms);
	json_object_object_add(root, "claims", claims);
	json_object_object_add(root, "releases", releases);
	text = g_strdup(
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}

static void form_batch(struct claim *claim)
{
	claim->batch = g_ptr_array_new();
	while (!g_queue_is_empty(claim->queue) &&
	       claim->batch->len < BATCH_KEYS) {
		struct item *item = g_queue_pop_head(claim->queue);

		item->batched = true;
		g_ptr_array_add(claim->batch, item);
	}
	claim->batch_number++;
	claim->maybe_appended = false;
}

/* Takes back a batch that surely is not on the log, so that claims whose
   request has ended are not appended. */
static void dissolve_batch(struct claim *claim)
{
	GPtrArray *batch = claim->batch;

	claim->batch = NULL;
	for (guint i = batch->len; i > 0; i--) {
		struct item *item = batch->pdata[i - 1];

		item->batched = false;
		if (item->release || item->claimed)
			g_queue_push_head(claim->queue, item);
		else
			free_item(claim, item);
	}
	g_ptr_array_free(batch, TRUE);
	claim->batch_number--;
}

const char *claim_batch(struct claim *claim, const struct claim_time *at,
			uint32_t live_members)
{
	int64_t interval_ms =
		(int64_t)MAX(live_members, 1) * 1000 / LIMIT_CLAIM_APPENDS_S;

	claim_tick(claim, at);
	if (!claim->current || claim->appending ||
	    at->now_ms < claim->next_append_ms)
		return NULL;
	if (claim->batch ? at->now_ms < claim->retry_ms
			 : g_queue_is_empty(claim->queue))
		return NULL;
	if (!claim->batch)
		form_batch(claim);
	/* With the time of this append: a process that finds the record as
	   the oldest one takes what it did not read for older. */
	g_free(claim->text);
	claim->text = encode(claim, at);
	claim->appending = true;
	claim->next_append_ms = at->now_ms + interval_ms;
	claim->stats.appends++;
	return claim->text;
}

void claim_appended(struct claim *claim, const struct claim_time *at,
		    int status)
{
	claim->appending = false;
	if (!claim->batch)
		return;
	if (status == 0 || status == ERR_UNKNOWN) {
		claim->maybe_appended = true;
		claim->retry_ms = at->now_ms + (status == 0 ? RETRY_UNREAD_MS
							    : RETRY_UNKNOWN_MS);
		return;
	}
	claim->retry_ms = at->now_ms + RETRY_UNAVAILABLE_MS;
	claim->next_append_ms = claim->retry_ms;
	if (!claim->maybe_appended)
		dissolve_batch(claim);
}

static void end_item(struct claim *claim, struct item *item)
{
	if (item->release) {
		report_released(item);
		return;
	}
	report(item, ERR_UNAVAILABLE,
	       claim->current ? "the platform log did not answer in time"
			      : "the claims were not read in time");
	/* One that may be on the log is kept until it was read back. */
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

	if (claim->ticking)
		return;
	claim->ticking = true;
	due = g_ptr_array_new();
	g_hash_table_iter_init(&iter, claim->items);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct item *item = value;

		if ((item->claimed || item->released) &&
		    at->now_ms >= item->deadline_ms)
			g_ptr_array_add(due, item);
	}
	/* The callees may add claims and releases, but remove none. */
	for (guint i = 0; i < due->len; i++)
		end_item(claim, due->pdata[i]);
	g_ptr_array_free(due, TRUE);
	forget_old(claim, at);
	claim->ticking = false;
}

bool claim_current(const struct claim *claim)
{
	return claim->current;
}

struct claim_stats claim_stats(const struct claim *claim)
{
	return claim->stats;
}
