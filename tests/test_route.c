/* Unit tests of the choice of workers: shares, ejection, sizes, leaving. */

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "fleet.h"
#include "record.h"
#include "route.h"
#include "suite.h"

static const char *const data_centres[] = { "suva", "lautoka", "levuka" };
static struct fleet *fleet;
static struct rnd rnd;
static int64_t now_ms;

static void setup(void)
{
	fleet = fleet_create();
	rnd_init(&rnd, 20261204);
	now_ms = 1000000;
}

static void teardown(void)
{
	fleet_destroy(fleet);
}

static void apply(const char *format, ...)
{
	static int ids;
	char fields[4096], text[8192];
	struct err err;
	struct record rec;
	va_list ap;

	va_start(ap, format);
	vsnprintf(fields, sizeof(fields), format, ap);
	va_end(ap);
	snprintf(text, sizeof(text),
		 "{\"id\":\"%032x\",\"author\":\"a\",\"at_ms\":1,%s}", ++ids,
		 fields);
	ck_assert_msg(!record_parse(&rec, text, strlen(text), &err) &&
			      !fleet_apply(fleet, fleet->next, &rec, &err),
		      "%s: %s", text, err.text);
	record_clear(&rec);
}

/*
 * Adds workers to the pool t/p, in turn to the first data_centre_count data
 * centres. Worker i has i + 1 processors.
 */
static void add_workers(int count, int data_centre_count)
{
	char hosts[2048] = "";

	for (int i = 0; i < count; i++) {
		apply("\"type\":\"host\",\"host\":\"w%d\",\"data_centre\":\"%"
		      "s\","
		      "\"rack\":\"r\",\"address\":\"127.0.0.1\",\"port\":80,"
		      "\"cpu_milli\":%d,\"mem_mib\":64,\"accelerators\":0,"
		      "\"slots\":8,\"connections\":64",
		      i, data_centres[i % data_centre_count], 1000 * (i + 1));
		snprintf(hosts + strlen(hosts), sizeof(hosts) - strlen(hosts),
			 "%s\"w%d\"", i ? "," : "", i);
	}
	apply("\"type\":\"settings\",\"team\":\"t\",\"base\":-1,\"settings\":{"
	      "\"pools\":{\"p\":{\"hosts\":[%s],\"min_available\":0}}}",
	      hosts);
}

static void join(int member)
{
	apply("\"type\":\"member\",\"member\":\"e%d\",\"incarnation\":1,"
	      "\"seq\":1,\"data_centre\":\"%s\",\"address\":\"127.0.0.1\","
	      "\"port\":1",
	      member, data_centres[member % 3]);
}

static void expire(int member)
{
	char name[16];

	snprintf(name, sizeof(name), "e%d", member);
	apply("\"type\":\"member-expired\",\"member\":\"%s\",\"incarnation\":1,"
	      "\"seen\":%lld",
	      name, (long long)fleet_member(fleet, name)->seen_offset);
}

/* Slots that a member may use when its lease expired expired_for_ms ago. */
static uint32_t slots_of(int member, int64_t expired_for_ms)
{
	struct route_capacity capacity;
	struct route *route;
	char name[16];

	snprintf(name, sizeof(name), "e%d", member);
	route = route_create(name, data_centres[member % 3], &rnd);
	route_set_lease(route, expired_for_ms);
	route_sync(route, fleet, false, NULL, 0);
	route_pool_capacity(route, "t", "p", &capacity);
	route_destroy(route);
	return capacity.slots;
}

static struct route *create(void)
{
	struct route *route = route_create("e0", "suva", &rnd);

	route_sync(route, fleet, false, NULL, 0);
	return route;
}

static int pick(struct route *route, bool idempotent, const char *excluded,
		struct route_worker **worker)
{
	const struct route_query query = { .team = "t",
					   .pool = "p",
					   .now_ms = now_ms,
					   .remote_allowed = true,
					   .idempotent = idempotent,
					   .tried_count = excluded != NULL,
					   .tried = &excluded };

	return route_pick(route, &query, worker);
}

/* Runs one request; workers with a number below failing_count fail it. */
static bool run(struct route *route, bool idempotent, int failing_count)
{
	struct route_worker *worker;
	bool fails;

	ck_assert_int_eq(pick(route, idempotent, NULL, &worker), 0);
	fails = atoi(worker->name + 1) < failing_count;
	route_done(route, worker, fails ? ROUTE_FAILED : ROUTE_ANSWERED,
		   now_ms);
	return !fails;
}

