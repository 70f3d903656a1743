/*
 * Processor time of the node that owns a pool, by the pool's size and load.
 *
 * Simulates the log and the workers in one process on a manual clock. One node
 * owns the pool; callers hand in jobs of two steps of eight tasks, each of
 * half a second, for LOAD percent of the workers' room; more than it holds
 * makes a backlog grow, as in a turn of one queue. Printed is the processor
 * time of the node's ticks only, for each second of simulated time.
 */

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <apr_general.h>

#include "fleet_sim.h"
#include "log.h"

enum {
	SEED = 1,
	ROOM = 4, /* tasks at a time on a worker of the simulation */
	TASK_MS = 600,
	STEPS = 2,
	WIDTH = 8,
	WARM_UP_MS = 3000,
	MEASURED_MS = 5000,
	SLICE_MS = 100
};

static double ticks_us;
static uint64_t ticks;

static double now_us(void)
{
	struct timespec at;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &at);
	return (double)at.tv_sec * 1e6 + (double)at.tv_nsec / 1e3;
}

static void measured_tick(struct node *node)
{
	double start_us = now_us();

	node_tick(node);
	ticks_us += now_us() - start_us;
	ticks++;
}

static void measure(int workers, int load_percent)
{
	struct sim *sim = sim_create(SEED, 1, workers);
	double tasks_per_ms =
		(double)workers * ROOM / TASK_MS * load_percent / 100;
	double owed = 0; /* tasks */
	uint32_t started;

	sim_run_for(sim, WARM_UP_MS);
	started = sim->started;
	sim->tick = measured_tick;
	ticks_us = 0;
	ticks = 0;
	for (int at_ms = 0; at_ms < MEASURED_MS; at_ms += SLICE_MS) {
		owed += tasks_per_ms * SLICE_MS;
		while (owed >= STEPS * WIDTH) {
			sim_hand_in(sim, 0, STEPS, WIDTH);
			owed -= STEPS * WIDTH;
		}
		sim_run_for(sim, SLICE_MS);
	}
	started = sim->started - started;
	printf("| %d | %d%% | %u | %.1f | %.0f | %.2f%% |\n", workers,
	       load_percent, started, ticks_us / (double)ticks,
	       started ? ticks_us / started : 0,
	       ticks_us / (MEASURED_MS * 10.0));
	fflush(stdout);
}

int main(int argc, char **argv)
{
	static const int sizes[] = { 12, 50, 100, 200 };
	static const int loads[] = { 20, 90, 200 };

	apr_initialize();
	log_init("bench", true);
	if (argc == 3) {
		measure(atoi(argv[1]), atoi(argv[2]));
		return 0;
	}
	printf("| workers | load | tasks started | us a tick | us a task | "
	       "core |\n|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		for (size_t k = 0; k < sizeof(loads) / sizeof(loads[0]); k++)
			measure(sizes[i], loads[k]);
	return 0;
}
