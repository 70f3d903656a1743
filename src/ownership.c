#include "ownership.h"

#include "log.h"

enum {
	OWNERSHIP_APPEND_GAP_MS = 20,
	OWNERSHIP_APPEND_BYTES = 1024 * 1024,
	/* Takeovers in one generation, each under a fence of its own. */
	OWNERSHIP_FENCES = 256,
	OWNERSHIP_RETRY_MS = 500
};

void ownership_init(struct ownership *tenure,
		    const struct ownership_config *config)
{
	*tenure = (struct ownership){ .config = *config };
	tenure->what = g_strdup(config->what);
}

void ownership_clear(struct ownership *tenure)
{
	writer_destroy(tenure->writer);
	g_free(tenure->what);
}

void ownership_lose(struct ownership *tenure, const char *why)
{
	bool held = tenure->state == OWNERSHIP_HELD;

	if (tenure->state == OWNERSHIP_NONE)
		return;
	log_info("tenure-lost of=%s fence=%" G_GINT64_FORMAT " why=%s",
		 tenure->what, tenure->fence, why);
	tenure->state = OWNERSHIP_NONE;
	tenure->retry_ms = clk_now_ms(tenure->config.clk) + OWNERSHIP_RETRY_MS;
	tenure->number++;
	writer_destroy(tenure->writer);
	tenure->writer = NULL;
	if (held)
		tenure->config.lost(tenure->config.arg);
}

static void on_fenced(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct ownership *tenure = arg;

	if (outcome != WRITER_STORED) {
		ownership_lose(tenure, "its first append was fenced");
		return;
	}
	tenure->state = OWNERSHIP_CATCHING_UP;
	tenure->fence_end = end;
	tenure->syncing = false;
}

void ownership_give(struct ownership *tenure, int32_t part, int64_t generation,
		    int64_t authority_end_ms)
{
	struct writer_config config = {
		.io = tenure->config.stream,
		.clk = tenure->config.clk,
		.id = tenure->config.id,
		.producer = tenure->what,
		.gap_ms = OWNERSHIP_APPEND_GAP_MS,
		.max_bytes = OWNERSHIP_APPEND_BYTES,
	};

	tenure->authority_end_ms = authority_end_ms;
	/* What was lost in this generation may be another's by a newer one. */
	if (tenure->state != OWNERSHIP_NONE ||
	    (generation == tenure->generation &&
	     clk_now_ms(tenure->config.clk) < tenure->retry_ms))
		return;
	tenure->tries =
		generation == tenure->generation ? tenure->tries + 1 : 0;
	if (tenure->tries >= OWNERSHIP_FENCES)
		return;
	tenure->generation = generation;
	tenure->fence = (generation * OWNERSHIP_FENCES + tenure->tries) *
				OWNERSHIP_PARTS +
			part;
	config.epoch = tenure->fence;
	log_info("tenure-given of=%s fence=%" G_GINT64_FORMAT, tenure->what,
		 tenure->fence);
	tenure->state = OWNERSHIP_FENCING;
	tenure->number++;
	tenure->writer = writer_create(&config);
	writer_add(tenure->writer, NULL, NULL, 0, on_fenced, tenure);
}

static void on_synced(void *arg, bool complete)
{
	struct ownership *tenure = arg;

	(void)complete; /* looked at again in each tick */
	tenure->syncing = false;
}

static void catch_up(struct ownership *tenure)
{
	if (tail_next(tenure->config.tail) >= tenure->fence_end) {
		tenure->taken_ms = clk_now_ms(tenure->config.clk);
		tenure->state = OWNERSHIP_HELD;
		log_info("tenure-taken of=%s fence=%" G_GINT64_FORMAT
			 " offset=%" G_GINT64_FORMAT,
			 tenure->what, tenure->fence, tenure->fence_end);
		tenure->config.taken(tenure->config.arg);
	} else if (!tenure->syncing) {
		tenure->syncing = true;
		tail_sync(tenure->config.tail, on_synced, tenure);
	}
}

void ownership_tick(struct ownership *tenure)
{
	if (tenure->state == OWNERSHIP_CATCHING_UP)
		catch_up(tenure);
	if (tenure->writer)
		writer_tick(tenure->writer);
}
