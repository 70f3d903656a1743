#include "fleet_cut.h"

#include <string.h>

#include "log.h"

enum {
	/* Memberships are renewed at this interval. */
	RENEW_MS = 400,
	/* Three heartbeat intervals of a worker. */
	MIN_EXPIRE_MS = 600,
	EXPIRE_RANGE_MS = 2400,
	MAX_DOWN_MS = 1000, /* of a worker that starts again under its id */
	MAX_PAUSE_MS = 4500,
	MAX_GAP_MS = 1500,
	/* The longest cuts outlast all leases that an owner inside may give. */
	MIN_CUT_MS = 3000,
	CUT_RANGE_MS = 13000,
	NODES = 4,
	WORKERS = 8,
	/* Makes two shares of the hosts, with every second seed. */
	SHARED_HOSTS = 4,
	WARM_UP_MS = 3000,
	FAULT_STEPS = 60,
	FAULT_STEP_MS = 400,
	JOBS = 40,
	/* Of the first jobs, one in so many is long-running. */
	LASTING_GAP = 3,
	LASTING_UNTIL = 12,
	CANCEL_STEPS = 10,
	/* After the faults, until long-running jobs are cancelled. */
	SETTLE_MS = 12000,
	RECOVERY_MS = 90000,
	/* Longer than a task waits for a lease that may still be valid. */
	IDLE_MS = 15000,
	IDLE_STEP_MS = 500,
	/* Longest lease of the workers; nodes ask for less. */
	CUT_LATE_PERCENT = 5
};

/* Least duration of the tasks of a play, and steps from job to job. */
static const struct {
	int64_t task_ms;
	int job_steps;
} loads[] = { { 400, 1 }, { 3000, 3 }, { 8000, 6 } };

static uint32_t below(struct fleet_cut *cut, uint32_t bound)
{
	return rnd_below(&cut->sim->rnd, bound);
}

void fleet_cut_init(struct fleet_cut *cut, struct sim *sim)
{
	*cut = (struct fleet_cut){ .sim = sim, .centre = -1 };
	cut->centre_count = 2 + (int)below(cut, FLEET_CUT_MAX_CENTRES - 1);
	cut->percent = 30 * below(cut, 4);
	for (int i = 0; i < sim->node_count; i++)
		cut->node_centre[i] = i % cut->centre_count;
	for (int i = 0; i < sim->worker_count; i++)
		cut->worker_centre[i] = i % cut->centre_count;
}

/* Sets the links of all nodes to what the cut allows. */
static void set_links(struct fleet_cut *cut)
{
	struct sim *sim = cut->sim;
	bool answers = cut->form == FLEET_CUT_ANSWERS;

	for (int i = 0; i < sim->node_count; i++) {
		struct sim_node *node = &sim->nodes[i];
		bool inside = cut->node_centre[i] == cut->centre;

		node->cut_from_log = inside && !answers;
		node->log_answers_lost = inside && answers;
		node->cut_from_host_list = inside;
		for (int j = 0; j < sim->worker_count; j++) {
			bool apart = cut->form != FLEET_CUT_LOG &&
				     inside != (cut->worker_centre[j] ==
						cut->centre);

			node->cut_from_worker[j] = apart && !answers;
			node->answers_lost[j] = apart && answers;
		}
	}
}

static bool is_cut_worker(const struct fleet_cut *cut, int worker)
{
	return cut->form != FLEET_CUT_LOG &&
	       cut->worker_centre[worker] == cut->centre;
}

void fleet_cut_start(struct fleet_cut *cut, int centre,
		     enum fleet_cut_form form)
{
	if (cut->centre >= 0)
		fleet_cut_end(cut);
	cut->centre = centre;
	cut->form = form;
	cut->quiet = below(cut, 2);
	cut->end_ms =
		cut->sim->clk.manual_ms + MIN_CUT_MS + below(cut, CUT_RANGE_MS);
	cut->expire_ms = cut->sim->clk.manual_ms + MIN_EXPIRE_MS +
			 below(cut, EXPIRE_RANGE_MS);
	set_links(cut);
	log_info("sim-cut at_ms=%" G_GINT64_FORMAT " centre=%d of=%d "
		 "form=%d",
		 cut->sim->clk.manual_ms, centre, cut->centre_count, form);
}

void fleet_cut_end(struct fleet_cut *cut)
{
	struct sim *sim = cut->sim;
	int centre = cut->form == FLEET_CUT_LOG ? -1 : cut->centre;

	cut->centre = -1;
	cut->expire_ms = 0;
	set_links(cut);
	log_info("sim-cut-ended at_ms=%" G_GINT64_FORMAT, sim->clk.manual_ms);
	for (int i = 0; centre >= 0 && i < sim->worker_count; i++)
		if (cut->worker_centre[i] == centre && sim->workers[i].up)
			sim_set_worker_listed(sim, i, true);
}

