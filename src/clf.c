#include "clf.h"

#include <stdlib.h>
#include <string.h>

#include "claim.h"
#include "log.h"

enum { TICK_MS = 10, READ_RETRY_MS = 250 };

static const char stream[] = "claims";

struct clf {
	struct clf_config config;
	struct fwd_claims claims;
	struct claim *claim;
	int64_t next; /* offset to read from */
	bool reading;
	bool answers; /* the last read was answered */
	int64_t read_ms;
	int64_t retry_ms;
};

static struct claim_time time_of(const struct clf *clf)
{
	const struct clk *clk = evl_clk(clf->config.evl);

	return (struct claim_time){
		.now_ms = clk_now_ms(clk),
		.wall_ms = clk_wall_ms(clk),
	};
}

static void append_done(void *arg, int status, int64_t offset);

static void append_batch(struct clf *clf)
{
	struct claim_time at = time_of(clf);
	const char *text = claim_batch(
		clf->claim, &at, clf->config.live_members(clf->config.arg));

	if (text)
		plt_append(clf->config.plt, stream, text, strlen(text),
			   append_done, clf);
}

static void append_done(void *arg, int status, int64_t offset)
{
	struct clf *clf = arg;
	struct claim_time at = time_of(clf);

	(void)offset;
	claim_appended(clf->claim, &at, status);
	append_batch(clf);
}

static void set_answers(struct clf *clf, bool answers)
{
	if (answers != clf->answers)
		log_info(answers ? "claims stream answers, next offset %lld"
				 : "claims stream does not answer, next "
				   "offset %lld",
			 (long long)clf->next);
	clf->answers = answers;
}

static void apply_answer(struct clf *clf, int status,
			 const struct plt_batch *batch)
{
	struct claim_time at = time_of(clf);

	if (status == ERR_GONE && batch->first > clf->next) {
		log_warn("claims from offset %lld to %lld are past retention",
			 (long long)clf->next, (long long)batch->first);
		claim_gap(clf->claim);
		clf->next = batch->first;
		return;
	}
	if (status != 0) {
		set_answers(clf, false);
		clf->retry_ms = at.now_ms + READ_RETRY_MS;
		return;
	}
	set_answers(clf, true);
	clf->read_ms = at.now_ms;
	for (uint32_t i = 0; i < batch->count; i++) {
		/* A callee may have taken time, or the process was paused. */
		at = time_of(clf);
		claim_read(clf->claim, &at, batch->records[i].data,
			   batch->records[i].len);
	}
	clf->next = batch->next;
	/* If the platform gives fewer than are asked for, the end is taken to
	   be reached early; a claim is still won only when it was read back. */
	if (batch->count < LIM_TAIL_BATCH)
		claim_end(clf->claim, &at);
}

static void read_done(void *arg, int status, const struct plt_batch *batch);

static void start_read(struct clf *clf)
{
	struct claim_time at = time_of(clf);

	if (clf->reading || at.now_ms < clf->retry_ms)
		return;
	clf->reading = true;
	plt_read(clf->config.plt, stream, clf->next, LIM_TAIL_BATCH,
		 claim_current(clf->claim) ? LIM_LOG_WAIT_MS : 0, read_done,
		 clf);
}

static void read_done(void *arg, int status, const struct plt_batch *batch)
{
	struct clf *clf = arg;

	clf->reading = false;
	apply_answer(clf, status, batch);
	start_read(clf);
	append_batch(clf);
}

static void set_counters(struct clf *clf)
{
	const struct claim_stats stats = claim_stats(clf->claim);
	const int64_t values[CLF_COUNTER_COUNT] = {
		[CLF_CLAIMS] = stats.claims,
		[CLF_LOST] = stats.lost,
		[CLF_RELEASES] = stats.releases,
		[CLF_TOO_OLD] = stats.too_old,
		[CLF_APPENDS] = stats.appends,
		[CLF_INVALID] = stats.invalid,
		[CLF_KEYS] = stats.keys,
		[CLF_READ_AGE_MS] =
			clf->read_ms < 0 ? -1
					 : time_of(clf).now_ms - clf->read_ms,
	};

	for (size_t i = 0; i < CLF_COUNTER_COUNT; i++)
		ctr_set(clf->config.ctr, clf->config.first_counter + i,
			values[i]);
}

static void tick(void *arg)
{
	struct clf *clf = arg;

	start_read(clf);
	append_batch(clf);
	set_counters(clf);
}

static void claim(void *arg, const char *team, const char *key,
		  int64_t key_time_ms, int64_t deadline_ms,
		  void (*done)(void *done_arg, const struct err *result),
		  void *done_arg)
{
	struct clf *clf = arg;
	struct claim_time at = time_of(clf);
	struct claim_key hash = claim_key_of(team, key);

	claim_claim(clf->claim, &at, &hash, key_time_ms, deadline_ms, done,
		    done_arg);
	append_batch(clf);
}

static void release(void *arg, const char *team, const char *key,
		    void (*done)(void *done_arg), void *done_arg)
{
	struct clf *clf = arg;
	struct claim_time at = time_of(clf);
	struct claim_key hash = claim_key_of(team, key);

	claim_release(clf->claim, &at, &hash, done, done_arg);
	append_batch(clf);
}

struct clf *clf_create(const struct clf_config *config)
{
	const struct claim_config claims = {
		.author = config->author,
		.incarnation = config->incarnation,
		.process = config->process,
		.window_ms = config->window_ms,
		.max_keys = LIM_CLAIM_KEYS,
	};
	struct clf *clf = calloc(1, sizeof(*clf));

	if (!clf)
		return NULL;
	clf->config = *config;
	clf->read_ms = -1;
	clf->claims = (struct fwd_claims){
		.claim = claim,
		.release = release,
		.arg = clf,
	};
	clf->claim = claim_create(&claims);
	if (!clf->claim) {
		free(clf);
		return NULL;
	}
	evl_every(config->evl, TICK_MS, tick, clf);
	return clf;
}

void clf_destroy(struct clf *clf)
{
	if (!clf)
		return;
	claim_destroy(clf->claim);
	free(clf);
}

const struct fwd_claims *clf_claims(const struct clf *clf)
{
	return &clf->claims;
}
