/* Unit tests of the queues of requests: order, shedding, expiry and limits. */

#include <check.h>
#include <stdlib.h>

#include <apr_general.h>

#include "admit.h"
#include "rnd.h"
#include "suite.h"

enum { DISTANT_DEADLINE_MS = 1000000, MAX_ENTRIES = 64 };

static struct admit *admit;
static struct admit_pool *pool;
static struct admit_entry entries[MAX_ENTRIES];
static uint32_t entry_count;
static int64_t retry_ms;

static void set_up(void)
{
	admit = admit_create(&admit_standard);
	pool = admit_pool(admit, "crew-shares", "payouts");
	entry_count = 0;
}

static void tear_down(void)
{
	admit_destroy(admit);
}

static struct admit_entry *new_entry(enum admit_priority priority,
				     int64_t deadline_ms)
{
	struct admit_entry *entry = &entries[entry_count++];

	ck_assert_uint_le(entry_count, MAX_ENTRIES);
	*entry = (struct admit_entry){
		.pool = pool,
		.priority = priority,
		.deadline_ms = deadline_ms,
	};
	return entry;
}

static struct admit_entry *push(enum admit_priority priority, int64_t now_ms)
{
	struct admit_entry *entry =
		new_entry(priority, now_ms + DISTANT_DEADLINE_MS);

	ck_assert_int_eq(admit_push(admit, entry, now_ms, &retry_ms), 0);
	return entry;
}

/* Takes all requests that may start; returns their number. */
static uint32_t take_all_at(struct admit_pool *from, int64_t now_ms)
{
	uint32_t count = 0;

	while (admit_take(admit, from, now_ms))
		count++;
	return count;
}

static uint32_t take_all(struct admit_pool *from)
{
	return take_all_at(from, 0);
}

/* Guards against long or normal requests that occupy every slot. */
START_TEST(test_slots_by_priority)
{
	static const struct {
		uint32_t slots, long_count, normal_or_long_count;
	} cases[] = { { 0, 0, 0 }, { 1, 1, 1 }, { 3, 1, 3 },
		      { 4, 2, 3 }, { 8, 4, 7 }, { 24, 12, 21 } };

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		tear_down();
		set_up();
		admit_set_slots(pool, cases[i].slots, 0);
		for (int k = 0; k < 14; k++)
			push(ADMIT_LONG, 0);
		ck_assert_uint_eq(take_all(pool), cases[i].long_count);
		for (int k = 0; k < 24; k++)
			push(ADMIT_NORMAL, 0);
		ck_assert_uint_eq(take_all(pool),
				  cases[i].normal_or_long_count -
					  cases[i].long_count);
		for (int k = 0; k < 24; k++)
			push(ADMIT_URGENT, 0);
		ck_assert_uint_eq(take_all(pool),
				  cases[i].slots -
					  cases[i].normal_or_long_count);
	}
}
END_TEST

/* Guards against urgent requests behind others, and starving long requests. */
START_TEST(test_order)
{
	struct admit_entry *old = push(ADMIT_LONG, 0);
	struct admit_entry *normal = push(ADMIT_NORMAL, 1);
	struct admit_entry *urgent = push(ADMIT_URGENT, 2);
	struct admit_entry *next = push(ADMIT_NORMAL, 3);

	admit_set_slots(pool, 8, 0);
	ck_assert_ptr_eq(admit_take(admit, pool, 4), urgent);
	ck_assert_ptr_eq(admit_take(admit, pool, LIMIT_LONG_WAIT_MS - 1),
			 normal);
	ck_assert_ptr_eq(admit_take(admit, pool, LIMIT_LONG_WAIT_MS), old);
	/* A retry is queued after its attempt has ended. */
	admit_end(admit, normal, false, 5);
	admit_push_front(admit, normal);
	ck_assert_ptr_eq(admit_take(admit, pool, LIMIT_LONG_WAIT_MS), normal);
	ck_assert_ptr_eq(admit_take(admit, pool, LIMIT_LONG_WAIT_MS), next);
	ck_assert_ptr_null(admit_take(admit, pool, LIMIT_LONG_WAIT_MS));
	ck_assert_uint_eq(admit_in_flight(admit), 4);
}
END_TEST

/* Guards against queueing a request that cannot start before its deadline. */
START_TEST(test_expected_wait)
{
	struct admit_entry *first, *second, *late;

	admit_set_slots(pool, 2, 0);
	first = push(ADMIT_NORMAL, 0);
	admit_take(admit, pool, 0);
	admit_end(admit, first, true, 1000);
	first = push(ADMIT_NORMAL, 1000);
	second = push(ADMIT_NORMAL, 1000);
	take_all_at(pool, 1000);
	for (int i = 0; i < 8; i++)
		push(ADMIT_NORMAL, 1000);
	/* Nine runs of 1 s each in two slots. */
	late = new_entry(ADMIT_NORMAL, 1000 + 4499);
	ck_assert_int_eq(admit_push(admit, late, 1000, &retry_ms),
			 ERR_OVERLOAD);
	ck_assert_int_eq(retry_ms, 4500);
	ck_assert_int_eq(late->state, ADMIT_IDLE);
	late->deadline_ms = 1000 + 4500;
	ck_assert_int_eq(admit_push(admit, late, 1000, &retry_ms), 0);
	/* An urgent one does not wait for the normal ones in the queue. */
	ck_assert_int_eq(admit_expected_wait(pool, ADMIT_URGENT), 500);
	/* Fast failures do not reduce the expected wait. */
	admit_end(admit, first, false, 1001);
	admit_end(admit, second, false, 1001);
	take_all_at(pool, 1001);
	ck_assert_int_eq(admit_expected_wait(pool, ADMIT_NORMAL), 4000);
}
END_TEST

