#include "writer.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"

enum {
	WRITER_RETRY_MIN_MS = 50,
	WRITER_RETRY_MAX_MS = 800,
	WRITER_KEY_BYTES = 128
};

struct entry {
	int64_t number;
	char key[WRITER_KEY_BYTES]; /* empty: only a callback, no record */
	char *value;		    /* NULL: deletes the key */
	size_t value_len;
	writer_fn *fn; /* NULL: none, or withdrawn */
	void *arg;
};

struct writer {
	struct writer_config config;
	char *producer;
	int64_t next_number;
	int64_t sequence;  /* of the append in flight, or of the next one */
	GArray *waiting;   /* for a later append */
	GArray *sent;	   /* in the append in flight */
	GByteArray *bytes; /* encoded records of that append */
	bool busy;	   /* a call or a callback is in progress */
	bool epoch_set;	   /* the log knows the epoch */
	int64_t end;	   /* of the stream, after the last append */
	bool destroyed;
	int64_t first_try_ms; /* of the append in flight */
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

void writer_destroy(struct writer *writer)
{
	if (!writer)
		return;
	/* If busy, on_appended or writer_tick frees the writer later. */
	writer->destroyed = true;
	if (!writer->busy)
		free_writer(writer);
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

static void detach(GArray *entries, int64_t number)
{
	for (guint i = 0; i < entries->len; i++) {
		struct entry *entry = &g_array_index(entries, struct entry, i);

		if (entry->number == number)
			entry->fn = NULL;
	}
}

void writer_detach(struct writer *writer, int64_t number)
{
	detach(writer->waiting, number);
	detach(writer->sent, number);
}

bool writer_withdraw(struct writer *writer, int64_t number)
{
	for (guint i = 0; i < writer->waiting->len; i++) {
		struct entry *entry =
			&g_array_index(writer->waiting, struct entry, i);

		if (entry->number != number)
			continue;
		g_free(entry->value);
		g_array_remove_index(writer->waiting, i);
		return true;
	}
	detach(writer->sent, number);
	return false;
}

bool writer_is_sent(const struct writer *writer, int64_t number)
{
	for (guint i = 0; i < writer->sent->len; i++)
		if (g_array_index(writer->sent, struct entry, i).number ==
		    number)
			return true;
	return false;
}

/* Completes the append in flight and calls each record's callback. */
static void finish_append(struct writer *writer, enum writer_outcome outcome,
			  int64_t offset, int64_t end)
{
	GArray *completed = writer->sent;

	writer->sent = g_array_new(FALSE, FALSE, sizeof(struct entry));
	/* An append without records uses no sequence number. */
	if (writer->bytes->len)
		writer->sequence++;
	writer->epoch_set = true;
	writer->end = end;
	writer->retry_ms = WRITER_RETRY_MIN_MS;
	writer->busy = true; /* a callback may destroy the writer */
	for (guint i = 0; i < completed->len; i++) {
		struct entry *entry =
			&g_array_index(completed, struct entry, i);

		if (entry->fn && !writer->destroyed)
			entry->fn(entry->arg, outcome,
				  entry->key[0] ? offset : end);
		if (entry->key[0] && offset >= 0)
			offset++;
	}
	writer->busy = false;
	clear_entries(completed);
	g_array_free(completed, TRUE);
}

static void schedule_retry(struct writer *writer)
{
	writer->next_try_ms = clk_now_ms(writer->config.clk) + writer->retry_ms;
	writer->retry_ms = MIN(writer->retry_ms * 2, WRITER_RETRY_MAX_MS);
}

static void on_appended(void *arg, const struct stream_append_result *result)
{
	struct writer *writer = arg;

	writer->busy = false;
	if (writer->destroyed) {
		free_writer(writer);
		return;
	}
	switch (result->outcome) {
	case STREAM_OK:
		finish_append(writer, WRITER_STORED, result->offset,
			      result->end);
		break;
	case STREAM_FENCED:
		log_warn("append by %s in epoch %" G_GINT64_FORMAT
			 " refused: fenced by a higher epoch",
			 writer->producer, writer->config.epoch);
		finish_append(writer, WRITER_FENCED, -1, -1);
		break;
	case STREAM_BAD_SEQUENCE:
		/* Not expected: only this process uses the producer and
		   epoch. */
		log_error("append %" G_GINT64_FORMAT " by %s refused: "
			  "sequence number out of order",
			  writer->sequence, writer->producer);
		finish_append(writer, WRITER_FENCED, -1, -1);
		break;
	default:
		schedule_retry(writer);
		break;
	}
	if (writer->destroyed)
		free_writer(writer);
}

/* Moves waiting records into the next append, up to max_bytes. */
static void fill_append(struct writer *writer)
{
	guint count = 0;

	g_byte_array_set_size(writer->bytes, 0);
	while (count < writer->waiting->len) {
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

void writer_tick(struct writer *writer)
{
	int64_t now_ms = clk_now_ms(writer->config.clk);
	struct stream_append append = {
		.id = writer->config.id,
		.producer = writer->producer,
		.epoch = writer->config.epoch,
	};

	if (writer->busy)
		return;
	if (!writer->sent->len) {
		if (!writer->waiting->len ||
		    now_ms - writer->last_append_ms < writer->config.gap_ms)
			return;
		fill_append(writer);
		writer->first_try_ms = now_ms;
		if (!writer->bytes->len && writer->epoch_set) {
			finish_append(writer, WRITER_STORED, -1, writer->end);
			if (writer->destroyed)
				free_writer(writer);
			return;
		}
	} else if (now_ms < writer->next_try_ms) {
		return;
	}
	writer->busy = true;
	writer->last_append_ms = now_ms;
	append.sequence = writer->sequence;
	append.records = (const char *)writer->bytes->data;
	append.len = writer->bytes->len;
	writer->config.io->append(writer->config.io->io, &append, on_appended,
				  writer);
}

int64_t writer_stalled_ms(const struct writer *writer)
{
	if (!writer->sent->len)
		return 0;
	return clk_now_ms(writer->config.clk) - writer->first_try_ms;
}

bool writer_idle(const struct writer *writer)
{
	return !writer->sent->len && !writer->waiting->len;
}