static void expire_entries(struct fleet_cut *cut)
{
	struct sim *sim = cut->sim;

	if (!cut->expire_ms || sim->clk.manual_ms < cut->expire_ms)
		return;
	cut->expire_ms = 0;
	for (int i = 0; i < sim->worker_count; i++)
		if (is_cut_worker(cut, i) && sim->workers[i].listed)
			sim_set_worker_listed(sim, i, false);
}

void fleet_cut_run_for(struct fleet_cut *cut, int64_t ms)
{
	int64_t until_expiry_ms = cut->expire_ms - cut->sim->clk.manual_ms;

	if (cut->expire_ms && until_expiry_ms <= ms) {
		sim_run_for(cut->sim, until_expiry_ms);
		expire_entries(cut);
		ms -= until_expiry_ms;
	}
	sim_run_for(cut->sim, ms);
}

/* Members that have left stay in the model's list; to move one changes nothing. */
void fleet_cut_reassign(struct sim *sim)
{
	uint32_t members = MAX(sim->log->members->len, 2);
	uint32_t turns = 1 + rnd_below(&sim->rnd, members - 1);

	log_info("sim-reassigned at_ms=%" G_GINT64_FORMAT, sim->clk.manual_ms);
	for (uint32_t i = 0; i < turns; i++)
		log_model_reassign_all(sim->log);
}

void fleet_cut_revive(struct fleet_cut *cut, int index)
{
	struct sim *sim = cut->sim;
	struct sim_worker *worker = &sim->workers[index];
	bool listed = worker->listed;

	if (!worker->up)
		return;
	sim_crash_worker(sim, index);
	fleet_cut_run_for(cut, 10 + below(cut, MAX_DOWN_MS));
	if (worker->up)
		return;
	if (is_cut_worker(cut, index))
		worker->entry_delay_ms = G_MAXINT32;
	sim_restart_worker(sim, index);
	if (is_cut_worker(cut, index))
		worker->list_at_ms = 0;
	worker->listed = worker->listed || listed;
}

static int random_worker_inside(struct fleet_cut *cut)
{
	int from = (int)below(cut, (uint32_t)cut->sim->worker_count);

	for (int i = 0; i < cut->sim->worker_count; i++) {
		int worker = (from + i) % cut->sim->worker_count;

		if (is_cut_worker(cut, worker))
			return worker;
	}
	return from;
}

static void pause_or_kill(struct fleet_cut *cut)
{
	struct sim *sim = cut->sim;
	int node = (int)below(cut, (uint32_t)sim->node_count);

	if (!sim->nodes[node].alive || sim->nodes[node].paused)
		return;
	if (below(cut, 2)) {
		sim_kill(sim, node);
		fleet_cut_run_for(cut, below(cut, MAX_GAP_MS));
		sim_start(sim, node);
		return;
	}
	sim_pause(sim, node);
	fleet_cut_run_for(cut, below(cut, MAX_PAUSE_MS));
	if (sim->nodes[node].alive && sim->nodes[node].paused)
		sim_resume(sim, node);
}

/* Most cuts are both ways. */
static enum fleet_cut_form random_form(struct fleet_cut *cut)
{
	return below(cut, 3) ? FLEET_CUT_BOTH_WAYS
			     : below(cut, FLEET_CUT_FORM_COUNT);
}

/*
 * A cut around the owner, a reassignment before it has noticed, and what may
 * come on top: a worker that restarts there, a node that is paused or killed,
 * a second reassignment.
 */
static void inject_succession(struct fleet_cut *cut)
{
	int owner = fleet_owner(cut->sim);
	int centre = owner < 0 ? (int)below(cut, (uint32_t)cut->centre_count)
			       : cut->node_centre[owner];

	fleet_cut_start(cut, centre, random_form(cut));
	fleet_cut_run_for(cut, below(cut, RENEW_MS));
	fleet_cut_reassign(cut->sim);
	fleet_cut_run_for(cut, below(cut, RENEW_MS));
	if (!below(cut, 3))
		fleet_cut_revive(cut, random_worker_inside(cut));
	if (!below(cut, 4))
		pause_or_kill(cut);
	fleet_cut_run_for(cut, below(cut, MAX_GAP_MS));
	if (!below(cut, 4))
		fleet_cut_reassign(cut->sim);
}

static void inject_plain_fault(struct fleet_cut *cut)
{
	if (below(cut, 100) >= cut->percent)
		return;
	fleet_inject_fault(cut->sim);
	if (cut->centre >= 0)
		set_links(cut);
}

static void inject_during_cut(struct fleet_cut *cut)
{
	switch (below(cut, 16)) {
	case 0:
		fleet_cut_reassign(cut->sim);
		break;
	case 1:
		fleet_cut_revive(cut, random_worker_inside(cut));
		break;
	case 2:
		pause_or_kill(cut);
		break;
	default:
		inject_plain_fault(cut);
		break;
	}
}

