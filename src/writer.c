#include "writer.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "rtt.h"

enum {
	WRITER_RETRY_MIN_MS = 50,
	WRITER_RETRY_MAX_MS = 800,
	/* Calls in flight, each of which occupies a connection until its end;
	   all calls to the log share 16. */
	WRITER_MAX_CALLS = 4,
	WRITER_KEY_BYTES = 128
};

struct entry {
	int64_t number;
	char key[WRITER_KEY_BYTES]; /* empty: only a callback, no record */
	char *value;		    /* NULL: deletes the key */
	size_t value_len;
	bool confirms;	/* an append is made for it, even without records */
	bool withdrawn; /* it has been sent, and is not wanted any more */
	writer_fn *fn;	/* NULL: none, or withdrawn */
	void *arg;
};

/* One call of an append; its argument. */
struct attempt {
	struct writer *writer;
	int64_t append; /* number of the append */
	int64_t epoch;
	uint32_t number; /* of this attempt of it, from 1 on */
	int64_t sent_ms;
};

struct writer {
	struct writer_config config;
	char *producer;
	int64_t next_number;
	int64_t given_up;  /* records */
	int64_t sequence;  /* of the append in flight, or of the next one */
	GArray *waiting;   /* for a later append */
	GArray *sent;	   /* in the append in flight */
	GByteArray *bytes; /* encoded records of that append */
	bool calling_back; /* a callback is in progress */
	uint32_t calls;	   /* in flight, of this append and earlier ones */
	/* Number of the append in flight. Its sequence number does not tell it
	   from the one before, as an append without records uses none. */
	int64_t append;
	uint32_t attempts; /* of it */
	uint32_t unended;  /* attempts that are still in flight */
	struct rtt rtt;
	guint alone;	/* next records that are sent one by one */
	bool epoch_set; /* the log knows the epoch */
	int64_t end;	/* of the stream, after the last append */
	bool destroyed;
	int64_t first_try_ms; /* of the append in flight */
	bool unanswered; /* likewise of the one that was given up before it */
	int64_t next_try_ms;
	int64_t last_append_ms;
	int64_t retry_ms;
};

struct writer *writer_create(const struct writer_config *config)
{
	struct writer *writer = g_new0(struct writer, 1);

	writer->config = *config;
	writer->producer = g_strdup(config->producer);
	writer->waiting = g_array_new(FALSE, FALSE, sizeof(struct entry));
	writer->sent = g_array_new(FALSE, FALSE, sizeof(struct entry));
	writer->bytes = g_byte_array_new();
	writer->retry_ms = WRITER_RETRY_MIN_MS;
	return writer;
}

static void clear_entries(GArray *entries)
{
	for (guint i = 0; i < entries->len; i++)
		g_free(g_array_index(entries, struct entry, i).value);
	g_array_set_size(entries, 0);
}

static void free_writer(struct writer *writer)
{
	clear_entries(writer->waiting);
	clear_entries(writer->sent);
	g_array_free(writer->waiting, TRUE);
	g_array_free(writer->sent, TRUE);
	g_byte_array_free(writer->bytes, TRUE);
	g_free(writer->producer);
	g_free(writer);
}

static void free_if_unused(struct writer *writer)
{
	if (writer->destroyed && !writer->calling_back && !writer->calls)
		free_writer(writer);
}

void writer_destroy(struct writer *writer)
{
	if (!writer)
		return;
	/* Otherwise free_if_unused does, once nothing is in progress. */
	writer->destroyed = true;
	free_if_unused(writer);
}

int64_t writer_add(struct writer *writer, const char *key, const char *value,
		   size_t value_len, writer_fn *fn, void *arg)
{
	struct entry entry = {
		.number = ++writer->next_number,
		.value = value ? g_memdup2(value, value_len ? value_len : 1)
			       : NULL,
		.value_len = value_len,
		.fn = fn,
		.arg = arg,
	};

	g_strlcpy(entry.key, key ? key : "", sizeof(entry.key));
	g_array_append_val(writer->waiting, entry);
	return entry.number;
}

