/* Unit tests of the HTTP client: calls and their connections. */

#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

#include "call.h"
#include "evloop.h"
#include "suite.h"

enum {
	CALLS = 100,
	BACKLOG = 200,
	CALL_TIMEOUT_MS = 300,
	COUNT_MS = 150,
	RUN_MS = 800
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

int main(void)
{
	Suite *suite = suite_create("call");
	TCase *calls = tcase_create("calls");

	tcase_add_test(calls, connections_to_one_address_are_bounded);
	suite_add_tcase(suite, calls);
	return suite_run(suite);
}
