#include "tenure.h"

#include "log.h"

enum {
	TENURE_APPEND_GAP_MS = 20,
	TENURE_APPEND_BYTES = 1024 * 1024,
	/* Takeovers in one generation, each under a fence of its own. */
	TENURE_FENCES = 256,
	TENURE_RETRY_MS = 500
};

void tenure_init(struct tenure *tenure, const struct tenure_config *config)
{
	*tenure = (struct tenure){ .config = *config };
	tenure->what = g_strdup(config->what);
}

void tenure_clear(struct tenure *tenure)
{
	writer_destroy(tenure->writer);
	g_free(tenure->what);
}

void tenure_lose(struct tenure *tenure, const char *why)
{
	bool held = tenure->state == TENURE_HELD;

	if (tenure->state == TENURE_NONE)
		return;
	log_info("tenure-lost of=%s fence=%" G_GINT64_FORMAT " why=%s",
		 tenure->what, tenure->fence, why);
	tenure->state = TENURE_NONE;
	tenure->retry_ms = clk_now_ms(tenure->config.clk) + TENURE_RETRY_MS;
	tenure->number++;
	writer_destroy(tenure->writer);
	tenure->writer = NULL;
	if (held)
		tenure->config.lost(tenure->config.arg);
}

static void on_fenced(void *arg, enum writer_outcome outcome, int64_t end)
{
	struct tenure *tenure = arg;

	if (outcome != WRITER_STORED) {
		tenure_lose(tenure, "its first append was fenced");
		return;
	}
	tenure->state = TENURE_CATCHING_UP;
	tenure->fence_end = end;
	tenure->syncing = false;
}

void tenure_give(struct tenure *tenure, int32_t part, int64_t generation,
		 int64_t authority_end_ms)
{
	struct writer_config config = {
		.io = tenure->config.stream,
		.clk = tenure->config.clk,
		.id = tenure->config.id,
		.producer = tenure->what,
		.gap_ms = TENURE_APPEND_GAP_MS,
		.max_bytes = TENURE_APPEND_BYTES,
	};

	tenure->authority_end_ms = authority_end_ms;
	/* What was lost in this generation may be another's by a newer one. */
	if (tenure->state != TENURE_NONE ||
	    (generation == tenure->generation &&
	     clk_now_ms(tenure->config.clk) < tenure->retry_ms))
		return;
	tenure->tries =
		generation == tenure->generation ? tenure->tries + 1 : 0;
	if (tenure->tries >= TENURE_FENCES)
		return;
	tenure->generation = generation;
	tenure->fence =
		(generation * TENURE_FENCES + tenure->tries) * TENURE_PARTS +
		part;
	config.epoch = tenure->fence;
	log_info("tenure-given of=%s fence=%" G_GINT64_FORMAT, tenure->what,
		 tenure->fence);
	tenure->state = TENURE_FENCING;
	tenure->number++;
	tenure->writer = writer_create(&config);
	writer_add(tenure->writer, NULL, NULL, 0, on_fenced, tenure);
}

static void on_synced(void *arg, bool complete)
{
	struct tenure *tenure = arg;

	(void)complete; /* looked at again in each tick */
	tenure->syncing = false;
}

static void catch_up(struct tenure *tenure)
{
	if (tail_next(tenure->config.tail) >= tenure->fence_end) {
		tenure->taken_ms = clk_now_ms(tenure->config.clk);
		tenure->state = TENURE_HELD;
		log_info("tenure-taken of=%s fence=%" G_GINT64_FORMAT
			 " offset=%" G_GINT64_FORMAT,
			 tenure->what, tenure->fence, tenure->fence_end);
		tenure->config.taken(tenure->config.arg);
	} else if (!tenure->syncing) {
		tenure->syncing = true;
		tail_sync(tenure->config.tail, on_synced, tenure);
	}
}

void tenure_tick(struct tenure *tenure)
{
	if (tenure->state == TENURE_CATCHING_UP)
		catch_up(tenure);
	if (tenure->writer)
		writer_tick(tenure->writer);
}