/* Guards against refusing normal requests when many urgent ones run. */
START_TEST(test_many_urgent)
{
	struct admit_entry *first[] = { push(ADMIT_URGENT, 0),
					push(ADMIT_NORMAL, 0) };

	admit_set_slots(pool, 8, 0);
	take_all(pool);
	admit_end(admit, first[0], true, 70);
	admit_end(admit, first[1], true, 70);
	for (int i = 0; i < 8; i++)
		push(ADMIT_URGENT, 100);
	ck_assert_uint_eq(take_all(pool), 8);
	for (int i = 0; i < 6; i++)
		push(ADMIT_NORMAL, 100);
	/* Fifteen runs of 70 ms each in the seven unreserved slots. */
	ck_assert_int_eq(admit_expected_wait(pool, ADMIT_NORMAL), 150);
}
END_TEST

static uint32_t expired_count;

static void count_expired(void *arg, struct admit_entry *entry)
{
	ck_assert_ptr_eq(arg, &expired_count);
	ck_assert_int_eq(entry->state, ADMIT_IDLE);
	expired_count++;
}

/* Guards against expired or cancelled requests that still count as queued. */
START_TEST(test_expiry_and_removal)
{
	struct admit_entry *kept[2];

	admit_set_slots(pool, 2, 0);
	for (int i = 0; i < 3; i++)
		ck_assert_int_eq(admit_push(admit,
					    new_entry(ADMIT_URGENT, 100 + i), 0,
					    &retry_ms),
				 0);
	kept[0] = push(ADMIT_URGENT, 0);
	admit_remove(admit, push(ADMIT_URGENT, 0));
	kept[1] = push(ADMIT_URGENT, 0);
	expired_count = 0;
	admit_expire(admit, 99, count_expired, &expired_count);
	ck_assert_uint_eq(expired_count, 0);
	admit_expire(admit, 101, count_expired, &expired_count);
	ck_assert_uint_eq(expired_count, 2);
	admit_expire(admit, 102, count_expired, &expired_count);
	ck_assert_uint_eq(expired_count, 3);
	ck_assert_uint_eq(admit_queued(admit, ADMIT_URGENT), 2);
	ck_assert_ptr_eq(admit_take(admit, pool, 0), kept[0]);
	ck_assert_ptr_eq(admit_take(admit, pool, 0), kept[1]);
	admit_end(admit, kept[0], true, 5);
	admit_end(admit, kept[0], true, 5);
	ck_assert_uint_eq(admit_in_flight(admit), 1);
}
END_TEST

/* Guards against queues that exhaust the memory or exclude urgent requests. */
START_TEST(test_bounds)
{
	static const uint32_t max_queued[] = { LIMIT_QUEUE_REQUESTS,
					       LIMIT_QUEUE_REQUESTS / 8 * 7,
					       LIMIT_QUEUE_REQUESTS / 2 };
	struct admit_entry *requests =
		calloc(LIMIT_QUEUE_REQUESTS + 1, sizeof(*requests));
	struct admit_entry large = { .pool = pool,
				     .deadline_ms = DISTANT_DEADLINE_MS };
	uint32_t queued = 0;

	for (int i = ADMIT_LONG; i >= ADMIT_URGENT; i--) {
		for (;; queued++) {
			requests[queued] = (struct admit_entry){
				.pool = pool,
				.priority = (enum admit_priority)i,
				.deadline_ms = DISTANT_DEADLINE_MS,
			};
			if (admit_push(admit, &requests[queued], 0, &retry_ms) <
			    0)
				break;
		}
		ck_assert_uint_eq(queued, max_queued[i]);
	}
	for (uint32_t i = 0; i < queued; i++)
		admit_remove(admit, &requests[i]);
	large.bytes = LIMIT_QUEUE_BYTES + 1;
	ck_assert_int_eq(admit_push(admit, &large, 0, &retry_ms), ERR_OVERLOAD);
	large.bytes = LIMIT_QUEUE_BYTES;
	ck_assert_int_eq(admit_push(admit, &large, 0, &retry_ms), 0);
	free(requests);
}
END_TEST

