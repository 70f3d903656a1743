/*
 * Guards against tasks that run twice, as an owner believes what it stores or
 * reads of leases though a later owner has extended them: owners change while
 * workers are cut off from some of them.
 */

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
	STEP_MS = 10,
	TASK_MS = 6000,
	SEEDS = 40,
	WORKERS = 6,
	/* Of which the first ones are cut off from some nodes at times. */
	CUT_WORKERS = 3,
	PLAY_MS = 45000,
	SETTLE_MS = 12000,
	LASTING_JOBS = 2,
	MAX_WIDTH = 4,
	/* Between two changes of the owner; some come later, after the leases
	   that the owner waits for. */
	MIN_GAP_MS = 300,
	GAP_RANGE_MS = 1700,
	LONG_GAP_MS = 5000,
	LONG_GAP_RANGE_MS = 4500,
	LONG_GAP_PERCENT = 15,
	SPLIT_GAP_PERCENT = 50, /* of these after a split */
	MAX_DOWN_MS = 1500,
	MAX_PAUSE_MS = 4500,
	MAX_LOG_CUT_MS = 4000,
	/* Of a worker that the owner reaches, with its next owner; and the
	   other way round. */
	CUT_PERCENT = 70,
	REACH_PERCENT = 60,
	ANSWERS_PERCENT = 25, /* of the cuts: only answers are lost */
	TURN_PERCENT = 20,    /* the owner's own link changes too */
	ENTRY_PERCENT = 15,
	LOG_FAULT_PERCENT = 40,
	TRIM_PERCENT = 20,
	CUT_LATE_PERCENT = 5,
	/* Slowest clock that the nodes tolerate. */
	SLOW_PERCENT = 98
};

static int first_seed = 1000;

/* Owners that change while workers are cut off from some of them. */
struct play {
	struct sim *sim;
	struct fleet_restarts nodes;	    /* of which only start_ms is used */
	int64_t resume_ms[SIM_MAX_NODES];   /* 0: not paused */
	int64_t log_back_ms[SIM_MAX_NODES]; /* 0: not cut off from the log */
	int owner;
	/* Of each of the first workers: odd after an owner that does not reach
	   it, even after one that does. */
	int turns[CUT_WORKERS];
	int chains; /* times that a worker was cut off, reached, cut off */
	int split;  /* node that has the first workers for itself; -1: none */
};

static uint32_t below(struct play *play, uint32_t bound)
{
	return (uint32_t)rnd_below(&play->sim->rnd, bound);
}

static bool by_chance(struct play *play, uint32_t percent)
{
	return below(play, 100) < percent;
}

static bool is_at_work(const struct sim_node *node)
{
	return node->alive && !node->paused && !node->cut_from_log &&
	       !node->node->stopping;
}

static int count_at_work(const struct sim *sim)
{
	int count = 0;

	for (int i = 0; i < sim->node_count; i++)
		count += is_at_work(&sim->nodes[i]);
	return count;
}

/* Notes owners that do not reach a worker, with one between that does. */
static void note_owner(struct play *play)
{
	int owner = fleet_owner(play->sim);

	if (owner < 0 || owner == play->owner)
		return;
	play->owner = owner;
	for (int i = 0; i < CUT_WORKERS; i++) {
		bool cut = play->sim->nodes[owner].cut_from_worker[i];

		if (play->turns[i] % 2 != cut)
			play->turns[i]++;
		if (play->turns[i] == 3) {
			play->chains++;
			play->turns[i] = 1;
		}
	}
}

static void step_play(struct play *play)
{
	struct sim *sim = play->sim;

	sim_run_for(sim, STEP_MS);
	for (int i = 0; i < sim->node_count; i++) {
		struct sim_node *node = &sim->nodes[i];

		fleet_restarts_step_node(&play->nodes, i);
		if (play->log_back_ms[i] &&
		    sim->clk.manual_ms >= play->log_back_ms[i]) {
			node->cut_from_log = false;
			play->log_back_ms[i] = 0;
		}
		if (!play->resume_ms[i] ||
		    sim->clk.manual_ms < play->resume_ms[i])
			continue;
		play->resume_ms[i] = 0;
		if (node->alive && node->paused)
			sim_resume(sim, i);
	}
	note_owner(play);
}

/*
 * Leaves the owner with the first workers, and the other nodes with the rest: no
 * order of the next owner tells it that its tenure is over.
 */
