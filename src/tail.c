#include "tail.h"

#include "log.h"

enum { TAIL_RETRY_MS = 200, TAIL_KEY_BYTES = 256 };

struct waiter {
	void (*fn)(void *arg, bool complete);
	void *arg;
};

struct tail {
	struct tail_config config;
	bool loaded;
	bool loading; /* a page of the newest records is being read */
	bool polling; /* a long poll is in progress */
	bool syncing; /* a read for waiters is in progress */
	bool failing; /* the last call failed; logged once */
	bool destroyed;
	bool stopped;	   /* not followed */
	bool draining;	   /* calls of before the stop are in progress */
	uint32_t calls;	   /* in progress */
	int64_t first_end; /* stream end at the first page; -1: none yet */
	char after_key[TAIL_KEY_BYTES];
	int64_t next;
	int64_t due_ms;
	int64_t read_start_ms;	  /* start of the read in progress */
	int64_t load_start_ms;	  /* of the first page of newest records */
	int64_t sync_start_ms;	  /* start of the last sync read */
	int64_t sync_due_ms;	  /* no confirming read before */
	int64_t confirm_ms;	  /* see tail_set_confirm */
	int64_t answered_read_ms; /* start of the last answered read */
	int64_t read_bytes;	  /* keys and values delivered */
	GArray *next_waiters;	  /* served by the next sync read */
	GArray *sync_waiters;	  /* served by the one in progress */
};

struct tail *tail_create(const struct tail_config *config)
{
	struct tail *tail = g_new0(struct tail, 1);

	tail->config = *config;
	tail->first_end = -1;
	tail->next = -1;
	tail->next_waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	tail->sync_waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	return tail;
}

static void free_tail(struct tail *tail)
{
	g_array_free(tail->next_waiters, TRUE);
	g_array_free(tail->sync_waiters, TRUE);
	g_free(tail);
}

void tail_destroy(struct tail *tail)
{
	if (!tail)
		return;
	tail->destroyed = true;
	if (!tail->calls)
		free_tail(tail);
}

/*
 * Ends a call; false if its answer no longer counts, as the tail was destroyed or
 * stopped since. The last call of a destroyed one frees it.
 */
static bool call_ended(struct tail *tail)
{
	tail->calls--;
	if (tail->destroyed) {
		if (!tail->calls)
			free_tail(tail);
		return false;
	}
	if (!tail->draining)
		return true;
	tail->draining = tail->calls > 0;
	return false;
}

static void note_failure(struct tail *tail, enum stream_outcome outcome)
{
	if (!tail->failing)
		log_warn("stream %s does not answer (outcome %d)",
			 tail->config.id.topic, outcome);
	tail->failing = true;
	tail->due_ms = clk_now_ms(tail->config.clk) + TAIL_RETRY_MS;
}

static void note_success(struct tail *tail)
{
	if (tail->failing)
		log_info("stream %s answers again", tail->config.id.topic);
	tail->failing = false;
}

static void deliver(struct tail *tail, const struct stream_batch *batch)
{
	for (uint32_t i = 0; i < batch->count; i++) {
		const struct stream_record *record = &batch->records[i];

		tail->read_bytes +=
			(int64_t)(record->key_len + record->value_len);
		tail->config.on_record(tail->config.arg, record);
	}
}

static void forget_position(struct tail *tail)
{
	tail->loaded = false;
	tail->first_end = -1;
	tail->after_key[0] = 0;
}

static void reload(struct tail *tail)
{
	log_info("stream %s: offset %" G_GINT64_FORMAT " is past retention; "
		 "reloading the newest record of each key",
		 tail->config.id.topic, tail->next);
	forget_position(tail);
}

/* A page without records does not say where the next one begins. */
static enum stream_outcome page_outcome(const struct stream_batch *batch)
{
	if (batch->outcome == STREAM_OK && batch->more && !batch->count)
		return STREAM_INVALID;
	return batch->outcome;
}

static void on_page(void *arg, const struct stream_batch *batch)
{
	struct tail *tail = arg;
	enum stream_outcome outcome;

	if (!call_ended(tail))
		return;
	tail->loading = false;
	outcome = page_outcome(batch);
	if (outcome != STREAM_OK) {
		note_failure(tail, outcome);
		return;
	}
	note_success(tail);
	if (tail->first_end < 0) {
		tail->first_end = batch->end;
		tail->load_start_ms = tail->read_start_ms;
		if (tail->config.on_reload)
			tail->config.on_reload(tail->config.arg);
	}
	deliver(tail, batch);
	if (batch->more) {
		const struct stream_record *last =
			&batch->records[batch->count - 1];

		g_snprintf(tail->after_key, sizeof(tail->after_key), "%.*s",
			   (int)last->key_len, last->key);
		return;
	}
	tail->loaded = true;
	tail->next = tail->first_end;
	/* Pages are not a snapshot: records of the first may be outdated. */
	tail->answered_read_ms =
		MAX(tail->answered_read_ms, tail->load_start_ms);
	if (tail->config.on_loaded)
		tail->config.on_loaded(tail->config.arg);
}

