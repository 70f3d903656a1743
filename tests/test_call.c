/* Unit tests of the client of the platform: calls and their connections. */

#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

#include "call.h"
#include "evloop.h"

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

/* Accepts connections and never answers. */
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

static int server_count(const struct silent_server *server)
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

static int ended;

static void on_end(void *arg, const struct call_answer *answer)
{
	(void)arg;
	ck_assert_int_eq(answer->status, 0);
	ended++;
}

struct watch {
	struct evloop *evloop;
	struct silent_server server;
	int64_t start_ms;
	int connections; /* -1: not counted yet */
};

static void look(void *arg)
{
	struct watch *watch = arg;
	int64_t passed_ms =
		clk_now_ms(evloop_clk(watch->evloop)) - watch->start_ms;

	if (watch->connections < 0 && passed_ms >= COUNT_MS)
		watch->connections = server_count(&watch->server);
	if (passed_ms >= RUN_MS)
		evloop_stop(watch->evloop);
}

/*
 * A worker accepts a bounded number of connections, and one whose caller lost
 * power counts until the worker notices. Guards against a burst of orders that
 * takes them all, after which a later owner reaches the worker no more.
 */
START_TEST(connections_to_one_address_are_bounded)
{
	struct evloop *evloop = evloop_create(clk_system());
	struct call_client *client = call_client_create(evloop);
	struct watch watch = { .evloop = evloop, .connections = -1 };

	server_open(&watch.server);
	ended = 0;
	for (int i = 0; i < CALLS; i++) {
		struct call_request request = {
			.method = "POST",
			.address = watch.server.address,
			.path = "/",
			.body = "{}",
			.len = 2,
			.timeout_ms = CALL_TIMEOUT_MS,
		};

		call_send(client, &request, on_end, NULL);
	}
	watch.start_ms = clk_now_ms(clk_system());
	evloop_every(evloop, 10, look, &watch);
	evloop_run(evloop);
	ck_assert_int_gt(watch.connections, 0);
	ck_assert_int_le(watch.connections, CALL_MAX_CONNECTIONS);
	/* Those that got no connection have ended in time as well. */
	ck_assert_int_eq(ended, CALLS);
	call_client_destroy(client);
	evloop_destroy(evloop);
	close(watch.server.fd);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("call");
	TCase *calls = tcase_create("calls");
	SRunner *runner;
	int failed;

	tcase_add_test(calls, connections_to_one_address_are_bounded);
	suite_add_tcase(suite, calls);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_ENV);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
