/*
 * NAME
 *	admin_client - HTTP client of the fleet daemons' operator interface
 *
 * Tries the fleet daemons in the order given. A change is sent to the next
 * daemon only if it cannot have taken effect at the previous one.
 */
#ifndef ADMIN_CLIENT_H
#define ADMIN_CLIENT_H

#include <stdint.h>

#include <apr_pools.h>
#include <json-c/json.h>

#include "err.h"

struct admin_client {
	const char *urls; /* separated by commas */
	const char *token;
};

struct admin_client_request {
	const char *path;
	const char *body;	  /* NULL: GET, else POST */
	const char *change_id;	  /* of a change; NULL: none */
	const char *change_since; /* next offset when change_id was chosen */
};

/*
 * admin_client_call - send a request and parse its response
 *
 * RETURN VALUE
 *	The JSON value of the response, which the caller releases with
 *	json_object_put, or NULL with err filled in.
 *
 * ERRORS
 *	ERR_UNAVAILABLE	no daemon could be reached; no effect
 *	ERR_UNKNOWN	no response to a change, which may have taken effect
 *	any other	as the daemon reported
 */
struct json_object *
admin_client_call(const struct admin_client *admin_client,
		  const struct admin_client_request *request, apr_pool_t *pool,
		  struct err *err);

#endif
