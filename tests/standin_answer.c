#include "standin_answer.h"

#include <string.h>

static const struct web_header json_headers[] = {
	{ "Content-Type", "application/json" },
	{ NULL, NULL },
};

void standin_answer(struct web_request *request, int status,
		    struct json_object *body)
{
	const char *text =
		json_object_to_json_string_ext(body, JSON_C_TO_STRING_PLAIN);

	web_respond(request, status, json_headers, text, strlen(text));
	json_object_put(body);
}

struct json_object *standin_object_with(const char *key,
					struct json_object *value)
{
	struct json_object *body = json_object_new_object();

	json_object_object_add(body, key, value);
	return body;
}
