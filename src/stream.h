/*
 * NAME
 *	stream - interface to the append-only log that holds all durable state
 *
 * A stream is a partition of a topic whose records have keys. The log compacts
 * it: the newest record of each key is retained without limit, the others for
 * a limited time. Each call calls back exactly once, with its outcome. A call
 * without an answer may have taken effect, or may take effect later.
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
	STREAM_REFUSED, /* no effect; retry later */
	STREAM_UNKNOWN, /* no answer: may have taken effect, or may later */
	STREAM_FENCED,	/* a higher epoch of the producer has appended */
	STREAM_BAD_SEQUENCE, /* sequence number does not follow the last one */
	STREAM_END_MISMATCH, /* the stream does not end at the expected offset */
	STREAM_DELETED,	     /* the requested records are past retention */
	/* Malformed or unexpected answer; of an append: the log refuses its
	   records for good, and nothing was done. */
	STREAM_INVALID
};

/* An append. Producer, epoch and sequence make a retry idempotent. */
struct stream_append {
	struct stream_id id;
	const char *producer;
	int64_t epoch;
	int64_t sequence;
	const char *records; /* encoded by stream_io's add_record */
	size_t len;
	int64_t timeout_ms; /* without an answer by then: STREAM_UNKNOWN */
};

struct stream_record {
	const char *key;
	size_t key_len;
	const char *value; /* NULL: tombstone, the key is deleted */
	size_t value_len;
	int64_t offset;
};

struct stream_append_result {
	enum stream_outcome outcome;
	int64_t offset; /* of the first record */
	int64_t end;	/* of the stream */
};

struct stream_batch {
	enum stream_outcome outcome;
	int64_t next; /* offset after the last record read */
	int64_t end;  /* of the stream */
	bool more;    /* newest: more keys follow the last one */
	uint32_t count;
	const struct stream_record *records;
};

typedef void stream_append_fn(void *arg,
			      const struct stream_append_result *result);
typedef void stream_batch_fn(void *arg, const struct stream_batch *batch);

/* Answer to a member of a group, which divides the parts of a topic. */
struct stream_membership {
	enum stream_outcome outcome;
	int64_t generation; /* increases with each new assignment of parts */
	uint32_t part_count;
	const int32_t *parts; /* assigned to this member */
};

typedef void stream_member_fn(void *arg,
			      const struct stream_membership *membership);

struct stream_join {
	const char *group;
	const char *member;
	const char *topic;
	int64_t ttl_ms;
	int64_t generation; /* the last one received; 0: none */
	int64_t timeout_ms; /* as in stream_append; of a leave: 0 */
};

struct stream_io {
	void *io;
	void (*append)(void *io, const struct stream_append *append,
		       stream_append_fn *fn, void *arg);
	/* Long poll: answers at a record at or after from, or after wait_ms. */
	void (*read)(void *io, struct stream_id id, int64_t from,
		     int64_t wait_ms, stream_batch_fn *fn, void *arg);
	/* A page of the newest record of each key, from after_key on; NULL:
	   from the first key. */
	void (*newest)(void *io, struct stream_id id, const char *after_key,
		       stream_batch_fn *fn, void *arg);
	void (*join)(void *io, const struct stream_join *join,
		     stream_member_fn *fn, void *arg);
	void (*leave)(void *io, const struct stream_join *join);
	/* Encodes a record in the log's format at the end of the buffer. */
	void (*add_record)(GByteArray *buffer, const char *key,
			   const char *value, size_t value_len);
};

#endif
