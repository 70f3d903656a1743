/*
 * Plans of restarts and moves of hosts: which records change them, and what is
 * due next.
 */

#include <apr_general.h>
#include <check.h>

#include "host_plan.h"
#include "log.h"
#include "suite.h"

/*
 * A host crashes after its worker was drained for a restart, and comes back
 * while no node owns the hosts. Its new worker receives tasks, which a restart
 * of the host would end. Found by trouble-1 --seed 11 of vfcsa-plank: several
 * tasks of one step ended together.
 */
START_TEST(restarted_host_must_be_drained_again)
{
	struct host_plan plan = { .worker = "w1", .step = HOST_DRAINED };
	struct host host = { .worker = "w1", .state = HOST_UP };

	ck_assert_int_eq(host_plan_next(&plan, &host), HOST_NEXT_ORDER);
	host.state = HOST_DOWN;
	ck_assert_int_eq(host_plan_next(&plan, &host), HOST_NEXT_WAIT);
	host.worker[0] = 0;
	ck_assert_int_eq(host_plan_next(&plan, &host), HOST_NEXT_WAIT);
	host.state = HOST_UP;
	ck_assert_int_eq(host_plan_next(&plan, &host), HOST_NEXT_WAIT);
	g_strlcpy(host.worker, "w2", sizeof(host.worker));
	ck_assert_int_eq(host_plan_next(&plan, &host), HOST_NEXT_REPLAN);
	/* A parked host has no worker. */
	plan.worker[0] = 0;
	host.worker[0] = 0;
	ck_assert_int_eq(host_plan_next(&plan, &host), HOST_NEXT_ORDER);
}
END_TEST

START_TEST(late_answers_to_earlier_plans_are_ignored)
{
	struct host_plans *plans = host_plans_create();
	struct err err = { .kind = ERR_OK };
	struct host_plan plan = {
		.host = "m1",
		.worker = "w1",
		.number = 7,
		.work = HOST_RESTART,
		.step = HOST_DRAIN_REQUESTED,
		.wave = 2,
	};
	struct host_plan late = plan;
	size_t len;
	char *record;

	host_plan_put(plans, &plan);
	late.number = 6;
	late.step = HOST_DRAINED;
	record = host_plan_record(&late, &len);
	ck_assert_int_eq(
		host_plan_apply(plans, "m1", 5, record, len, true, 0, &err), 0);
	ck_assert_int_eq(host_plan_find(plans, "m1")->step,
			 HOST_DRAIN_REQUESTED);
	g_free(record);
	late.number = 7;
	record = host_plan_record(&late, &len);
	host_plan_apply(plans, "m1", 6, record, len, true, 0, &err);
	ck_assert_int_eq(host_plan_find(plans, "m1")->step, HOST_DRAINED);
	g_free(record);
	host_plans_destroy(plans);
}
END_TEST

/* Applies the plan's record at an offset. */
static void apply(struct host_plans *plans, const struct host_plan *plan,
		  int64_t offset, bool own)
{
	struct err err = { .kind = ERR_OK };
	size_t len;
	char *record = host_plan_record(plan, &len);

	ck_assert_int_eq(host_plan_apply(plans, plan->host, offset, record, len,
					 own, 0, &err),
			 0);
	g_free(record);
}

/*
 * Guards against a successor that orders a parked host whose move the former
 * owner has just ordered, as it left out the record of that move.
 */
START_TEST(later_plan_without_a_drain_replaces_a_done_one)
{
	struct host_plans *plans = host_plans_create();
	struct host_plan parked = {
		.host = "m1",
		.worker = "w1",
		.number = 7,
		.work = HOST_MOVE,
		.step = HOST_ORDER_DONE,
		.pool = "standby",
	};
	struct host_plan lent = {
		.host = "m1",
		.number = 8,
		.work = HOST_MOVE,
		.step = HOST_DRAINED,
		.pool = "pool",
	};

	apply(plans, &parked, 5, false);
	apply(plans, &lent, 6, false);
	ck_assert_int_eq(host_plan_find(plans, "m1")->number, 8);
	ck_assert_int_eq(host_plan_find(plans, "m1")->step, HOST_DRAINED);
	ck_assert_int_eq(host_plans_last_number(plans), 8);
	host_plans_destroy(plans);
}
END_TEST

/*
 * Guards against a move that was taken back and is in force again at nodes that
 * start later: the pool's owner drained the host at the same time, and that record
 * is the newest one. The owner of the hosts has to write its plan again.
 */
START_TEST(plan_hidden_by_a_late_record_is_noticed)
{
	struct host_plans *plans = host_plans_create();
	struct host_plan plan = {
		.host = "m1",
		.worker = "w1",
		.number = 7,
		.work = HOST_MOVE,
		.step = HOST_DRAIN_REQUESTED,
		.pool = "standby",
	};
	struct host_plan drained = plan;

	drained.step = HOST_DRAINED;
	host_plan_put(plans, &plan);
	apply(plans, &drained, 5, true);
	ck_assert(!host_plan_find(plans, "m1")->hidden);
	apply(plans, &drained, 6, true);
	ck_assert(!host_plan_find(plans, "m1")->hidden);
	plan.step = HOST_ORDER_DONE;
	plan.worker[0] = '\0';
	host_plan_put(plans, &plan);
	apply(plans, &drained, 7, true);
	ck_assert(host_plan_find(plans, "m1")->hidden);
	ck_assert_int_eq(host_plan_find(plans, "m1")->step, HOST_ORDER_DONE);
	host_plans_destroy(plans);
}
END_TEST

/*
 * Guards against a second order for a host that an earlier owner has just ordered:
 * the owner forgot when it had last seen that one's plan once its own was drained.
 */
START_TEST(drained_plan_keeps_when_the_earlier_one_was_seen)
{
	struct host_plans *plans = host_plans_create();
	struct host_plan plan = {
		.host = "m1",
		.worker = "w2",
		.number = 8,
		.work = HOST_RESTART,
		.step = HOST_DRAIN_REQUESTED,
		.previous_seen_ms = 5000,
	};

	host_plan_put(plans, &plan);
	plan.step = HOST_DRAINED;
	apply(plans, &plan, 3, true);
	ck_assert_int_eq(host_plan_find(plans, "m1")->step, HOST_DRAINED);
	ck_assert_int_eq(host_plan_find(plans, "m1")->previous_seen_ms, 5000);
	host_plans_destroy(plans);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("host plans");
	TCase *tcase = tcase_create("plans");

	apr_initialize();
	log_init("test_host_plan", true);
	tcase_add_test(tcase, restarted_host_must_be_drained_again);
	tcase_add_test(tcase, late_answers_to_earlier_plans_are_ignored);
	tcase_add_test(tcase, later_plan_without_a_drain_replaces_a_done_one);
	tcase_add_test(tcase, plan_hidden_by_a_late_record_is_noticed);
	tcase_add_test(tcase, drained_plan_keeps_when_the_earlier_one_was_seen);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
