#include "standin_log.h"

#include <stdlib.h>
#include <string.h>

#include "json.h"
#include "standin_answer.h"

enum {
	NEWEST_PAGE_SIZE = 500,
	LOST_ANSWER_MS = 4000 /* after the client's timeout */
};

/* A read that waits for records, or an append whose answer is lost. */
struct waiting_request {
	struct web_request *request;
	int64_t until_ms;
	struct log_topic *topic; /* NULL: an append */
	int64_t from;		 /* offset */
};

static int64_t query_int(struct web_request *request, const char *key,
			 int64_t fallback)
{
	const char *text = web_query(request, key);

	return text ? strtoll(text, NULL, 10) : fallback;
}

static struct log_topic *queried_part(struct standin_log *log,
				      struct web_request *request)
{
	return log_model_part(log->model, web_query(request, "topic"),
			      (int32_t)query_int(request, "part", 0));
}

static void append(struct standin_log *log, struct web_request *request)
{
	struct log_append append = {
		.topic = web_query(request, "topic"),
		.part = (int32_t)query_int(request, "part", 0),
		.producer = web_query(request, "producer"),
		.epoch = query_int(request, "epoch", 0),
		.sequence = query_int(request, "seq", 0),
		.at = query_int(request, "at", -1),
		.bytes = request->body,
		.len = request->body_len,
	};
	struct stream_append_result result;
	struct json_object *body;

	if (log->appends_to_refuse > 0) {
		log->appends_to_refuse--;
		standin_answer(request, 503, json_object_new_object());
		return;
	}
	result = log_model_append(log->model, &append);
	body = standin_object_with("end", json_object_new_int64(result.end));
	if (log->answers_to_lose > 0) {
		/* The append is done, but its answer comes after the client's
		   timeout. */
		struct waiting_request *delayed =
			g_new0(struct waiting_request, 1);

		log->answers_to_lose--;
		json_object_put(body);
		delayed->request = request;
		delayed->until_ms = clk_now_ms(log->clk) + LOST_ANSWER_MS;
		g_ptr_array_add(log->waiting, delayed);
		return;
	}
	switch (result.outcome) {
	case STREAM_OK:
		json_object_object_add(body, "offset",
				       json_object_new_int64(result.offset));
		standin_answer(request, 200, body);
		break;
	case STREAM_END_MISMATCH:
		standin_answer(request, 412, body);
		break;
	case STREAM_INVALID:
		standin_answer(request, 400, body);
		break;
	default:
		json_object_object_add(
			body, "reason",
			json_object_new_string(result.outcome == STREAM_FENCED
						       ? "fenced"
						       : "seq"));
		standin_answer(request, 409, body);
		break;
	}
}

static void put_big_endian(GByteArray *out, uint64_t number, int bytes)
{
	for (int i = bytes - 1; i >= 0; i--) {
		guint8 byte = (guint8)(number >> (8 * i));

		g_byte_array_append(out, &byte, 1);
	}
}

static void answer_read(const struct waiting_request *waiting)
{
	const struct log_topic *topic = waiting->topic;
	GByteArray *out = g_byte_array_new();

	put_big_endian(out, topic->records->len, 8);
	put_big_endian(out, (uint64_t)topic->first, 8);
	for (guint i = (guint)waiting->from; i < topic->records->len; i++) {
		const struct log_record *record =
			&g_array_index(topic->records, struct log_record, i);
		size_t key_len = strlen(record->key);

		put_big_endian(out, 1 + key_len + record->len, 4);
		put_big_endian(out, key_len, 1);
		g_byte_array_append(out, (const guint8 *)record->key,
				    (guint)key_len);
		g_byte_array_append(out, (const guint8 *)record->value,
				    (guint)record->len);
	}
	web_respond(waiting->request, 200, NULL, out->data, out->len);
	g_byte_array_free(out, TRUE);
}

static void read_log(struct standin_log *log, struct web_request *request)
{
	struct waiting_request waiting = {
		.request = request,
		.topic = queried_part(log, request),
		.from = query_int(request, "from", 0),
		.until_ms =
			clk_now_ms(log->clk) + query_int(request, "waitMs", 0),
	};

	if (waiting.from < waiting.topic->first)
		standin_answer(request, 410,
			       standin_object_with(
				       "first", json_object_new_int64(
							waiting.topic->first)));
	else if (waiting.from < (int64_t)waiting.topic->records->len ||
		 waiting.until_ms <= clk_now_ms(log->clk))
		answer_read(&waiting);
	else
		g_ptr_array_add(log->waiting,
				g_memdup2(&waiting, sizeof(waiting)));
}

static int compare_keys(const void *a, const void *b)
{
	const struct log_record *const *left = a;
	const struct log_record *const *right = b;

	return strcmp((*left)->key, (*right)->key);
}

