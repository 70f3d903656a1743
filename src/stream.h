/*
 * NAME
 *	stream - interface to the append-only log that keeps what must last
 *
 * A stream is a partition of a topic whose records have keys; the log keeps
 * the newest record of each key for good and the others for a limited time.
 * A call has one outcome, told once. A call that got no answer may have taken
 * effect, or may yet.
 */
#ifndef STREAM_H
#define STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

struct stream_id {
	const char *topic;
	int32_t part;
};

enum stream_outcome {
	STREAM_OK,
	STREAM_REFUSED,	 /* nothing was done; try again later */
	STREAM_UNKNOWN,	 /* no answer: it may have been done, or may yet be */
	STREAM_FENCED,	 /* a higher epoch of the producer has appended */
	STREAM_SEQUENCE, /* not the number that follows the last append's */
	STREAM_MOVED,	 /* the stream does not end at the offset wanted */
	STREAM_DELETED,	 /* the records wanted are no longer kept */
	STREAM_INVALID	 /* the answer cannot be read */
};

/* An append. The producer's number makes a repeated append idempotent. */
struct stream_append {
	struct stream_id id;
	const char *producer;
	int64_t epoch;
	int64_t sequence;
	const char *records; /* as made by stream_io's add_record */
	size_t len;
};

struct stream_record {
	const char *key;
	size_t key_len;
	const char *value; /* NULL: the key is dropped */
	size_t value_len;
	int64_t offset;
};

struct stream_appended {
	enum stream_outcome outcome;
	int64_t offset; /* of the first record */
	int64_t end;	/* of the stream */
};

struct stream_batch {
	enum stream_outcome outcome;
	int64_t next; /* offset behind the last record read */
	int64_t end;
	bool more; /* newest: more keys follow the last one */
	uint32_t count;
	const struct stream_record *records;
};

typedef void stream_append_fn(void *arg, const struct stream_appended *result);
typedef void stream_batch_fn(void *arg, const struct stream_batch *batch);

/* Answer to a member of a group that shares the parts of a topic. */
struct stream_membership {
	enum stream_outcome outcome;
	int64_t generation; /* rises with each change of who holds what */
	uint32_t part_count;
	const int32_t *parts; /* that this member holds */
};

typedef void stream_member_fn(void *arg, const struct stream_membership *held);

struct stream_join {
	const char *group;
	const char *member;
	const char *topic;
	int64_t ttl_ms;
	int64_t generation; /* the last one received; 0: none */
};

struct stream_io {
	void *io;
	void (*append)(void *io, const struct stream_append *append,
		       stream_append_fn *fn, void *arg);
	/* Answers when there is a record from that offset on, or after wait_ms. */
	void (*read)(void *io, struct stream_id id, int64_t from,
		     int64_t wait_ms, stream_batch_fn *fn, void *arg);
	/* The newest record of each key that follows after_key (NULL: all). */
	void (*newest)(void *io, struct stream_id id, const char *after_key,
		       stream_batch_fn *fn, void *arg);
	void (*join)(void *io, const struct stream_join *join,
		     stream_member_fn *fn, void *arg);
	void (*leave)(void *io, const struct stream_join *join);
	/* Adds one record in the log's format to a buffer. */
	void (*add_record)(GByteArray *buffer, const char *key,
			   const char *value, size_t value_len);
};

#endif
