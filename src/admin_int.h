/*
 * NAME
 *	admin_int - internals shared by the files of module admin
 *
 * admin.c authenticates operators and answers what they read; admin_change.c
 * checks and proposes their changes.
 */
#ifndef ADMIN_INT_H
#define ADMIN_INT_H

#include <json-c/json.h>

#include "admin.h"

/* Result of an applied record, kept for clients that retry the change. */
struct admin_outcome {
	char id[LIMIT_ID_BYTES];
	char author[LIMIT_NAME_BYTES];
	char target[LIMIT_NAME_BYTES]; /* team or host */
	enum record_type type;
	int64_t offset;
	struct err result;
};

struct admin {
	struct admin_config config;
	uint32_t outcome_count; /* total ever added */
	struct admin_outcome
		outcomes[LIMIT_RECORD_IDS]; /* ring of the newest */
};

extern const struct web_header admin_json_headers[];

/* admin_respond_json - send a JSON value and release it */
void admin_respond_json(struct web_request *request, int status,
			struct json_object *value);

/* admin_refuse - count a request as refused and answer the error */
void admin_refuse(struct admin *admin, struct web_request *request, int kind,
		  const char *text);

/* admin_change_handle - handle an operator's POST; parts are of the path */
void admin_change_handle(struct admin *admin, struct web_request *request,
			 const struct procconf_operator *op, char **parts,
			 int count);

#endif
