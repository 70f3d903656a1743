#include "ownership.h"

#include "log.h"

enum {
	OWNERSHIP_APPEND_GAP_MS = 20,
	OWNERSHIP_APPEND_BYTES = 1024 * 1024,
	/* Fences of one generation: each takeover has one of its own, and those
	   to which it was raised. */
	OWNERSHIP_MAX_TRIES = 256,
	/* Of these, kept for takeovers. */
	OWNERSHIP_KEPT_TRIES = 64,
	OWNERSHIP_RETRY_MS = 500
};

void ownership_init(struct ownership *ownership,
		    const struct ownership_config *config)
{
	*ownership = (struct ownership){ .config = *config };
	ownership->name = g_strdup(config->name);
}

static void destroy_writers(struct ownership *ownership)
{
	for (uint32_t i = 0; i < OWNERSHIP_MAX_STREAMS; i++) {
		writer_destroy(ownership->slots[i].writer);
		ownership->slots[i].writer = NULL;
	}
}

void ownership_clear(struct ownership *ownership)
{
	destroy_writers(ownership);
	g_free(ownership->name);
}

void ownership_lose(struct ownership *ownership, const char *why)
{
	bool held = ownership->state == OWNERSHIP_HELD;

	if (ownership->state == OWNERSHIP_NONE)
		return;
	log_info("tenure-lost of=%s fence=%" G_GINT64_FORMAT " why=%s",
		 ownership->name, ownership->fence, why);
	ownership->state = OWNERSHIP_NONE;
	ownership->unconfirmed = 0;
	ownership->retry_ms =
		clk_now_ms(ownership->config.clk) + OWNERSHIP_RETRY_MS;
	ownership->change_count++;
	destroy_writers(ownership);
	if (held)
		ownership->config.lost(ownership->config.arg);
}

void ownership_set_streams(struct ownership *ownership,
			   const struct ownership_stream *streams,
			   uint32_t count)
{
	ownership_lose(ownership, "its streams change");
	ownership->config.stream_count = count;
	for (uint32_t i = 0; i < count; i++)
		ownership->config.streams[i] = streams[i];
}

static void on_first_append(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct ownership_slot *slot = arg;
	struct ownership *ownership = slot->ownership;

	if (outcome != WRITER_STORED) {
		ownership_lose(ownership, "its first append was fenced");
		return;
	}
	slot->fenced = true;
	slot->fence_end_offset = end;
	for (uint32_t i = 0; i < ownership->config.stream_count; i++)
		if (!ownership->slots[i].fenced)
			return;
	ownership->state = OWNERSHIP_CATCHING_UP;
}

/* Starts the first append to a stream, which sets the epoch there. */
static void fence_stream(struct ownership *ownership, uint32_t index)
{
	struct ownership_slot *slot = &ownership->slots[index];
	struct writer_config config = {
		.io = ownership->config.stream,
		.clk = ownership->config.clk,
		.id = ownership->config.streams[index].id,
		.producer = ownership->name,
		.epoch = ownership->fence,
		.gap_ms = OWNERSHIP_APPEND_GAP_MS,
		.max_bytes = OWNERSHIP_APPEND_BYTES,
	};

	*slot = (struct ownership_slot){
		.ownership = ownership,
		.writer = writer_create(&config),
	};
	writer_add(slot->writer, NULL, NULL, 0, on_first_append, slot);
}

static void on_confirmed(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct ownership *ownership = arg;

	(void)end;
	if (outcome != WRITER_STORED) {
		ownership_lose(ownership,
			       "another owner had it while its membership "
			       "had run out");
		return;
	}
	if (--ownership->unconfirmed)
		return;
	log_info("tenure-confirmed tenure=%s fence=%" G_GINT64_FORMAT,
		 ownership->name, ownership->fence);
	ownership->authority_end_ms = ownership->membership_end_ms;
}

/*
 * Notes the end of the membership. If that had run out before it was renewed, the
 * part may have been another member's, which this one is not told if it is given
 * back: an owner then has no authority until the log confirms that nobody has
 * taken the part over.
 */