static void split_workers(struct play *play, int owner)
{
	struct sim *sim = play->sim;

	for (int i = 0; i < sim->node_count; i++)
		for (int j = 0; j < sim->worker_count; j++) {
			sim->nodes[i].cut_from_worker[j] =
				(i == owner) != (j < CUT_WORKERS);
			sim->nodes[i].answers_lost[j] = false;
		}
	play->split = owner;
}

static void end_split(struct play *play)
{
	struct sim *sim = play->sim;

	for (int i = CUT_WORKERS; play->split >= 0 && i < WORKERS; i++)
		sim->nodes[play->split].cut_from_worker[i] = false;
	play->split = -1;
}

/* As fleet_cut_reassign, by the random numbers of the play. */
static void reassign(struct play *play)
{
	struct log_model *log = play->sim->log;
	uint32_t turns = 1 + below(play, MAX(log->members->len, 2) - 1);

	log_info("sim-reassigned at_ms=%" G_GINT64_FORMAT,
		 play->sim->clk.manual_ms);
	for (uint32_t i = 0; i < turns; i++)
		log_model_reassign_all(log);
}

/* Ends the tenure of the pool's owner, or lets the log give all parts away. */
static void change_owner(struct play *play)
{
	struct sim *sim = play->sim;
	int owner = fleet_owner(sim);
	int64_t now_ms = sim->clk.manual_ms;

	if (owner < 0 || !is_at_work(&sim->nodes[owner]) ||
	    count_at_work(sim) < 2) {
		reassign(play);
		return;
	}
	switch (below(play, 6)) {
	case 0:
	case 1:
		fleet_restarts_stop_node(sim, owner);
		break;
	case 2:
		sim_kill(sim, owner);
		play->nodes.start_ms[owner] = now_ms + below(play, MAX_DOWN_MS);
		break;
	case 3:
		sim_pause(sim, owner);
		play->resume_ms[owner] = now_ms + 1 + below(play, MAX_PAUSE_MS);
		if (by_chance(play, 50))
			split_workers(play, owner);
		if (by_chance(play, 50))
			reassign(play);
		break;
	case 4:
		if (by_chance(play, 70))
			split_workers(play, owner);
		sim->nodes[owner].cut_from_log = true;
		play->log_back_ms[owner] =
			now_ms + 1 + below(play, MAX_LOG_CUT_MS);
		reassign(play);
		break;
	default:
		reassign(play);
		break;
	}
}

static void set_link(struct play *play, struct sim_node *node, int worker,
		     bool cut)
{
	bool answers = by_chance(play, ANSWERS_PERCENT);

	node->cut_from_worker[worker] = cut && !answers;
	node->answers_lost[worker] = cut && answers;
}

/*
 * Changes the links of all nodes but the owner to the first workers: mostly, the
 * next owner does not reach those that this one reaches, and the other way round.
 */
static void change_links(struct play *play)
{
	struct sim *sim = play->sim;

	for (int i = 0; i < CUT_WORKERS; i++) {
		bool reached = play->owner >= 0 &&
			       !sim->nodes[play->owner].cut_from_worker[i];

		for (int j = 0; j < sim->node_count; j++) {
			bool cut = reached ? by_chance(play, CUT_PERCENT)
					   : !by_chance(play, REACH_PERCENT);

			if (j != play->owner || by_chance(play, TURN_PERCENT))
				set_link(play, &sim->nodes[j], i, cut);
		}
		if (sim->workers[i].up && by_chance(play, ENTRY_PERCENT))
			sim_set_worker_listed(sim, i, !sim->workers[i].listed);
	}
}

/* Answers of the log are lost or late for a while, and its history is deleted. */
static void change_log(struct play *play)
{
	struct sim *sim = play->sim;
	int node = (int)below(play, (uint32_t)sim->node_count);

	sim->faults = (struct sim_faults){ 0 };
	for (int i = 0; i < sim->node_count; i++)
		sim->nodes[i].log_answers_lost = false;
	if (by_chance(play, LOG_FAULT_PERCENT)) {
		sim->faults.lost_percent = 20 * below(play, 3);
		sim->faults.late_percent = 10 * below(play, 2);
		sim->faults.refused_percent = 20 * below(play, 2);
		sim->faults.append_answer_ms = 150 * below(play, 3);
		sim->faults.order_lost_percent = 15 * below(play, 2);
		sim->faults.order_late_percent = 10 * below(play, 2);
		sim->nodes[node].log_answers_lost = by_chance(play, 25);
	}
	if (by_chance(play, TRIM_PERCENT))
		log_model_trim(sim->log, "keyed.jobs", G_MAXINT64);
}

