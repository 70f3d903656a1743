/*
 * Guards against long-running tasks that are stopped for the sake of their
 * host, which is then not ordered and gets no tasks.
 */

#include <apr_general.h>
#include <check.h>

#include "fleet_sim.h"
#include "log.h"
#include "node_int.h"
#include "suite.h"

enum {
	START_MS = 4000,
	SEEDS = 20,
	FIRST_SEED = 900,
	NODES = 5,
	TASKS = 4, /* one for each host, so that none has room elsewhere */
	STEP_MS = 50,
	WATCHED_MS = 50000,
	/* The users' bounds: not at work for 6 s, and with room for 3 s. */
	AWAY_MS = 9000,
	WAVE_DOWN = 2,
	WAVE_S = 30,
	/* From the first stop of a task on. */
	CHANGES_MS = 12000,
	CHANGE_GAP_MS = 3000, /* of which no one is the owner for 2,000 */
	SERVICE_AWAY_MS = 12000
};

struct watch {
	struct sim *sim;
	struct sim_job *job;
	int64_t ran_ms[TASKS];
	int64_t longest_ms;
};

static bool has_run(const struct sim_worker *worker, const char *task)
{
	const GArray *runs = worker->model.runs;

	for (guint i = 0; i < runs->len; i++)
		if (!strcmp(g_array_index(runs, struct model_run, i).task,
			    task))
			return true;
	return false;
}

static bool runs(const struct sim *sim, const char *name)
{
	for (int i = 0; i < sim->worker_count; i++)
		if (sim->workers[i].up && has_run(&sim->workers[i], name))
			return true;
	return false;
}

/* Notes which tasks are at work; the number of those that are not. */
static int note_runs(struct watch *watch)
{
	int64_t now_ms = watch->sim->clk.manual_ms;
	char name[JOB_TASK_NAME_BYTES];
	int away = 0;

	for (int i = 0; i < TASKS; i++) {
		snprintf(name, sizeof(name), "%s.0.0.%d", watch->job->id, i);
		if (runs(watch->sim, name))
			watch->ran_ms[i] = now_ms;
		else
			away++;
		watch->longest_ms =
			MAX(watch->longest_ms, now_ms - watch->ran_ms[i]);
	}
	return away;
}

/* Starts a wave of all hosts, each of which has a long-running task. */
static void start_wave(struct watch *watch, uint64_t seed)
{
	struct sim *sim = sim_create(seed, NODES, TASKS);

	*watch = (struct watch){ .sim = sim };
	sim->hosts_obey = true;
	sim_run_for(sim, START_MS);
	watch->job = sim_submit_lasting_job(sim, 0, TASKS);
	sim_run_for(sim, START_MS);
	ck_assert_int_eq(note_runs(watch), 0);
	watch->longest_ms = 0;
	sim_order_wave(sim, 1, WAVE_DOWN, WAVE_S);
}

/* Kills the owner of the hosts, and starts the one that was killed before it. */
static int replace_owner(struct sim *sim, int killed)
{
	if (killed >= 0)
		sim_start(sim, killed);
	for (int i = 0; i < sim->node_count; i++)
		if (sim->nodes[i].alive &&
		    maint_is_owner(sim->nodes[i].node->maint)) {
			sim_kill(sim, i);
			return i;
		}
	return -1;
}

static int count_restarted(const struct sim *sim)
{
	int count = 0;

	for (int i = 0; i < sim->worker_count; i++)
		count += sim->workers[i].done_wave == 1;
	return count;
}

/*
 * Guards against a drained host that each new owner of the hosts leaves without
 * an order for a while, as an earlier one may have ordered it, though none has.
 */
START_TEST(drained_host_is_ordered_as_owners_change)
{
	int64_t change_ms = 0;
	int64_t end_ms = 0;
	struct watch watch;
	int killed = -1;

	start_wave(&watch, FIRST_SEED + (uint64_t)_i);
	for (int64_t ms = 0; ms < WATCHED_MS; ms += STEP_MS) {
		sim_run_for(watch.sim, STEP_MS);
		if (note_runs(&watch) && !end_ms) {
			change_ms = ms;
			end_ms = ms + CHANGES_MS;
		}
		if (ms >= change_ms && ms < end_ms) {
			killed = replace_owner(watch.sim, killed);
			change_ms += CHANGE_GAP_MS;
		}
	}
	ck_assert_msg(!watch.sim->broken[0], "%s", watch.sim->broken);
	ck_assert_int_le(watch.longest_ms, AWAY_MS);
	ck_assert_int_eq(count_restarted(watch.sim), TASKS);
}
END_TEST

/*
 * Guards against a task that waits for its own host, which was drained and
 * cannot be ordered as the host service is away.
 */
START_TEST(drained_host_gets_its_task_back_as_the_service_is_away)
{
	int64_t back_ms = 0;
	struct watch watch;

	start_wave(&watch, FIRST_SEED + (uint64_t)_i);
	for (int64_t ms = 0; ms < WATCHED_MS; ms += STEP_MS) {
		sim_run_for(watch.sim, STEP_MS);
		if (note_runs(&watch) && !back_ms) {
			back_ms = ms + SERVICE_AWAY_MS;
			watch.sim->faults.host_list_down = true;
			watch.sim->hosts_obey = false;
		}
		if (ms == back_ms) {
			watch.sim->faults.host_list_down = false;
			watch.sim->hosts_obey = true;
		}
	}
	ck_assert_msg(!watch.sim->broken[0], "%s", watch.sim->broken);
	ck_assert_int_le(watch.longest_ms, AWAY_MS);
	ck_assert_int_eq(count_restarted(watch.sim), TASKS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("moved off");
	TCase *tcase = tcase_create("hosts that are drained");

	apr_initialize();
	log_init("test_moved_off", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, drained_host_is_ordered_as_owners_change, 0,
			    SEEDS);
	tcase_add_loop_test(
		tcase, drained_host_gets_its_task_back_as_the_service_is_away,
		0, SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
