#include "platclient.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <apr_pools.h>
#include <apr_strings.h>

#include "field.h"

enum { MAX_ANSWER_BYTES = 32 * 1024 * 1024, ETAG_BYTES = 128 };

struct platclient {
	struct evloop *evloop;
	const char *url;
	apr_pool_t *pool;
	struct call *calls;
	char hosts_etag[ETAG_BYTES]; /* of the last list; empty: none */
};

/* A call in progress. Exactly one of the callbacks is set. */
struct call {
	struct call *next;
	struct platclient *platclient;
	apr_pool_t *pool;
	CURL *easy;
	struct curl_slist *headers;
	char *answer;
	size_t answer_len;
	size_t answer_cap;
	void (*on_append)(void *arg, int status, int64_t offset);
	void (*on_reboot)(void *arg, int status);
	void (*on_read)(void *arg, int status,
			const struct platclient_batch *batch);
	void (*on_hosts)(void *arg, int status,
			 const struct platclient_host *hosts, uint32_t count);
	void *arg;
};

static const struct field host_fields[] = {
	FIELD_ARRAY(platclient_host, name, FIELD_NAME),
	FIELD_ARRAY(platclient_host, kind, FIELD_TEXT),
	FIELD_ARRAY(platclient_host, state, FIELD_TEXT),
	FIELD_ARRAY(platclient_host, address, FIELD_TEXT),
	FIELD_ARRAY(platclient_host, data_centre, FIELD_NAME),
	FIELD_ARRAY(platclient_host, rack, FIELD_NAME),
	FIELD_NUMBER(platclient_host, port, 1, 65535),
	FIELD_NUMBER(platclient_host, cpu_milli, 0, 1000000000),
	FIELD_NUMBER(platclient_host, mem_mib, 0, 1000000000),
	FIELD_NUMBER(platclient_host, accelerators, 0, 1000000),
	FIELD_NUMBER(platclient_host, slots, 1, 1000000),
	FIELD_NUMBER(platclient_host, connections, 1, 1000000),
	FIELD_OPT_NUMBER(platclient_host, boot_id, 0, LIMIT_NUMBER_MAX),
};

enum { HOST_FIELDS = sizeof(host_fields) / sizeof(host_fields[0]) };

struct platclient *platclient_create(struct evloop *evloop, const char *url)
{
	apr_pool_t *pool;
	struct platclient *platclient;

	apr_pool_create(&pool, NULL);
	platclient = apr_pcalloc(pool, sizeof(*platclient));
	platclient->evloop = evloop;
	platclient->pool = pool;
	platclient->url = apr_pstrdup(pool, url);
	return platclient;
}

static void free_call(struct call *call)
{
	struct call **link = &call->platclient->calls;

	while (*link != call)
		link = &(*link)->next;
	*link = call->next;
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	free(call->answer);
	apr_pool_destroy(call->pool);
}

void platclient_destroy(struct platclient *platclient)
{
	if (!platclient)
		return;
	while (platclient->calls) {
		evloop_cancel(platclient->evloop, platclient->calls->easy);
		free_call(platclient->calls);
	}
	apr_pool_destroy(platclient->pool);
}

static size_t append_to_answer(char *data, size_t size, size_t count, void *arg)
{
	struct call *call = arg;
	size_t len = size * count;
	size_t total = call->answer_len + len;

	if (total > MAX_ANSWER_BYTES)
		return 0;
	if (total + 1 > call->answer_cap) {
		char *answer = realloc(call->answer, (total + 1) * 2);

		if (!answer)
			return 0;
		call->answer = answer;
		call->answer_cap = (total + 1) * 2;
	}
	memcpy(call->answer + call->answer_len, data, len);
	call->answer_len = total;
	call->answer[total] = 0;
	return len;
}

static struct call *new_call(struct platclient *platclient, void *arg,
			     long timeout_ms, const char *path)
{
	struct call *call;
	apr_pool_t *pool;

	apr_pool_create(&pool, NULL);
	call = apr_pcalloc(pool, sizeof(*call));
	call->pool = pool;
	call->platclient = platclient;
	call->arg = arg;
	call->next = platclient->calls;
	platclient->calls = call;
	call->easy = curl_easy_init();
	curl_easy_setopt(call->easy, CURLOPT_URL,
			 apr_pstrcat(pool, platclient->url, path, NULL));
	curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	curl_easy_setopt(call->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)LIMIT_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, append_to_answer);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_PROXY, "");
	return call;
}

