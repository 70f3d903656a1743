#include "claim_log.h"

#include <stdlib.h>
#include <string.h>

#include "claim.h"
#include "log.h"

enum { TICK_MS = 10, READ_RETRY_MS = 250 };

static const char stream_name[] = "claims";

struct claim_log {
	struct claim_log_config config;
	struct proxy_claim_ops ops;
	struct claim *claim;
	int64_t next_offset;
	bool reading;
	bool reachable;	  /* the last read was answered */
	int64_t read_ms;  /* time of the last answered read; -1: none */
	int64_t retry_ms; /* earliest time of the next read */
};

static struct claim_time current_time(const struct claim_log *claim_log)
{
	const struct clk *clk = evloop_clk(claim_log->config.evloop);

	return (struct claim_time){
		.now_ms = clk_now_ms(clk),
		.wall_ms = clk_wall_ms(clk),
	};
}

static void on_append(void *arg, int status, int64_t offset);

static void append_batch(struct claim_log *claim_log)
{
	struct claim_time at = current_time(claim_log);
	const char *text = claim_next_batch(
		claim_log->claim, &at,
		claim_log->config.live_members(claim_log->config.arg));

	if (text)
		platclient_append(claim_log->config.platclient, stream_name,
				  text, strlen(text), on_append, claim_log);
}

static void on_append(void *arg, int status, int64_t offset)
{
	struct claim_log *claim_log = arg;
	struct claim_time at = current_time(claim_log);

	(void)offset;
	claim_append_done(claim_log->claim, &at, status);
	append_batch(claim_log);
}

static void set_reachable(struct claim_log *claim_log, bool reachable)
{
	if (reachable != claim_log->reachable)
		log_info(reachable ? "claims stream answers, next offset %lld"
				   : "claims stream does not answer, next "
				     "offset %lld",
			 (long long)claim_log->next_offset);
	claim_log->reachable = reachable;
}

static void handle_read(struct claim_log *claim_log, int status,
			const struct platclient_batch *batch)
{
	struct claim_time at = current_time(claim_log);

	if (status == ERR_GONE && batch->first > claim_log->next_offset) {
		log_warn("claims from offset %lld to %lld are past retention",
			 (long long)claim_log->next_offset,
			 (long long)batch->first);
		claim_report_gap(claim_log->claim);
		claim_log->next_offset = batch->first;
		return;
	}
	if (status != 0) {
		set_reachable(claim_log, false);
		claim_log->retry_ms = at.now_ms + READ_RETRY_MS;
		return;
	}
	set_reachable(claim_log, true);
	claim_log->read_ms = at.now_ms;
	for (uint32_t i = 0; i < batch->count; i++) {
		/* Callbacks take time, and the process may have been paused. */
		at = current_time(claim_log);
		claim_apply_record(claim_log->claim, &at,
				   batch->records[i].data,
				   batch->records[i].len);
	}
	claim_log->next_offset = batch->next;
	/* The platform may return fewer records than requested before the end
	   of the stream. Assuming the end too early is harmless, since a claim
	   is won only when it has been read back. */
	if (batch->count < LIMIT_TAIL_BATCH)
		claim_report_end(claim_log->claim, &at);
}

static void on_read(void *arg, int status,
		    const struct platclient_batch *batch);

static void start_read(struct claim_log *claim_log)
{
	struct claim_time at = current_time(claim_log);

	if (claim_log->reading || at.now_ms < claim_log->retry_ms)
		return;
	claim_log->reading = true;
	platclient_read(claim_log->config.platclient, stream_name,
			claim_log->next_offset, LIMIT_TAIL_BATCH,
			claim_is_caught_up(claim_log->claim) ? LIMIT_LOG_WAIT_MS
							     : 0,
			on_read, claim_log);
}

static void on_read(void *arg, int status, const struct platclient_batch *batch)
{
	struct claim_log *claim_log = arg;

	claim_log->reading = false;
	handle_read(claim_log, status, batch);
	start_read(claim_log);
	append_batch(claim_log);
}

static void set_counters(struct claim_log *claim_log)
{
	const struct claim_stats stats = claim_stats(claim_log->claim);
	const int64_t values[CLAIM_LOG_COUNTER_COUNT] = {
		[CLAIM_LOG_CLAIMS] = stats.claims,
		[CLAIM_LOG_LOST] = stats.lost,
		[CLAIM_LOG_RELEASES] = stats.releases,
		[CLAIM_LOG_TOO_OLD] = stats.too_old,
		[CLAIM_LOG_APPENDS] = stats.appends,
		[CLAIM_LOG_INVALID] = stats.invalid,
		[CLAIM_LOG_KEYS] = stats.keys,
		[CLAIM_LOG_READ_AGE_MS] =
			claim_log->read_ms < 0
				? -1
				: current_time(claim_log).now_ms -
					  claim_log->read_ms,
	};

	for (size_t i = 0; i < CLAIM_LOG_COUNTER_COUNT; i++)
		counters_set(claim_log->config.counters,
			     claim_log->config.first_counter + i, values[i]);
}

static void on_tick(void *arg)
{
	struct claim_log *claim_log = arg;

	start_read(claim_log);
	append_batch(claim_log);
	set_counters(claim_log);
}

static void start_claim(void *arg, const char *team, const char *key,
			int64_t key_time_ms, int64_t deadline_ms,
			void (*done)(void *done_arg, const struct err *result),
			void *done_arg)
{
	struct claim_log *claim_log = arg;
	struct claim_time at = current_time(claim_log);
	struct claim_key hash = claim_key_of(team, key);

	claim_acquire(claim_log->claim, &at, &hash, key_time_ms, deadline_ms,
		      done, done_arg);
	append_batch(claim_log);
}

static void start_release(void *arg, const char *team, const char *key,
			  void (*done)(void *done_arg), void *done_arg)
{
	struct claim_log *claim_log = arg;
	struct claim_time at = current_time(claim_log);
	struct claim_key hash = claim_key_of(team, key);

	claim_release(claim_log->claim, &at, &hash, done, done_arg);
	append_batch(claim_log);
}

struct claim_log *claim_log_create(const struct claim_log_config *config)
{
	const struct claim_config claim_config = {
		.author = config->author,
		.incarnation = config->incarnation,
		.process = config->process,
		.window_ms = config->window_ms,
		.max_keys = LIMIT_CLAIM_KEYS,
	};
	struct claim_log *claim_log = calloc(1, sizeof(*claim_log));

	if (!claim_log)
		return NULL;
	claim_log->config = *config;
	claim_log->read_ms = -1;
	claim_log->ops = (struct proxy_claim_ops){
		.claim = start_claim,
		.release = start_release,
		.arg = claim_log,
	};
	claim_log->claim = claim_create(&claim_config);
	if (!claim_log->claim) {
		free(claim_log);
		return NULL;
	}
	evloop_add_timer(config->evloop, TICK_MS, on_tick, claim_log);
	return claim_log;
}

void claim_log_destroy(struct claim_log *claim_log)
{
	if (!claim_log)
		return;
	claim_destroy(claim_log->claim);
	free(claim_log);
}

const struct proxy_claim_ops *
claim_log_claims(const struct claim_log *claim_log)
{
	return &claim_log->ops;
}
