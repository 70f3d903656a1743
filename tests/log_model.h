/*
 * The log service of the platform, without network or clock: topics of keyed
 * records, appends with producers and epochs, groups that share parts. For
 * the simulation of nodes and for the stand-in that serves it by HTTP.
 */
#ifndef LOG_MODEL_H
#define LOG_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "stream.h"

enum { LOG_MODEL_PARTS = 24 };

struct log_record {
	char *key;
	char *value; /* NULL: drops the key */
	size_t len;
};

struct log_topic {
	char *name;
	GArray *records; /* struct log_record; index is the offset */
	int64_t first;	 /* offset of the oldest that reads return */
};

struct log_model {
	GPtrArray *topics;
	GHashTable *producers;
	GPtrArray *members;
	int64_t generation;
	int64_t changed; /* generation of the last change of the members */
	int32_t holder[LOG_MODEL_PARTS]; /* member, or -1 */
	bool no_epochs;			 /* takes appends of any epoch */
};

struct log_append {
	const char *topic;
	const char *producer; /* NULL: none */
	int64_t epoch;
	int64_t sequence;
	int64_t at; /* wanted end of the topic; -1: any */
	const char *bytes;
	size_t len;
};

struct log_model *log_model_create(void);
struct log_topic *log_model_topic(struct log_model *model, const char *name);
void log_model_put(struct log_model *model, const char *topic, const char *key,
		   const char *value, size_t len);

/* log_model_append - the outcome as the service would answer it */
struct stream_appended log_model_append(struct log_model *model,
					const struct log_append *append);

/* log_model_trim - drop the records before an offset from reads */
void log_model_trim(struct log_model *model, const char *topic, int64_t before);

/* log_model_is_newest - whether no later record has the same key */
bool log_model_is_newest(const struct log_topic *topic, guint index);

/*
 * log_model_join - join or stay; parts must hold LOG_MODEL_PARTS
 *
 * RETURN VALUE
 *	How many parts the member holds.
 */
uint32_t log_model_join(struct log_model *model, const char *member,
			int64_t ttl_ms, int64_t generation, int64_t now_ms,
			int32_t *parts);
void log_model_leave(struct log_model *model, const char *member);
/* log_model_share - end memberships that ran out, and move parts */
void log_model_share(struct log_model *model, int64_t now_ms);
/* log_model_deal - give all parts to other members at once */
void log_model_deal(struct log_model *model);

#endif