static void extend_authority(struct ownership *ownership, int64_t end_ms)
{
	int64_t known_ms = ownership->unconfirmed ? ownership->membership_end_ms
						  : ownership->authority_end_ms;
	bool was_over = clk_now_ms(ownership->config.clk) >= known_ms &&
			end_ms > known_ms;

	ownership->membership_end_ms = end_ms;
	if (ownership->state == OWNERSHIP_HELD && was_over) {
		ownership->unconfirmed += ownership->config.stream_count;
		for (uint32_t i = 0; i < ownership->config.stream_count; i++)
			writer_confirm(ownership->slots[i].writer, on_confirmed,
				       ownership);
	}
	if (!ownership->unconfirmed)
		ownership->authority_end_ms = end_ms;
}

void ownership_assign(struct ownership *ownership, int32_t part,
		      int64_t generation, int64_t authority_end_ms)
{
	extend_authority(ownership, authority_end_ms);
	/* After a loss, a newer generation may have assigned it elsewhere. */
	if (ownership->state != OWNERSHIP_NONE ||
	    (generation == ownership->generation &&
	     clk_now_ms(ownership->config.clk) < ownership->retry_ms))
		return;
	ownership->retries =
		generation == ownership->generation
			? ownership->retries + 1 + ownership->raises
			: 0;
	ownership->raises = 0;
	if (ownership->retries >= OWNERSHIP_MAX_TRIES)
		return;
	ownership->generation = generation;
	ownership->fence =
		(generation * OWNERSHIP_MAX_TRIES + ownership->retries) *
			OWNERSHIP_PARTS +
		part;
	log_info("tenure-given of=%s fence=%" G_GINT64_FORMAT, ownership->name,
		 ownership->fence);
	ownership->state = OWNERSHIP_FENCING;
	ownership->assigned_ms = clk_now_ms(ownership->config.clk);
	ownership->change_count++;
	for (uint32_t i = 0; i < ownership->config.stream_count; i++)
		fence_stream(ownership, i);
}

int64_t ownership_raises_left(const struct ownership *ownership,
			      uint32_t raises)
{
	int64_t left = OWNERSHIP_MAX_TRIES - OWNERSHIP_KEPT_TRIES - 1 -
		       ownership->retries - raises;

	return MAX(left, 0);
}

bool ownership_raise(struct ownership *ownership, uint32_t raises)
{
	if (!ownership_raises_left(ownership, raises - 1))
		return false;
	ownership->raises = MAX(ownership->raises, raises);
	return true;
}

static void on_synced(void *arg, bool complete)
{
	struct ownership_slot *slot = arg;

	(void)complete; /* ownership_tick checks the offset */
	slot->syncing = false;
}

/* Whether a stream is read up to the first append; reads on if not. */
static bool caught_up(struct ownership *ownership, uint32_t index)
{
	struct tail *tail = ownership->config.streams[index].tail;
	struct ownership_slot *slot = &ownership->slots[index];

	if (tail_next(tail) >= slot->fence_end_offset)
		return true;
	if (!slot->syncing) {
		slot->syncing = true;
		tail_sync(tail, on_synced, slot);
	}
	return false;
}

static void catch_up(struct ownership *ownership)
{
	bool all = true;

	for (uint32_t i = 0; i < ownership->config.stream_count; i++)
		all &= caught_up(ownership, i);
	if (!all)
		return;
	ownership->acquired_ms = clk_now_ms(ownership->config.clk);
	ownership->state = OWNERSHIP_HELD;
	log_info("tenure-taken of=%s fence=%" G_GINT64_FORMAT
		 " offset=%" G_GINT64_FORMAT,
		 ownership->name, ownership->fence,
		 ownership->slots[0].fence_end_offset);
	ownership->config.acquired(ownership->config.arg);
}

void ownership_tick(struct ownership *ownership)
{
	if (ownership->state == OWNERSHIP_CATCHING_UP)
		catch_up(ownership);
	for (uint32_t i = 0; i < ownership->config.stream_count; i++)
		if (ownership->slots[i].writer)
			writer_tick(ownership->slots[i].writer);
}
