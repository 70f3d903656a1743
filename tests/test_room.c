/*
 * Unit tests of the room of workers: capacities as workers write them, and
 * what is placed on them. None uses a network or a clock.
 */

#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "log.h"
#include "place.h"
#include "pool_fixture.h"
#include "suite.h"
#include "wire.h"

enum { NOW_MS = 1000 };

static struct pool_fixture fixture;

static void setup(void)
{
	pool_fixture_setup(&fixture);
}

static void teardown(void)
{
	pool_fixture_teardown(&fixture);
}

static struct place place_now(void)
{
	return (struct place){
		.share = { "pool", 0, 1 },
		.cfg = fixture.cfg,
		.jobs = fixture.jobs,
		.workers = fixture.workers,
		.now_ms = NOW_MS,
		.wall_ms = NOW_MS,
	};
}

static uint32_t place_all(void)
{
	struct place place = place_now();

	place_account(&place);
	return place_tasks(&place).placed;
}

/*
 * A task that is larger than any worker must not be placed beside another one:
 * the sum of both requests exceeds 32 bits.
 */
START_TEST(largest_request_does_not_fit_beside_others)
{
	pool_fixture_add_worker(&fixture, "w1", NULL, 4000);
	pool_fixture_submit(&fixture, "0000000000000001",
			    "{\"spec\":\"t\",\"steps\":[{\"count\":1,"
			    "\"cpu\":1000,\"memMb\":100}]}");
	ck_assert_uint_eq(place_all(), 1);
	pool_fixture_submit(&fixture, "0000000000000002",
			    "{\"spec\":\"t\",\"steps\":[{\"count\":1,"
			    "\"cpu\":2147483647}]}");
	ck_assert_uint_eq(place_all(), 0);
	pool_fixture_submit(&fixture, "0000000000000003",
			    "{\"spec\":\"t\",\"steps\":[{\"count\":1,"
			    "\"memMb\":2147483647}]}");
	ck_assert_uint_eq(place_all(), 0);
}
END_TEST

/* GPUs must be kept apart from processors, and counted when they shrink. */
START_TEST(tasks_use_no_more_gpus_than_the_worker_has)
{
	struct worker *worker =
		pool_fixture_add_worker(&fixture, "w1", NULL, 4000);

	worker->entry.gpu = 2;
	pool_fixture_submit(&fixture, "0000000000000001",
			    "{\"spec\":\"t\",\"steps\":[{\"count\":3,"
			    "\"gpu\":1}]}");
	ck_assert_uint_eq(place_all(), 2);
	ck_assert(!place_is_over_capacity(worker));
	worker->entry.gpu = 1;
	ck_assert(place_is_over_capacity(worker));
	ck_assert_uint_eq(place_all(), 0);
	worker->entry.gpu = 3;
	ck_assert_uint_eq(place_all(), 1);
}
END_TEST

/* Tasks that fill must not be limited by processor time, nor exceed memory. */
START_TEST(tasks_that_fill_use_memory_only)
{
	struct worker *worker =
		pool_fixture_add_worker(&fixture, "w1", NULL, 1000);

	pool_fixture_submit(&fixture, "0000000000000001",
			    "{\"spec\":\"t\",\"steps\":[{\"count\":5,"
			    "\"cpu\":2000,\"memMb\":250,\"fills\":true}]}");
	ck_assert_uint_eq(place_all(), 4);
	ck_assert_int_eq(worker->cpu_used_milli, 0);
	worker->entry.mem_mib = 500;
	ck_assert(place_is_over_capacity(worker));
	ck_assert_uint_eq(place_all(), 0);
}
END_TEST

/* Decodes a registry entry with this capacity; false if it is rejected. */
static bool decode_capacity(const char *capacity, struct worker_entry *entry)
{
	struct err err = { .kind = ERR_OK };
	char *text = g_strdup_printf(
		"{\"service\":\"pool\",\"addr\":\"10.0.0.1:80\","
		"\"zone\":\"z\",\"state\":\"ready\",\"born\":5%s}",
		capacity);
	int status = wire_decode_worker("w1", text, strlen(text), entry, &err);

	g_free(text);
	return status == 0;
}

/*
 * A capacity that is not a number must not be used, and one beyond 32 bits must
 * not turn into a small or a negative one.
 */