static void list_newest(struct standin_log *log, struct web_request *request)
{
	struct log_topic *topic = queried_part(log, request);
	/* The protocol uses this name for the key to continue after. */
	const char *after = web_query(request, "dependsOn");
	struct json_object *items = json_object_new_array();
	struct json_object *body = standin_object_with("items", items);
	GPtrArray *found = g_ptr_array_new();
	bool more = false;

	for (guint i = 0; i < topic->records->len; i++) {
		struct log_record *record =
			&g_array_index(topic->records, struct log_record, i);

		if (record->value && log_model_is_newest(topic, i) &&
		    (!after || strcmp(record->key, after) > 0))
			g_ptr_array_add(found, record);
	}
	if (found->len)
		qsort(found->pdata, found->len, sizeof(gpointer), compare_keys);
	for (guint i = 0; i < found->len; i++) {
		const struct log_record *record = found->pdata[i];
		struct json_object *item = json_object_new_object();
		char *value = g_base64_encode((const guchar *)record->value,
					      record->len);

		if (i == NEWEST_PAGE_SIZE) {
			more = true;
			json_object_put(item);
			g_free(value);
			break;
		}
		json_object_object_add(item, "key",
				       json_object_new_string(record->key));
		json_object_object_add(item, "value",
				       json_object_new_string(value));
		json_object_object_add(
			item, "offset",
			json_object_new_int64(record -
					      (const struct log_record *)
						      topic->records->data));
		json_object_array_add(items, item);
		g_free(value);
	}
	json_object_object_add(body, "more", json_object_new_boolean(more));
	json_object_object_add(body, "end",
			       json_object_new_int64(topic->records->len));
	g_ptr_array_free(found, TRUE);
	standin_answer(request, 200, body);
}

static void join(struct standin_log *log, struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);
	int32_t parts[LOG_MODEL_PARTS];
	uint32_t count = log_model_join(log->model, json_text(params, "member"),
					json_int(params, "ttlMs", 0),
					json_int(params, "generation", 0),
					clk_now_ms(log->clk), parts);
	struct json_object *rows = json_object_new_array();
	struct json_object *body = standin_object_with("parts", rows);

	json_object_object_add(body, "generation",
			       json_object_new_int64(log->model->generation));
	for (uint32_t i = 0; i < count; i++) {
		struct json_object *row = json_object_new_array();

		json_object_array_add(row, json_object_new_string("pools"));
		json_object_array_add(row, json_object_new_int(parts[i]));
		json_object_array_add(row, json_object_new_int(0));
		json_object_array_add(rows, row);
	}
	json_object_put(params);
	standin_answer(request, 200, body);
}

static void leave(struct standin_log *log, struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);

	log_model_leave(log->model, json_text(params, "member"));
	json_object_put(params);
	standin_answer(request, 200, json_object_new_object());
}

static bool is_due(const struct standin_log *log,
		   const struct waiting_request *waiting)
{
	if (clk_now_ms(log->clk) >= waiting->until_ms)
		return true;
	return waiting->topic &&
	       (log->down ||
		waiting->from < (int64_t)waiting->topic->records->len);
}

static void answer_waiting(struct standin_log *log)
{
	for (guint i = log->waiting->len; i > 0; i--) {
		struct waiting_request *waiting = log->waiting->pdata[i - 1];

		if (!is_due(log, waiting))
			continue;
		g_ptr_array_remove_index(log->waiting, i - 1);
		if (waiting->topic && !log->down)
			answer_read(waiting);
		else
			standin_answer(waiting->request, 503,
				       json_object_new_object());
		g_free(waiting);
	}
}

void standin_log_init(struct standin_log *log, const struct clk *clk)
{
	*log = (struct standin_log){
		.clk = clk,
		.model = log_model_create(),
		.waiting = g_ptr_array_new(),
	};
}

bool standin_log_handle(struct standin_log *log, struct web_request *request)
{
	if (!strcmp(request->path, "/log-append"))
		append(log, request);
	else if (!strcmp(request->path, "/log-read"))
		read_log(log, request);
	else if (!strcmp(request->path, "/log-newest"))
		list_newest(log, request);
	else if (!strcmp(request->path, "/log-join"))
		join(log, request);
	else if (!strcmp(request->path, "/log-leave"))
		leave(log, request);
	else
		return false;
	return true;
}

void standin_log_control(struct standin_log *log, struct json_object *params)
{
	if (json_get(params, "down"))
		log->down = json_flag(params, "down");
	log->answers_to_lose = json_int(params, "lose", log->answers_to_lose);
	log->appends_to_refuse =
		json_int(params, "refuse", log->appends_to_refuse);
	if (json_get(params, "trim"))
		log_model_trim(log->model, "keyed.jobs",
			       json_int(params, "trim", 0));
	if (json_flag(params, "deal"))
		log_model_reassign_all(log->model);
}

void standin_log_tick(struct standin_log *log)
{
	log_model_rebalance(log->model, clk_now_ms(log->clk));
	answer_waiting(log);
}
