/*
 * Guards against jobs that are accepted and not known at other nodes: the node
 * that stored the job stops before it publishes the job in the index.
 */

#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "log.h"
#include "suite.h"

enum {
	FIRST_SEED = 900,
	SEEDS = 3,
	LARGE = 3,
	SMALL = 4,
	WORKERS = 4,
	START_MS = 3000,
	/* The append of the job is executed by then. */
	STORED_MS = 100,
	READ_MS = 2000,
	/* More than a worker has: the job stays queued. */
	TOO_LARGE_MILLI = 900000
};

static void on_repeated(void *arg, const struct front_answer *answer)
{
	enum front_outcome *outcome = arg;

	*outcome = answer->outcome;
}

/* Submits the job again at another node, as after a lost answer. */
static enum front_outcome repeat(struct sim *sim, int index,
				 const struct sim_job *job)
{
	static const char body[] =
		"{\"spec\":\"t\",\"steps\":[{\"count\":1,\"cpu\":900000,"
		"\"memMb\":10,\"estMs\":500}]}";
	static enum front_outcome outcome;
	struct node *node = sim->nodes[index].node;
	struct front_request ask = {
		.kind = FRONT_SUBMIT,
		.tenant = "",
		.queue = cfg_queue_find(*node_cfg(node), "q"),
		.body = body,
		.len = strlen(body),
		.deadline_ms = sim->clk.manual_ms + 3000,
	};

	outcome = FRONT_UNDECIDED;
	g_strlcpy(ask.id, job->id, sizeof(ask.id));
	front_request(node_front(node), &ask, on_repeated, &outcome);
	sim_run_for(sim, 500);
	return outcome;
}

/* Stores a job at a small node that stops before it reads the answer. */
static struct sim_job *store_at_stopping_node(struct sim *sim)
{
	struct sim_job *job;

	sim_run_for(sim, START_MS);
	sim->task_cpu_milli = TOO_LARGE_MILLI;
	sim->nodes[LARGE].log_answers_lost = true;
	job = sim_submit_job(sim, LARGE, 1, 1);
	sim_run_for(sim, STORED_MS);
	sim_kill(sim, LARGE);
	sim_run_for(sim, READ_MS);
	return job;
}

/* The node that confirms the repeat knows the job from its own records. */
START_TEST(job_confirmed_on_a_repeat_is_known_at_all_nodes)
{
	struct sim *sim = sim_create_sized(FIRST_SEED + (uint64_t)_i, LARGE,
					   SMALL, WORKERS);
	struct sim_job *job = store_at_stopping_node(sim);

	ck_assert_int_eq(repeat(sim, _i % LARGE, job), FRONT_ACCEPTED);
	ck_assert_int_eq(sim_get_job_state(sim, LARGE + 1, job->id),
			 JOB_QUEUED);
}
END_TEST

/* Nobody repeats the submission; the job is stored and will run. */
START_TEST(stored_job_is_published_by_its_owner)
{
	struct sim *sim = sim_create_sized(FIRST_SEED + (uint64_t)_i, LARGE,
					   SMALL, WORKERS);
	struct sim_job *job = store_at_stopping_node(sim);

	ck_assert_int_eq(sim_get_job_state(sim, 0, job->id), JOB_QUEUED);
	ck_assert_int_eq(sim_get_job_state(sim, LARGE + 1, job->id),
			 JOB_QUEUED);
}
END_TEST

/* What a node answers to a request of an organisation; "": of none. */
static enum front_outcome ask(struct sim *sim, int index, enum front_kind kind,
			      const struct sim_job *job, const char *tenant)
{
	static enum front_outcome outcome;
	struct node *node = sim->nodes[index].node;
	struct front_request request = {
		.kind = kind,
		.tenant = g_intern_string(tenant),
		.queue = cfg_queue_find(*node_cfg(node), "q"),
		.body = "",
		.deadline_ms = sim->clk.manual_ms + 3000,
	};

	outcome = FRONT_UNDECIDED;
	g_strlcpy(request.id, job->id, sizeof(request.id));
	front_request(node_front(node), &request, on_repeated, &outcome);
	sim_run_for(sim, 500);
	return outcome;
}

/*
 * Guards against a job of a public queue that its client no longer sees, as an
 * organisation has cancelled it.
 */
START_TEST(job_of_no_organisation_stays_so_when_one_cancels_it)
{
	struct sim *sim = sim_create_sized(FIRST_SEED + (uint64_t)_i, LARGE,
					   SMALL, WORKERS);
	struct sim_job *job;

	sim_run_for(sim, START_MS);
	sim->task_cpu_milli = TOO_LARGE_MILLI;
	job = sim_submit_job(sim, LARGE, 1, 1);
	sim_run_for(sim, READ_MS);
	ck_assert_int_eq(ask(sim, 0, FRONT_CANCEL, job, "a"), FRONT_ACCEPTED);
	ck_assert_int_eq(ask(sim, LARGE + 1, FRONT_GET_STATE, job, ""),
			 FRONT_STATE_FOUND);
	ck_assert_int_eq(ask(sim, 0, FRONT_GET_STATE, job, ""),
			 FRONT_STATE_FOUND);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("acceptance");
	TCase *tcase = tcase_create("acceptance");

	apr_initialize();
	log_init("test_acceptance", !getenv("PLANK_VERBOSE"));
	tcase_add_loop_test(tcase,
			    job_confirmed_on_a_repeat_is_known_at_all_nodes, 0,
			    SEEDS);
	tcase_add_loop_test(tcase, stored_job_is_published_by_its_owner, 0,
			    SEEDS);
	tcase_add_loop_test(tcase,
			    job_of_no_organisation_stays_so_when_one_cancels_it,
			    0, SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