/* Guards against a team that exceeds its quota over all its pools. */
START_TEST(test_quota)
{
	struct admit_pool *other = admit_pool(admit, "crew-shares", "advances");

	admit_set_slots(pool, 8, 0);
	admit_set_slots(other, 8, 0);
	admit_set_quota(pool, 3);
	for (int i = 0; i < 4; i++)
		push(ADMIT_URGENT, 0);
	ck_assert_uint_eq(take_all(pool), 3);
	pool = other;
	push(ADMIT_URGENT, 0);
	ck_assert_uint_eq(take_all(other), 0);
	admit_end(admit, &entries[0], true, 10);
	ck_assert_uint_eq(take_all(other), 1);
	admit_set_quota(other, 0);
	pool = admit_pool(admit, "crew-shares", "payouts");
	ck_assert_uint_eq(take_all(pool), 1);
}
END_TEST

/* Guards against requests at leaving workers that reduce the other slots. */
START_TEST(test_leaving_workers)
{
	admit_set_slots(pool, 8, 0);
	for (int i = 0; i < 12; i++)
		push(ADMIT_URGENT, 0);
	ck_assert_uint_eq(take_all(pool), 8);
	admit_set_slots(pool, 4, 3);
	ck_assert_uint_eq(take_all(pool), 1);
}
END_TEST

struct results {
	int64_t urgent_wait_ms;
	uint32_t longs_done;
};

/*
 * Offers five times the capacity of 16 slots for a minute, in steps of 10 ms,
 * with seed 7.
 */
static struct results run_overload(const struct admit_policy *policy)
{
	enum { SLOTS = 16, STEP_MS = 10, END_MS = 60000, MAX_REQUESTS = 20000 };
	static const int64_t run_ms[] = { 50, 100, 2000 };
	static const int64_t deadline_ms[] = { 60000, 60000, 600000 };
	struct admit_entry *all = calloc(MAX_REQUESTS, sizeof(*all));
	struct admit_entry *running[SLOTS] = { 0 };
	int64_t ends_ms[SLOTS];
	struct results results = { 0 };
	uint32_t count = 0;
	struct rnd rnd;

	rnd_init(&rnd, 7);
	tear_down();
	admit = admit_create(policy);
	pool = admit_pool(admit, "crew-shares", "payouts");
	admit_set_slots(pool, SLOTS, 0);
	for (int64_t now_ms = 0; now_ms < END_MS; now_ms += STEP_MS) {
		uint32_t long_count = 0;

		/* Requests per 1000 steps: each step brings 800 ms of work on
		   average, of which 50 ms are urgent and 150 ms normal. */
		for (int i = 0; i < ADMIT_PRIORITIES; i++) {
			static const uint32_t per_mille[] = { 1000, 1500, 300 };
			uint32_t n =
				per_mille[i] / 1000 +
				(rnd_below(&rnd, 1000) < per_mille[i] % 1000);

			while (n-- > 0 && count < MAX_REQUESTS) {
				all[count] = (struct admit_entry){
					.pool = pool,
					.priority = (enum admit_priority)i,
					.deadline_ms = now_ms + deadline_ms[i],
				};
				admit_push(admit, &all[count++], now_ms,
					   &retry_ms);
			}
		}
		for (int i = 0; i < SLOTS; i++) {
			if (running[i] && ends_ms[i] <= now_ms) {
				results.longs_done +=
					running[i]->priority == ADMIT_LONG;
				admit_end(admit, running[i], true, now_ms);
				running[i] = NULL;
			}
			if (!running[i] &&
			    (running[i] = admit_take(admit, pool, now_ms))) {
				int64_t wait_ms =
					now_ms - running[i]->queued_ms;

				ends_ms[i] =
					now_ms + run_ms[running[i]->priority];
				if (running[i]->priority == ADMIT_URGENT &&
				    wait_ms > results.urgent_wait_ms)
					results.urgent_wait_ms = wait_ms;
			}
			long_count += running[i] &&
				      running[i]->priority == ADMIT_LONG;
		}
		if (policy == &admit_standard)
			ck_assert_uint_le(long_count, SLOTS / 2);
	}
	free(all);
	return results;
}

/* Guards against long urgent waits and starving long requests in overload. */
START_TEST(test_overload)
{
	struct results standard = run_overload(&admit_standard);
	struct results round_robin = run_overload(&admit_round_robin);

	ck_assert_int_le(standard.urgent_wait_ms, 6000);
	ck_assert_uint_ge(standard.longs_done, 100);
	ck_assert_int_gt(round_robin.urgent_wait_ms, 6000);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("admit");
	TCase *tcase = tcase_create("admit");

	apr_initialize();
	tcase_add_checked_fixture(tcase, set_up, tear_down);
	tcase_add_test(tcase, test_slots_by_priority);
	tcase_add_test(tcase, test_order);
	tcase_add_test(tcase, test_expected_wait);
	tcase_add_test(tcase, test_many_urgent);
	tcase_add_test(tcase, test_expiry_and_removal);
	tcase_add_test(tcase, test_bounds);
	tcase_add_test(tcase, test_quota);
	tcase_add_test(tcase, test_leaving_workers);
	tcase_add_test(tcase, test_overload);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
