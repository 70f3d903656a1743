/*
 * Model of the platform's log service, without network or clock: topics of
 * keyed records, appends fenced by producer epoch, and one consumer group whose
 * members share the parts. Used by the simulation of nodes and by the stand-in,
 * which serves it over HTTP.
 */
#ifndef LOG_MODEL_H
#define LOG_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "stream.h"

enum {
	LOG_MODEL_PARTS = 24,
	/* Bounds of a record, without its length prefix, and of an append. */
	LOG_MODEL_RECORD_BYTES = 256 * 1024,
	LOG_MODEL_CALL_BYTES = 2 * 1024 * 1024
};

struct log_record {
	char *key;
	char *value; /* NULL: tombstone of the key */
	size_t len;
};

/* One part of a topic. */
struct log_topic {
	char *name;
	int32_t part;
	GArray *records; /* struct log_record; index is the offset */
	int64_t first;	 /* offset of the oldest record that can be read */
};

struct log_model {
	GPtrArray *topics;
	GHashTable *producers;
	GPtrArray *members;
	int64_t generation;
	int64_t members_generation; /* generation of the last membership change */
	int32_t holder[LOG_MODEL_PARTS]; /* index of the member, or -1 */
	bool ignore_epochs;		 /* accept appends of any epoch */
};

struct log_append {
	const char *topic;
	int32_t part;
	const char *producer; /* NULL: none */
	int64_t epoch;
	int64_t sequence;
	int64_t at; /* required end offset of the topic; -1: any */
	const char *bytes;
	size_t len;
};

struct log_model *log_model_create(void);
/* log_model_part - find a part of a topic; it is created if new */
struct log_topic *log_model_part(struct log_model *model, const char *name,
				 int32_t part);
/* log_model_topic - the first part of a topic */
struct log_topic *log_model_topic(struct log_model *model, const char *name);
/* log_model_put - append one record; a NULL value is a tombstone */
void log_model_put(struct log_model *model, const char *topic, const char *key,
		   const char *value, size_t len);

/*
 * log_model_append - append records as the service does
 *
 * A repeated sequence number of a producer gets the earlier answer again.
 *
 * RETURN VALUE
 *	The service's answer: the outcome and the topic's offsets.
 *	STREAM_INVALID if the append or one of its records is too large.
 */
struct stream_append_result log_model_append(struct log_model *model,
					     const struct log_append *append);

/* log_model_trim - delete the records before an offset */
void log_model_trim(struct log_model *model, const char *topic, int64_t before);

/* log_model_is_newest - whether no later record has the same key */
bool log_model_is_newest(const struct log_topic *topic, guint index);

/*
 * log_model_join - join the group or renew the membership
 *
 * generation is the newest one that the member has seen. parts is filled in
 * and must have room for LOG_MODEL_PARTS.
 *
 * RETURN VALUE
 *	Number of parts that the member holds.
 */
uint32_t log_model_join(struct log_model *model, const char *member,
			int64_t ttl_ms, int64_t generation, int64_t now_ms,
			int32_t *parts);
void log_model_leave(struct log_model *model, const char *member);
/* log_model_rebalance - expire memberships and rebalance the parts */
void log_model_rebalance(struct log_model *model, int64_t now_ms);
/* log_model_reassign_all - reassign all parts at once, without waiting for holders */
void log_model_reassign_all(struct log_model *model);

#endif
