/*
 * NAME
 *	web_int - internals shared by the files of module web
 *
 * web.c runs the server and its connections, web_request.c checks the header of
 * a request and answers it, web_linger.c keeps refused connections open.
 */
#ifndef WEB_INT_H
#define WEB_INT_H

#include <microhttpd.h>

#include "web.h"
#include "web_linger.h"

struct web {
	struct evloop *evloop;
	struct web_config config;
	struct MHD_Daemon *daemon;
	uint32_t active;
	int64_t last_input_ms; /* last connection or request */
	bool quiescing;
	bool close_answered;
	struct web_linger linger; /* refused connections */
};

/* A connection, tracked to detect input that never became a request. */
struct web_connection {
	int fd;
	bool in_request;
	bool refused; /* the rest of its input is counted as refused */
	/* Received up to the end of the last request. */
	uint64_t consumed_bytes;
};

/* A request and its response; the handler sees only the first member. */
struct web_exchange {
	struct web_request request;
	struct web *web;
	struct MHD_Connection *mhd_connection;
	struct web_connection *connection;
	char *body;
	size_t body_cap;
	bool handled; /* passed to the handler, or refused */
	bool suspended;
	bool too_large;
	struct MHD_Response *response;
	int status;
};

/* web_request_refuse - answer a request that is not passed to the handler */
void web_request_refuse(struct web_exchange *ex, int status, int kind,
			const char *text);

/* web_request_check - check the header before the body; refuse a bad request */
void web_request_check(struct web_exchange *ex);

#endif