/* Returns the parsed answer, or NULL with the reason in fault. */
static struct json_object *parse_answer(struct call *call, struct err *fault)
{
	if (!call->answer) {
		err_set(fault, ERR_UNAVAILABLE, "empty answer");
		return NULL;
	}
	return jcursor_parse_bytes(call->answer, call->answer_len, fault);
}

static int64_t read_number(struct call *call, const char *key)
{
	struct err fault = { .kind = ERR_OK };
	struct json_object *value = parse_answer(call, &fault);
	struct jcursor root = jcursor_root(value, &fault);
	struct jcursor at = jcursor_member(&root, key);
	int64_t number = -1;

	if (value)
		number = jcursor_int(&at, 0, LIMIT_NUMBER_MAX, -1);
	json_object_put(value);
	return fault.kind == ERR_OK ? number : -1;
}

static void append_done(void *arg, CURL *easy, CURLcode code)
{
	struct call *call = arg;
	int status = ERR_UNKNOWN;
	int64_t offset = -1;
	long http = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http);
	if (code == CURLE_COULDNT_CONNECT)
		status = ERR_UNAVAILABLE;
	else if (code == CURLE_OK && http == 200)
		offset = read_number(call, "offset");
	else if (code == CURLE_OK && http == 413)
		status = ERR_TOO_LARGE;
	if (offset >= 0)
		status = 0;
	call->on_append(call->arg, status, offset);
	free_call(call);
}

void platclient_append(struct platclient *platclient, const char *stream,
		       const char *data, size_t len,
		       void (*fn)(void *arg, int status, int64_t offset),
		       void *arg)
{
	struct call *call;
	char path[LIMIT_NAME_BYTES + 32];

	apr_snprintf(path, sizeof(path), "/streams/%s/records", stream);
	call = new_call(platclient, arg, LIMIT_APPEND_TIMEOUT_MS, path);
	call->on_append = fn;
	call->headers = curl_slist_append(
		NULL, "Content-Type: application/octet-stream");
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE, (long)len);
	curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS, data);
	evloop_transfer(platclient->evloop, platclient->url, call->easy,
			append_done, call);
}

static void read_records(struct call *call, const struct jcursor *root,
			 struct platclient_batch *batch)
{
	struct jcursor first_at = jcursor_member(root, "first");
	struct jcursor next_at = jcursor_member(root, "next");
	struct jcursor list = jcursor_member(root, "records");
	size_t count = jcursor_check_array(&list, LIMIT_TAIL_RECORDS);
	struct platclient_record *records =
		apr_pcalloc(call->pool, (count + 1) * sizeof(*records));

	batch->first = jcursor_int(&first_at, 0, LIMIT_NUMBER_MAX, -1);
	batch->next = jcursor_int(&next_at, 0, LIMIT_NUMBER_MAX, -1);
	batch->records = records;
	for (size_t i = 0; i < count; i++) {
		struct jcursor at = jcursor_item(&list, i);
		struct jcursor offset_at = jcursor_member(&at, "offset");
		struct jcursor data_at = jcursor_member(&at, "data");

		if (!json_object_is_type(data_at.value, json_type_string))
			jcursor_refuse(&data_at, "a text");
		records[i].offset =
			jcursor_int(&offset_at, 0, LIMIT_NUMBER_MAX, -1);
		records[i].data = json_object_get_string(data_at.value);
		records[i].len =
			(size_t)json_object_get_string_len(data_at.value);
		batch->count++;
	}
}

static void read_done(void *arg, CURL *easy, CURLcode code)
{
	struct err fault = { .kind = ERR_OK };
	struct platclient_batch batch = { 0 };
	struct call *call = arg;
	struct json_object *value = NULL;
	struct jcursor root;
	long http = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http);
	if (code == CURLE_OK && http == 410) {
		batch.first = read_number(call, "first");
		call->on_read(call->arg, ERR_GONE, &batch);
		free_call(call);
		return;
	}
	if (code == CURLE_OK && http == 200)
		value = parse_answer(call, &fault);
	if (value) {
		root = jcursor_root(value, &fault);
		read_records(call, &root, &batch);
	}
	if (value && fault.kind == ERR_OK)
		call->on_read(call->arg, 0, &batch);
	else
		call->on_read(call->arg, ERR_UNAVAILABLE, NULL);
	json_object_put(value);
	free_call(call);
}

