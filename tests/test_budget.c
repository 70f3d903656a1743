/*
 * Unit tests of the budget of clients, without a network. They guard against a
 * process whose memory grows with the number of its clients, against a crowd
 * that keeps ordinary clients out for good, and against bounds that ordinary
 * clients meet.
 */

#include <string.h>

#include <check.h>

#include "budget.h"
#include "suite.h"

enum {
	MIB = 1024 * 1024,
	SMALL_HOST_FDS = 4100,
	CONNECTION_BYTES = 90 * 1024,
	REQUEST_BYTES = 10 * 1024,
	BODY_BYTES = 256 * 1024,
	PIECE_BYTES = 16 * 1024,
	JOB_BYTES = 4 * 1024,
	CLIENTS = 2000,
	ORDINARY_CLIENTS = 500,
	HEAD_MS = 3000,
	IDLE_MS = 15000,
	TICK_MS = 20,
	CROWD_ADDRESS = 1,
	OTHER_ADDRESS = 2
};

static struct budget *budget;
static struct budget_client clients[CLIENTS];
static int64_t now_ms;
static bool bytes_have_come; /* on a connection that has had no request */

static struct budget_config derived(int64_t memory_bytes, int64_t fds)
{
	struct budget_config config = {
		.connection_bytes = CONNECTION_BYTES,
		.request_bytes = REQUEST_BYTES,
		.body_copies = 3,
		.head_ms = HEAD_MS,
		.idle_ms = IDLE_MS,
	};

	budget_derive(&config, memory_bytes, fds);
	return config;
}

static void setup(void)
{
	struct budget_config config = derived(160 * MIB, SMALL_HOST_FDS);

	budget = budget_create(&config);
	memset(clients, 0, sizeof(clients));
	now_ms = 1000;
	bytes_have_come = true;
}

static void teardown(void)
{
	budget_destroy(budget);
}

/* Closes at once what the sweep names. */
static bool close_client(void *arg, struct budget_client *client,
			 enum budget_reason reason)
{
	bool *named = arg;

	if (reason == BUDGET_HEAD_LATE && !client->used && !bytes_have_come)
		return false;
	named[client - clients] = true;
	return true;
}

static int sweep(void)
{
	bool named[CLIENTS] = { false };
	int count = 0;

	budget_sweep(budget, now_ms, close_client, named);
	for (int i = 0; i < CLIENTS; i++) {
		if (!named[i])
			continue;
		count++;
		budget_close(budget, &clients[i]);
	}
	return count;
}

/* Lets time pass with sweeps; returns how many connections were closed. */
static int pass(int64_t time_ms)
{
	int count = 0;

	for (int64_t end_ms = now_ms + time_ms; now_ms < end_ms;) {
		now_ms += TICK_MS;
		count += sweep();
	}
	return count;
}

/* Sends a body up to its last byte; closes the connection if refused. */
static enum budget_reason send_short(struct budget_client *client,
				     uint32_t address)
{
	enum budget_reason reason;

	budget_open(budget, client, address, now_ms);
	budget_begin(budget, client, now_ms);
	reason = budget_admit(budget, client, BODY_BYTES, now_ms);
	for (int64_t size = PIECE_BYTES;
	     reason == BUDGET_OK && size <= BODY_BYTES; size += PIECE_BYTES) {
		reason = budget_grow(budget, client, size);
		budget_progress(client, PIECE_BYTES, now_ms);
	}
	if (reason != BUDGET_OK)
		budget_close(budget, client);
	return reason;
}

/* A whole small request. */
static enum budget_reason send_job(struct budget_client *client)
{
	enum budget_reason reason;

	budget_begin(budget, client, now_ms);
	reason = budget_admit(budget, client, JOB_BYTES, now_ms);
	if (reason == BUDGET_OK)
		reason = budget_grow(budget, client, JOB_BYTES + 1);
	if (reason == BUDGET_OK) {
		budget_progress(client, JOB_BYTES, now_ms);
		reason = budget_handle(budget, client, 0, now_ms);
	}
	budget_answer(budget, client, 100, now_ms);
	budget_end(budget, client, now_ms);
	return reason;
}

/* Several hundred clients behind one address must not meet the defaults of
   the smallest host. */
