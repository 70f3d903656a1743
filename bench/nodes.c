/*
 * Measures the CPU time of the node that owns a pool, by pool size and load.
 *
 * usage: bench_nodes [WORKERS LOAD-PERCENT]
 *
 * The log and the workers are simulated in one process on a manual clock. One
 * node owns the pool; callers submit jobs of two steps of eight tasks, each of
 * about 600 ms, at LOAD-PERCENT of the workers' capacity. Above 100% the backlog
 * of the queue grows. Only the CPU time of the node's ticks is counted; the
 * last column relates it to the simulated time.
 */

#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#include <apr_general.h>

#include "fleet_sim.h"
#include "log.h"

enum {
	SEED = 1,
	TASKS_PER_WORKER = 4, /* concurrent tasks of a simulated worker */
	TASK_MS = 600,
	STEPS = 2,
	WIDTH = 8,
	WARM_UP_MS = 3000,
	MEASURED_MS = 5000,
	SUBMIT_INTERVAL_MS = 100
};

static double ticks_us;
static uint64_t ticks;

static double cpu_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void measured_tick(struct node *node)
{
	double start_us = cpu_now_us();

	node_tick(node);
	ticks_us += cpu_now_us() - start_us;
	ticks++;
}

static void measure(int workers, int load_percent)
{
	struct sim *sim = sim_create(SEED, 1, workers);
	double tasks_per_ms = (double)workers * TASKS_PER_WORKER / TASK_MS *
			      load_percent / 100;
	double tasks_due = 0; /* tasks to submit, in whole jobs */
	uint32_t started;

	sim_run_for(sim, WARM_UP_MS);
	started = sim->started;
	sim->tick = measured_tick;
	ticks_us = 0;
	ticks = 0;
	for (int at_ms = 0; at_ms < MEASURED_MS; at_ms += SUBMIT_INTERVAL_MS) {
		tasks_due += tasks_per_ms * SUBMIT_INTERVAL_MS;
		while (tasks_due >= STEPS * WIDTH) {
			sim_submit_job(sim, 0, STEPS, WIDTH);
			tasks_due -= STEPS * WIDTH;
		}
		sim_run_for(sim, SUBMIT_INTERVAL_MS);
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
	printf("| workers | load | tasks started | us per tick | "
	       "us per task | core |\n|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		for (size_t k = 0; k < sizeof(loads) / sizeof(loads[0]); k++)
			measure(sizes[i], loads[k]);
	return 0;
}
