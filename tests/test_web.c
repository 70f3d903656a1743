/*
 * Unit tests of the HTTP server at the stop of a daemon. The clock is manual;
 * one caller on loopback keeps its connection open between two requests.
 */

#include <stdbool.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>

#include <apr_general.h>
#include <check.h>

#include "log.h"
#include "suite.h"
#include "web.h"

enum { IDLE_MS = 1000, TURN_MS = 10, MAX_TURNS = 200 };

static const char get_request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

static struct clk clk;
static struct evloop *evloop;
static struct web *web;
static uint32_t requests;
static int caller;
static int turns; /* left */
static bool send_at_stop;

/* Leaves the second request without an answer. */
static void handle(void *arg, struct web_request *request)
{
	(void)arg;
	if (requests++ == 0)
		web_respond(request, 200, NULL, "", 0);
}

static void ignore_refusal(void *arg, int kind)
{
	(void)arg;
	(void)kind;
}

/* A port that was free a moment ago. */
static struct sockaddr_in free_address(void)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) },
	};
	socklen_t len = sizeof(addr);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, len), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	close(fd);
	return addr;
}

static void send_request(void)
{
	ck_assert_int_eq(send(caller, get_request, strlen(get_request), 0),
			 (ssize_t)strlen(get_request));
}

static void take_turn(void *arg)
{
	(void)arg;
	clk.manual_ms += TURN_MS;
	if (--turns && (!requests || web_active(web)))
		return;
	if (send_at_stop)
		send_request();
	evloop_stop(evloop);
}

static void setup(void)
{
	struct sockaddr_in addr = free_address();
	struct web_config config = {
		.address = "127.0.0.1",
		.port = ntohs(addr.sin_port),
		.on_request = handle,
		.on_refused = ignore_refusal,
	};
	struct err err = { .kind = ERR_OK };

	clk = clk_manual(IDLE_MS);
	requests = 0;
	turns = MAX_TURNS;
	evloop = evloop_create(&clk);
	web = web_create(evloop, &config, &err);
	ck_assert_ptr_nonnull(web);
	evloop_add_timer(evloop, TURN_MS, take_turn, NULL);
	caller = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
		connect(caller, (struct sockaddr *)&addr, sizeof(addr)), 0);
	send_request();
	evloop_run(evloop);
	ck_assert_uint_eq(requests, 1);
	clk.manual_ms += IDLE_MS;
}

static void setup_request_at_stop(void)
{
	send_at_stop = true;
	setup();
}

static void teardown(void)
{
	close(caller);
	evloop_destroy(evloop);
}

START_TEST(open_connection_without_input_is_quiet)
{
	ck_assert_int_ge(web_quiet_ms(web), IDLE_MS);
	ck_assert_uint_eq(web_active(web), 0);
}
END_TEST

/* A request read after the loop has been stopped would get no answer. */
START_TEST(stopped_loop_reads_no_request)
{
	ck_assert_uint_eq(requests, 1);
}
END_TEST

/*
 * A request has arrived during a long turn of the loop, or while the process
 * was paused, and the idle time is asked for before the next read. A daemon
 * that ended now would lose the request.
 */
START_TEST(unread_input_ends_the_idle_time)
{
	ck_assert_int_eq(web_quiet_ms(web), 0);
	ck_assert_uint_eq(web_active(web), 1);
	ck_assert_uint_eq(requests, 2);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("web");
	TCase *idle = tcase_create("idle");
	TCase *busy = tcase_create("request at the stop");

	apr_initialize();
	log_init("test_web", true);
	tcase_add_checked_fixture(idle, setup, teardown);
	tcase_add_test(idle, open_connection_without_input_is_quiet);
	suite_add_tcase(suite, idle);
	tcase_add_checked_fixture(busy, setup_request_at_stop, teardown);
	tcase_add_test(busy, stopped_loop_reads_no_request);
	tcase_add_test(busy, unread_input_ends_the_idle_time);
	suite_add_tcase(suite, busy);
	return suite_run(suite);
}