START_TEST(ordinary_clients_of_one_address_are_served)
{
	for (int i = 0; i < ORDINARY_CLIENTS; i++)
		budget_open(budget, &clients[i], OTHER_ADDRESS, now_ms);
	for (int round = 0; round < 10; round++) {
		for (int i = 0; i < ORDINARY_CLIENTS; i++)
			ck_assert_int_eq(send_job(&clients[i]), BUDGET_OK);
		ck_assert_int_eq(pass(1000), 0);
	}
}
END_TEST

/* The largest legal body of a single client must fit, with its copies. */
START_TEST(single_large_body_is_served)
{
	ck_assert_int_eq(send_short(&clients[0], OTHER_ADDRESS), BUDGET_OK);
	ck_assert_int_eq(budget_handle(budget, &clients[0], 0, now_ms),
			 BUDGET_OK);
}
END_TEST

/* A body of small size may take much memory once it is decoded. */
START_TEST(request_whose_decoded_form_does_not_fit_is_refused)
{
	int64_t max = budget_config(budget)->max_bytes;

	ck_assert_int_eq(send_short(&clients[0], OTHER_ADDRESS), BUDGET_OK);
	ck_assert_int_eq(budget_handle(budget, &clients[0], max, now_ms),
			 BUDGET_BYTES);
	ck_assert_int_eq(send_short(&clients[1], OTHER_ADDRESS), BUDGET_OK);
	ck_assert_int_eq(budget_handle(budget, &clients[1], max / 2, now_ms),
			 BUDGET_OK);
	ck_assert_int_lt(budget_stats(budget)->held_bytes, max / 4);
}
END_TEST

START_TEST(crowd_holds_no_more_than_the_bound)
{
	for (int i = 0; i < CLIENTS; i++)
		send_short(&clients[i], (uint32_t)i);
	ck_assert_int_le(budget_stats(budget)->most_held_bytes,
			 budget_config(budget)->max_bytes);
	ck_assert_int_gt(budget_stats(budget)->refused[BUDGET_BYTES], 0);
}
END_TEST

/* Without the sweep, bodies that never end would keep all others out. */
START_TEST(room_returns_while_the_crowd_stays)
{
	int i = 0;

	while (i < CLIENTS / 2 &&
	       send_short(&clients[i], CROWD_ADDRESS) == BUDGET_OK)
		i++;
	ck_assert_int_lt(i, CLIENTS / 2);
	pass(BUDGET_STALLED_MS + BUDGET_SWEEP_MS);
	ck_assert_int_gt(budget_stats(budget)->closed[BUDGET_STALLED], 0);
	ck_assert_int_eq(send_short(&clients[i], CROWD_ADDRESS), BUDGET_OK);
}
END_TEST

/* One address must not take the place of another. */
START_TEST(another_address_gets_in_beside_a_crowd)
{
	for (int i = 0; i < CLIENTS / 2; i++)
		send_short(&clients[i], CROWD_ADDRESS);
	ck_assert_int_gt(budget_stats(budget)->refused[BUDGET_ADDRESS], 0);
	budget_open(budget, &clients[CLIENTS - 1], OTHER_ADDRESS, now_ms);
	ck_assert_int_eq(send_job(&clients[CLIENTS - 1]), BUDGET_OK);
}
END_TEST

/* Silent connections up to the bound must not keep others out for good. */
START_TEST(silent_connections_give_way)
{
	int max = (int)budget_config(budget)->max_connections;

	for (int i = 0; i < max; i++)
		budget_open(budget, &clients[i], CROWD_ADDRESS, now_ms);
	ck_assert_int_lt(max, CLIENTS);
	pass(BUDGET_STALLED_MS + BUDGET_SWEEP_MS);
	budget_open(budget, &clients[max], CROWD_ADDRESS, now_ms);
	ck_assert_int_eq(send_job(&clients[max]), BUDGET_OK);
}
END_TEST

/* An idle connection that has been used is closed after the stalled body. */
START_TEST(stalled_bodies_are_closed_before_idle_connections)
{
	int i = 1;

	budget_open(budget, &clients[0], OTHER_ADDRESS, now_ms);
	ck_assert_int_eq(send_job(&clients[0]), BUDGET_OK);
	while (i < CLIENTS &&
	       send_short(&clients[i], CROWD_ADDRESS) == BUDGET_OK)
		i++;
	pass(BUDGET_STALLED_MS + BUDGET_SWEEP_MS);
	ck_assert_int_eq(clients[0].closing, BUDGET_OK);
	ck_assert_ptr_nonnull(clients[0].address);
}
END_TEST