void platclient_read(struct platclient *platclient, const char *stream,
		     int64_t from, uint32_t max, int64_t wait_ms,
		     void (*fn)(void *arg, int status,
				const struct platclient_batch *batch),
		     void *arg)
{
	struct call *call;
	char path[LIMIT_NAME_BYTES + 128];

	apr_snprintf(path, sizeof(path),
		     "/streams/%s/records?from=%" PRId64
		     "&max=%u&wait_ms=%" PRId64,
		     stream, from, max, wait_ms);
	call = new_call(platclient, arg, (long)wait_ms + LIMIT_READ_TIMEOUT_MS,
			path);
	call->on_read = fn;
	evloop_transfer(platclient->evloop, platclient->url, call->easy,
			read_done, call);
}

static void reboot_done(void *arg, CURL *easy, CURLcode code)
{
	struct call *call = arg;
	long http = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http);
	call->on_reboot(call->arg,
			code == CURLE_OK && http == 200 ? 0 : ERR_UNAVAILABLE);
	free_call(call);
}

void platclient_reboot(struct platclient *platclient, const char *host,
		       int64_t token, void (*fn)(void *arg, int status),
		       void *arg)
{
	struct call *call;
	char path[LIMIT_NAME_BYTES + 32], body[64];

	apr_snprintf(path, sizeof(path), "/hosts/%s/reboot", host);
	apr_snprintf(body, sizeof(body), "{\"token\":%" PRId64 "}", token);
	call = new_call(platclient, arg, LIMIT_APPEND_TIMEOUT_MS, path);
	call->on_reboot = fn;
	call->headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS, body);
	evloop_transfer(platclient->evloop, platclient->url, call->easy,
			reboot_done, call);
}

static void store_etag(struct platclient *platclient, CURL *easy)
{
	struct curl_header *header;

	platclient->hosts_etag[0] = 0;
	if (curl_easy_header(easy, "ETag", 0, CURLH_HEADER, -1, &header) ==
		    CURLHE_OK &&
	    strlen(header->value) < sizeof(platclient->hosts_etag))
		apr_cpystrn(platclient->hosts_etag, header->value,
			    sizeof(platclient->hosts_etag));
}

static void hosts_done(void *arg, CURL *easy, CURLcode code)
{
	struct err fault = { .kind = ERR_OK };
	struct call *call = arg;
	struct json_object *value = NULL;
	struct platclient_host *hosts = NULL;
	struct jcursor root, list;
	size_t count = 0;
	long http = 0;

	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &http);
	if (code == CURLE_OK && http == 304) {
		call->on_hosts(call->arg, PLATCLIENT_UNCHANGED, NULL, 0);
		free_call(call);
		return;
	}
	if (code == CURLE_OK && http == 200)
		value = parse_answer(call, &fault);
	root = jcursor_root(value, &fault);
	list = jcursor_member(&root, "hosts");
	if (value)
		count = jcursor_check_array(&list, LIMIT_HOSTS);
	hosts = apr_pcalloc(call->pool, (count + 1) * sizeof(*hosts));
	for (size_t i = 0; i < count; i++) {
		struct jcursor at = jcursor_item(&list, i);

		for (size_t k = 0; k < HOST_FIELDS; k++)
			field_read(&at, &host_fields[k], &hosts[i]);
	}
	json_object_put(value);
	if (value && fault.kind == ERR_OK)
		store_etag(call->platclient, easy);
	if (value && fault.kind == ERR_OK)
		call->on_hosts(call->arg, 0, hosts, (uint32_t)count);
	else
		call->on_hosts(call->arg, ERR_UNAVAILABLE, NULL, 0);
	free_call(call);
}

void platclient_hosts(struct platclient *platclient,
		      void (*fn)(void *arg, int status,
				 const struct platclient_host *hosts,
				 uint32_t count),
		      void *arg)
{
	struct call *call =
		new_call(platclient, arg, LIMIT_READ_TIMEOUT_MS, "/hosts");

	call->on_hosts = fn;
	if (platclient->hosts_etag[0]) {
		call->headers = curl_slist_append(
			NULL, apr_pstrcat(call->pool, "If-None-Match: ",
					  platclient->hosts_etag, NULL));
		curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
	}
	evloop_transfer(platclient->evloop, platclient->url, call->easy,
			hosts_done, call);
}
