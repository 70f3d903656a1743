#include "claim_window.h"

#include <stdlib.h>
#include <string.h>

enum { INITIAL_ENTRIES = 1024 };

/* A claim in the window. */
struct claim_window_entry {
	struct claim_key key;
	uint32_t next;	 /* in its bucket, or CLAIM_WINDOW_NONE */
	uint32_t author; /* CLAIM_WINDOW_NONE: released */
	int64_t read_wall_ms;
};

guint claim_window_hash_key(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

gboolean claim_window_keys_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, sizeof(struct claim_key));
}

/*
 * Replaces the arrays by empty ones. Returns false, without a change, if
 * memory is short; otherwise the caller must free the old arrays.
 */
static bool alloc_arrays(struct claim_window *window, uint32_t cap)
{
	struct claim_window_entry *entries = calloc(cap, sizeof(*entries));
	uint32_t *buckets = malloc(cap * sizeof(*buckets));

	if (!entries || !buckets) {
		free(entries);
		free(buckets);
		return false;
	}
	memset(buckets, 0xff, cap * sizeof(*buckets));
	window->entries = entries;
	window->buckets = buckets;
	window->cap = cap;
	return true;
}

bool claim_window_init(struct claim_window *window, int64_t window_ms,
		       uint32_t max_keys)
{
	*window = (struct claim_window){
		.window_ms = window_ms,
		.max_keys = max_keys,
		.floor_ms = INT64_MIN,
	};
	return alloc_arrays(window, INITIAL_ENTRIES);
}

void claim_window_clear(struct claim_window *window)
{
	free(window->entries);
	free(window->buckets);
	free(window->authors);
}

static uint32_t *find_bucket(const struct claim_window *window,
			     const struct claim_key *key)
{
	return &window->buckets[claim_window_hash_key(key) & (window->cap - 1)];
}

/*
 * The link that points to the key's entry: its bucket, or the previous entry of
 * the chain. The link is CLAIM_WINDOW_NONE if there is no such entry.
 */
static uint32_t *find_link(const struct claim_window *window,
			   const struct claim_key *key)
{
	uint32_t *link = find_bucket(window, key);

	while (*link != CLAIM_WINDOW_NONE &&
	       !claim_window_keys_equal(&window->entries[*link].key, key))
		link = &window->entries[*link].next;
	return link;
}

uint32_t claim_window_holder(const struct claim_window *window,
			     const struct claim_key *key)
{
	uint32_t index = *find_link(window, key);

	return index == CLAIM_WINDOW_NONE ? CLAIM_WINDOW_NONE
					  : window->entries[index].author;
}

static void remove_entry(struct claim_window *window, uint32_t *link)
{
	struct claim_window_entry *entry = &window->entries[*link];

	window->authors[entry->author].keys--;
	entry->author = CLAIM_WINDOW_NONE;
	*link = entry->next;
	window->keys--;
}

void claim_window_raise_floor(struct claim_window *window, int64_t wall_ms)
{
	if (wall_ms + LIMIT_CLAIM_SKEW_MS > window->floor_ms)
		window->floor_ms = wall_ms + LIMIT_CLAIM_SKEW_MS;
}

static void evict_oldest(struct claim_window *window)
{
	struct claim_window_entry *entry =
		&window->entries[window->head & (window->cap - 1)];

	if (entry->author != CLAIM_WINDOW_NONE) {
		claim_window_raise_floor(window, entry->read_wall_ms);
		remove_entry(window, find_link(window, &entry->key));
	}
	window->head++;
}

static void append_entry(struct claim_window *window,
			 const struct claim_window_entry *entry)
{
	uint32_t index = (uint32_t)(window->tail++ & (window->cap - 1));
	uint32_t *bucket = find_bucket(window, &entry->key);

	window->entries[index] = *entry;
	if (entry->author == CLAIM_WINDOW_NONE)
		return;
	window->entries[index].next = *bucket;
	*bucket = index;
}

static void grow_window(struct claim_window *window)
{
	struct claim_window_entry *entries = window->entries;
	uint32_t *buckets = window->buckets;
	uint32_t cap = window->cap;
	uint64_t head = window->head, tail = window->tail;

	if (cap * 2 > window->max_keys || !alloc_arrays(window, cap * 2)) {
		evict_oldest(window);
		return;
	}
	window->head = window->tail = 0;
	for (uint64_t i = head; i < tail; i++)
		append_entry(window, &entries[i & (cap - 1)]);
	free(entries);
	free(buckets);
}

void claim_window_add(struct claim_window *window, const struct claim_time *at,
		      const struct claim_key *key, uint32_t author)
{
	struct claim_window_entry entry = {
		.key = *key,
		.author = author,
		.read_wall_ms = at->wall_ms,
	};

	if (window->tail - window->head == window->cap)
		grow_window(window);
	append_entry(window, &entry);
	window->authors[author].keys++;
	window->keys++;
}

void claim_window_release(struct claim_window *window,
			  const struct claim_key *key, uint32_t author)
{
	uint32_t *link = find_link(window, key);

	if (*link != CLAIM_WINDOW_NONE &&
	    window->entries[*link].author == author)
		remove_entry(window, link);
}

static bool is_past_window(const struct claim_window *window,
			   const struct claim_time *at, int64_t wall_ms)
{
	return wall_ms + window->window_ms + LIMIT_CLAIM_SKEW_MS < at->wall_ms;
}

void claim_window_evict_expired(struct claim_window *window,
				const struct claim_time *at)
{
	while (window->head < window->tail &&
	       is_past_window(window, at,
			      window->entries[window->head & (window->cap - 1)]
				      .read_wall_ms))
		evict_oldest(window);
}

uint32_t claim_window_author(struct claim_window *window,
			     const struct claim_time *at, const char *process,
			     const char *name)
{
	uint32_t slot = CLAIM_WINDOW_NONE;
	struct claim_window_author *author;

	for (uint32_t i = 0; i < window->author_count; i++) {
		author = &window->authors[i];
		if (author->used && !strcmp(author->process, process))
			return i;
		if (author->used && author->keys == 0 &&
		    is_past_window(window, at, author->seen_wall_ms))
			author->used = false;
		if (!author->used)
			slot = i;
	}
	if (slot == CLAIM_WINDOW_NONE) {
		author = realloc(window->authors,
				 (window->author_count + 1) *
					 sizeof(*window->authors));
		if (!author)
			return CLAIM_WINDOW_NONE;
		window->authors = author;
		slot = window->author_count++;
	}
	author = &window->authors[slot];
	*author =
		(struct claim_window_author){ .used = true, .last_batch = -1 };
	g_strlcpy(author->process, process, sizeof(author->process));
	g_strlcpy(author->name, name, sizeof(author->name));
	return slot;
}