START_TEST(capacities_are_read_as_written)
{
	static const struct {
		const char *text;
		bool valid;
		int32_t cpu_milli;
		int32_t mem_mib;
		int32_t gpu;
	} cases[] = {
		{ ",\"capacity\":{\"cpu\":8000,\"memMb\":64,\"gpu\":2}", true,
		  8000, 64, 2 },
		{ ",\"capacity\":{\"cpu\":8000,\"memMb\":64}", true, 8000, 64,
		  0 },
		{ ",\"capacity\":{\"cpu\":0,\"memMb\":0,\"gpu\":0}", true, 0, 0,
		  0 },
		{ ",\"capacity\":{\"cpu\":1e3,\"memMb\":64.5}", true, 1000, 64,
		  0 },
		{ ",\"capacity\":{\"cpu\":4294967297,\"memMb\":6442450945}",
		  true, INT32_MAX, INT32_MAX, 0 },
		{ ",\"capacity\":{\"cpu\":1e300,\"memMb\":9e99,"
		  "\"gpu\":98765432109876543210}",
		  true, INT32_MAX, INT32_MAX, INT32_MAX },
		{ "", false, 0, 0, 0 },
		{ ",\"capacity\":8000", false, 0, 0, 0 },
		{ ",\"capacity\":[8000,64,0]", false, 0, 0, 0 },
		{ ",\"capacity\":{\"memMb\":64}", false, 0, 0, 0 },
		{ ",\"capacity\":{\"cpu\":\"8000\",\"memMb\":64}", false, 0, 0,
		  0 },
		{ ",\"capacity\":{\"cpu\":8000,\"memMb\":null}", false, 0, 0,
		  0 },
		{ ",\"capacity\":{\"cpu\":NaN,\"memMb\":64}", false, 0, 0, 0 },
		{ ",\"capacity\":{\"cpu\":-1,\"memMb\":64}", false, 0, 0, 0 },
		{ ",\"capacity\":{\"cpu\":8000,\"memMb\":-4294967295}", false,
		  0, 0, 0 },
		{ ",\"capacity\":{\"cpu\":8000,\"memMb\":64,\"gpu\":-1}", false,
		  0, 0, 0 },
		{ ",\"capacity\":{\"cpu\":8000,\"memMb\":64,\"gpu\":\"2\"}",
		  false, 0, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct worker_entry entry;

		ck_assert_msg(decode_capacity(cases[i].text, &entry) ==
				      cases[i].valid,
			      "%s", cases[i].text);
		if (!cases[i].valid)
			continue;
		ck_assert_msg(entry.cpu_milli == cases[i].cpu_milli &&
				      entry.mem_mib == cases[i].mem_mib &&
				      entry.gpu == cases[i].gpu,
			      "%s: %d %d %d", cases[i].text, entry.cpu_milli,
			      entry.mem_mib, entry.gpu);
	}
}
END_TEST

/* A request beyond 32 bits must not turn into a small one, which would fit. */
START_TEST(requests_beyond_32_bits_do_not_fit)
{
	pool_fixture_add_worker(&fixture, "w1", NULL, 4000);
	pool_fixture_submit(&fixture, "0000000000000001",
			    "{\"spec\":\"t\",\"steps\":[{\"count\":1,"
			    "\"cpu\":4294967297}]}");
	pool_fixture_submit(&fixture, "0000000000000002",
			    "{\"spec\":\"t\",\"steps\":[{\"count\":1,"
			    "\"memMb\":1e300}]}");
	pool_fixture_submit(&fixture, "0000000000000003",
			    "{\"spec\":\"t\",\"steps\":[{\"count\":1,"
			    "\"gpu\":4294967296}]}");
	ck_assert_uint_eq(place_all(), 0);
}
END_TEST

static void set_capacity(const char *id, int32_t cpu_milli)
{
	struct worker_entry entry = worker_find(fixture.workers, id)->entry;

	entry.cpu_milli = cpu_milli;
	worker_put(fixture.workers, &entry);
}

/*
 * Callers must not be promised capacity that has shrunk: it is no parked host
 * that can be had.
 */
START_TEST(backlog_does_not_count_shrunk_capacity_as_parked)
{
	struct place place = place_now();
	int64_t all_milli;

	pool_fixture_add_worker(&fixture, "w1", NULL, 4000);
	pool_fixture_add_worker(&fixture, "w2", NULL, 4000);
	pool_fixture_submit(&fixture, "0000000000000001",
			    "{\"spec\":\"t\",\"steps\":[{\"count\":8,"
			    "\"cpu\":1000,\"estMs\":1000}]}");
	all_milli = place_listed_milli(fixture.workers);
	ck_assert_int_eq(place_backlog_ms(&place, INT64_MAX, all_milli), 1000);
	set_capacity("w1", 0);
	ck_assert_int_eq(place_backlog_ms(&place, INT64_MAX, all_milli), 2000);
	ck_assert_int_eq(place_listed_milli(fixture.workers), all_milli);
	/* A parked host still counts, and so does capacity that has grown. */
	worker_unlist(fixture.workers, "w1");
	ck_assert_int_eq(place_backlog_ms(&place, INT64_MAX, all_milli), 1000);
	set_capacity("w1", 4000);
	ck_assert_int_eq(place_backlog_ms(&place, INT64_MAX, all_milli), 1000);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("room");
	TCase *tcase = tcase_create("room of workers");

	apr_initialize();
	log_init("test_room", true);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, largest_request_does_not_fit_beside_others);
	tcase_add_test(tcase, tasks_use_no_more_gpus_than_the_worker_has);
	tcase_add_test(tcase, tasks_that_fill_use_memory_only);
	tcase_add_test(tcase, capacities_are_read_as_written);
	tcase_add_test(tcase, requests_beyond_32_bits_do_not_fit);
	tcase_add_test(tcase, backlog_does_not_count_shrunk_capacity_as_parked);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
