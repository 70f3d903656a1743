/*
 * Guards against two runs of a task at the same time after the log service has
 * given a pool to another node while its owner was cut off from the log.
 */

#include <apr_general.h>
#include <check.h>

#include "fleet_play.h"
#include "fleet_sim.h"
#include "log.h"
#include "suite.h"

enum {
	START_MS = 3000,
	SEEDS = 20,
	TASKS = 4,
	/* Spreads the moment of the cut over the interval of renewals. */
	PHASE_MS = 37,
	STEP_MS = 50,
	/* A takeover, and the longest lease that the former owner can give. */
	RESTART_MS = 8000,
	WATCHED_MS = 12000
};

static guint count_runs(const struct sim *sim)
{
	guint count = 0;

	for (int i = 0; i < sim->worker_count; i++)
		count += sim->workers[i].model.runs->len;
	return count;
}

/*
 * Cuts the data centre of the owner off from the others and from the log: the
 * owner reaches only the first worker with a task, the other nodes all but it.
 */
static void cut_data_centre_off(struct sim *sim, int owner)
{
	int inside = 0;

	while (!sim->workers[inside].model.runs->len)
		inside++;
	for (int i = 0; i < sim->node_count; i++)
		for (int j = 0; j < sim->worker_count; j++)
			sim->nodes[i].cut_from_worker[j] =
				(i == owner) != (j == inside);
	sim->nodes[owner].cut_from_log = true;
}

/*
 * The owner goes on to renew the lease of a worker that its successor cannot
 * reach. Memberships have not run out when the parts are reassigned.
 */
START_TEST(run_outlives_a_reassignment_until_its_lease_is_over)
{
	struct sim *sim = sim_create(500 + (uint64_t)_i, 3, 5);
	int owner;

	sim_run_for(sim, START_MS);
	sim_submit_lasting_job(sim, 0, TASKS);
	sim_run_for(sim, START_MS + _i * PHASE_MS);
	ck_assert_uint_eq(count_runs(sim), TASKS);
	owner = fleet_owner(sim);
	ck_assert_int_ge(owner, 0);
	cut_data_centre_off(sim, owner);
	log_model_reassign_all(sim->log);
	sim_run_for(sim, WATCHED_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_uint_eq(count_runs(sim), TASKS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("reassigned");
	TCase *tcase = tcase_create("parts given to others at once");

	apr_initialize();
	log_init("test_reassigned", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase,
			    run_outlives_a_reassignment_until_its_lease_is_over,
			    0, SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
