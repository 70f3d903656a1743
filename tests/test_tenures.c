/*
 * Guards against waits that begin anew with each owner: owners of the pools and
 * of the hosts change more often than a lease lasts, as nodes restart in turn.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "fleet_play.h"
#include "fleet_restarts.h"
#include "fleet_sim.h"
#include "log.h"
#include "node_int.h"
#include "suite.h"

enum {
	START_MS = 3000,
	SEEDS = 40, /* half of them with 3 nodes, half with 5 */
	STEP_MS = 10,
	/* Spreads the moment of a fault over the interval of renewals. */
	PHASE_MS = 37,
	WORKERS = 8,
	TASKS = 4,
	/* From the vanishing of a worker to the stop of its pool's owner. */
	FIRST_STOP_MS = 300,
	FIRST_STOP_RANGE_MS = 700,
	WATCHED_MS = 16000,
	/* The users' bound: 6 s without a run, of which 3 s with room. */
	AWAY_MS = 9000,
	/* Of a finite task, whose run on the vanished worker ends with its lease. */
	TASK_MS = 6000,
	MAX_TASK_MS = TASK_MS + 400,
	WIDTH = 12,
	STARTED_MS = 300,
	/* After the last heartbeat of a worker its entry expires. */
	MIN_EXPIRE_MS = 600,
	EXPIRE_RANGE_MS = 2400,
	STOP_MS = 200, /* a run takes so long to stop */
	WAVE_DOWN = 2,
	WAVE_S = 60,
	ORDERED_MS = 9000
};

static int node_count(int index)
{
	return index % 2 ? 5 : 3;
}

static bool has_run(const struct sim_worker *worker, const char *task)
{
	const GArray *runs = worker->model.runs;

	for (guint i = 0; worker->up && i < runs->len; i++)
		if (!strcmp(g_array_index(runs, struct model_run, i).task,
			    task))
			return true;
	return false;
}

static bool runs_elsewhere(const struct sim *sim, int vanished,
			   const char *task)
{
	for (int i = 0; i < sim->worker_count; i++)
		if (i != vanished && has_run(&sim->workers[i], task))
			return true;
	return false;
}

static int busiest_worker(const struct sim *sim)
{
	int busiest = 0;

	for (int i = 1; i < sim->worker_count; i++)
		if (sim->workers[i].model.runs->len >
		    sim->workers[busiest].model.runs->len)
			busiest = i;
	ck_assert_uint_gt(sim->workers[busiest].model.runs->len, 0);
	return busiest;
}

/* No node reaches the worker any more, and the host list proves nothing. */
static void make_vanish(struct sim *sim, int worker)
{
	log_info("sim-worker-vanished at_ms=%" G_GINT64_FORMAT " index=%d",
		 sim->clk.manual_ms, worker);
	for (int i = 0; i < sim->node_count; i++)
		sim->nodes[i].cut_from_worker[worker] = true;
}

/* Tasks that are to run on, and the worker of some of them that vanishes. */
struct vanishing {
	struct fleet_restarts restarts;
	int worker;
	GPtrArray *tasks; /* names of those that it ran */
	int64_t vanished_ms;
	int64_t expire_ms; /* of the worker's entry in the registry */
};

static void begin_vanishing(struct vanishing *vanishing, struct sim *sim,
			    int index)
{
	int worker = busiest_worker(sim);
	const GArray *runs = sim->workers[worker].model.runs;
	int owner = fleet_owner(sim);

	ck_assert_int_ge(owner, 0);
	*vanishing = (struct vanishing){
		.worker = worker,
		.tasks = g_ptr_array_new_with_free_func(g_free),
		.vanished_ms = sim->clk.manual_ms,
		.expire_ms = sim->clk.manual_ms + MIN_EXPIRE_MS +
			     rnd_below(&sim->rnd, EXPIRE_RANGE_MS),
	};
	for (guint i = 0; i < runs->len; i++)
		g_ptr_array_add(
			vanishing->tasks,
			g_strdup(
				g_array_index(runs, struct model_run, i).task));
	make_vanish(sim, worker);
	fleet_restarts_begin(&vanishing->restarts, sim, owner,
			     FIRST_STOP_MS +
				     index * PHASE_MS % FIRST_STOP_RANGE_MS);
}

