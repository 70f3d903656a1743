#include "admin_client.h"

#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>
#include <curl/curl.h>

#include "limit.h"

enum { MAX_RESPONSE_BYTES = 64 * 1024 * 1024 };

struct response {
	char *text;
	size_t len;
	long status;
};

static size_t append_body(char *data, size_t size, size_t count, void *arg)
{
	struct response *response = arg;
	size_t len = size * count;
	char *text;

	if (response->len + len > MAX_RESPONSE_BYTES)
		return 0;
	text = realloc(response->text, response->len + len + 1);
	if (!text)
		return 0;
	memcpy(text + response->len, data, len);
	response->text = text;
	response->len += len;
	text[response->len] = 0;
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

/* Fills in err from the body of an error response. */
static void read_error(const struct response *response,
		       struct json_object *value, struct err *err)
{
	struct json_object *name = NULL, *text = NULL;

	json_object_object_get_ex(value, "error", &name);
	json_object_object_get_ex(value, "text", &text);
	if (name)
		err_set(err, err_by_name(json_object_get_string(name)), "%s",
			text ? json_object_get_string(text) : "");
	else
		err_set(err, ERR_INTERNAL, "HTTP status %ld", response->status);
}

/*
 * Sends the request to one daemon. Sets *may_retry if the request cannot have
 * taken effect there, so that another daemon may be tried.
 */
static struct json_object *
send_request(const struct admin_client *admin_client, const char *url,
	     const struct admin_client_request *request, apr_pool_t *pool,
	     struct err *err, bool *may_retry)
{
	struct curl_slist *headers = make_headers(admin_client, request, pool);
	struct json_object *value = NULL;
	struct response response = { 0 };
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
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
	if (request->body) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)strlen(request->body));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request->body);
	}
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &response.status);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
	if (code == CURLE_OK)
		value = json_tokener_parse(response.text ? response.text : "");
	*may_retry = sent == 0 || !request->body;
	if (code != CURLE_OK) {
		err_set(err, *may_retry ? ERR_UNAVAILABLE : ERR_UNKNOWN,
			"%s: %s", url, curl_easy_strerror(code));
	} else if (!value) {
		err_set(err, *may_retry ? ERR_UNAVAILABLE : ERR_UNKNOWN,
			"%s: the response is not JSON", url);
	} else if (response.status != 200) {
		read_error(&response, value, err);
		/* Any other error would be the same from every daemon. */
		*may_retry = err->kind == ERR_UNAVAILABLE ||
			     err->kind == ERR_STOPPING ||
			     err->kind == ERR_NOT_READY;
		json_object_put(value);
		value = NULL;
	}
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	free(response.text);
	return value;
}

struct json_object *
admin_client_call(const struct admin_client *admin_client,
		  const struct admin_client_request *request, apr_pool_t *pool,
		  struct err *err)
{
	struct json_object *value = NULL;
	bool may_retry = true;
	char *state, *url;

	err_set(err, ERR_INVALID, "no fleet daemon URL given");
	url = apr_strtok(apr_pstrdup(pool, admin_client->urls), ", ", &state);
	while (url && !value && may_retry) {
		size_t len = strlen(url);

		while (len && url[len - 1] == '/')
			url[--len] = 0;
		value = send_request(admin_client, url, request, pool, err,
				     &may_retry);
		url = apr_strtok(NULL, ", ", &state);
	}
	if (value)
		err->kind = ERR_OK;
	return value;
}
