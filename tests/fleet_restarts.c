#include "fleet_restarts.h"

#include "fleet_play.h"
#include "log.h"
#include "node_int.h"

enum {
	RESTART_GAP_MS = 1000,
	RESTARTS_MS = 12000,
	/* A stopped node ends, and starts again after a while. */
	MAX_STOP_MS = 2000,
	DOWN_MS = 200
};

void fleet_restarts_begin(struct fleet_restarts *restarts, struct sim *sim,
			  int first, int64_t after_ms)
{
	*restarts = (struct fleet_restarts){
		.sim = sim,
		.next = first,
		.due_ms = sim->clk.manual_ms + after_ms,
		.end_ms = sim->clk.manual_ms + after_ms + RESTARTS_MS,
		.owner = fleet_owner(sim),
	};
}

void fleet_restarts_stop_node(struct sim *sim, int node)
{
	log_info("sim-node-stopped at_ms=%" G_GINT64_FORMAT " index=%d",
		 sim->clk.manual_ms, node);
	node_stop(sim->nodes[node].node, sim->clk.manual_ms + MAX_STOP_MS);
}

void fleet_restarts_step_node(struct fleet_restarts *restarts, int index)
{
	struct sim *sim = restarts->sim;
	struct sim_node *node = &sim->nodes[index];
	int64_t now_ms = sim->clk.manual_ms;

	if (node->alive && node->node->stopping && !node->paused &&
	    (node_stopped(node->node) ||
	     now_ms - node->node->stop_ms >= MAX_STOP_MS)) {
		sim_kill(sim, index);
		restarts->start_ms[index] = now_ms + DOWN_MS;
	} else if (!node->alive && now_ms >= restarts->start_ms[index]) {
		sim_start(sim, index);
	}
}

void fleet_restarts_step(struct fleet_restarts *restarts, int64_t step_ms)
{
	struct sim *sim = restarts->sim;
	int owner;

	sim_run_for(sim, step_ms);
	for (int i = 0; i < sim->node_count; i++)
		fleet_restarts_step_node(restarts, i);
	if (sim->clk.manual_ms >= restarts->due_ms &&
	    sim->clk.manual_ms < restarts->end_ms) {
		fleet_restarts_stop_node(sim, restarts->next);
		restarts->next = (restarts->next + 1) % sim->node_count;
		restarts->due_ms += RESTART_GAP_MS;
	}
	owner = fleet_owner(sim);
	if (owner >= 0 && owner != restarts->owner) {
		restarts->owner = owner;
		restarts->tenures++;
	}
}