static uint32_t usable_slots(struct route *route)
{
	struct route_capacity capacity;

	route_pool_capacity(route, "t", "p", &capacity);
	return capacity.slots;
}

/*
 * Guards against slots that two members or none use, and against a member that
 * refuses everything while the pool serves. Bounds: the shares of all members
 * add up to exactly 80 slots; no member has none while another has two; when a
 * member leaves, the others lose in total at most twice the mean share plus two
 * slots, because only the slots that the hash assigned to the leaving member
 * and those moved to members without any may change owners.
 */
START_TEST(shares_cover_all_slots)
{
	uint32_t before[101] = { 0 };

	add_workers(10, 3);
	for (int count = 1; count <= 100; count++)
		join(count - 1);
	for (int count = 100; count >= 1; count--) {
		uint32_t sum = 0, lost_slots = 0, max_slots = 0, min_slots = 80;

		for (int i = 0; i < count; i++) {
			uint32_t slots = slots_of(i, 0);

			if (slots < before[i])
				lost_slots += before[i] - slots;
			if (slots > max_slots)
				max_slots = slots;
			if (slots < min_slots)
				min_slots = slots;
			before[i] = slots;
			sum += slots;
		}
		ck_assert_uint_eq(sum, 80);
		ck_assert(min_slots > 0 || max_slots < 2);
		ck_assert_uint_le(lost_slots, 2 * 80 / count + 2);
		apply("\"type\":\"member-left\",\"member\":\"e%d\","
		      "\"incarnation\":1",
		      count - 1);
	}
}
END_TEST

/*
 * Guards against uneven shares. Bound: the mean share of 400 slots and 8
 * members is 50 with a standard deviation of sqrt(400 / 8 * 7 / 8) = 6.6; each
 * share must be within four standard deviations.
 */
START_TEST(shares_are_balanced)
{
	add_workers(50, 3);
	for (int i = 0; i < 8; i++)
		join(i);
	for (int i = 0; i < 8; i++) {
		ck_assert_uint_ge(slots_of(i, 0), 24);
		ck_assert_uint_le(slots_of(i, 0), 76);
	}
}
END_TEST

/*
 * Guards against a member that refuses everything because all its shares are at
 * a worker that has just failed, while other workers of the pool serve.
 */
START_TEST(member_without_usable_share_gets_a_slot)
{
	const struct route_listed listed[] = { { "w0", false },
					       { "w1", false } };

	add_workers(2, 1);
	for (int i = 0; i < 16; i++)
		join(i);
	for (int i = 0; i < 2; i++) {
		for (int member = 0; member < 16; member++) {
			char name[16];
			struct route *route;

			snprintf(name, sizeof(name), "e%d", member);
			route = route_create(name, "suva", &rnd);
			route_sync(route, fleet, true, &listed[i], 1);
			ck_assert_uint_ge(usable_slots(route), 1);
			route_destroy(route);
		}
	}
}
END_TEST

/*
 * Guards against a retry that waits until its deadline because all of the
 * member's shares are at the worker that the request has already tried.
 */
START_TEST(retry_finds_a_slot_elsewhere)
{
	add_workers(2, 1);
	for (int i = 0; i < 16; i++)
		join(i);
	for (int member = 0; member < 16; member++) {
		const struct route_worker *tried;
		struct route_worker *worker;
		char name[16];
		struct route *route;

		snprintf(name, sizeof(name), "e%d", member);
		route = route_create(name, "suva", &rnd);
		route_sync(route, fleet, false, NULL, 0);
		ck_assert_int_eq(pick(route, true, NULL, &worker), 0);
		tried = worker;
		route_done(route, worker, ROUTE_FAILED, now_ms);
		ck_assert_int_eq(pick(route, true, tried->name, &worker), 0);
		ck_assert_ptr_ne(worker, tried);
		route_destroy(route);
	}
}
END_TEST

