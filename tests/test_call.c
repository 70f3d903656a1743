/* Unit tests of the HTTP client: calls, their connections and repetitions. */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

#include "call.h"
#include "conn.h"
#include "evloop.h"
#include "order_api.h"
#include "suite.h"

enum {
	CALLS = 100,
	BACKLOG = 200,
	CALL_TIMEOUT_MS = 300,
	COUNT_MS = 150,
	RUN_MS = 800,
	SILENT_TIMEOUT_MS = 150,
	MAX_REPORT_BYTES = 1024 * 1024
};

struct silent_server {
	int fd;
	char address[32];
};

/* Opens a server that completes connections but never responds. */
static void server_open(struct silent_server *server)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	ck_assert_int_ge(server->fd, 0);
	ck_assert_int_eq(bind(server->fd, (struct sockaddr *)&at, sizeof(at)),
			 0);
	ck_assert_int_eq(listen(server->fd, BACKLOG), 0);
	ck_assert_int_eq(getsockname(server->fd, (struct sockaddr *)&at, &len),
			 0);
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
		 ntohs(at.sin_port));
}

static int server_count_connections(const struct silent_server *server)
{
	int fds[CALLS];
	int count = 0;

	while (count < CALLS &&
	       (fds[count] = accept(server->fd, NULL, NULL)) >= 0)
		count++;
	for (int i = 0; i < count; i++)
		close(fds[i]);
	return count;
}

static int calls_ended;

static void on_response(void *arg, const struct call_response *response)
{
	(void)arg;
	ck_assert_int_eq(response->status, 0);
	calls_ended++;
}

struct observer {
	struct evloop *evloop;
	struct silent_server server;
	int64_t start_ms;
	int connections; /* -1: not counted yet */
};

static void on_tick(void *arg)
{
	struct observer *observer = arg;
	int64_t passed_ms =
		clk_now_ms(evloop_clk(observer->evloop)) - observer->start_ms;

	if (observer->connections < 0 && passed_ms >= COUNT_MS)
		observer->connections =
			server_count_connections(&observer->server);
	if (passed_ms >= RUN_MS)
		evloop_stop(observer->evloop);
}

/*
 * A worker accepts a limited number of connections, and counts those of a node
 * that lost power until it notices. Guards against a burst of orders that takes
 * all of them, so that the next owner of the pool cannot reach the worker.
 */
START_TEST(connections_to_one_address_are_bounded)
{
	struct evloop *evloop = evloop_create(clk_system());
	struct call_client *client = call_client_create(evloop);
	struct observer observer = { .evloop = evloop, .connections = -1 };

	server_open(&observer.server);
	calls_ended = 0;
	for (int i = 0; i < CALLS; i++) {
		struct call_request request = {
			.method = "POST",
			.address = observer.server.address,
			.path = "/",
			.body = "{}",
			.len = 2,
			.timeout_ms = CALL_TIMEOUT_MS,
		};

		call_send(client, &request, on_response, NULL);
	}
	observer.start_ms = clk_now_ms(clk_system());
	evloop_add_timer(evloop, 10, on_tick, &observer);
	evloop_run(evloop);
	ck_assert_int_gt(observer.connections, 0);
	ck_assert_int_le(observer.connections, CALL_MAX_CONNECTIONS);
	/* Calls that got no connection have timed out as well. */
	ck_assert_int_eq(calls_ended, CALLS);
	call_client_destroy(client);
	evloop_destroy(evloop);
	close(observer.server.fd);
}
END_TEST

/*
 * A server that answers the first request on a connection that stays open,
 * reads the second one there and closes the connection without an answer, and
 * refuses all others.
 */
struct closing_server {
	struct silent_server listener;
	int fds[CALLS];
	int count;
	int requests;
};