void writer_confirm(struct writer *writer, writer_fn *fn, void *arg)
{
	struct entry entry = {
		.number = ++writer->next_number,
		.confirms = true,
		.fn = fn,
		.arg = arg,
	};

	g_array_append_val(writer->waiting, entry);
}

static struct entry *find_entry(GArray *entries, int64_t number)
{
	for (guint i = 0; i < entries->len; i++) {
		struct entry *entry = &g_array_index(entries, struct entry, i);

		if (entry->number == number)
			return entry;
	}
	return NULL;
}

static struct entry *detach(GArray *entries, int64_t number)
{
	struct entry *entry = find_entry(entries, number);

	if (entry)
		entry->fn = NULL;
	return entry;
}

void writer_detach(struct writer *writer, int64_t number)
{
	detach(writer->waiting, number);
	detach(writer->sent, number);
}

bool writer_withdraw(struct writer *writer, int64_t number)
{
	struct entry *sent;

	for (guint i = 0; i < writer->waiting->len; i++) {
		struct entry *entry =
			&g_array_index(writer->waiting, struct entry, i);

		if (entry->number != number)
			continue;
		g_free(entry->value);
		g_array_remove_index(writer->waiting, i);
		return true;
	}
	sent = detach(writer->sent, number);
	if (sent)
		sent->withdrawn = true;
	return false;
}

bool writer_is_sent(const struct writer *writer, int64_t number)
{
	return find_entry(writer->sent, number) != NULL;
}

int64_t writer_given_up(const struct writer *writer)
{
	return writer->given_up;
}

/* Completes the append in flight and calls each record's callback. */
static void finish_append(struct writer *writer, enum writer_outcome outcome,
			  int64_t offset, int64_t end)
{
	GArray *completed = writer->sent;

	writer->unanswered = false;
	writer->sent = g_array_new(FALSE, FALSE, sizeof(struct entry));
	if (outcome != WRITER_REFUSED) {
		/* An append without records uses no sequence number. */
		if (writer->bytes->len)
			writer->sequence++;
		writer->epoch_set = true;
		writer->end = end;
	}
	writer->retry_ms = WRITER_RETRY_MIN_MS;
	writer->append++; /* answers to earlier attempts no longer count */
	writer->calling_back = true; /* a callback may destroy the writer */
	for (guint i = 0; i < completed->len; i++) {
		struct entry *entry =
			&g_array_index(completed, struct entry, i);

		if (entry->fn && !writer->destroyed)
			entry->fn(entry->arg, outcome,
				  entry->key[0] ? offset : end);
		if (entry->key[0] && offset >= 0)
			offset++;
	}
	writer->calling_back = false;
	clear_entries(completed);
	g_array_free(completed, TRUE);
}

/* Nothing was done. While another attempt is in flight, it may be answered. */
static void schedule_retry(struct writer *writer)
{
	int64_t due_ms = clk_now_ms(writer->config.clk) + writer->retry_ms;

	if (writer->unended) {
		writer->next_try_ms = MAX(writer->next_try_ms, due_ms);
		return;
	}
	/* The log answers, so the next attempt is the first one again. */
	writer->attempts = 0;
	writer->next_try_ms = due_ms;
	writer->retry_ms = MIN(writer->retry_ms * 2, WRITER_RETRY_MAX_MS);
}

/*
 * The log refuses the append for good. Of several records each is sent alone, so
 * that only the one at fault is given up.
 */
static void refuse(struct writer *writer)
{
	const struct entry *first =
		&g_array_index(writer->sent, struct entry, 0);

	if (writer->sent->len == 1) {
		log_error("record refused: key=%s bytes=%zu by=%s", first->key,
			  first->value_len, writer->producer);
		finish_append(writer, WRITER_REFUSED, -1, -1);
		return;
	}
	log_warn("append of %u records by %s refused: each is sent alone",
		 writer->sent->len, writer->producer);
	writer->alone = writer->sent->len;
	g_array_prepend_vals(writer->waiting, writer->sent->data,
			     writer->sent->len);
	g_array_set_size(writer->sent, 0);
	writer->append++; /* answers to earlier attempts no longer count */
}

