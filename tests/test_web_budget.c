/*
 * Unit tests of the HTTP server with a budget; a caller on loopback, a manual
 * clock. They guard against refusals that are not true, come only at the end of
 * a body, or do not say when to try again.
 */

#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <sys/socket.h>

#include <apr_general.h>
#include <check.h>

#include "log.h"
#include "suite.h"
#include "web.h"

enum {
	TURN_MS = 10,
	MAX_TURNS = 100,
	MAX_BODY = 32 * 1024,
	MAX_BYTES = 256 * 1024,
	HEAD_MS = 3000,
	IDLE_MS = 15000,
	PART_BYTES = 1024,
	ANSWER_BYTES = 2048
};

static struct clk clk;
static struct evloop *evloop;
static struct web *web;
static struct budget *budget;
static size_t max_body;
static uint32_t requests;
static int caller;
static int turns;	 /* left */
static int64_t turn_ms;	 /* by the clock; a turn takes TURN_MS in truth */
static bool stop_at_end; /* of the connection only, not at an answer */
static void (*on_turn)(void);
static char answer[ANSWER_BYTES];

static void handle(void *arg, struct web_request *request)
{
	(void)arg;
	requests++;
	web_respond(request, 200, NULL, "ok", 2);
}

static void ignore_refusal(void *arg, int kind)
{
	(void)arg;
	(void)kind;
}

static size_t limit_now(void *arg)
{
	(void)arg;
	return max_body;
}

static void take_turn(void *arg)
{
	size_t len = strlen(answer);
	ssize_t got;

	(void)arg;
	clk.manual_ms += turn_ms;
	web_tick(web);
	if (on_turn)
		on_turn();
	got = recv(caller, answer + len, sizeof(answer) - 1 - len,
		   MSG_DONTWAIT);
	if (got > 0)
		answer[len + (size_t)got] = 0;
	if (!--turns || !got || (got > 0 && !stop_at_end))
		evloop_stop(evloop);
}

/* Runs until an answer or the end of the connection arrives; once a test. */
static void run(void)
{
	evloop_run(evloop);
}

static void setup(void)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr = { .s_addr = htonl(INADDR_LOOPBACK) },
	};
	socklen_t len = sizeof(addr);
	struct budget_config bounds = {
		.max_connections = 10,
		.max_bytes = MAX_BYTES,
		.connection_bytes = 1024,
		.request_bytes = WEB_REQUEST_BYTES,
		.body_copies = 3,
		.head_ms = HEAD_MS,
		.idle_ms = IDLE_MS,
	};
	struct web_config config = {
		.address = "127.0.0.1",
		.max_body = limit_now,
		.on_request = handle,
		.on_refused = ignore_refusal,
	};
	struct err err = { .kind = ERR_OK };
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, len), 0);
	ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
	close(fd);
	config.port = ntohs(addr.sin_port);
	clk = clk_manual(1000);
	requests = 0;
	answer[0] = 0;
	turns = MAX_TURNS;
	turn_ms = TURN_MS;
	stop_at_end = false;
	on_turn = NULL;
	max_body = MAX_BODY;
	budget = budget_create(&bounds);
	config.budget = budget;
	evloop = evloop_create(&clk);
	web = web_create(evloop, &config, &err);
	ck_assert_ptr_nonnull(web);
	evloop_add_timer(evloop, TURN_MS, take_turn, NULL);
	caller = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
		connect(caller, (struct sockaddr *)&addr, sizeof(addr)), 0);
}

static void teardown(void)
{
	close(caller);
	web_destroy(web);
	budget_destroy(budget);
	evloop_destroy(evloop);
}

static void send_text(const char *text)
{
	ck_assert_int_eq(send(caller, text, strlen(text), 0),
			 (ssize_t)strlen(text));
}

static void send_filler(size_t len)
{
	char filler[1024];

	memset(filler, 'a', sizeof(filler));
	for (; len; len -= len < sizeof(filler) ? len : sizeof(filler))
		ck_assert_int_gt(
			send(caller, filler,
			     len < sizeof(filler) ? len : sizeof(filler), 0),
			0);
}

static void send_chunk(size_t len)
{
	char size[24];

	snprintf(size, sizeof(size), "%zx\r\n", len);
	send_text(size);
	send_filler(len);
	send_text("\r\n");
}

static void send_length(size_t len)
{
	char head[96];

	snprintf(head, sizeof(head),
		 "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %zu\r\n\r\n",
		 len);
	send_text(head);
}

static const char chunked_head[] =
	"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

START_TEST(request_within_the_bounds_is_served)
{
	send_length(MAX_BODY);
	send_filler(MAX_BODY);
	run();
	ck_assert_int_eq(strncmp(answer, "HTTP/1.1 200", 12), 0);
	ck_assert_uint_eq(requests, 1);
}
END_TEST