static int64_t draw_gap_ms(struct play *play)
{
	if (by_chance(play,
		      play->split >= 0 ? SPLIT_GAP_PERCENT : LONG_GAP_PERCENT))
		return LONG_GAP_MS + below(play, LONG_GAP_RANGE_MS);
	return MIN_GAP_MS + below(play, GAP_RANGE_MS);
}

static void submit_jobs(struct play *play, bool lasting)
{
	struct sim *sim = play->sim;
	int32_t width = 1 + (int32_t)below(play, MAX_WIDTH);

	for (int i = 0; i < sim->node_count; i++) {
		if (!is_at_work(&sim->nodes[i]))
			continue;
		if (lasting)
			sim_submit_lasting_job(sim, i, width);
		else
			sim_submit_job(sim, i, 1, width);
		return;
	}
}

static void begin_play(struct play *play, uint64_t seed)
{
	struct sim *sim = sim_create(seed, 3 + (int)(seed % 3), WORKERS);

	*play = (struct play){ .sim = sim,
			       .nodes = { .sim = sim },
			       .split = -1 };
	sim->stale_answers = true;
	sim_set_lease_max(sim, sim->lease_max_ms);
	sim->cut_late_percent = CUT_LATE_PERCENT;
	sim->task_ms = seed % 4 < 2 ? TASK_MS : TASK_MS / 2;
	for (int i = 0; i < WORKERS; i++) {
		if (seed % 2)
			sim->workers[i].rate_percent = SLOW_PERCENT;
	}
	sim_run_for(sim, START_MS);
	for (int i = 0; i < LASTING_JOBS; i++)
		submit_jobs(play, true);
	sim_run_for(sim, START_MS);
	play->owner = fleet_owner(sim);
}

static void end_play(struct play *play)
{
	struct sim *sim = play->sim;

	for (int i = 0; i < sim->node_count; i++) {
		sim->nodes[i].log_answers_lost = false;
		memset(sim->nodes[i].answers_lost, 0,
		       sizeof(sim->nodes[i].answers_lost));
	}
	fleet_lift_faults(sim);
	for (int i = 0; i < SETTLE_MS / STEP_MS; i++)
		step_play(play);
}

/*
 * Guards against a second run of a task beside one whose worker is only cut off:
 * what an owner stores or reads of leases that are no longer extended must not be
 * believed once a later owner has reached the worker and extended its lease.
 */
START_TEST(no_task_runs_twice_though_owners_change_beside_cuts)
{
	struct play play;
	struct sim *sim;
	int64_t end_ms;

	begin_play(&play, (uint64_t)_i + (uint64_t)first_seed);
	sim = play.sim;
	end_ms = sim->clk.manual_ms + PLAY_MS;
	while (sim->clk.manual_ms < end_ms && !sim->broken[0]) {
		int64_t next_ms;

		end_split(&play);
		change_log(&play);
		change_links(&play);
		change_owner(&play);
		next_ms = sim->clk.manual_ms + draw_gap_ms(&play);
		submit_jobs(&play, false);
		while (sim->clk.manual_ms < next_ms)
			step_play(&play);
	}
	end_play(&play);
	log_info("sim-play-ended chains=%d started=%u", play.chains,
		 sim->started);
	ck_assert_msg(!sim->broken[0], "seed %d: %s", _i + first_seed,
		      sim->broken);
	ck_assert_int_gt(play.chains, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("tenures beside cuts");
	TCase *tcase = tcase_create("owners that change beside cuts");
	/* For a search over more seeds, or one seed with its log. */
	const char *from = getenv("PLANK_FIRST_SEED");
	const char *count = getenv("PLANK_SEEDS");

	if (from)
		first_seed = atoi(from);
	apr_initialize();
	log_init("test_tenure_cuts", !getenv("PLANK_VERBOSE"));
	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase,
			    no_task_runs_twice_though_owners_change_beside_cuts,
			    0, count ? atoi(count) : SEEDS);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