/* A request whose handling has begun may have had its effect. */
START_TEST(handled_request_is_never_closed)
{
	ck_assert_int_eq(send_short(&clients[0], OTHER_ADDRESS), BUDGET_OK);
	ck_assert_int_eq(budget_handle(budget, &clients[0], 0, now_ms),
			 BUDGET_OK);
	for (int i = 1; i < CLIENTS; i++)
		send_short(&clients[i], CROWD_ADDRESS);
	pass(2 * BUDGET_MAX_TRANSFER_MS);
	ck_assert_ptr_nonnull(clients[0].address);
}
END_TEST

START_TEST(header_and_idle_connection_have_their_times)
{
	budget_open(budget, &clients[0], OTHER_ADDRESS, now_ms);
	budget_begin(budget, &clients[0], now_ms);
	budget_open(budget, &clients[1], OTHER_ADDRESS, now_ms);
	ck_assert_int_eq(send_job(&clients[1]), BUDGET_OK);
	ck_assert_int_eq(pass(HEAD_MS), 0);
	ck_assert_int_eq(pass(2 * BUDGET_SWEEP_MS), 1);
	ck_assert_int_eq(clients[0].closing, BUDGET_HEAD_LATE);
	ck_assert_int_eq(pass(IDLE_MS - HEAD_MS - 3 * BUDGET_SWEEP_MS), 0);
	ck_assert_int_eq(pass(3 * BUDGET_SWEEP_MS), 1);
	ck_assert_int_eq(clients[1].closing, BUDGET_IDLE);
}
END_TEST

/* A client may open a connection ahead; part of a header is another matter. */
START_TEST(new_connection_is_late_only_if_bytes_have_come)
{
	bytes_have_come = false;
	budget_open(budget, &clients[0], OTHER_ADDRESS, now_ms);
	ck_assert_int_eq(pass(2 * HEAD_MS), 0);
	bytes_have_come = true;
	ck_assert_int_eq(pass(2000), 1);
	ck_assert_int_eq(clients[0].closing, BUDGET_HEAD_LATE);
}
END_TEST

/* A byte now and then must not keep a body open. */
START_TEST(body_below_the_minimum_rate_is_closed)
{
	bool closed = false;

	budget_open(budget, &clients[0], OTHER_ADDRESS, now_ms);
	budget_begin(budget, &clients[0], now_ms);
	ck_assert_int_eq(budget_admit(budget, &clients[0], BODY_BYTES, now_ms),
			 BUDGET_OK);
	for (int64_t took_ms = 0; !closed && took_ms < 2 * BUDGET_GRACE_MS;
	     took_ms += BUDGET_SWEEP_MS) {
		budget_progress(&clients[0], 1, now_ms);
		closed = pass(BUDGET_SWEEP_MS) > 0;
	}
	ck_assert_int_eq(clients[0].closing, BUDGET_BODY_SLOW);
}
END_TEST

/* A client that has gone unnoticed must not hold its body for long. */
START_TEST(body_without_progress_is_closed_after_the_grace)
{
	ck_assert_int_eq(send_short(&clients[0], OTHER_ADDRESS), BUDGET_OK);
	ck_assert_int_eq(pass(BUDGET_GRACE_MS), 0);
	ck_assert_int_eq(pass(2 * BUDGET_SWEEP_MS), 1);
	ck_assert_int_eq(clients[0].closing, BUDGET_BODY_SLOW);
}
END_TEST

/* Requests one after another on one connection would keep others out. */
START_TEST(pressure_lasts_for_a_moment_after_a_refusal)
{
	int max = (int)budget_config(budget)->max_connections;

	ck_assert(!budget_pressed(budget));
	for (int i = 0; i <= max; i++)
		budget_open(budget, &clients[i], (uint32_t)i, now_ms);
	ck_assert(budget_pressed(budget));
	for (int i = 0; i <= max; i++)
		budget_close(budget, &clients[i]);
	pass(2000);
	ck_assert(!budget_pressed(budget));
}
END_TEST