static void fence(struct writer *writer)
{
	log_warn("append by %s in epoch %" G_GINT64_FORMAT
		 " refused: fenced by a higher epoch",
		 writer->producer, writer->config.epoch);
	finish_append(writer, WRITER_FENCED, -1, -1);
}

/* Applies the answer to an attempt of the append in flight. */
static void apply_answer(struct writer *writer,
			 const struct stream_append_result *result)
{
	switch (result->outcome) {
	case STREAM_OK:
		finish_append(writer, WRITER_STORED, result->offset,
			      result->end);
		break;
	case STREAM_FENCED:
		fence(writer);
		break;
	case STREAM_BAD_SEQUENCE:
		/* Not expected: only this process uses the producer and
		   epoch. */
		log_error("append %" G_GINT64_FORMAT " by %s refused: "
			  "sequence number out of order",
			  writer->sequence, writer->producer);
		finish_append(writer, WRITER_FENCED, -1, -1);
		break;
	case STREAM_REFUSED:
		schedule_retry(writer);
		break;
	case STREAM_INVALID:
		refuse(writer);
		break;
	default:
		/* Unknown: the next attempt is due as it is. */
		break;
	}
}

static bool is_answer(enum stream_outcome outcome)
{
	return outcome == STREAM_OK || outcome == STREAM_FENCED ||
	       outcome == STREAM_BAD_SEQUENCE;
}

static void on_appended(void *arg, const struct stream_append_result *result)
{
	struct attempt *attempt = arg;
	struct writer *writer = attempt->writer;
	int64_t took_ms = clk_now_ms(writer->config.clk) - attempt->sent_ms;
	bool current = attempt->append == writer->append;
	bool same_epoch = attempt->epoch == writer->config.epoch;
	uint32_t number = attempt->number;

	g_free(attempt);
	writer->calls--;
	if (writer->destroyed) {
		free_if_unused(writer);
		return;
	}
	if (is_answer(result->outcome))
		rtt_add(&writer->rtt, took_ms);
	if (is_answer(result->outcome) && current)
		rtt_count_attempts(&writer->rtt, number);
	if (current)
		writer->unended--;
	/* An earlier append has ended: its sequence number may be too old for
	   the log by now, but a fence holds for all. */
	if (current)
		apply_answer(writer, result);
	else if (result->outcome == STREAM_FENCED && same_epoch &&
		 writer->sent->len)
		fence(writer);
	free_if_unused(writer);
}

/* Moves waiting records into the next append, up to max_bytes. */
static void fill_append(struct writer *writer)
{
	guint most = writer->alone ? 1 : writer->waiting->len;
	guint count = 0;

	writer->alone -= writer->alone > 0;
	g_byte_array_set_size(writer->bytes, 0);
	while (count < most) {
		struct entry *entry =
			&g_array_index(writer->waiting, struct entry, count);

		if (count &&
		    writer->bytes->len + entry->value_len + WRITER_KEY_BYTES >
			    writer->config.max_bytes)
			break;
		if (entry->key[0])
			writer->config.io->add_record(writer->bytes, entry->key,
						      entry->value,
						      entry->value_len);
		g_array_append_val(writer->sent, *entry);
		count++;
	}
	g_array_remove_range(writer->waiting, 0, count);
}

static void send_attempt(struct writer *writer, int64_t now_ms)
{
	struct attempt *attempt = g_new0(struct attempt, 1);
	struct stream_append append = {
		.id = writer->config.id,
		.producer = writer->producer,
		.epoch = writer->config.epoch,
		.sequence = writer->sequence,
		.records = (const char *)writer->bytes->data,
		.len = writer->bytes->len,
	};

	attempt->writer = writer;
	attempt->append = writer->append;
	attempt->epoch = writer->config.epoch;
	attempt->sent_ms = now_ms;
	attempt->number = ++writer->attempts;
	writer->unended++;
	writer->calls++;
	writer->last_append_ms = now_ms;
	writer->next_try_ms =
		now_ms + rtt_missed_ms(&writer->rtt, writer->attempts);
	append.timeout_ms = rtt_give_up_ms(&writer->rtt, writer->attempts);
	writer->config.io->append(writer->config.io->io, &append, on_appended,
				  attempt);
}

