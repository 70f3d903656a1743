/*
 * Guards against jobs that are accepted and never begin, though there is room or
 * there are hosts for them: after a loss of power of all nodes, while the log
 * loses answers, carries appends out late and deletes history, and beside
 * long-running tasks that fill the hosts of a pool.
 */

#include <stdio.h>
#include <stdlib.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_play.h"
#include "fleet_sim.h"
#include "log.h"
#include "suite.h"

enum {
	FIRST_SEED = 1100,
	SEEDS = 8,
	RED_SEEDS = 5,
	MAX_JOBS = 256,
	START_MS = 4000,
	STEP_MS = 100,
	FAULT_MS = 3000,
	MAX_DOWN_MS = 3000,
	AFTER_MS = 5000,
	/* A lease of an earlier owner and a restart of the tasks fit into it. */
	CALM_MS = 14000,
	/* Small, so that a stream has several pages. */
	PAGE_RECORDS = 20,
	LAST_MAX_GAP_MS = 200,

	/* Hosts beside long-running tasks. */
	HOSTS = 16,
	LASTING = 5,
	/* Two of them do not fit on a host. */
	LARGE_MILLI = 2500,
	SMALL_MILLI = 100,
	LASTING_MEM_MIB = 900,
	FINITE_MEM_MIB = 500,
	PARKED_MS = 12000,
	PLACED_MS = 300,
	BEGIN_MS = 14000,
	ACCEPT_STEP_MS = 10,
	MAX_ACCEPT_STEPS = 100,

	/* A log that all nodes read at once. */
	LARGE = 4,
	SMALL = 36,
	STORM_WORKERS = 24,
	STORM_JOBS = 300,
	STORM_WIDTH = 8,
	STORM_GAP_MS = 20,
	STORM_PAGE_RECORDS = 100,
	STORM_BYTES_PER_MS = 50,
	DOWN_MS = 900,
	STORM_MS = 30000
};

static uint64_t first_seed = FIRST_SEED;

/* The jobs that were submitted in a play. */
struct load {
	struct sim *sim;
	struct sim_job *jobs[MAX_JOBS];
	int count;
	uint32_t deleted_percent; /* of the steps at which history is deleted */
};

static void submit(struct load *load)
{
	struct sim *sim = load->sim;
	int node = fleet_pick_node(sim);
	int steps, width;

	if (node < 0 || load->count == MAX_JOBS ||
	    !node_ready(sim->nodes[node].node))
		return;
	steps = 1 + (int)rnd_below(&sim->rnd, 2);
	width = 1 + (int)rnd_below(&sim->rnd, 4);
	load->jobs[load->count++] = sim_submit_job(sim, node, steps, width);
}

static void delete_history(struct sim *sim)
{
	for (guint i = 0; i < sim->log->topics->len; i++) {
		struct log_topic *topic = sim->log->topics->pdata[i];

		topic->first = topic->records->len;
	}
}

static void run(struct load *load, int64_t ms)
{
	struct sim *sim = load->sim;

	for (int64_t passed_ms = 0; passed_ms < ms; passed_ms += STEP_MS) {
		submit(load);
		if (rnd_below(&sim->rnd, 100) < load->deleted_percent)
			delete_history(sim);
		sim_run_for(sim, STEP_MS);
	}
}

static void set_log_faults(struct sim *sim)
{
	sim->faults.lost_percent = rnd_below(&sim->rnd, 3) * 15;
	sim->faults.late_percent = rnd_below(&sim->rnd, 3) * 10;
	sim->faults.refused_percent = rnd_below(&sim->rnd, 2) * 20;
}

static void kill_all(struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++)
		sim_kill(sim, i);
}

/* Starts all nodes, a third of them some time after the one before. */
static void start_all(struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++) {
		sim_start(sim, i);
		if (!rnd_below(&sim->rnd, 3))
			sim_run_for(sim, rnd_below(&sim->rnd, LAST_MAX_GAP_MS));
	}
}

static struct sim *create_fleet(uint64_t seed)
{
	static const struct {
		int large, small, workers;
	} sizes[] = { { 3, 3, 6 }, { 6, 0, 6 }, { 3, 9, 12 }, { 4, 36, 24 } };
	int large = sizes[seed % G_N_ELEMENTS(sizes)].large;
	int small = sizes[seed % G_N_ELEMENTS(sizes)].small;
	int workers = sizes[seed % G_N_ELEMENTS(sizes)].workers;

	/* Three shares in one half of the plays. */
	if (seed / 4 % 2)
		return sim_create_shared(seed, large + small, workers,
					 (uint32_t)workers / 3);
	return sim_create_sized(seed, large, small, workers);
}

static void check_ends(const struct load *load)
{
	ck_assert_msg(!load->sim->broken[0], "%s", load->sim->broken);
	for (int i = 0; i < load->count; i++) {
		const struct sim_job *job = load->jobs[i];
		int state;

		if (!job->accepted)
			continue;
		state = sim_get_job_state(load->sim, 0, job->id);
		ck_assert_msg(state == JOB_DONE,
			      "job %d of %d, %s: state %d, %d starts", i,
			      load->count, job->id, state, job->starts);
	}
}

