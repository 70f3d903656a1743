/*
 * Guards against shares without an owner while nodes read the jobs: one that has
 * just started is given parts that others own, and an owner whose stream was
 * deleted up to what it has not read gives its shares up.
 */

#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "log.h"
#include "node_int.h"
#include "suite.h"

enum {
	FIRST_SEED = 1200,
	SEEDS = 10,
	NODES = 2,
	WORKERS = 12,
	SHARE_HOSTS = 4,
	/* Of the three shares, the one whose part goes to the newest node. */
	MOVED_SHARE = 2,
	START_MS = 4000,
	JOBS = 300,
	JOB_GAP_MS = 20,
	/* Reading all pages takes longer than MAX_UNOWNED_MS. */
	PAGE_RECORDS = 4,
	DOWN_MS = 3000,
	STEP_MS = 10,
	WATCHED_MS = 12000,
	READ_ANEW_MS = 2000,
	/* Its owner gives the part up, the other node learns of it with its next
	   but one renewal of the membership, 400 ms apart, and takes it over. */
	MAX_UNOWNED_MS = 1000
};

static bool is_owned(const struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++) {
		const struct pool *pool =
			node_find_pool(sim->nodes[i].node, "pool", MOVED_SHARE);

		if (sim->nodes[i].alive && pool && pool_is_owned(pool))
			return true;
	}
	return false;
}

START_TEST(share_is_owned_while_a_new_node_reads_the_jobs)
{
	struct sim *sim = sim_create_shared(FIRST_SEED + (uint64_t)_i, NODES,
					    WORKERS, SHARE_HOSTS);
	int restarted = _i % NODES;
	int64_t unowned_ms = 0;

	sim->page_records = PAGE_RECORDS;
	sim_run_for(sim, START_MS);
	for (int i = 0; i < JOBS; i++) {
		sim_submit_job(sim, i % NODES, 1, 1);
		sim_run_for(sim, JOB_GAP_MS);
	}
	sim_kill(sim, restarted);
	sim_run_for(sim, DOWN_MS);
	ck_assert(is_owned(sim));
	sim_start(sim, restarted);
	for (int i = 0; i < WATCHED_MS / STEP_MS; i++) {
		sim_run_for(sim, STEP_MS);
		unowned_ms += is_owned(sim) ? 0 : STEP_MS;
	}
	ck_assert(pool_is_owned(node_find_pool(sim->nodes[restarted].node,
					       "pool", MOVED_SHARE)));
	ck_assert_int_le(unowned_ms, MAX_UNOWNED_MS);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

/* Deletes a topic's history with a record that nobody has read yet. */
static void delete_unread(struct sim *sim, const char *name, const char *key)
{
	struct log_topic *topic = log_model_topic(sim->log, name);

	log_model_put(sim->log, name, key, "1", 1);
	topic->first = topic->records->len;
}

static void check_owned_throughout(struct sim *sim)
{
	for (int i = 0; i < READ_ANEW_MS / STEP_MS; i++) {
		sim_run_for(sim, STEP_MS);
		ck_assert_msg(is_owned(sim), "no owner %d ms later",
			      (i + 1) * STEP_MS);
	}
}

START_TEST(shares_stay_owned_while_a_stream_is_read_anew)
{
	struct sim *sim = sim_create_shared(FIRST_SEED + (uint64_t)_i, NODES,
					    WORKERS, SHARE_HOSTS);
	struct sim_job *job;

	sim->page_records = PAGE_RECORDS;
	sim_run_for(sim, START_MS);
	ck_assert(is_owned(sim));
	delete_unread(sim, "keyed.jobs", "c:0123456789abcdef");
	check_owned_throughout(sim);
	delete_unread(sim, "workers", "w0.gone");
	check_owned_throughout(sim);
	job = sim_submit_job(sim, 0, 1, 1);
	sim_run_for(sim, START_MS);
	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_DONE);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("join");
	TCase *tcase = tcase_create("join");

	apr_initialize();
	log_init("test_join", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase,
			    share_is_owned_while_a_new_node_reads_the_jobs, 0,
			    SEEDS);
	tcase_add_loop_test(
		tcase, shares_stay_owned_while_a_stream_is_read_anew, 0, SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
