#include "log_model.h"

#include <string.h>

enum { REMEMBERED_ANSWERS = 5 };

struct producer {
	int64_t epoch;
	int64_t next;
	int answer_count;
	int64_t sequences[REMEMBERED_ANSWERS];
	struct stream_append_result answers[REMEMBERED_ANSWERS];
};

struct member {
	char *name;
	int64_t ttl_ms;
	int64_t last_join_ms;
	int64_t generation; /* newest that it has seen */
	bool has_left;	    /* or its membership expired */
};

struct log_model *log_model_create(void)
{
	struct log_model *model = g_new0(struct log_model, 1);

	model->topics = g_ptr_array_new();
	model->members = g_ptr_array_new();
	model->producers = g_hash_table_new(g_str_hash, g_str_equal);
	for (int part = 0; part < LOG_MODEL_PARTS; part++)
		model->holder[part] = -1;
	return model;
}

struct log_topic *log_model_part(struct log_model *model, const char *name,
				 int32_t part)
{
	struct log_topic *topic;

	for (guint i = 0; i < model->topics->len; i++) {
		topic = model->topics->pdata[i];
		if (topic->part == part && !strcmp(topic->name, name))
			return topic;
	}
	topic = g_new0(struct log_topic, 1);
	topic->name = g_strdup(name);
	topic->part = part;
	topic->records = g_array_new(FALSE, FALSE, sizeof(struct log_record));
	g_ptr_array_add(model->topics, topic);
	return topic;
}

struct log_topic *log_model_topic(struct log_model *model, const char *name)
{
	return log_model_part(model, name, 0);
}

static void append_record(struct log_topic *topic, const char *key,
			  size_t key_len, const char *value, size_t len)
{
	struct log_record record = {
		.key = g_strndup(key, key_len),
		.value = value ? g_memdup2(value, len ? len : 1) : NULL,
		.len = len,
	};

	g_array_append_val(topic->records, record);
}

void log_model_put(struct log_model *model, const char *topic, const char *key,
		   const char *value, size_t len)
{
	append_record(log_model_topic(model, topic), key, strlen(key), value,
		      len);
}

/*
 * Encoding of a record: length of the rest (4 bytes, big-endian), length of the
 * key (1 byte), key, value. An empty value is a tombstone.
 */
static size_t encoded_size(const guint8 *at)
{
	return (size_t)at[0] << 24 | (size_t)at[1] << 16 | (size_t)at[2] << 8 |
	       at[3];
}

static void append_encoded(struct log_topic *topic, const char *bytes,
			   size_t len)
{
	const guint8 *at = (const guint8 *)bytes;
	const guint8 *end = at + len;

	while (end - at >= 5) {
		size_t size = encoded_size(at);
		size_t key_len = at[4];
		const char *key = (const char *)at + 5;

		if (size > (size_t)(end - at - 4) || key_len + 1 > size)
			return;
		append_record(topic, key, key_len,
			      size > key_len + 1 ? key + key_len : NULL,
			      size - key_len - 1);
		at += 4 + size;
	}
}

static bool is_too_large(const struct log_append *append)
{
	const guint8 *at = (const guint8 *)append->bytes;
	const guint8 *end = at + append->len;

	if (append->len > LOG_MODEL_CALL_BYTES)
		return true;
	for (; end - at >= 5; at += 4 + encoded_size(at))
		if (encoded_size(at) > LOG_MODEL_RECORD_BYTES)
			return true;
	return false;
}

/* A producer's epoch and sequence belong to one part of a topic. */
static struct producer *get_producer(struct log_model *model,
				     const struct log_topic *topic,
				     const char *name)
{
	char *key = g_strdup_printf("%s/%d/%s", topic->name, topic->part, name);
	struct producer *producer = g_hash_table_lookup(model->producers, key);

	if (producer) {
		g_free(key);
		return producer;
	}
	producer = g_new0(struct producer, 1);
	producer->epoch = -1;
	g_hash_table_insert(model->producers, key, producer);
	return producer;
}

static void remember_answer(struct producer *producer, int64_t sequence,
			    const struct stream_append_result *answer)
{
	if (producer->answer_count == REMEMBERED_ANSWERS) {
		memmove(producer->sequences, producer->sequences + 1,
			(REMEMBERED_ANSWERS - 1) *
				sizeof(producer->sequences[0]));
		memmove(producer->answers, producer->answers + 1,
			(REMEMBERED_ANSWERS - 1) *
				sizeof(producer->answers[0]));
		producer->answer_count--;
	}
	producer->sequences[producer->answer_count] = sequence;
	producer->answers[producer->answer_count++] = *answer;
}

