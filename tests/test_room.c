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

int main(void)
{
	Suite *suite = suite_create("room");
	TCase *tcase = tcase_create("room of workers");
	SRunner *runner = srunner_create(suite);
	int failed;

	apr_initialize();
	log_init("test_room", true);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, largest_request_does_not_fit_beside_others);
	suite_add_tcase(suite, tcase);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed != 0;
}
