/*
 * NAME
 *	web - HTTP server of a daemon, on libmicrohttpd
 *
 * A request is passed to the handler when its body is complete. The handler
 * answers it exactly once with web_respond, immediately or later.
 */
#ifndef WEB_H
#define WEB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "budget.h"
#include "err.h"
#include "evloop.h"

struct web;

struct web_header {
	const char *name;
	const char *value;
};

struct web_request {
	apr_pool_t *pool; /* destroyed after the request has been answered */
	const char *method;
	const char *path;   /* decoded, without the query */
	const char *target; /* path and query as sent */
	const char *body;
	size_t body_len;
	void *handler_data; /* for the handler's use */
};

/* Memory of a connection in bytes; 0: as the library and the kernel have it. */
struct web_sizes {
	uint32_t max_connections; /* without a budget; 0: 4,096 */
	uint32_t pool_bytes;	  /* of the library, for headers and reads */
	/* Buffers of the kernel, which keeps twice as much. */
	uint32_t receive_bytes;
	uint32_t send_bytes;
};

/* web_connection_bytes - most that a connection without a request takes */
int64_t web_connection_bytes(const struct web_sizes *sizes);

/* web_max_fds - descriptors that the system lets this process open */
int64_t web_max_fds(void);

enum { WEB_REQUEST_BYTES = 10 * 1024 }; /* of a request without its body */

struct web_config {
	const char *address;
	uint16_t port;
	size_t max_body_bytes;
	/* Limit now in force, in place of max_body_bytes; NULL: none. */
	size_t (*max_body)(void *arg);
	/* What clients may hold, which outlives the server; web_tick has to be
	   called then. NULL: no budget, and connections without activity for
	   LIMIT_PARTIAL_REQUEST_S are closed. */
	struct budget *budget;
	struct web_sizes sizes;
	/* Memory that on_request takes for a body until it returns; NULL: little. */
	int64_t (*decoded_bytes)(const char *body, size_t len);
	void (*on_request)(void *arg, struct web_request *request);
	/* Called for each request refused before it reached the handler. */
	void (*on_refused)(void *arg, int kind);
	void *arg;
};

/*
 * web_create - listen and serve connections from the event loop
 *
 * RETURN VALUE
 *	The server, or NULL with err filled in (ERR_IO).
 */
struct web *web_create(struct evloop *evloop, const struct web_config *config,
		       struct err *err);
void web_destroy(struct web *web);

/* web_header - value of a request header, or NULL */
const char *web_header(const struct web_request *request, const char *name);

/* web_query - value of a query parameter, or NULL */
const char *web_query(const struct web_request *request, const char *name);

/* web_foreach_header - call fn for each header of the request */
void web_foreach_header(const struct web_request *request,
			void (*fn)(void *arg, const char *name,
				   const char *value),
			void *arg);

/*
 * web_caller_disconnected - whether the caller has closed its connection
 *
 * The server does not watch the connection of a request that awaits its
 * answer; this polls the socket, which costs one system call.
 */
bool web_caller_disconnected(const struct web_request *request);

/*
 * web_respond - answer a request; headers end with a NULL name
 *
 * The body is copied. The request may be freed before this returns.
 */
void web_respond(struct web_request *request, int status,
		 const struct web_header *headers, const void *body,
		 size_t len);

/* web_respond_error - answer with the kind's status and a JSON body */
void web_respond_error(struct web_request *request, int kind, const char *text);

/*
 * web_tick - close connections as the budget decides; logs what it did
 *
 * To be called from a timer of the process, as often as that runs.
 */
void web_tick(struct web *web);

/* web_active - number of requests begun and not fully answered */
uint32_t web_active(const struct web *web);

/*
 * web_idle - whether no request is in progress or waits to be read
 *
 * Reads what has arrived first, as web_quiet_ms. Not to be called by a handler.
 */
bool web_idle(struct web *web);

/*
 * web_quiet_ms - time since a connection or request last arrived
 *
 * Reads what has arrived first, so that input counts which this turn of the
 * event loop has not read yet. Not to be called by a handler.
 */
int64_t web_quiet_ms(struct web *web);

/* web_close_answered - from now on close each connection after its answer */
void web_close_answered(struct web *web);

/* web_quiesce - stop accepting connections; close each one after its answer */
void web_quiesce(struct web *web);

#endif