/* Guards against more connections than a worker allows. */
START_TEST(connections_bound_requests)
{
	add_workers(1, 1);
	apply("\"type\":\"host\",\"host\":\"w0\",\"data_centre\":\"suva\","
	      "\"rack\":\"r\",\"address\":\"127.0.0.1\",\"port\":80,"
	      "\"cpu_milli\":1,\"mem_mib\":1,\"accelerators\":0,\"slots\":8,"
	      "\"connections\":3");
	join(0);
	join(1);
	ck_assert_uint_eq(slots_of(0, 0) + slots_of(1, 0), 3);
}
END_TEST

/*
 * Guards against slots that stay assigned to members that stopped sending, and
 * against sending to a data centre whose members have all expired.
 */
START_TEST(shares_follow_leases)
{
	add_workers(9, 3);
	ck_assert_uint_eq(slots_of(0, 0), 72); /* not a member */
	for (int i = 0; i < 6; i++)
		join(i);
	/* Suva has w0, w3 and w6, and the members e0 and e3. */
	ck_assert_uint_lt(slots_of(0, 1) + slots_of(3, 1), 24);
	ck_assert_uint_eq(slots_of(0, LIMIT_EXPIRE_MS) +
				  slots_of(3, LIMIT_EXPIRE_MS),
			  24);
	expire(1);
	expire(4);
	/* Only Lautoka's own members send to its workers. */
	ck_assert_uint_eq(slots_of(0, 0) + slots_of(2, 0) + slots_of(3, 0) +
				  slots_of(5, 0),
			  48);
	ck_assert_uint_eq(slots_of(1, LIMIT_EXPIRE_MS) +
				  slots_of(4, LIMIT_EXPIRE_MS),
			  24);
}
END_TEST

/*
 * Guards against ejecting more than a third of a pool, and against a worker
 * that fails everything and still attracts load because it is idle.
 */
START_TEST(ejection_is_bounded)
{
	static const uint32_t limits[] = { 0, 0, 1, 1, 1, 1, 2 };
	struct route_worker *worker;
	int failed = 0;

	add_workers(_i, 1);
	struct route *route = create();

	for (int i = 0; i < 3000; i++)
		failed += !run(route, false, (int)limits[_i] + (_i > 2));
	ck_assert_uint_eq(usable_slots(route), 8 * (_i - limits[_i]));
	/* One more worker fails than may be ejected; it is idle, while the
	   others are not. */
	for (int i = 0; _i > 2 && i < 3; i++) {
		ck_assert_int_eq(pick(route, false, NULL, &worker), 0);
		ck_assert_int_gt(atoi(worker->name + 1), (int)limits[_i]);
	}
	if (_i > 2)
		ck_assert_int_lt(failed, 3000 / _i);
	route_destroy(route);
}
END_TEST

/*
 * Guards against probing with a non-idempotent request, several probes at a
 * time, and intervals between probes that do not grow.
 */
START_TEST(probes_are_single_and_back_off)
{
	struct route_worker *worker, *other;
	int64_t last_ms = 0, last_gap_ms = 0;
	int probes = 0;

	add_workers(3, 1);
	struct route *route = create();

	while (usable_slots(route) == 24)
		run(route, false, 1);
	while (probes < 5) {
		now_ms += 10;
		ck_assert(run(route, false, 1));
		ck_assert_int_eq(pick(route, true, NULL, &worker), 0);
		if (strcmp(worker->name, "w0") == 0) {
			ck_assert_int_eq(pick(route, true, NULL, &other), 0);
			ck_assert_str_ne(other->name, "w0");
			route_done(route, other, ROUTE_ANSWERED, now_ms);
			route_done(route, worker, ROUTE_FAILED, now_ms);
			ck_assert_int_gt(now_ms - last_ms, last_gap_ms);
			last_gap_ms = probes++ ? now_ms - last_ms : 0;
			last_ms = now_ms;
		} else {
			route_done(route, worker, ROUTE_ANSWERED, now_ms);
		}
	}
	ck_assert_int_eq(route_stats(route)->probes, probes);
	now_ms += 10 * last_gap_ms;
	ck_assert(run(route, true, 0));
	ck_assert_uint_eq(usable_slots(route), 24);
	route_destroy(route);
}
END_TEST

