/*
 * Unit tests of reading workers' reports over HTTP: long ones, slow ones, and those
 * of which only the beginning is wanted.
 */

#include <arpa/inet.h>
#include <errno.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <check.h>

#include "call.h"
#include "evloop.h"
#include "order_api.h"
#include "suite.h"

enum {
	TICK_MS = 5,
	RUNS = 48,
	CHECKPOINT_BYTES = 1000000,
	ROW_BYTES = 128, /* without its checkpoint */
	/* More than the runs without their checkpoints take. */
	MAX_HELD_BYTES = 1024 * 1024,
	SLOW_RUNS = 12,
	SLOW_GAP_MS = 250,
	MAX_REPORT_BYTES = 1024 * 1024
};

/* A worker that answers one renewal with a report of such runs. */
struct reporter {
	struct evloop *evloop;
	int listener;
	int fd; /* -1: no connection yet */
	struct worker_entry worker;
	int runs;
	size_t checkpoint_bytes;
	int64_t gap_ms;	  /* between two runs */
	int stalls_after; /* so many runs */
	bool lease_only;  /* as of struct order_renew */
	int sent_runs;	  /* -1: no request yet */
	int64_t next_ms;
	char row[ROW_BYTES + CHECKPOINT_BYTES];
	size_t row_len, row_sent;
	size_t sent_bytes;
	bool closed; /* by the caller */
	/* What was told. */
	bool answered;
	enum order_outcome outcome;
	struct worker_report report; /* without the lists */
	uint32_t left_out;
	int parts;
	size_t used_before, used_most;
};

static size_t used_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static void reporter_open(struct reporter *reporter, struct evloop *evloop)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	reporter->evloop = evloop;
	reporter->fd = -1;
	reporter->sent_runs = -1;
	reporter->listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	ck_assert_int_eq(
		bind(reporter->listener, (struct sockaddr *)&at, sizeof(at)),
		0);
	ck_assert_int_eq(listen(reporter->listener, 4), 0);
	ck_assert_int_eq(
		getsockname(reporter->listener, (struct sockaddr *)&at, &len),
		0);
	snprintf(reporter->worker.address, sizeof(reporter->worker.address),
		 "127.0.0.1:%d", ntohs(at.sin_port));
	snprintf(reporter->worker.id, sizeof(reporter->worker.id), "w1");
}

/* Writes the next piece of the answer: its beginning, a run, or its end. */
static void next_row(struct reporter *reporter)
{
	int number = reporter->sent_runs++;
	char *end = reporter->row;

	if (number < 0) {
		end += sprintf(end,
			       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
			       "{\"clockMs\":5,\"born\":6,\"running\":[");
	} else if (number < reporter->runs) {
		end += sprintf(end, "%s[\"00000000000000aa.0.0.%d\",1,\"",
			       number ? "," : "", number);
		memset(end, 'c', reporter->checkpoint_bytes);
		end += reporter->checkpoint_bytes;
		end += sprintf(end, "\",41]");
	} else {
		end += sprintf(end, "],\"finished\":[]}");
	}
	reporter->row_len = (size_t)(end - reporter->row);
	reporter->row_sent = 0;
}

/* Sends what is left of the piece; false once the socket takes no more. */
static bool send_row(struct reporter *reporter)
{
	ssize_t sent = send(reporter->fd, reporter->row + reporter->row_sent,
			    reporter->row_len - reporter->row_sent,
			    MSG_NOSIGNAL | MSG_DONTWAIT);

	if (sent <= 0) {
		reporter->closed |= errno != EAGAIN;
		return false;
	}
	reporter->row_sent += (size_t)sent;
	reporter->sent_bytes += (size_t)sent;
	return true;
}

static void send_report(struct reporter *reporter)
{
	int64_t now_ms = clk_now_ms(clk_system());

	while (!reporter->closed) {
		if (reporter->row_sent < reporter->row_len) {
			if (!send_row(reporter))
				return;
			continue;
		}
		if (reporter->sent_runs > reporter->runs) {
			shutdown(reporter->fd, SHUT_WR);
			return;
		}
		if (now_ms < reporter->next_ms ||
		    reporter->sent_runs == reporter->stalls_after)
			return;
		reporter->next_ms = now_ms + reporter->gap_ms;
		next_row(reporter);
	}
}

static void reporter_tick(void *arg)
{
	struct reporter *reporter = arg;
	char request[4096];

	if (reporter->fd < 0)
		reporter->fd = accept(reporter->listener, NULL, NULL);
	if (reporter->fd < 0)
		return;
	if (reporter->sent_runs < 0 && !reporter->row_len &&
	    recv(reporter->fd, request, sizeof(request), MSG_DONTWAIT) <= 0)
		return;
	send_report(reporter);
}

static void on_part(void *arg)
{
	struct reporter *reporter = arg;

	reporter->parts++;
	reporter->used_most = MAX(reporter->used_most, used_bytes());
}

static void on_report(void *arg, enum order_outcome outcome,
		      const struct worker_report *report)
{
	struct reporter *reporter = arg;

	reporter->answered = true;
	reporter->outcome = outcome;
	if (report) {
		reporter->report = *report;
		for (uint32_t i = 0; i < report->run_count; i++)
			reporter->left_out +=
				report->runs[i].checkpoint.left_out;
	}
	evloop_stop(reporter->evloop);
}

static void tick_client(void *arg)
{
	call_tick(arg);
}

static void on_started(void *arg, enum order_outcome outcome, int64_t clock_ms)
{
	struct reporter *reporter = arg;

	(void)clock_ms;
	reporter->answered = true;
	reporter->outcome = outcome;
	evloop_stop(reporter->evloop);
}