/* A slow link that still makes progress is served in calm. */
START_TEST(slow_body_above_the_minimum_rate_stays)
{
	budget_open(budget, &clients[0], OTHER_ADDRESS, now_ms);
	budget_begin(budget, &clients[0], now_ms);
	ck_assert_int_eq(budget_admit(budget, &clients[0], BODY_BYTES, now_ms),
			 BUDGET_OK);
	for (int64_t sent = 0; sent < BODY_BYTES; sent += BUDGET_MIN_RATE) {
		budget_progress(&clients[0], BUDGET_MIN_RATE, now_ms);
		ck_assert_int_eq(pass(1000), 0);
	}
}
END_TEST

START_TEST(answer_that_is_not_read_is_closed)
{
	budget_open(budget, &clients[0], OTHER_ADDRESS, now_ms);
	budget_begin(budget, &clients[0], now_ms);
	ck_assert_int_eq(budget_admit(budget, &clients[0], 0, now_ms),
			 BUDGET_OK);
	ck_assert_int_eq(budget_handle(budget, &clients[0], 0, now_ms),
			 BUDGET_OK);
	budget_answer(budget, &clients[0], MIB, now_ms);
	ck_assert_int_gt(budget_stats(budget)->held_bytes, MIB);
	ck_assert_int_eq(pass(BUDGET_GRACE_MS), 0);
	pass(BUDGET_MAX_TRANSFER_MS + 2 * BUDGET_SWEEP_MS - BUDGET_GRACE_MS);
	ck_assert_int_eq(clients[0].closing, BUDGET_ANSWER_SLOW);
}
END_TEST

/* A charge that is not returned would shrink the budget for good. */
START_TEST(nothing_is_held_once_all_have_gone)
{
	for (int i = 0; i < CLIENTS; i++)
		send_short(&clients[i], (uint32_t)i % 7);
	pass(1000);
	for (int i = 0; i < CLIENTS; i++)
		budget_close(budget, &clients[i]);
	ck_assert_int_eq(budget_stats(budget)->held_bytes, 0);
	ck_assert_int_eq(budget_stats(budget)->connections, 0);
}
END_TEST

START_TEST(bounds_follow_memory_and_descriptors)
{
	struct budget_config small = derived(160 * MIB, SMALL_HOST_FDS);
	struct budget_config large = derived((int64_t)512 * MIB, 4100);
	struct budget_config few = derived((int64_t)512 * MIB, 400);

	ck_assert_int_eq(small.max_bytes, 80 * MIB);
	ck_assert_uint_ge(small.max_connections, ORDINARY_CLIENTS * 5 / 4);
	ck_assert_uint_gt(large.max_connections, small.max_connections);
	ck_assert_uint_lt(few.max_connections, 400 / 2);
	ck_assert_int_gt(derived(32 * MIB, 0).max_connections, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("budget");
	TCase *tcase = tcase_create("budget");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, ordinary_clients_of_one_address_are_served);
	tcase_add_test(tcase, single_large_body_is_served);
	tcase_add_test(tcase,
		       request_whose_decoded_form_does_not_fit_is_refused);
	tcase_add_test(tcase, crowd_holds_no_more_than_the_bound);
	tcase_add_test(tcase, room_returns_while_the_crowd_stays);
	tcase_add_test(tcase, another_address_gets_in_beside_a_crowd);
	tcase_add_test(tcase, silent_connections_give_way);
	tcase_add_test(tcase,
		       stalled_bodies_are_closed_before_idle_connections);
	tcase_add_test(tcase, handled_request_is_never_closed);
	tcase_add_test(tcase, header_and_idle_connection_have_their_times);
	tcase_add_test(tcase, new_connection_is_late_only_if_bytes_have_come);
	tcase_add_test(tcase, body_below_the_minimum_rate_is_closed);
	tcase_add_test(tcase, body_without_progress_is_closed_after_the_grace);
	tcase_add_test(tcase, pressure_lasts_for_a_moment_after_a_refusal);
	tcase_add_test(tcase, slow_body_above_the_minimum_rate_stays);
	tcase_add_test(tcase, answer_that_is_not_read_is_closed);
	tcase_add_test(tcase, nothing_is_held_once_all_have_gone);
	tcase_add_test(tcase, bounds_follow_memory_and_descriptors);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