void fleet_cut_inject(struct fleet_cut *cut)
{
	int worker = (int)below(cut, (uint32_t)cut->sim->worker_count);
	int centre = (int)below(cut, (uint32_t)cut->centre_count);

	if (cut->centre >= 0 && cut->sim->clk.manual_ms < cut->end_ms) {
		if (!cut->quiet)
			inject_during_cut(cut);
		return;
	}
	if (cut->centre >= 0)
		fleet_cut_end(cut);
	switch (below(cut, 12)) {
	case 0:
		fleet_cut_start(cut, centre, random_form(cut));
		break;
	case 1:
		fleet_cut_reassign(cut->sim);
		break;
	case 2:
	case 3:
	case 4:
	case 5:
		inject_succession(cut);
		break;
	case 6:
		fleet_cut_revive(cut, worker);
		break;
	default:
		inject_plain_fault(cut);
		break;
	}
}

static struct sim *create_sim(uint64_t seed, const struct fleet_play *play)
{
	struct sim *sim = sim_create_shared(seed, NODES, WORKERS,
					    seed % 2 ? SHARED_HOSTS
						     : NODECONF_SHARE_HOSTS);

	fleet_disable_guard(sim, play->disabled);
	sim->stale_answers = true;
	sim_set_lease_max(sim, sim->lease_max_ms);
	sim->cut_late_percent = CUT_LATE_PERCENT;
	sim->task_ms = loads[seed % G_N_ELEMENTS(loads)].task_ms;
	/* Some seeds have one or two nodes that cannot be deciders. */
	if (seed % 4 > 1)
		sim_restart_with_slow_link(sim, (int)(seed / 4 % NODES));
	if (seed % 8 == 7)
		sim_restart_with_slow_link(sim, (int)((seed / 4 + 1) % NODES));
	return sim;
}

static struct sim_job *submit_job(struct fleet_cut *cut, int node, int number)
{
	int steps = 1 + (int)below(cut, 3);
	int width = 1 + (int)below(cut, 6);

	return number < LASTING_UNTIL && number % LASTING_GAP == 1
		       ? sim_submit_lasting_job(cut->sim, node, 1 + width / 2)
		       : sim_submit_job(cut->sim, node, steps, width);
}

static void play_steps(struct fleet_cut *cut, int job_steps)
{
	struct sim *sim = cut->sim;
	struct sim_job *jobs[JOBS];
	int submitted = 0;

	for (int step = 0; step < FAULT_STEPS && !sim->broken[0]; step++) {
		int node = fleet_pick_node(sim);

		if (node >= 0 && submitted < JOBS && step % job_steps == 0) {
			jobs[submitted] = submit_job(cut, node, submitted);
			submitted++;
		}
		if (node >= 0 && submitted && !below(cut, CANCEL_STEPS))
			sim_cancel(sim, node,
				   jobs[below(cut, (uint32_t)submitted)]);
		fleet_cut_inject(cut);
		fleet_cut_run_for(cut, FAULT_STEP_MS);
	}
}

static void cancel_lasting_jobs(struct sim *sim)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, sim->jobs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct sim_job *job = value;

		if (job->lasting && job->accepted)
			sim_cancel(sim, 0, job);
	}
}

static bool is_any_at_work(const struct sim *sim)
{
	for (int i = 0; i < sim->worker_count; i++)
		if (sim->workers[i].up && sim->workers[i].model.runs->len)
			return true;
	return false;
}

/* Goes on until nothing has run for a while. */
static void run_until_idle(struct sim *sim)
{
	int64_t idle_ms = 0;

	for (int64_t passed_ms = 0;
	     passed_ms < RECOVERY_MS && idle_ms < IDLE_MS;
	     passed_ms += IDLE_STEP_MS) {
		sim_run_for(sim, IDLE_STEP_MS);
		idle_ms = is_any_at_work(sim) ? 0 : idle_ms + IDLE_STEP_MS;
	}
}

void fleet_cut_play(uint64_t seed, struct fleet_play *play)
{
	struct sim *sim = create_sim(seed, play);
	struct fleet_cut cut;

	fleet_cut_init(&cut, sim);
	fleet_limit_attempts(sim, play);
	sim_run_for(sim, WARM_UP_MS);
	play_steps(&cut, loads[seed % G_N_ELEMENTS(loads)].job_steps);
	fleet_cut_end(&cut);
	fleet_lift_faults(sim);
	if (!sim->broken[0])
		sim_run_for(sim, SETTLE_MS);
	cancel_lasting_jobs(sim);
	if (!sim->broken[0])
		run_until_idle(sim);
	g_strlcpy(play->broken, sim->broken, sizeof(play->broken));
	if (!play->broken[0])
		fleet_check_ends(sim, play);
	play->started += sim->started;
}