struct stream_append_result log_model_append(struct log_model *model,
					     const struct log_append *append)
{
	struct log_topic *topic =
		log_model_part(model, append->topic, append->part);
	struct producer *producer =
		append->producer ? get_producer(model, topic, append->producer)
				 : NULL;
	struct stream_append_result result = {
		.outcome = STREAM_OK,
		.offset = topic->records->len,
		.end = topic->records->len,
	};

	if (is_too_large(append)) {
		result.outcome = STREAM_INVALID;
		return result;
	}
	if (append->at >= 0 && append->at != result.end) {
		result.outcome = STREAM_END_MISMATCH;
		return result;
	}
	if (producer && append->epoch < producer->epoch && model->ignore_epochs)
		producer = NULL;
	if (producer && append->epoch < producer->epoch) {
		result.outcome = STREAM_FENCED;
		return result;
	}
	if (producer && append->epoch > producer->epoch) {
		producer->epoch = append->epoch;
		producer->next = append->sequence;
		producer->answer_count = 0;
	}
	if (!append->len)
		return result;
	for (int i = 0; producer && i < producer->answer_count; i++)
		if (producer->sequences[i] == append->sequence)
			return producer->answers[i];
	if (producer && append->sequence != producer->next) {
		result.outcome = STREAM_BAD_SEQUENCE;
		return result;
	}
	append_encoded(topic, append->bytes, append->len);
	result.end = topic->records->len;
	if (producer) {
		producer->next++;
		remember_answer(producer, append->sequence, &result);
	}
	return result;
}

void log_model_trim(struct log_model *model, const char *name, int64_t before)
{
	struct log_topic *topic = log_model_topic(model, name);

	topic->first =
		CLAMP(before, topic->first, (int64_t)topic->records->len);
}

bool log_model_is_newest(const struct log_topic *topic, guint index)
{
	const char *key =
		g_array_index(topic->records, struct log_record, index).key;

	for (guint i = index + 1; i < topic->records->len; i++)
		if (!strcmp(g_array_index(topic->records, struct log_record, i)
				    .key,
			    key))
			return false;
	return true;
}

static struct member *find_member(struct log_model *model, const char *name,
				  int *index)
{
	for (guint i = 0; i < model->members->len; i++) {
		struct member *member = model->members->pdata[i];

		*index = (int)i;
		if (!strcmp(member->name, name))
			return member;
	}
	return NULL;
}

static int target_holder(const struct log_model *model, int part)
{
	int live[256];
	int count = 0;

	for (guint i = 0; i < model->members->len && count < 256; i++) {
		const struct member *member = model->members->pdata[i];

		if (!member->has_left)
			live[count++] = (int)i;
	}
	return count ? live[part * count / LOG_MODEL_PARTS] : -1;
}

static void mark_members_changed(struct log_model *model)
{
	model->members_generation = ++model->generation;
}

/* A part moves once its holder has seen the membership change or has left. */
void log_model_rebalance(struct log_model *model, int64_t now_ms)
{
	for (guint i = 0; i < model->members->len; i++) {
		struct member *member = model->members->pdata[i];

		if (member->has_left ||
		    now_ms - member->last_join_ms <= member->ttl_ms)
			continue;
		member->has_left = true;
		mark_members_changed(model);
	}
	for (int part = 0; part < LOG_MODEL_PARTS; part++) {
		int target = target_holder(model, part);
		const struct member *holder =
			model->holder[part] >= 0
				? model->members->pdata[model->holder[part]]
				: NULL;

		if (target == model->holder[part])
			continue;
		if (holder && !holder->has_left &&
		    holder->generation < model->members_generation)
			continue;
		model->holder[part] = target;
		model->generation++;
	}
}

uint32_t log_model_join(struct log_model *model, const char *name,
			int64_t ttl_ms, int64_t generation, int64_t now_ms,
			int32_t *parts)
{
	int index = 0;
	struct member *member = find_member(model, name, &index);
	uint32_t count = 0;

	if (!member) {
		member = g_new0(struct member, 1);
		member->name = g_strdup(name);
		member->has_left = true;
		g_ptr_array_add(model->members, member);
		index = (int)model->members->len - 1;
	}
	if (member->has_left)
		mark_members_changed(model);
	member->has_left = false;
	member->ttl_ms = ttl_ms;
	member->last_join_ms = now_ms;
	member->generation = generation;
	log_model_rebalance(model, now_ms);
	for (int part = 0; part < LOG_MODEL_PARTS; part++)
		if (model->holder[part] == index &&
		    target_holder(model, part) == index)
			parts[count++] = part;
	return count;
}

void log_model_leave(struct log_model *model, const char *name)
{
	int index;
	struct member *member = find_member(model, name, &index);

	if (!member || member->has_left)
		return;
	member->has_left = true;
	mark_members_changed(model);
}

void log_model_reassign_all(struct log_model *model)
{
	struct member *first;

	if (model->members->len < 2)
		return;
	first = model->members->pdata[0];
	g_ptr_array_remove_index(model->members, 0);
	g_ptr_array_add(model->members, first);
	mark_members_changed(model);
	for (int part = 0; part < LOG_MODEL_PARTS; part++)
		model->holder[part] = target_holder(model, part);
}