static void send_renewal(struct reporter *reporter,
			 const struct order_io *orders)
{
	struct order_renew renewal = {
		.fence = 1,
		.until_ms = 1000,
		.begin_ms = 1000,
		.lease_only = reporter->lease_only,
		.on_part = on_part,
	};

	orders->renew(orders->io, &reporter->worker, &renewal, on_report,
		      reporter);
}

static void send_start(struct reporter *reporter, const struct order_io *orders)
{
	struct order_start start = {
		.task = "00000000000000aa.0.0.0",
		.run = 1,
		.text = "",
		.until_ms = 1000,
		.fence = 1,
	};

	orders->start(orders->io, &reporter->worker, &start, on_started,
		      reporter);
}

/* Sends an order to the worker, and waits for the outcome. */
static void order(struct reporter *reporter,
		  void (*send)(struct reporter *reporter,
			       const struct order_io *orders))
{
	struct evloop *evloop = evloop_create(clk_system());
	struct call_client *client = call_client_create(evloop);
	struct order_api *api = order_api_create(client, MAX_REPORT_BYTES);

	reporter_open(reporter, evloop);
	reporter->used_before = used_bytes();
	send(reporter, order_api_io(api));
	evloop_add_timer(evloop, TICK_MS, reporter_tick, reporter);
	evloop_add_timer(evloop, TICK_MS, tick_client, client);
	evloop_run(evloop);
	order_api_destroy(api);
	call_client_destroy(client);
	evloop_destroy(evloop);
	close(reporter->fd);
	close(reporter->listener);
}

static struct reporter reporter;

static void setup(void)
{
	reporter = (struct reporter){
		.runs = RUNS,
		.checkpoint_bytes = CHECKPOINT_BYTES,
		.stalls_after = INT32_MAX,
	};
}

/*
 * Guards against a worker that is out of service for good as its report is longer
 * than the longest answer (32 MiB): no end of a run is ever acknowledged.
 */
START_TEST(reports_of_any_length_are_read)
{
	order(&reporter, send_renewal);
	ck_assert_int_eq(reporter.outcome, ORDER_OK);
	ck_assert_uint_eq(reporter.report.run_count, RUNS);
	ck_assert_uint_eq(reporter.left_out, RUNS);
	ck_assert_uint_gt(reporter.sent_bytes, (size_t)RUNS * CHECKPOINT_BYTES);
}
END_TEST

/* Guards against a node that runs out of memory by the reports that it reads. */
START_TEST(long_reports_take_no_memory)
{
	order(&reporter, send_renewal);
	ck_assert_int_eq(reporter.outcome, ORDER_OK);
	ck_assert_int_gt(reporter.parts, RUNS);
	ck_assert_uint_le(reporter.used_most,
			  reporter.used_before + MAX_HELD_BYTES);
}
END_TEST

/*
 * Guards against a lease that lapses as a report takes longer to arrive than the
 * worker may take to answer (1 s).
 */
START_TEST(report_that_goes_on_arriving_is_read)
{
	reporter.runs = SLOW_RUNS;
	reporter.checkpoint_bytes = 10;
	reporter.gap_ms = SLOW_GAP_MS;
	order(&reporter, send_renewal);
	ck_assert_int_eq(reporter.outcome, ORDER_OK);
	ck_assert_uint_eq(reporter.report.run_count, SLOW_RUNS);
	ck_assert_uint_eq(reporter.left_out, 0);
}
END_TEST

/* Guards against a connection that goes silent within a report, and is waited for. */
START_TEST(report_that_stops_arriving_is_given_up)
{
	int64_t began_ms = clk_now_ms(clk_system());

	reporter.stalls_after = RUNS / 2;
	reporter.checkpoint_bytes = 10;
	order(&reporter, send_renewal);
	ck_assert_int_eq(reporter.outcome, ORDER_UNKNOWN);
	ck_assert_int_ge(clk_now_ms(clk_system()) - began_ms, 1000);
	ck_assert(reporter.answered);
}
END_TEST

/* Guards against the lists of an answer that is only to show the lease extended. */
START_TEST(beginning_of_a_report_is_enough_for_the_lease)
{
	reporter.lease_only = true;
	order(&reporter, send_renewal);
	ck_assert_int_eq(reporter.outcome, ORDER_OK);
	ck_assert_int_eq(reporter.report.clock_ms, 5);
	ck_assert_int_eq(reporter.report.boot_ms, 6);
	ck_assert_uint_eq(reporter.report.run_count, 0);
	ck_assert_uint_lt(reporter.sent_bytes,
			  (size_t)RUNS * CHECKPOINT_BYTES / 2);
}
END_TEST

/*
 * Guards against a start that counts as unanswered, and against an owner that holds the
 * whole answer of each order, 32 MiB at most.
 */
START_TEST(long_answers_of_orders_are_cut)
{
	order(&reporter, send_start);
	ck_assert_int_eq(reporter.outcome, ORDER_OK);
	ck_assert_uint_lt(reporter.sent_bytes,
			  (size_t)RUNS * CHECKPOINT_BYTES / 2);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("reports");
	TCase *tcase = tcase_create("reports over HTTP");

	tcase_add_checked_fixture(tcase, setup, NULL);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, reports_of_any_length_are_read);
	tcase_add_test(tcase, long_reports_take_no_memory);
	tcase_add_test(tcase, report_that_goes_on_arriving_is_read);
	tcase_add_test(tcase, report_that_stops_arriving_is_given_up);
	tcase_add_test(tcase, beginning_of_a_report_is_enough_for_the_lease);
	tcase_add_test(tcase, long_answers_of_orders_are_cut);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
