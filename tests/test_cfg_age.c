/*
 * Guards against requests that are decided by a configuration which was replaced
 * seconds before: nodes whose reads of the operators' stream get no answers, while
 * the log answers all else.
 */

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "log.h"
#include "suite.h"

enum {
	START_MS = 3000,
	STEP_MS = 10,
	SEEDS = 40,
	/* Spreads the moment of the change over the waits of reads. */
	PHASE_MS = 97,
	/* The least of all deployments within which nodes must follow. */
	FOLLOW_MS = 2000,
	SILENT_MS = 5000,
	/* Of calm, and after the stream answers again. */
	WATCHED_MS = 10000,
	/* A read in flight as the stream answers again, and the next one. */
	RETURN_MS = 2700,
	NODES = 3
};

/* Version that the node decides requests by; -1: it refuses them. */
static int64_t deciding_version(struct sim *sim, int node)
{
	const struct cfg *cfg =
		front_cfg(node_front(sim->nodes[node].node), "-");

	return cfg ? cfg->version : -1;
}

static struct sim *start(int seed)
{
	struct sim *sim = sim_create((uint64_t)seed, NODES, 2);

	sim_run_for(sim, START_MS + seed * PHASE_MS % 2500);
	for (int i = 0; i < NODES; i++)
		ck_assert_int_eq(deciding_version(sim, i), 1);
	return sim;
}

static void lose_reads(struct sim *sim, int node, int count)
{
	sim->nodes[node].unanswered_topic = "operators";
	sim->nodes[node].unanswered_reads = count;
}

/* Runs on while no node decides by another version, or refuses if not allowed. */
static void watch(struct sim *sim, int64_t version, bool may_refuse, int64_t ms)
{
	for (int64_t at_ms = 0; at_ms < ms; at_ms += STEP_MS) {
		for (int i = 0; i < NODES; i++) {
			int64_t deciding = deciding_version(sim, i);

			if (may_refuse && deciding < 0)
				continue;
			ck_assert_msg(deciding == version,
				      "node %d decides by version %ld, %ld ms "
				      "after it was to follow",
				      i, (long)deciding, (long)at_ms);
		}
		sim_run_for(sim, STEP_MS);
	}
}

START_TEST(replaced_version_decides_nothing_while_reads_are_silent)
{
	struct sim *sim = start(_i);
	int node = _i % NODES;

	lose_reads(sim, node, -1);
	sim_run_for(sim, _i * PHASE_MS % 1600);
	sim_put_version(sim, 2);
	sim_run_for(sim, FOLLOW_MS);
	watch(sim, 2, true, SILENT_MS);
	lose_reads(sim, node, 0);
	sim_run_for(sim, RETURN_MS);
	watch(sim, 2, false, WATCHED_MS);
}
END_TEST

/* The answer of one read is lost, with the record that it would have shown. */
START_TEST(lost_answer_does_not_delay_a_version)
{
	struct sim *sim = start(_i);

	lose_reads(sim, _i % NODES, 1);
	sim_run_for(sim, _i * PHASE_MS % 1600);
	sim_put_version(sim, 2);
	sim_run_for(sim, FOLLOW_MS);
	watch(sim, 2, false, WATCHED_MS);
}
END_TEST

/* A lost answer must not cost requests either. */
START_TEST(requests_are_decided_while_reads_are_answered_but_one)
{
	struct sim *sim = start(_i);

	watch(sim, 1, false, WATCHED_MS);
	lose_reads(sim, _i % NODES, 1);
	watch(sim, 1, false, WATCHED_MS);
}
END_TEST

/* A node that stood still must not decide by what it knew before. */
START_TEST(resumed_node_does_not_decide_by_a_replaced_version)
{
	struct sim *sim = start(_i);
	int node = _i % NODES;

	sim_pause(sim, node);
	sim_run_for(sim, STEP_MS);
	sim_put_version(sim, 2);
	sim_run_for(sim, SILENT_MS);
	sim_resume(sim, node);
	watch(sim, 2, true, WATCHED_MS);
	watch(sim, 2, false, WATCHED_MS);
}
END_TEST

/*
 * Guards against a node that refuses all requests and says that it is ready: the
 * platform goes on sending it callers.
 */
START_TEST(node_is_not_ready_while_it_refuses)
{
	struct sim *sim = start(_i);
	int node = _i % NODES;

	lose_reads(sim, node, 1);
	for (int64_t at_ms = 0; at_ms < WATCHED_MS; at_ms += STEP_MS) {
		ck_assert(node_ready(sim->nodes[node].node));
		sim_run_for(sim, STEP_MS);
	}
	lose_reads(sim, node, -1);
	sim_run_for(sim, FOLLOW_MS);
	for (int64_t at_ms = 0; at_ms < SILENT_MS; at_ms += STEP_MS) {
		ck_assert_int_eq(deciding_version(sim, node), -1);
		ck_assert(!node_ready(sim->nodes[node].node));
		sim_run_for(sim, STEP_MS);
	}
	lose_reads(sim, node, 0);
	sim_run_for(sim, RETURN_MS);
	ck_assert(node_ready(sim->nodes[node].node));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("configuration age");
	TCase *tcase = tcase_create("configuration age");

	apr_initialize();
	log_init("test_cfg_age", true);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(
		tcase, replaced_version_decides_nothing_while_reads_are_silent,
		0, SEEDS);
	tcase_add_loop_test(tcase, node_is_not_ready_while_it_refuses, 0,
			    SEEDS);
	tcase_add_loop_test(tcase, lost_answer_does_not_delay_a_version, 0,
			    SEEDS);
	tcase_add_loop_test(
		tcase, requests_are_decided_while_reads_are_answered_but_one, 0,
		SEEDS);
	tcase_add_loop_test(tcase,
			    resumed_node_does_not_decide_by_a_replaced_version,
			    0, SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
