/*
 * NAME
 *	admin_client - HTTP client of the fleet daemons' operator interface
 *
 * Asks one fleet daemon after the other. A request that changes something
 * goes to the next one only if the one before surely did not take it.
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
	const char *body; /* NULL: GET, else POST */
	/* Of a change: its id, and the next offset when the id was chosen. */
	const char *change_id;
	const char *change_since;
};

/*
 * admin_client_call - send a request and parse its answer
 *
 * RETURN VALUE
 *	The answer's JSON value, which the caller releases with
 *	json_object_put, or NULL with err filled in.
 *
 * ERRORS
 *	ERR_UNAVAILABLE	no daemon could be reached; surely no effect
 *	ERR_UNKNOWN	the answer of a change was lost
 *	any other	as the daemon answered
 */
struct json_object *
admin_client_call(const struct admin_client *admin_client,
		  const struct admin_client_request *request, apr_pool_t *pool,
		  struct err *err);

#endif
