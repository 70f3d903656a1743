/*
 * NAME
 *	tail - follows a stream: the newest record of each key first, then
 *	every record as it is appended
 *
 * A record may be delivered more than once, with the same offset.
 */
#ifndef TAIL_H
#define TAIL_H

#include "clk.h"
#include "stream.h"

struct tail;

struct tail_config {
	const struct stream_io *io;
	const struct clk *clk;
	struct stream_id id;
	int64_t gap_ms;	 /* pause between two reads */
	int64_t wait_ms; /* how long a read waits for a record */
	void (*on_record)(void *arg, const struct stream_record *record);
	/* The newest record of each key is about to be delivered, perhaps
	   again; state of keys that do not follow is out of date. */
	void (*on_reload)(void *arg);
	/* The newest record of each key has been delivered. */
	void (*on_loaded)(void *arg);
	void *arg;
};

struct tail *tail_create(const struct tail_config *config);
void tail_destroy(struct tail *tail);

/* tail_tick - start a read if one is due */
void tail_tick(struct tail *tail);

/*
 * tail_set_following - follow the stream, or stop; initially it is followed
 *
 * Once stopped nothing is delivered. To follow it again begins with the newest
 * record of each key, as after a start.
 */
void tail_set_following(struct tail *tail, bool following);

/* tail_loaded - whether the newest record of each key has been delivered */
bool tail_loaded(const struct tail *tail);

/* tail_next - offset that the next read starts from; -1: not loaded */
int64_t tail_next(const struct tail *tail);

/*
 * tail_age_ms - time since the start of the last read to the end of the stream
 * that was answered; what was stored before that start has been delivered
 */
int64_t tail_age_ms(const struct tail *tail);

/* tail_read_bytes - keys and values delivered so far */
int64_t tail_read_bytes(const struct tail *tail);

/*
 * tail_set_confirm - confirm what is known once its age exceeds confirm_ms
 *
 * A read that does not wait is then made beside the one in progress, whose answer
 * may be lost. 0, as initially: never.
 */
void tail_set_confirm(struct tail *tail, int64_t confirm_ms);

/* tail_set_gap - change the pause between two reads */
void tail_set_gap(struct tail *tail, int64_t gap_ms);

/*
 * tail_sync - read at once; call fn when all records that the stream held at
 * the time of this call have been delivered
 *
 * complete is false if the tail is not loaded or the log did not answer.
 */
void tail_sync(struct tail *tail, void (*fn)(void *arg, bool complete),
	       void *arg);

#endif