START_TEST(chunked_body_within_the_bounds_is_served)
{
	send_text(chunked_head);
	send_chunk(MAX_BODY);
	send_text("0\r\n\r\n");
	run();
	ck_assert_int_eq(strncmp(answer, "HTTP/1.1 200", 12), 0);
	ck_assert_uint_eq(requests, 1);
}
END_TEST

/* Such bodies were read to their end, however long. */
START_TEST(chunked_body_over_the_limit_is_refused_before_its_end)
{
	send_text(chunked_head);
	send_chunk(MAX_BODY);
	send_chunk(1);
	run();
	ck_assert_int_eq(strncmp(answer, "HTTP/1.1 413", 12), 0);
	ck_assert_ptr_nonnull(strstr(answer, "Plank-Outcome: not-run"));
	ck_assert_uint_eq(requests, 0);
}
END_TEST

/* The limit is the one in force when the request comes. */
START_TEST(limit_in_force_applies)
{
	max_body = 100;
	send_length(101);
	run();
	ck_assert_int_eq(strncmp(answer, "HTTP/1.1 413", 12), 0);
	ck_assert_uint_eq(requests, 0);
}
END_TEST

/* Takes most of the budget, as other connections would. */
static struct budget_client others[2];

static void hold_bytes(struct budget_client *other, uint32_t address,
		       int64_t bytes)
{
	budget_open(budget, other, address, clk.manual_ms);
	budget_begin(budget, other, clk.manual_ms);
	budget_admit(budget, other, 0, clk.manual_ms);
	budget_handle(budget, other, 0, clk.manual_ms);
	ck_assert_int_eq(budget_grow(budget, other, bytes), BUDGET_OK);
}

static void check_busy_refusal(void)
{
	ck_assert_int_eq(strncmp(answer, "HTTP/1.1 503", 12), 0);
	ck_assert_ptr_nonnull(strstr(answer, "Retry-After: "));
	ck_assert_ptr_nonnull(strstr(answer, "Plank-Outcome: not-run"));
	ck_assert_uint_eq(requests, 0);
}

/* The refusal must not wait for the body. */
START_TEST(request_near_the_bound_is_refused_at_its_header)
{
	hold_bytes(&others[0], 1, MAX_BYTES * 3 / 4);
	send_length(MAX_BODY);
	run();
	check_busy_refusal();
	budget_close(budget, &others[0]);
}
END_TEST

/* Once the beginning of the body has been taken, others take the rest. */
static void send_the_rest(void)
{
	if (budget_stats(budget)->held_bytes <
	    MAX_BYTES / 2 + WEB_REQUEST_BYTES + PART_BYTES)
		return;
	hold_bytes(&others[1], 2, MAX_BYTES * 3 / 8);
	send_chunk(MAX_BODY - PART_BYTES);
	on_turn = NULL;
}

START_TEST(body_that_finds_no_room_is_refused_while_it_arrives)
{
	hold_bytes(&others[0], 1, MAX_BYTES / 2 - WEB_REQUEST_BYTES);
	send_text(chunked_head);
	send_chunk(PART_BYTES);
	on_turn = send_the_rest;
	run();
	check_busy_refusal();
	budget_close(budget, &others[0]);
	budget_close(budget, &others[1]);
}
END_TEST

START_TEST(header_that_stays_incomplete_is_closed)
{
	send_text("GET / HTTP/1.1\r\nHost:");
	turn_ms = HEAD_MS / 10;
	run();
	ck_assert_int_gt(turns, 0);
	ck_assert_int_eq(budget_stats(budget)->closed[BUDGET_HEAD_LATE], 1);
}
END_TEST

START_TEST(idle_connection_stays_for_the_idle_time)
{
	int64_t begin_ms = clk.manual_ms;

	send_text("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	turn_ms = IDLE_MS / 20;
	stop_at_end = true;
	run();
	ck_assert_int_eq(strncmp(answer, "HTTP/1.1 200", 12), 0);
	ck_assert_int_gt(turns, 0);
	ck_assert_int_eq(budget_stats(budget)->closed[BUDGET_IDLE], 1);
	ck_assert_int_gt(clk.manual_ms - begin_ms, IDLE_MS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("web_budget");
	TCase *tcase = tcase_create("web_budget");

	apr_initialize();
	log_init("test", true);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, request_within_the_bounds_is_served);
	tcase_add_test(tcase,
		       chunked_body_over_the_limit_is_refused_before_its_end);
	tcase_add_test(tcase, chunked_body_within_the_bounds_is_served);
	tcase_add_test(tcase, limit_in_force_applies);
	tcase_add_test(tcase, request_near_the_bound_is_refused_at_its_header);
	tcase_add_test(tcase,
		       body_that_finds_no_room_is_refused_while_it_arrives);
	tcase_add_test(tcase, header_that_stays_incomplete_is_closed);
	tcase_add_test(tcase, idle_connection_stays_for_the_idle_time);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
