/*
 * NAME
 *	writer - appends records to a stream in batches, each exactly once
 *
 * One append is under way at a time. Records that are added meanwhile go with
 * the next one. An append without an answer is repeated under its number
 * until the log tells what became of it.
 */
#ifndef WRITER_H
#define WRITER_H

#include <stdint.h>

#include "clk.h"
#include "stream.h"

struct writer;

enum writer_outcome {
	WRITER_STORED,
	WRITER_FENCED /* another owner has taken over; it was not stored */
};

/* offset is that of the record, or for none the end of the stream. */
typedef void writer_fn(void *arg, enum writer_outcome outcome, int64_t offset);

struct writer_config {
	const struct stream_io *io;
	const struct clk *clk;
	struct stream_id id;
	const char *producer;
	int64_t epoch;
	int64_t gap_ms;	  /* least time between two appends */
	size_t max_bytes; /* of an append */
};

struct writer *writer_create(const struct writer_config *config);

/* writer_destroy - drop all; no callback of its records is called any more */
void writer_destroy(struct writer *writer);

/*
 * writer_add - add a record; value NULL drops the key
 *
 * key NULL adds no record: fn is called once all records before are stored.
 * The first append of a writer is made even without records, to set the epoch.
 *
 * RETURN VALUE
 *	A number by which writer_withdraw knows the record.
 */
int64_t writer_add(struct writer *writer, const char *key, const char *value,
		   size_t value_len, writer_fn *fn, void *arg);

/*
 * writer_withdraw - take a record back that has not been sent
 *
 * RETURN VALUE
 *	True: it is not stored and never will be, and fn is not called.
 *	False: it may be stored; fn is called no more.
 */
bool writer_withdraw(struct writer *writer, int64_t number);

/* writer_is_sent - whether the record is in the append under way */
bool writer_is_sent(const struct writer *writer, int64_t number);

/* writer_tick - send what is due */
void writer_tick(struct writer *writer);

/* writer_stalled_ms - how long the append under way has had no success */
int64_t writer_stalled_ms(const struct writer *writer);

/* writer_idle - whether nothing is queued or under way */
bool writer_idle(const struct writer *writer);

#endif