static void server_answer(struct closing_server *server, int fd)
{
	static const char done[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Length: 13\r\n\r\n{\"clockMs\":1}";
	static const char refused[] = "HTTP/1.1 429 Too Many Requests\r\n"
				      "Content-Length: 0\r\n\r\n";
	const char *answer = ++server->requests == 1 ? done : refused;

	if (server->requests == 2)
		shutdown(fd, SHUT_RDWR);
	else
		ck_assert_int_gt(send(fd, answer, strlen(answer), MSG_NOSIGNAL),
				 0);
}

/* Each request arrives whole, as it is small. */
static void server_tick(void *arg)
{
	struct closing_server *server = arg;
	char request[4096];

	while (server->count < CALLS &&
	       (server->fds[server->count] =
			accept(server->listener.fd, NULL, NULL)) >= 0)
		server->count++;
	for (int i = 0; i < server->count; i++)
		if (recv(server->fds[i], request, sizeof(request),
			 MSG_DONTWAIT) > 0)
			server_answer(server, server->fds[i]);
}

static void server_close(struct closing_server *server)
{
	for (int i = 0; i < server->count; i++)
		close(server->fds[i]);
	close(server->listener.fd);
}

/* Two start orders to one worker, the second one after the first's answer. */
struct starter {
	struct evloop *evloop;
	const struct order_io *orders;
	struct worker_entry worker;
	enum order_outcome outcomes[2];
	int64_t clocks_ms[2];
	int answers;
};

static void send_start(struct starter *starter);

static void on_started(void *arg, enum order_outcome outcome, int64_t clock_ms)
{
	struct starter *starter = arg;

	starter->clocks_ms[starter->answers] = clock_ms;
	starter->outcomes[starter->answers++] = outcome;
	if (starter->answers == 1)
		send_start(starter);
	else
		evloop_stop(starter->evloop);
}

static void send_start(struct starter *starter)
{
	struct order_start start = {
		.task = "00000000000000aa.0.0.0",
		.run = 1,
		.text = "",
		.until_ms = 1000,
		.fence = 1,
	};

	starter->orders->start(starter->orders->io, &starter->worker, &start,
			       on_started, starter);
}

/*
 * The worker has read the second start and may carry it out later. Guards
 * against a task that runs twice (TWICE): libcurl repeats a request on its own
 * when a connection that was used before ends without an answer, and the refusal
 * of the repeat was taken for that of the start, so that the task was placed
 * elsewhere beside it.
 */
START_TEST(start_without_an_answer_is_not_taken_as_refused)
{
	struct evloop *evloop = evloop_create(clk_system());
	struct call_client *client = call_client_create(evloop);
	struct order_api *api = order_api_create(client, MAX_REPORT_BYTES);
	struct closing_server server = { 0 };
	struct starter starter = {
		.evloop = evloop,
		.orders = order_api_io(api),
		.worker = { .id = "i-1" },
	};

	server_open(&server.listener);
	snprintf(starter.worker.address, sizeof(starter.worker.address), "%s",
		 server.listener.address);
	evloop_add_timer(evloop, 5, server_tick, &server);
	send_start(&starter);
	evloop_run(evloop);
	ck_assert_int_eq(starter.answers, 2);
	ck_assert_int_eq(starter.outcomes[0], ORDER_OK);
	ck_assert_int_eq(starter.outcomes[1], ORDER_UNKNOWN);
	ck_assert_int_eq(starter.clocks_ms[0], 1);
	ck_assert_int_eq(starter.clocks_ms[1], -1);
	ck_assert_int_eq(server.requests, 2);
	order_api_destroy(api);
	call_client_destroy(client);
	evloop_destroy(evloop);
	server_close(&server);
}
END_TEST

/*
 * A server whose open connections go silent for good once some are open: their
 * requests are read and not answered. New connections are answered at once.
 */
struct silencing_server {
	struct silent_server listener;
	int fds[CALLS];
	int count;
	int silent; /* the first so many connections do not answer */
};

static void silencing_tick(void *arg)
{
	static const char done[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Length: 2\r\n\r\n{}";
	struct silencing_server *server = arg;
	char request[4096];

	while (server->count < CALLS &&
	       (server->fds[server->count] =
			accept(server->listener.fd, NULL, NULL)) >= 0)
		server->count++;
	for (int i = 0; i < server->count; i++)
		if (recv(server->fds[i], request, sizeof(request),
			 MSG_DONTWAIT) > 0 &&
		    i >= server->silent)
			ck_assert_int_gt(send(server->fds[i], done,
					      strlen(done), MSG_NOSIGNAL),
					 0);
}

/* Calls to such a server: several at once, then one after the other. */
struct repeating_caller {
	struct evloop *evloop;
	struct call_client *client;
	struct silencing_server server;
	int in_progress;
	int answered;	/* of the first calls */
	int unanswered; /* of those after them */
};

static void send_repeated(struct repeating_caller *caller, call_fn *fn)
{
	struct call_request request = {
		.method = "GET",
		.address = caller->server.listener.address,
		.path = "/",
		.timeout_ms = SILENT_TIMEOUT_MS,
	};

	caller->in_progress++;
	call_send(caller->client, &request, fn, caller);
}

static void on_repeated(void *arg, const struct call_response *response)
{
	struct repeating_caller *caller = arg;

	caller->in_progress--;
	if (response->status == 200) {
		evloop_stop(caller->evloop);
		return;
	}
	caller->unanswered++;
	send_repeated(caller, on_repeated);
}

static void on_first(void *arg, const struct call_response *response)
{
	struct repeating_caller *caller = arg;

	caller->in_progress--;
	caller->answered += response->status == 200;
	if (caller->in_progress)
		return;
	caller->server.silent = caller->server.count;
	send_repeated(caller, on_repeated);
}

/*
 * Guards against an address that is out of reach for one timeout after the other
 * (21 s on the host list) once its open connections have gone silent: each call
 * took the next of the idle ones.
 */
START_TEST(one_timeout_ends_the_use_of_connections_that_went_silent)
{
	struct evloop *evloop = evloop_create(clk_system());
	struct repeating_caller caller = {
		.evloop = evloop,
		.client = call_client_create(evloop),
	};

	server_open(&caller.server.listener);
	evloop_add_timer(evloop, 5, silencing_tick, &caller.server);
	for (int i = 0; i < CALL_MAX_CONNECTIONS; i++)
		send_repeated(&caller, on_first);
	evloop_run(evloop);
	ck_assert_int_eq(caller.answered, CALL_MAX_CONNECTIONS);
	ck_assert_int_gt(caller.server.silent, 1);
	ck_assert_int_eq(caller.unanswered, 1);
	call_client_destroy(caller.client);
	evloop_destroy(evloop);
	for (int i = 0; i < caller.server.count; i++)
		close(caller.server.fds[i]);
	close(caller.server.listener.fd);
}
END_TEST

enum { SENT_MS = 500, PAIRS = 4 };

/* Adds a connection over loopback that a server of its own has accepted. */
static struct conn *add_connection(struct conn_table *table,
				   const char *address, int *fd)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	struct silent_server server;
	socklen_t len = sizeof(at);

	server_open(&server);
	ck_assert_int_eq(getsockname(server.fd, (struct sockaddr *)&at, &len),
			 0);
	*fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(connect(*fd, (struct sockaddr *)&at, len), 0);
	ck_assert_int_eq(getsockname(*fd, (struct sockaddr *)&at, &len), 0);
	close(server.fd);
	return conn_open(table, address, *fd, ntohs(at.sin_port));
}

/*
 * Guards against healthy connections that are closed with the silent ones: those in
 * use, those that have answered since, and those to other addresses stay.
 */
START_TEST(only_idle_connections_without_an_answer_since_are_shut)
{
	struct conn_table *table = conn_table_create();
	int fds[PAIRS];
	struct conn *old = add_connection(table, "a:1", &fds[0]);
	struct conn *busy = add_connection(table, "a:1", &fds[1]);
	struct conn *answered = add_connection(table, "a:1", &fds[2]);
	struct conn *user = busy;

	add_connection(table, "b:1", &fds[3]);
	conn_set_answered(old, SENT_MS);
	conn_set_answered(answered, SENT_MS + 1);
	conn_set_user(busy, &user);
	ck_assert_uint_eq(conn_shut_idle(table, "a:1", SENT_MS), 1);
	ck_assert_uint_eq(conn_shut_idle(table, "a:1", SENT_MS), 0);
	conn_closed(table, fds[1]);
	ck_assert_ptr_null(user);
	conn_closed(table, fds[0]);
	conn_closed(table, fds[2]);
	ck_assert_uint_eq(conn_shut_idle(table, "a:1", SENT_MS), 0);
	ck_assert_uint_eq(conn_shut_idle(table, "b:1", SENT_MS), 1);
	conn_closed(table, fds[3]);
	conn_table_release(table);
	for (int i = 0; i < PAIRS; i++)
		close(fds[i]);
}
END_TEST

/* A caller whose first call never connects; its second one is not answered. */
struct refused_caller {
	struct evloop *evloop;
	struct call_client *client;
	struct silent_server server;
	int fillers[PAIRS];
	int pair[2];
	int ended;
};

static void send_refused(struct refused_caller *caller);

/* The descriptor of the first call's socket is free again by now. */
static void on_refused(void *arg, const struct call_response *response)
{
	struct refused_caller *caller = arg;

	ck_assert_int_eq(response->status, 0);
	if (++caller->ended == 2) {
		evloop_stop(caller->evloop);
		return;
	}
	ck_assert_int_eq(socketpair(AF_UNIX, SOCK_STREAM, 0, caller->pair), 0);
	while (accept(caller->server.fd, NULL, NULL) >= 0)
		;
	for (int i = 0; i < PAIRS; i++)
		close(caller->fillers[i]);
	send_refused(caller);
}

static void send_refused(struct refused_caller *caller)
{
	struct call_request request = {
		.method = "GET",
		.address = caller->server.address,
		.path = "/",
		.timeout_ms = caller->ended ? 10 * SILENT_TIMEOUT_MS
					    : SILENT_TIMEOUT_MS,
	};

	call_send(caller->client, &request, on_refused, caller);
}

/*
 * Guards against a caller's connection that is cut off without an answer (LOST): a
 * socket that never connected was taken for an idle connection, and its descriptor
 * was shut when that had become another's.
 */
START_TEST(descriptor_of_a_failed_connect_is_not_shut)
{
	struct evloop *evloop = evloop_create(clk_system());
	struct refused_caller caller = { .evloop = evloop };
	struct sockaddr_in at;
	socklen_t len = sizeof(at);
	char byte = 'x';

	caller.client = call_client_create(evloop);
	server_open(&caller.server);
	ck_assert_int_eq(listen(caller.server.fd, 0), 0);
	getsockname(caller.server.fd, (struct sockaddr *)&at, &len);
	for (int i = 0; i < PAIRS; i++) {
		caller.fillers[i] =
			socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		ck_assert(connect(caller.fillers[i], (struct sockaddr *)&at,
				  len) == 0 ||
			  errno == EINPROGRESS);
	}
	send_refused(&caller);
	evloop_run(evloop);
	for (int i = 0; i < 2; i++) {
		ck_assert_int_eq(send(caller.pair[i], &byte, 1, MSG_NOSIGNAL),
				 1);
		ck_assert_int_eq(
			recv(caller.pair[1 - i], &byte, 1, MSG_DONTWAIT), 1);
	}
	call_client_destroy(caller.client);
	evloop_destroy(evloop);
	close(caller.server.fd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("call");
	TCase *calls = tcase_create("calls");

	tcase_add_test(calls, connections_to_one_address_are_bounded);
	tcase_add_test(calls, start_without_an_answer_is_not_taken_as_refused);
	tcase_add_test(
		calls,
		one_timeout_ends_the_use_of_connections_that_went_silent);
	tcase_add_test(calls,
		       only_idle_connections_without_an_answer_since_are_shut);
	tcase_add_test(calls, descriptor_of_a_failed_connect_is_not_shut);
	suite_add_tcase(suite, calls);
	return suite_run(suite);
}
