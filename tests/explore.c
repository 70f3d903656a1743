/*
 * Plays many seeds of random troubles with whole nodes, and prints the part of
 * docs/PROOF.md on them: what the nodes rely on is taken away in turn, and the
 * judges must notice; with nothing taken away no promise may be broken.
 *
 * usage: explore FIRST-SEED SEEDS   only plays them, and prints what is broken
 *        explore FILE               writes the page's part to the file
 */

#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <apr_general.h>

#include "fleet_play.h"
#include "log.h"

enum { SEEDS = 10000, SEARCHED = 1000, CHUNK = 250, SIDE_BY_SIDE = 4 };

static const struct {
	enum fleet_support without;
	const char *what;
} rows[] = {
	{ FLEET_NO_EPOCHS, "the log refuses appends of a former owner" },
	{ FLEET_NO_FENCES, "workers refuse orders of a former owner" },
	{ FLEET_NO_LEASES, "runs end with their lease" },
	{ FLEET_NO_NUMBERS, "workers know the runs that have ended" },
	{ FLEET_SLOW_CLOCKS, "workers' clocks are 2% slow at most" },
};

static int play_seeds(uint64_t first, uint64_t count)
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

/* A play keeps its memory, hence each chunk of seeds has its own process. */
static int play_all(void)
{
	int running = 0, broken = 0;

	for (uint64_t first = 1; first <= SEEDS || running;) {
		int status;

		if (first <= SEEDS && running < SIDE_BY_SIDE) {
			if (fork() == 0)
				_exit(play_seeds(first, CHUNK));
			first += CHUNK;
			running++;
			continue;
		}
		wait(&status);
		broken += status != 0;
		running--;
	}
	return broken;
}

static int show_guard(FILE *out, enum fleet_support without, const char *what)
{
	for (uint64_t seed = 1; seed <= SEARCHED; seed++) {
		struct fleet_play play = { .without = without };

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

static int prove(FILE *out)
{
	int unproved = 0, broken;

	fprintf(out,
		"\n## Nodes on the users' platform\n\n"
		"Random troubles of three whole nodes, five workers and the "
		"log "
		"(tests/fleet_play.c).\nEach row takes away what the nodes "
		"rely "
		"on, and names the first seed of 1 to %d\nthat breaks a "
		"promise.\n\n"
		"| relied on | without it: seed | what is broken |\n"
		"|---|---|---|\n",
		SEARCHED);
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		unproved += show_guard(out, rows[i].without, rows[i].what);
	fflush(out);
	broken = play_all();
	fprintf(out, "\nWith all of it, %s in seeds 1 to %d.\n",
		broken ? "promises are broken" : "no promise is broken", SEEDS);
	return unproved || broken;
}

int main(int argc, char **argv)
{
	FILE *out;
	int status;

	apr_initialize();
	log_init("explore", true);
	if (argc == 3)
		return play_seeds(strtoull(argv[1], NULL, 10),
				  strtoull(argv[2], NULL, 10));
	out = argc == 2 ? fopen(argv[1], "w") : NULL;
	if (!out) {
		fprintf(stderr, "usage: explore FILE | FIRST-SEED SEEDS\n");
		return 2;
	}
	status = prove(out);
	fclose(out);
	return status;
}