/* Whether the append has records that nobody wants, and nobody waits for it. */
static bool is_unwanted(const struct writer *writer)
{
	bool withdrawn = false;

	for (guint i = 0; i < writer->sent->len; i++) {
		const struct entry *entry =
			&g_array_index(writer->sent, struct entry, i);

		if (entry->fn)
			return false;
		withdrawn |= entry->withdrawn;
	}
	return withdrawn;
}

/*
 * Gives up the records that were withdrawn from the append in flight. Its other
 * records are sent again, under an epoch that shuts out all attempts of before; one
 * that was executed may store them twice.
 */
static void give_up(struct writer *writer)
{
	struct entry first = { .number = ++writer->next_number };
	GArray *kept = g_array_new(FALSE, FALSE, sizeof(struct entry));
	guint count = writer->sent->len;

	/* An append is made even if nothing is left to be stored. */
	g_array_append_val(kept, first);
	for (guint i = 0; i < count; i++) {
		struct entry *entry =
			&g_array_index(writer->sent, struct entry, i);

		if (!entry->withdrawn) {
			g_array_append_val(kept, *entry);
			continue;
		}
		log_info("record-given-up key=%s by=%s epoch=%" G_GINT64_FORMAT
			 " sent_ms_ago=%" G_GINT64_FORMAT,
			 entry->key, writer->producer, writer->config.epoch,
			 writer_stalled_ms(writer));
		g_free(entry->value);
		writer->given_up++;
	}
	g_array_set_size(writer->sent, 0);
	g_array_prepend_vals(writer->waiting, kept->data, kept->len);
	g_array_free(kept, TRUE);
	writer->append++; /* answers to earlier attempts no longer count */
	writer->config.epoch++;
	writer->epoch_set = false;
	writer->unanswered = true;
}

/* Whether the next append is made even if it has no records. */
static bool must_send(const struct writer *writer)
{
	for (guint i = 0; i < writer->sent->len; i++)
		if (g_array_index(writer->sent, struct entry, i).confirms)
			return true;
	return !writer->epoch_set;
}

/* Whether there is an append to send; an empty one sets the epoch only. */
static bool start_append(struct writer *writer, int64_t now_ms)
{
	if (!writer->waiting->len ||
	    now_ms - writer->last_append_ms < writer->config.gap_ms)
		return false;
	fill_append(writer);
	if (!writer->unanswered)
		writer->first_try_ms = now_ms;
	writer->attempts = 0;
	writer->unended = 0;
	if (writer->bytes->len || must_send(writer))
		return true;
	finish_append(writer, WRITER_STORED, -1, writer->end);
	return false;
}

void writer_tick(struct writer *writer)
{
	int64_t now_ms = clk_now_ms(writer->config.clk);

	if (writer->calling_back)
		return;
	if (is_unwanted(writer))
		give_up(writer);
	if (writer->calls >= WRITER_MAX_CALLS)
		return;
	if (writer->sent->len ? now_ms >= writer->next_try_ms
			      : start_append(writer, now_ms))
		send_attempt(writer, now_ms);
	free_if_unused(writer);
}

int64_t writer_stalled_ms(const struct writer *writer)
{
	if (!writer->sent->len && !writer->unanswered)
		return 0;
	return clk_now_ms(writer->config.clk) - writer->first_try_ms;
}

int64_t writer_answer_ms(const struct writer *writer)
{
	return rtt_expected_ms(&writer->rtt);
}

int64_t writer_expected_ms(const struct writer *writer)
{
	int64_t answer_ms = writer_answer_ms(writer);

	if (!writer->sent->len)
		return 0;
	return MAX(answer_ms - writer_stalled_ms(writer), 0) +
	       writer->config.gap_ms + answer_ms;
}

bool writer_idle(const struct writer *writer)
{
	return !writer->sent->len && !writer->waiting->len;
}
