/*
 * NAME
 *	web_int - internals shared by the files of module web
 *
 * web.c runs the server and its connections, web_request.c checks the header of
 * a request and answers it, web_body.c receives its body, web_budget.c carries out
 * what module budget decides, web_linger.c keeps refused connections open.
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
	int64_t logged_ms;	  /* last log line about the budget */
	int64_t logged_count;	  /* refusals and closes up to then */
	int64_t trim_ms;	  /* last return of memory to the system */
	int64_t peak_bytes;	  /* most held since then */
};

/* A connection, tracked to detect input that never became a request. */
struct web_connection {
	struct budget_client client; /* first: the budget's view */
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
	int64_t announced; /* length of the body; -1: not known */
	bool handled;	   /* passed to the handler, or refused */
	bool suspended;
	struct MHD_Response *response;
	int status;
};

/* web_request_refuse - answer a request that is not passed to the handler */
void web_request_refuse(struct web_exchange *ex, int status, int kind,
			const char *text);

/* web_request_refuse_busy - the same, as the budget has refused the request */
void web_request_refuse_busy(struct web_exchange *ex,
			     enum budget_reason reason);

/* web_max_body - limit of a body now in force */
size_t web_max_body(const struct web *web);

/*
 * web_body_append - take bytes of the body
 *
 * RETURN VALUE
 *	MHD_NO if the request has been refused and the connection is to be
 *	closed.
 */
enum MHD_Result web_body_append(struct web_exchange *ex, const char *data,
				size_t len);

/* web_budget_of - the budget that counts a request's connection, or NULL */
struct budget *web_budget_of(const struct web_exchange *ex);

/* web_budget_handle - decide whether a complete request is handled */
enum budget_reason web_budget_handle(struct web_exchange *ex);

/* web_now_ms - time of the event loop's clock */
int64_t web_now_ms(const struct web *web);

/* web_request_check - check the header before the body; refuse a bad request */
void web_request_check(struct web_exchange *ex);

#endif
