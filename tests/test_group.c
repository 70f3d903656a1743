/*
 * Unit tests of the membership of a group. They use no network. They guard
 * against members that give up their parts, or keep parts of others, while
 * answers to their joins are lost or overtake each other.
 */

#include <apr_general.h>
#include <check.h>

#include "group.h"
#include "log.h"
#include "suite.h"

enum {
	START_MS = 100000,
	STEP_MS = 10,
	TTL_MS = 1500,
	RENEW_MS = 400,
	ANSWER_MS = 5,
	/* An answer to a join is missed by then. */
	MISSED_MS = 300,
	MAX_CALLS = 64
};

struct call {
	int64_t sent_ms;
	int64_t generation;   /* that the join names */
	stream_member_fn *fn; /* NULL: it has ended */
	void *arg;
};

static struct clk clk;
static struct call calls[MAX_CALLS];
static int call_count;
static int leaves;

static void fake_join(void *io, const struct stream_join *join,
		      stream_member_fn *fn, void *arg)
{
	(void)io;
	ck_assert_int_lt(call_count, MAX_CALLS);
	calls[call_count++] =
		(struct call){ clk.manual_ms, join->generation, fn, arg };
}

static void fake_leave(void *io, const struct stream_join *join)
{
	(void)io;
	(void)join;
	leaves++;
}

static const struct stream_io io = { .join = fake_join, .leave = fake_leave };

static struct group *new_group(void)
{
	struct group_config config = {
		.io = &io,
		.clk = &clk,
		.name = "owners",
		.member = "m",
		.topic = "pools",
		.ttl_ms = TTL_MS,
		.renew_ms = RENEW_MS,
	};

	clk = clk_manual(START_MS);
	call_count = 0;
	leaves = 0;
	return group_create(&config);
}

static void run_for(struct group *group, int64_t ms)
{
	for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += STEP_MS) {
		clk.manual_ms += STEP_MS;
		group_tick(group);
	}
}

static void finish(int number, enum stream_outcome outcome, int64_t generation,
		   int32_t part)
{
	struct stream_membership membership = {
		.outcome = outcome,
		.generation = generation,
		.part_count = outcome == STREAM_OK,
		.parts = &part,
	};
	struct call *call = &calls[number];
	stream_member_fn *fn = call->fn;

	ck_assert(fn);
	call->fn = NULL;
	fn(call->arg, &membership);
}

static void finish_rest(void)
{
	for (int i = 0; i < call_count; i++)
		if (calls[i].fn)
			finish(i, STREAM_UNKNOWN, 0, 0);
}

/* A member that has joined and holds part 1 of generation 5. */
static struct group *joined_group(void)
{
	struct group *group = new_group();

	group_tick(group);
	clk.manual_ms += ANSWER_MS;
	finish(0, STREAM_OK, 5, 1);
	ck_assert(group_has_part(group, 1));
	return group;
}

/* A lost answer was missed after 700 ms only; two of them ended the
   membership. */
START_TEST(lost_answer_is_asked_for_again_soon)
{
	struct group *group = joined_group();
	int before;

	run_for(group, RENEW_MS);
	before = call_count;
	ck_assert_int_eq(before, 2);
	run_for(group, MISSED_MS);
	ck_assert_int_gt(call_count, before);
	finish_rest();
	group_destroy(group);
}
END_TEST

/* A member whose joins are answered must not join more often. */
START_TEST(answered_joins_are_not_repeated)
{
	struct group *group = joined_group();

	for (int i = 1; i <= 10; i++) {
		run_for(group, RENEW_MS);
		ck_assert_int_eq(call_count, i + 1);
		clk.manual_ms += ANSWER_MS;
		finish(i, STREAM_OK, 5, 1);
	}
	group_destroy(group);
}
END_TEST

/* The log counts the membership from the arrival of the join; a late answer
   says nothing about the time since. */
START_TEST(authority_counts_from_the_join_that_was_answered)
{
	struct group *group = joined_group();

	run_for(group, RENEW_MS);
	run_for(group, MISSED_MS);
	finish(1, STREAM_OK, 5, 1);
	ck_assert_int_eq(group_authority_end_ms(group),
			 calls[1].sent_ms + TTL_MS);
	finish_rest();
	group_destroy(group);
}
END_TEST

/* An answer that was overtaken must not bring back parts that were taken away,
   nor shorten the authority. */
START_TEST(overtaken_answer_changes_nothing)
{
	struct group *group = joined_group();
	int64_t end_ms;
	int last;

	run_for(group, RENEW_MS);
	run_for(group, MISSED_MS);
	last = call_count - 1;
	ck_assert_int_gt(last, 1);
	finish(last, STREAM_OK, 7, 2);
	end_ms = group_authority_end_ms(group);
	finish(1, STREAM_OK, 6, 1);
	ck_assert(group_has_part(group, 2));
	ck_assert(!group_has_part(group, 1));
	ck_assert_int_eq(group_generation(group), 7);
	ck_assert_int_eq(group_authority_end_ms(group), end_ms);
	finish_rest();
	group_destroy(group);
}
END_TEST

/* A join in flight would make the node a member again after it has left. */
START_TEST(group_is_left_after_all_joins_have_ended)
{
	struct group *group = joined_group();

	run_for(group, RENEW_MS);
	run_for(group, MISSED_MS);
	group_set_wanted(group, false);
	group_tick(group);
	ck_assert_int_eq(leaves, 0);
	finish(call_count - 1, STREAM_OK, 5, 1);
	finish_rest();
	group_tick(group);
	ck_assert_int_eq(leaves, 1);
	ck_assert(!group_has_part(group, 1));
	group_destroy(group);
}
END_TEST

/* Joins that end after the group was destroyed must find no freed group. */
START_TEST(group_is_destroyed_with_joins_in_flight)
{
	struct group *group = joined_group();

	run_for(group, RENEW_MS);
	run_for(group, MISSED_MS);
	group_destroy(group);
	finish_rest();
}
END_TEST

/* A log that is silent must not get one join after the other. */
START_TEST(silent_log_gets_few_joins)
{
	struct group *group = joined_group();
	int in_flight = 0;

	run_for(group, RENEW_MS);
	run_for(group, TTL_MS);
	for (int i = 0; i < call_count; i++)
		in_flight += calls[i].fn != NULL;
	ck_assert_int_le(in_flight, 3);
	finish_rest();
	group_destroy(group);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("group");
	TCase *tcase = tcase_create("group");

	apr_initialize();
	log_init("test_group", true);
	tcase_add_test(tcase, lost_answer_is_asked_for_again_soon);
	tcase_add_test(tcase, answered_joins_are_not_repeated);
	tcase_add_test(tcase, authority_counts_from_the_join_that_was_answered);
	tcase_add_test(tcase, overtaken_answer_changes_nothing);
	tcase_add_test(tcase, group_is_left_after_all_joins_have_ended);
	tcase_add_test(tcase, group_is_destroyed_with_joins_in_flight);
	tcase_add_test(tcase, silent_log_gets_few_joins);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
