/*
 * Runs many seeds of random faults on complete nodes, and writes the section of
 * docs/PROOF.md on them. Each guard that the nodes rely on is disabled in turn,
 * and the checks must find a violated invariant; with all guards there must be
 * none.
 *
 * usage: explore FIRST-SEED SEEDS   run these seeds and print the violations
 *        explore FILE               write the section of the page to the file
 */

#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <apr_general.h>

#include "fleet_play.h"
#include "log.h"

enum {
	SEEDS = 10000,
	SEARCHED_SEEDS = 1000,
	SEEDS_PER_PROCESS = 250,
	PROCESSES = 4
};

static const struct {
	enum fleet_guard without;
	const char *what;
} guards[] = {
	{ FLEET_NO_EPOCHS, "the log refuses appends of a former owner" },
	{ FLEET_NO_FENCES, "workers refuse orders of a former owner" },
	{ FLEET_NO_LEASES, "runs end when their lease expires" },
	{ FLEET_NO_RUN_NUMBERS, "workers remember the runs that have ended" },
	{ FLEET_SLOW_CLOCKS, "workers' clocks are at most 2% slow" },
};

static int run_seeds(uint64_t first, uint64_t count)
{
	int broken = 0;

	for (uint64_t seed = first; seed < first + count; seed++) {
		struct fleet_play play = { 0 };

		fleet_play(seed, &play);
		if (play.broken[0])
			fprintf(stderr, "seed %llu: %s\n",
				(unsigned long long)seed, play.broken);
		broken += play.broken[0] != 0;
	}
	return broken != 0;
}

/*
 * A simulation never frees its memory, so each chunk of seeds runs in a process
 * of its own.
 */
static int run_all_seeds(void)
{
	int running = 0, broken = 0;

	for (uint64_t first = 1; first <= SEEDS || running;) {
		int status;

		if (first <= SEEDS && running < PROCESSES) {
			if (fork() == 0)
				_exit(run_seeds(first, SEEDS_PER_PROCESS));
			first += SEEDS_PER_PROCESS;
			running++;
			continue;
		}
		wait(&status);
		broken += status != 0;
		running--;
	}
	return broken;
}

static int write_guard(FILE *out, enum fleet_guard without, const char *what)
{
	for (uint64_t seed = 1; seed <= SEARCHED_SEEDS; seed++) {
		struct fleet_play play = { .disabled = without };

		fleet_play(seed, &play);
		if (!play.broken[0])
			continue;
		fprintf(out, "| %s | %llu | %s |\n", what,
			(unsigned long long)seed, play.broken);
		return 0;
	}
	fprintf(out, "| %s | none | |\n", what);
	return 1;
}

static int write_section(FILE *out)
{
	int undetected = 0, broken;

	fprintf(out,
		"\n## Nodes on the users' platform\n\n"
		"Random faults of three complete nodes, five workers and the "
		"log (tests/fleet_play.c).\nEach row disables one guard that "
		"the nodes rely on, and names the first seed of 1 to %d\nthat "
		"violates an invariant.\n\n"
		"| guard | first seed without it | violation |\n"
		"|---|---|---|\n",
		SEARCHED_SEEDS);
	for (size_t i = 0; i < sizeof(guards) / sizeof(guards[0]); i++)
		undetected +=
			write_guard(out, guards[i].without, guards[i].what);
	fflush(out);
	broken = run_all_seeds();
	fprintf(out, "\nWith all guards, %s in seeds 1 to %d.\n",
		broken ? "invariants are violated" : "no invariant is violated",
		SEEDS);
	return undetected || broken;
}

int main(int argc, char **argv)
{
	FILE *out;
	int status;

	apr_initialize();
	log_init("explore", true);
	if (argc == 3)
		return run_seeds(strtoull(argv[1], NULL, 10),
				 strtoull(argv[2], NULL, 10));
	out = argc == 2 ? fopen(argv[1], "w") : NULL;
	if (!out) {
		fprintf(stderr, "usage: explore FILE | FIRST-SEED SEEDS\n");
		return 2;
	}
	status = write_section(out);
	fclose(out);
	return status;
}