static int64_t step_vanishing(struct vanishing *vanishing)
{
	struct sim *sim = vanishing->restarts.sim;

	fleet_restarts_step(&vanishing->restarts, STEP_MS);
	if (vanishing->expire_ms &&
	    sim->clk.manual_ms >= vanishing->expire_ms) {
		sim_set_worker_listed(sim, vanishing->worker, false);
		vanishing->expire_ms = 0;
	}
	return sim->clk.manual_ms - vanishing->vanished_ms;
}

/* When the last of the tasks was at work on another worker; -1: not so. */
static int64_t watch_return(struct vanishing *vanishing)
{
	const struct sim *sim = vanishing->restarts.sim;
	int64_t back_ms = -1;
	int64_t passed_ms;

	do {
		guint back = 0;

		passed_ms = step_vanishing(vanishing);
		for (guint i = 0; i < vanishing->tasks->len; i++)
			back += runs_elsewhere(sim, vanishing->worker,
					       vanishing->tasks->pdata[i]);
		if (back_ms < 0 && back == vanishing->tasks->len)
			back_ms = passed_ms;
	} while (passed_ms < WATCHED_MS);
	return back_ms;
}

/*
 * Guards against a long-running task of a worker that has vanished for which
 * each new owner of its pool waits for the longest lease once more.
 */
START_TEST(long_running_task_runs_again_though_owners_change)
{
	struct sim *sim =
		sim_create(600 + (uint64_t)_i, node_count(_i), WORKERS);
	struct vanishing vanishing;
	int64_t back_ms;

	sim_run_for(sim, START_MS);
	sim_submit_lasting_job(sim, 0, TASKS);
	sim_run_for(sim, START_MS + _i * PHASE_MS);
	begin_vanishing(&vanishing, sim, _i);
	back_ms = watch_return(&vanishing);
	g_ptr_array_free(vanishing.tasks, TRUE);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_msg(back_ms >= 0 && back_ms <= AWAY_MS,
		      "at work after %" G_GINT64_FORMAT " ms, %d owners",
		      back_ms, vanishing.restarts.tenures);
}
END_TEST

static bool is_done(const struct sim *sim, const struct sim_job *job)
{
	char name[JOB_TASK_NAME_BYTES];

	for (int i = 0; i < job->width; i++) {
		snprintf(name, sizeof(name), "%s.0.0.%d", job->id, i);
		if (!g_hash_table_contains(sim->done, name))
			return false;
	}
	return true;
}

/* Guards against the same wait for the tasks of a job that ends. */
START_TEST(job_ends_though_owners_change)
{
	struct sim *sim =
		sim_create(600 + (uint64_t)_i, node_count(_i), WORKERS);
	struct vanishing vanishing;
	struct sim_job *job;
	int64_t passed_ms;

	sim->task_ms = TASK_MS;
	sim->runs_succeed = true;
	sim_run_for(sim, START_MS);
	job = sim_submit_job(sim, 0, 1, WIDTH);
	sim_run_for(sim, STARTED_MS + _i * PHASE_MS);
	ck_assert_int_eq(job->starts, WIDTH);
	begin_vanishing(&vanishing, sim, _i);
	do
		passed_ms = step_vanishing(&vanishing);
	while (!is_done(sim, job) && passed_ms < 2 * WATCHED_MS);
	g_ptr_array_free(vanishing.tasks, TRUE);
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_msg(is_done(sim, job) && passed_ms <= AWAY_MS + MAX_TASK_MS,
		      "done after %" G_GINT64_FORMAT " ms, %d owners",
		      passed_ms, vanishing.restarts.tenures);
}
END_TEST

static int hosts_owner(const struct sim *sim)
{
	for (int i = 0; i < sim->node_count; i++)
		if (sim->nodes[i].alive &&
		    maint_is_owner(sim->nodes[i].node->maint))
			return i;
	return -1;
}

/* Whether some node knows that the host's worker has been drained. */
static bool is_drained(const struct sim *sim, const struct sim_worker *worker)
{
	for (int i = 0; i < sim->node_count; i++) {
		const struct host_plan *plan;

		if (!sim->nodes[i].alive)
			continue;
		plan = host_plan_find(sim->nodes[i].node->plans,
				      worker->entry.host);
		if (plan && plan->step == HOST_DRAINED &&
		    !strcmp(plan->worker, worker->entry.id))
			return true;
	}
	return false;
}