/* Processes the answer of a long poll or sync; false if it failed. */
static bool process_batch(struct tail *tail, const struct stream_batch *batch)
{
	if (batch->outcome == STREAM_DELETED) {
		if (tail->loaded)
			reload(tail);
		return false;
	}
	if (batch->outcome != STREAM_OK) {
		note_failure(tail, batch->outcome);
		return false;
	}
	note_success(tail);
	deliver(tail, batch);
	tail->next = MAX(tail->next, batch->next);
	return true;
}

static void on_read(void *arg, const struct stream_batch *batch)
{
	struct tail *tail = arg;
	int64_t before = tail->next;

	if (!call_ended(tail))
		return;
	tail->polling = false;
	tail->due_ms = clk_now_ms(tail->config.clk) + tail->config.gap_ms;
	if (!process_batch(tail, batch))
		return;
	if (batch->next < batch->end) {
		/* The answer was full: more records wait. */
		if (tail->next > before)
			tail->due_ms = 0;
		return;
	}
	tail->answered_read_ms =
		MAX(tail->answered_read_ms, tail->read_start_ms);
}

/* Calls and removes the waiters; what they add is kept. */
static void call_waiters(GArray **waiters, bool complete)
{
	GArray *done = *waiters;

	*waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	for (guint i = 0; i < done->len; i++) {
		struct waiter *waiter = &g_array_index(done, struct waiter, i);

		waiter->fn(waiter->arg, complete);
	}
	g_array_free(done, TRUE);
}

static void on_sync(void *arg, const struct stream_batch *batch)
{
	struct tail *tail = arg;
	bool complete;

	if (!call_ended(tail))
		return;
	tail->syncing = false;
	complete = process_batch(tail, batch) && tail->next >= batch->end;
	if (complete)
		tail->answered_read_ms =
			MAX(tail->answered_read_ms, tail->sync_start_ms);
	else
		tail->sync_due_ms =
			clk_now_ms(tail->config.clk) + TAIL_RETRY_MS;
	call_waiters(&tail->sync_waiters, complete);
}

static void start_sync(struct tail *tail)
{
	GArray *empty = tail->sync_waiters;

	tail->sync_waiters = tail->next_waiters;
	tail->next_waiters = empty;
	tail->syncing = true;
	tail->sync_start_ms = clk_now_ms(tail->config.clk);
	tail->calls++;
	tail->config.io->read(tail->config.io->io, tail->config.id, tail->next,
			      0, on_sync, tail);
}

void tail_sync(struct tail *tail, void (*fn)(void *arg, bool complete),
	       void *arg)
{
	struct waiter waiter = { .fn = fn, .arg = arg };

	if (!tail->loaded) {
		fn(arg, false);
		return;
	}
	g_array_append_val(tail->next_waiters, waiter);
	if (!tail->syncing)
		start_sync(tail);
}

/* Whether the read in progress is late, so that another is to replace it. */
static bool confirmation_due(const struct tail *tail, int64_t now_ms)
{
	return tail->confirm_ms && tail->loaded &&
	       now_ms >= tail->sync_due_ms &&
	       now_ms - tail->answered_read_ms > tail->confirm_ms;
}

void tail_tick(struct tail *tail)
{
	int64_t now_ms = clk_now_ms(tail->config.clk);

	if (tail->stopped || tail->draining)
		return;
	if (!tail->syncing &&
	    (tail->next_waiters->len || confirmation_due(tail, now_ms)))
		start_sync(tail);
	if (tail->loading || tail->polling || now_ms < tail->due_ms)
		return;
	tail->read_start_ms = now_ms;
	tail->calls++;
	if (!tail->loaded) {
		tail->loading = true;
		tail->config.io->newest(tail->config.io->io, tail->config.id,
					tail->after_key[0] ? tail->after_key
							   : NULL,
					on_page, tail);
		return;
	}
	tail->polling = true;
	tail->config.io->read(tail->config.io->io, tail->config.id, tail->next,
			      tail->config.wait_ms, on_read, tail);
}

void tail_set_following(struct tail *tail, bool following)
{
	if (following != tail->stopped)
		return;
	tail->stopped = !following;
	if (following)
		return;
	forget_position(tail);
	tail->draining = tail->calls > 0;
	tail->loading = false;
	tail->polling = false;
	tail->syncing = false;
	tail->due_ms = 0;
	call_waiters(&tail->sync_waiters, false);
	call_waiters(&tail->next_waiters, false);
}

bool tail_loaded(const struct tail *tail)
{
	return tail->loaded;
}

int64_t tail_next(const struct tail *tail)
{
	return tail->loaded ? tail->next : -1;
}

int64_t tail_age_ms(const struct tail *tail)
{
	return clk_now_ms(tail->config.clk) - tail->answered_read_ms;
}

int64_t tail_read_bytes(const struct tail *tail)
{
	return tail->read_bytes;
}

void tail_set_confirm(struct tail *tail, int64_t confirm_ms)
{
	tail->confirm_ms = confirm_ms;
}

void tail_set_gap(struct tail *tail, int64_t gap_ms)
{
	tail->config.gap_ms = gap_ms;
}
