/*
 * NAME
 *	standin_answer - answers of the stand-in, as JSON
 */
#ifndef STANDIN_ANSWER_H
#define STANDIN_ANSWER_H

#include <json-c/json.h>

#include "web.h"

/* standin_answer - answer a request; frees body */
void standin_answer(struct web_request *request, int status,
		    struct json_object *body);

/* standin_object_with - an object of one member; takes value over */
struct json_object *standin_object_with(const char *key,
					struct json_object *value);

#endif
