#include "ownership.h"

#include "log.h"

enum {
	OWNERSHIP_APPEND_GAP_MS = 20,
	OWNERSHIP_APPEND_BYTES = 1024 * 1024,
	/* Takeovers in one generation; each has a fence of its own. */
	OWNERSHIP_MAX_TRIES = 256,
	OWNERSHIP_RETRY_MS = 500
};

void ownership_init(struct ownership *ownership,
		    const struct ownership_config *config)
{
	*ownership = (struct ownership){ .config = *config };
	ownership->name = g_strdup(config->name);
}

void ownership_clear(struct ownership *ownership)
{
	writer_destroy(ownership->writer);
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
	ownership->retry_ms =
		clk_now_ms(ownership->config.clk) + OWNERSHIP_RETRY_MS;
	ownership->change_count++;
	writer_destroy(ownership->writer);
	ownership->writer = NULL;
	if (held)
		ownership->config.lost(ownership->config.arg);
}

static void on_first_append(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct ownership *ownership = arg;

	if (outcome != WRITER_STORED) {
		ownership_lose(ownership, "its first append was fenced");
		return;
	}
	ownership->state = OWNERSHIP_CATCHING_UP;
	ownership->fence_end_offset = end;
	ownership->syncing = false;
}

void ownership_assign(struct ownership *ownership, int32_t part,
		      int64_t generation, int64_t authority_end_ms)
{
	struct writer_config config = {
		.io = ownership->config.stream,
		.clk = ownership->config.clk,
		.id = ownership->config.id,
		.producer = ownership->name,
		.gap_ms = OWNERSHIP_APPEND_GAP_MS,
		.max_bytes = OWNERSHIP_APPEND_BYTES,
	};

	ownership->authority_end_ms = authority_end_ms;
	/* After a loss, a newer generation may have assigned it elsewhere. */
	if (ownership->state != OWNERSHIP_NONE ||
	    (generation == ownership->generation &&
	     clk_now_ms(ownership->config.clk) < ownership->retry_ms))
		return;
	ownership->retries = generation == ownership->generation
				     ? ownership->retries + 1
				     : 0;
	if (ownership->retries >= OWNERSHIP_MAX_TRIES)
		return;
	ownership->generation = generation;
	ownership->fence =
		(generation * OWNERSHIP_MAX_TRIES + ownership->retries) *
			OWNERSHIP_PARTS +
		part;
	config.epoch = ownership->fence;
	log_info("tenure-given of=%s fence=%" G_GINT64_FORMAT, ownership->name,
		 ownership->fence);
	ownership->state = OWNERSHIP_FENCING;
	ownership->assigned_ms = clk_now_ms(ownership->config.clk);
	ownership->change_count++;
	ownership->writer = writer_create(&config);
	writer_add(ownership->writer, NULL, NULL, 0, on_first_append,
		   ownership);
}

static void on_synced(void *arg, bool complete)
{
	struct ownership *ownership = arg;

	(void)complete; /* ownership_tick checks the offset */
	ownership->syncing = false;
}

static void catch_up(struct ownership *ownership)
{
	if (tail_next(ownership->config.tail) >= ownership->fence_end_offset) {
		ownership->acquired_ms = clk_now_ms(ownership->config.clk);
		ownership->state = OWNERSHIP_HELD;
		log_info("tenure-taken of=%s fence=%" G_GINT64_FORMAT
			 " offset=%" G_GINT64_FORMAT,
			 ownership->name, ownership->fence,
			 ownership->fence_end_offset);
		ownership->config.acquired(ownership->config.arg);
	} else if (!ownership->syncing) {
		ownership->syncing = true;
		tail_sync(ownership->config.tail, on_synced, ownership);
	}
}

void ownership_tick(struct ownership *ownership)
{
	if (ownership->state == OWNERSHIP_CATCHING_UP)
		catch_up(ownership);
	if (ownership->writer)
		writer_tick(ownership->writer);
}
