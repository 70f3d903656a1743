#include "admin_client.h"

#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>
#include <curl/curl.h>

#include "limit.h"

enum { MAX_ANSWER_BYTES = 64 * 1024 * 1024 };

struct answer {
	char *text;
	size_t len;
	long status;
};

static size_t collect(char *data, size_t size, size_t count, void *arg)
{
	struct answer *answer = arg;
	size_t len = size * count;
	char *text;

	if (answer->len + len > MAX_ANSWER_BYTES)
		return 0;
	text = realloc(answer->text, answer->len + len + 1);
	if (!text)
		return 0;
	memcpy(text + answer->len, data, len);
	answer->text = text;
	answer->len += len;
	text[answer->len] = 0;
	return len;
}

static struct curl_slist *
make_headers(const struct admin_client *admin_client,
	     const struct admin_client_request *request, apr_pool_t *pool)
{
	struct curl_slist *headers = curl_slist_append(
		NULL, apr_pstrcat(pool, "Authorization: Bearer ",
				  admin_client->token, NULL));

	if (!request->change_id)
		return headers;
	headers = curl_slist_append(headers,
				    apr_pstrcat(pool, "Plank-Change-Id: ",
						request->change_id, NULL));
	return curl_slist_append(headers,
				 apr_pstrcat(pool, "Plank-Change-Since: ",
					     request->change_since, NULL));
}

/* Fills in err from the body of an error answer. */
static void read_fault(const struct answer *answer, struct json_object *value,
		       struct err *err)
{
	struct json_object *name = NULL, *text = NULL;

	json_object_object_get_ex(value, "error", &name);
	json_object_object_get_ex(value, "text", &text);
	if (name)
		err_set(err, err_by_name(json_object_get_string(name)), "%s",
			text ? json_object_get_string(text) : "");
	else
		err_set(err, ERR_INTERNAL, "HTTP status %ld", answer->status);
}

/*
 * One exchange with one daemon. *not_taken tells that the request surely had
 * no effect there, so that another daemon may be asked.
 */
static struct json_object *exchange(const struct admin_client *admin_client,
				    const char *url,
				    const struct admin_client_request *request,
				    apr_pool_t *pool, struct err *err,
				    bool *not_taken)
{
	struct curl_slist *headers = make_headers(admin_client, request, pool);
	struct json_object *value = NULL;
	struct answer answer = { 0 };
	CURL *easy = curl_easy_init();
	CURLcode code;
	long sent = 0;

	curl_easy_setopt(easy, CURLOPT_URL,
			 apr_pstrcat(pool, url, request->path, NULL));
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)LIMIT_CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
			 2L * LIMIT_CHANGE_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &answer);
	if (request->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(request->body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	}
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer.status);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
	if (code == CURLE_OK)
		value = json_tokener_parse(answer.text ? answer.text : "");
	*not_taken = sent == 0 || !request->body;
	if (code != CURLE_OK) {
		err_set(err, *not_taken ? ERR_UNAVAILABLE : ERR_UNKNOWN,
			"%s: %s", url, curl_easy_strerror(code));
	} else if (!value) {
		err_set(err, *not_taken ? ERR_UNAVAILABLE : ERR_UNKNOWN,
			"%s: the answer is not JSON", url);
	} else if (answer.status != 200) {
		read_fault(&answer, value, err);
		/* Other errors would be the same at every daemon. */
		*not_taken = err->kind == ERR_UNAVAILABLE ||
			     err->kind == ERR_STOPPING ||
			     err->kind == ERR_NOT_READY;
		json_object_put(value);
		value = NULL;
	}
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	free(answer.text);
	return value;
}

struct json_object *
admin_client_call(const struct admin_client *admin_client,
		  const struct admin_client_request *request, apr_pool_t *pool,
		  struct err *err)
{
	struct json_object *value = NULL;
	bool not_taken = true;
	char *state, *url;

	err_set(err, ERR_INVALID, "no URL of a fleet daemon");
	url = apr_strtok(apr_pstrdup(pool, admin_client->urls), ", ", &state);
	while (url && !value && not_taken) {
		size_t len = strlen(url);

		while (len && url[len - 1] == '/')
			url[--len] = 0;
		value = exchange(admin_client, url, request, pool, err,
				 &not_taken);
		url = apr_strtok(NULL, ", ", &state);
	}
	if (value)
		err->kind = ERR_OK;
	return value;
}
