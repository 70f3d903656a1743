/*
 * Guards against hosts that wait after a takeover though no owner has ordered them
 * recently: a node that starts cannot tell from their plans alone how old these are.
 */

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "log.h"
#include "node_int.h"
#include "suite.h"

enum {
	SEEDS = 20,
	FIRST_SEED = 700,
	NODES = 3,
	HOSTS = 8,
	START_MS = 3000,
	/* A wave of all hosts ends within it. */
	WAVE_MS = 20000,
	WAVE_S = 10,
	WAVE_DOWN = 4,
	OFF_MS = 1500,
	/* Nodes join and read the log; the hosts have their owner. */
	JOIN_MS = 1500,
	/* A host is drained, and ordered once the host list has answered. */
	ORDER_MS = 1200,
	STEP_MS = 10,
	WATCHED_MS = 15000,
	/* A plan is found, its host drained and ordered. */
	FOUND_MS = 10000,
	/* The hosts are ordered again this long after the first wave's orders. */
	RECENT_MS = 300
};

static int64_t first_order_since(const struct sim *sim, int64_t since_ms)
{
	int64_t first_ms = 0;

	for (int i = 0; i < sim->worker_count; i++) {
		int64_t at_ms = sim->workers[i].host_ordered_ms;

		if (at_ms >= since_ms && (!first_ms || at_ms < first_ms))
			first_ms = at_ms;
	}
	return first_ms;
}

/* All nodes lose power. */
static void restart_nodes(struct sim *sim)
{
	for (int i = 0; i < NODES; i++)
		sim_kill(sim, i);
	sim_run_for(sim, OFF_MS);
	for (int i = 0; i < NODES; i++)
		sim_start(sim, i);
}

/* Runs a wave for some time, then restarts all nodes beside the next one. */
static int64_t play(struct sim *sim, int64_t wave_ms)
{
	int64_t since_ms;

	sim->hosts_obey = true;
	sim_run_for(sim, START_MS);
	sim_order_wave(sim, 1, WAVE_DOWN, WAVE_S);
	sim_run_for(sim, wave_ms);
	restart_nodes(sim);
	sim_run_for(sim, JOIN_MS);
	since_ms = sim->clk.manual_ms;
	sim_order_wave(sim, 2, WAVE_DOWN, WAVE_S);
	for (int i = 0; i < WATCHED_MS / STEP_MS; i++)
		sim_run_for(sim, STEP_MS);
	return since_ms;
}

START_TEST(settled_hosts_are_ordered_soon_after_a_loss_of_power)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, HOSTS);
	int64_t since_ms = play(sim, WAVE_MS);
	int64_t first_ms = first_order_since(sim, since_ms);

	for (int i = 0; i < HOSTS; i++)
		ck_assert_int_ge(sim->workers[i].done_wave, 1);
	ck_assert_int_gt(first_ms, 0);
	ck_assert_int_le(first_ms - since_ms, ORDER_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* The opposite: hosts that were ordered just before wait (ONE). */
START_TEST(recently_ordered_hosts_wait_after_a_loss_of_power)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, HOSTS);

	play(sim, RECENT_MS + _i * RECENT_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/*
 * Guards against two owners that order a host within its order lease (ONE): that
 * the first plan of a host was carried out is not stored, while the list that says
 * so is, in another part of the stream. The next owner carries it out again, and the
 * one after that must not take it for an old plan.
 */
START_TEST(settled_plan_that_is_ordered_again_is_recent)
{
	struct sim *sim = sim_create(FIRST_SEED + (uint64_t)_i, NODES, HOSTS);
	struct sim_worker *worker = &sim->workers[0];
	const struct host_plan *plan;
	int64_t since_ms;

	sim->hosts_obey = true;
	sim_run_for(sim, START_MS);
	sim_order_wave(sim, 1, WAVE_DOWN, WAVE_S);
	sim_run_for(sim, WAVE_MS);
	ck_assert_int_eq(worker->done_wave, 1);
	worker->done_wave = 0;
	sim_plan_restart(sim, 0);
	since_ms = sim->clk.manual_ms;
	restart_nodes(sim);
	for (int i = 0;
	     i < FOUND_MS / STEP_MS && worker->host_ordered_ms < since_ms; i++)
		sim_run_for(sim, STEP_MS);
	ck_assert_int_ge(worker->host_ordered_ms, since_ms);
	sim_run_for(sim, RECENT_MS);
	for (int i = 0; i < NODES; i++) {
		plan = host_plan_find(sim->nodes[i].node->plans,
				      worker->entry.host);
		/* The plans of the wave have the numbers up to that of hosts. */
		ck_assert_int_gt(plan->number, HOSTS);
	}
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("settled");
	TCase *tcase = tcase_create("hosts after a takeover");

	apr_initialize();
	log_init("test_settled", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(
		tcase, settled_hosts_are_ordered_soon_after_a_loss_of_power, 0,
		SEEDS);
	tcase_add_loop_test(tcase,
			    recently_ordered_hosts_wait_after_a_loss_of_power,
			    0, SEEDS);
	tcase_add_loop_test(tcase, settled_plan_that_is_ordered_again_is_recent,
			    0, SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