/* Guards against ejecting workers because of requests that always fail. */
START_TEST(failing_requests_eject_no_worker)
{
	struct route_worker *first, *second;

	add_workers(6, 1);
	struct route *route = create();

	for (int i = 0; i < 500; i++) {
		ck_assert_int_eq(pick(route, true, NULL, &first), 0);
		route_done(route, first, ROUTE_FAILED, now_ms);
		ck_assert_int_eq(pick(route, true, first->name, &second), 0);
		route_done(route, second, ROUTE_FAILED, now_ms);
		route_undo_failure(route, first->name);
		route_undo_failure(route, second->name);
		ck_assert_uint_eq(usable_slots(route), 48);
	}
	ck_assert_int_eq(route_stats(route)->failures_undone, 1000);
	route_destroy(route);
}
END_TEST

/*
 * Guards against sending requests to a worker that reported that it is leaving,
 * is drained, or is listed as leaving.
 */
START_TEST(leaving_worker_gets_no_requests)
{
	const struct route_listed listed[] = { { "w0", true },
					       { "w1", false } };
	struct route_worker *worker;
	int64_t avoided_ms[2];

	add_workers(2, 1);
	struct route *route = create();

	for (int k = 0; k < 2; k++) {
		do {
			ck_assert_int_eq(pick(route, true, NULL, &worker), 0);
			route_done(route, worker,
				   worker->name[1] == '0' ? ROUTE_LEAVING
							  : ROUTE_ANSWERED,
				   now_ms);
		} while (worker->name[1] != '0');
		for (avoided_ms[k] = 0;; avoided_ms[k] += 100, now_ms += 100) {
			ck_assert_int_eq(pick(route, true, "w1", &worker),
					 pick(route, true, "w1", &worker));
			if (pick(route, true, "w1", &worker) == 0)
				break;
		}
		while (worker->in_flight)
			route_done(route, worker, ROUTE_REFUSED, now_ms - 2000);
	}
	ck_assert_int_gt(avoided_ms[0], 3000);
	ck_assert_int_gt(avoided_ms[1], avoided_ms[0]);
	now_ms += 100000;
	route_sync(route, fleet, true, listed, 2);
	ck_assert_int_eq(pick(route, true, "w1", &worker), ERR_NO_WORKER);
	apply("\"type\":\"drain\",\"host\":\"w1\",\"reason\":\"x\"");
	route_sync(route, fleet, true, listed, 2);
	ck_assert_int_eq(pick(route, true, NULL, &worker), ERR_NO_WORKER);
	route_destroy(route);
}
END_TEST

/*
 * Guards against a request at a worker that is too small, and against waiting
 * for a worker size that the pool does not have.
 */
START_TEST(sizes_exclude_small_workers)
{
	struct route_query query = { .team = "t",
				     .pool = "p",
				     .remote_allowed = true,
				     .cpu_milli = 3000 };
	struct route_worker *worker;
	char text[ERR_TEXT_BYTES];

	add_workers(3, 1);
	struct route *route = create();

	for (int i = 0; i < 8; i++) {
		ck_assert_int_eq(route_pick(route, &query, &worker), 0);
		ck_assert_str_eq(worker->name, "w2");
	}
	ck_assert_int_eq(route_pick(route, &query, &worker), ERR_OVERLOAD);
	query.cpu_milli = 3001;
	ck_assert_int_eq(route_pick(route, &query, &worker), ERR_NO_FIT);
	ck_assert_int_eq(route_stats(route)->no_fit, 1);
	route_largest_text(route, "t", "p", text, sizeof(text));
	ck_assert_ptr_nonnull(strstr(text, "Plank-Cpu-Milli 3000"));
	route_destroy(route);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("route");
	TCase *tcase = tcase_create("route");
	int status;

	apr_initialize();
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, shares_cover_all_slots);
	tcase_add_test(tcase, shares_are_balanced);
	tcase_add_test(tcase, member_without_usable_share_gets_a_slot);
	tcase_add_test(tcase, retry_finds_a_slot_elsewhere);
	tcase_add_test(tcase, connections_bound_requests);
	tcase_add_test(tcase, shares_follow_leases);
	tcase_add_loop_test(tcase, ejection_is_bounded, 1, 7);
	tcase_add_test(tcase, probes_are_single_and_back_off);
	tcase_add_test(tcase, failing_requests_eject_no_worker);
	tcase_add_test(tcase, leaving_worker_gets_no_requests);
	tcase_add_test(tcase, sizes_exclude_small_workers);
	suite_add_tcase(suite, tcase);
	status = suite_run(suite);
	apr_terminate();
	return status;
}