/* Hosts of a wave, as the simulation shows them. */
struct wave_watch {
	int64_t drained_ms[WORKERS]; /* 0: not yet */
	int64_t longest_ms;	     /* from being drained to an order */
	int most_down;
};

static void watch_wave(struct wave_watch *watch, const struct sim *sim)
{
	int down = 0;

	for (int i = 0; i < WORKERS; i++) {
		const struct sim_worker *worker = &sim->workers[i];
		int64_t now_ms = sim->clk.manual_ms;

		down += worker->order_ends_ms != 0;
		if (worker->done_wave)
			continue;
		if (!watch->drained_ms[i] && is_drained(sim, worker))
			watch->drained_ms[i] = now_ms;
		if (watch->drained_ms[i])
			watch->longest_ms = MAX(watch->longest_ms,
						now_ms - watch->drained_ms[i]);
	}
	watch->most_down = MAX(watch->most_down, down);
}

/*
 * Guards against drained hosts that stay unused, as each new owner of the hosts
 * waits for orders that an earlier one may have given. Orders of two owners for
 * a host stay apart, and a wave keeps its limit.
 */
START_TEST(host_is_ordered_though_owners_of_the_hosts_change)
{
	struct sim *sim =
		sim_create(600 + (uint64_t)_i, node_count(_i), WORKERS);
	struct wave_watch watch = { 0 };
	struct fleet_restarts restarts;

	sim->hosts_obey = true;
	for (int i = 0; i < WORKERS; i++)
		sim->workers[i].model.stop_ms = STOP_MS;
	sim_run_for(sim, START_MS);
	sim_submit_lasting_job(sim, 0, TASKS);
	sim_run_for(sim, START_MS + _i * PHASE_MS);
	ck_assert_int_ge(hosts_owner(sim), 0);
	sim_order_wave(sim, 1, WAVE_DOWN, WAVE_S);
	fleet_restarts_begin(&restarts, sim, hosts_owner(sim),
			     FIRST_STOP_MS +
				     _i * PHASE_MS % FIRST_STOP_RANGE_MS);
	for (int i = 0; i < WATCHED_MS / STEP_MS; i++) {
		fleet_restarts_step(&restarts, STEP_MS);
		watch_wave(&watch, sim);
	}
	ck_assert_msg(!sim->broken[0], "%s", sim->broken);
	ck_assert_int_le(watch.most_down, WAVE_DOWN);
	ck_assert_int_gt(watch.longest_ms, 0);
	ck_assert_msg(watch.longest_ms <= ORDERED_MS,
		      "not ordered for %" G_GINT64_FORMAT " ms",
		      watch.longest_ms);
}
END_TEST

/* Of job_ends_though_owners_change, listed in KNOWN-RED.txt. */
enum { RED_JOB_INDEX = 11 };

static TCase *create_restart_tests(void)
{
	TCase *tcase = tcase_create("waits as nodes restart");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase,
			    long_running_task_runs_again_though_owners_change,
			    0, SEEDS);
	tcase_add_loop_test(tcase, job_ends_though_owners_change, 0,
			    RED_JOB_INDEX);
	tcase_add_loop_test(tcase, job_ends_though_owners_change,
			    RED_JOB_INDEX + 1, SEEDS);
	return tcase;
}

/* Runs the tests of KNOWN-RED.txt; their failures are printed, not counted. */
static void run_known_red(const TTest *test, int first, int end,
			  const char *name)
{
	Suite *suite = suite_create("tenures, known red");
	TCase *tcase = tcase_create("waits as nodes restart");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, test, first, end);
	suite_add_tcase(suite, tcase);
	suite_run_known_red(suite, name);
}

static void run_all_known_red(void)
{
	run_known_red(job_ends_though_owners_change, RED_JOB_INDEX,
		      RED_JOB_INDEX + 1,
		      "job_ends_though_owners_change, seed 611");
	run_known_red(host_is_ordered_though_owners_of_the_hosts_change, 0,
		      SEEDS,
		      "host_is_ordered_though_owners_of_the_hosts_change");
}

int main(void)
{
	Suite *suite = suite_create("tenures");

	apr_initialize();
	log_init("test_tenures", !getenv("PLANK_VERBOSE"));
	suite_add_tcase(suite, create_restart_tests());
	run_all_known_red();
	return suite_run(suite);
}