/* Guards against jobs whose records or placements a restart loses. */
START_TEST(accepted_jobs_end_after_a_loss_of_power)
{
	uint64_t seed = first_seed + (uint64_t)_i;
	struct load load = { .sim = create_fleet(seed) };
	struct sim *sim = load.sim;

	sim->page_records = PAGE_RECORDS;
	sim->stale_answers = seed % 2;
	load.deleted_percent = (uint32_t)(seed % 3) * 10;
	run(&load, START_MS);
	set_log_faults(sim);
	run(&load, FAULT_MS);
	kill_all(sim);
	sim_run_for(sim, 1 + rnd_below(&sim->rnd, MAX_DOWN_MS));
	start_all(sim);
	run(&load, AFTER_MS);
	fleet_lift_faults(sim);
	sim_run_for(sim, CALM_MS);
	check_ends(&load);
}
END_TEST

static struct sim *create_hosts(uint64_t seed)
{
	struct sim *sim = sim_create(seed, 3, HOSTS);

	sim->hosts_obey = true;
	sim_add_standby_pool(sim);
	sim_run_for(sim, START_MS);
	return sim;
}

static void check_begins(struct sim *sim, const struct sim_job *job)
{
	int parked = 0;

	sim_run_for(sim, BEGIN_MS);
	for (int i = 0; i < sim->worker_count; i++)
		parked += sim->workers[i].parked;
	ck_assert(job->accepted);
	ck_assert_msg(job->starts > 0,
		      "no task has started, with %d hosts in standby", parked);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
}

/*
 * Guards against a job that waits for memory: its pool has processor time to
 * spare, so that it gets no host.
 */
START_TEST(job_begins_beside_tasks_that_fill_the_memory)
{
	struct sim *sim = create_hosts(FIRST_SEED + (uint64_t)_i);
	struct sim_job *job;

	sim->task_cpu_milli = SMALL_MILLI;
	sim->task_mem_mib = LASTING_MEM_MIB;
	sim_submit_lasting_job(sim, 0, LASTING);
	sim_run_for(sim, PARKED_MS);
	sim->task_mem_mib = FINITE_MEM_MIB;
	job = sim_submit_job(sim, 1, 1, 2);
	check_begins(sim, job);
}
END_TEST

/*
 * Guards against a job that fits on none of its pool's hosts and gets no other
 * one, as the owner of the hosts has not seen the demand rise.
 */
START_TEST(job_accepted_before_a_loss_of_power_gets_a_host)
{
	struct sim *sim = create_hosts(FIRST_SEED + (uint64_t)_i);
	struct sim_job *job;

	sim->task_cpu_milli = LARGE_MILLI;
	sim_submit_lasting_job(sim, 0, LASTING);
	sim_run_for(sim, PARKED_MS);
	/* Takes the spare host. */
	sim_submit_lasting_job(sim, 1, 1);
	sim_run_for(sim, PLACED_MS);
	job = sim_submit_job(sim, 2, 1, 2);
	for (int i = 0; i < MAX_ACCEPT_STEPS && !job->accepted; i++)
		sim_run_for(sim, ACCEPT_STEP_MS);
	kill_all(sim);
	sim_run_for(sim, DOWN_MS);
	start_all(sim);
	check_begins(sim, job);
}
END_TEST

/*
 * Guards against nodes that start at the same time and read so much together that
 * each read takes longer than its reader waits: none ever has read all.
 */
START_TEST(nodes_that_start_together_load_a_slow_log)
{
	struct sim *sim = sim_create_sized(FIRST_SEED + (uint64_t)_i, LARGE,
					   SMALL, STORM_WORKERS);
	struct sim_job *job;

	sim->page_records = STORM_PAGE_RECORDS;
	sim_run_for(sim, START_MS);
	for (int i = 0; i < STORM_JOBS; i++) {
		sim_submit_job(sim, i % sim->node_count, 1, STORM_WIDTH);
		sim_run_for(sim, STORM_GAP_MS);
	}
	sim_run_for(sim, START_MS);
	sim->read_bytes_per_ms = STORM_BYTES_PER_MS;
	sim->reads_time_out = true;
	kill_all(sim);
	sim_run_for(sim, DOWN_MS);
	for (int i = 0; i < sim->node_count; i++)
		sim_start(sim, i);
	sim_run_for(sim, STORM_MS);
	job = sim_submit_job(sim, 0, 1, 1);
	sim_run_for(sim, START_MS);
	ck_assert(job->accepted);
	ck_assert_int_gt(job->starts, 0);
}
END_TEST

/* Runs a test listed in KNOWN-RED.txt and prints how it ends. */
static void run_known_red(const TTest *test, const char *name)
{
	Suite *suite = suite_create("known red");
	TCase *tcase = tcase_create("known red");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test, 0, RED_SEEDS);
	suite_add_tcase(suite, tcase);
	suite_run_known_red(suite, name);
}

#define RUN_KNOWN_RED(test) run_known_red(test, #test)

int main(void)
{
	const char *from = getenv("PLANK_FIRST_SEED");
	const char *count = getenv("PLANK_SEEDS");
	int seeds = count ? atoi(count) : SEEDS;
	Suite *suite = suite_create("begin");
	TCase *tcase = tcase_create("begin");

	first_seed = from ? strtoull(from, NULL, 10) : FIRST_SEED;
	apr_initialize();
	log_init("test_begin", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, accepted_jobs_end_after_a_loss_of_power, 0,
			    seeds);
	tcase_add_loop_test(tcase, job_begins_beside_tasks_that_fill_the_memory,
			    0, SEEDS);
	tcase_add_loop_test(tcase,
			    job_accepted_before_a_loss_of_power_gets_a_host, 0,
			    SEEDS);
	suite_add_tcase(suite, tcase);
	if (getenv("PLANK_SLOW_LOG"))
		RUN_KNOWN_RED(nodes_that_start_together_load_a_slow_log);
	return suite_run(suite);
}
