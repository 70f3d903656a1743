/*
 * NAME
 *	writer - appends records to a stream in batches, each exactly once
 *
 * One append is in flight at a time; records that are added meanwhile wait for
 * the next one. An append whose answer is missed (module rtt) is sent again with
 * the same sequence number, while earlier attempts may still be answered, until
 * the log confirms or refuses one of them. The log repeats its answer to a
 * producer's last appends, so that a repeat stores nothing twice.
 *
 * An append that only has records which are not wanted any more is given up: the
 * writer continues under the next epoch, so that the log refuses attempts that are
 * still on their way. A node that was cut off does not store then what its callers
 * have taken elsewhere since.
 *
 * If the log refuses an append for good, its records are sent one by one, and only
 * the one at fault is given up: no other waits for it.
 */
#ifndef WRITER_H
#define WRITER_H

#include <stdint.h>

#include "clk.h"
#include "stream.h"

struct writer;

enum writer_outcome {
	WRITER_STORED,
	/* A higher epoch has appended; the record is stored only if an attempt
	   without an answer was executed before that. */
	WRITER_FENCED,
	/* The log refuses the record for good; it is not stored. */
	WRITER_REFUSED
};

/* offset: of the record, or the end of the stream if no record was added. */
typedef void writer_fn(void *arg, enum writer_outcome outcome, int64_t offset);

struct writer_config {
	const struct stream_io *io;
	const struct clk *clk;
	struct stream_id id;
	const char *producer; /* copied */
	int64_t epoch;	      /* fencing token of the producer */
	int64_t gap_ms;	      /* minimum time between two appends */
	size_t max_bytes;     /* of an append */
};

struct writer *writer_create(const struct writer_config *config);

/* writer_destroy - discard all records; no callback is called afterwards */
void writer_destroy(struct writer *writer);

/*
 * writer_add - queue a record; value NULL deletes the key
 *
 * With key NULL no record is added; fn is called once all earlier records are
 * stored. The first append of a writer is made even without records, to set the
 * epoch.
 *
 * RETURN VALUE
 *	The record's number, for writer_withdraw and writer_is_sent.
 */
int64_t writer_add(struct writer *writer, const char *key, const char *value,
		   size_t value_len, writer_fn *fn, void *arg);

/*
 * writer_confirm - call fn once the log has answered an append sent from now on
 *
 * Its outcome says whether the epoch is still the highest one. The append is made
 * even if no record waits.
 */
void writer_confirm(struct writer *writer, writer_fn *fn, void *arg);

/*
 * writer_withdraw - remove a record, or no longer store it if it has been sent
 *
 * In either case fn is not called afterwards. A record that has been sent is given
 * up once nobody waits for any other one of its append.
 *
 * RETURN VALUE
 *	True if the record was removed and will not be stored; false if it has
 *	been sent and may be stored.
 */
bool writer_withdraw(struct writer *writer, int64_t number);

/*
 * writer_detach - do not call fn of a record; it is stored all the same
 *
 * Twice if its append is given up, so that it has to be idempotent.
 */
void writer_detach(struct writer *writer, int64_t number);

/* writer_is_sent - whether the record is in the append in flight */
bool writer_is_sent(const struct writer *writer, int64_t number);

/* writer_tick - send the next append, or a retry, if it is due */
void writer_tick(struct writer *writer);

/* writer_given_up - number of records that were given up since the start */
int64_t writer_given_up(const struct writer *writer);

/*
 * writer_stalled_ms - time since the first try of the append in flight
 *
 * Or of one that was given up, if the log has answered none since.
 */
int64_t writer_stalled_ms(const struct writer *writer);

/*
 * writer_answer_ms - how long the log takes to answer an append, as measured
 *
 * RETURN VALUE
 *	0 before the first answer.
 */
int64_t writer_answer_ms(const struct writer *writer);

/*
 * writer_expected_ms - expected time until a record added now is stored
 *
 * The rest of the append in flight, the gap, and an append of its own.
 *
 * RETURN VALUE
 *	0 if no append is in flight: what was measured may be old.
 */
int64_t writer_expected_ms(const struct writer *writer);

/* writer_idle - whether nothing is queued or in flight */
bool writer_idle(const struct writer *writer);

#endif
