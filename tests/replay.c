/*
 * Replays a session file and prints the outcome, or prints the random session
 * of a seed; `prove` shows that each guard is needed and prints docs/PROOF.md.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "schedule.h"

enum { PROVE_SEEDS = 2000 };

static char text[SCHEDULE_BYTES];

static const char page_head[] =
	"# Proof of the safety properties\n\n"
	"Written by `make prove`. Random sessions of the fleet stream "
	"(tests/schedule.c)\nare replayed over fleet, replica and member with "
	"four "
	"entry hosts in two data centres\n(tests/session.c). tests/oracle.c "
	"checks the promises after each record and each\nstep. Each row "
	"switches one guard off and names the first seed whose session\n"
	"breaks the promise; with all guards on no seed may break any.\n\n";

static const char page_not_proved[] =
	"\n## Not proved\n\n"
	"- A request in another data centre may still run when its host is "
	"rebooted, if its\n  member's lease ended meanwhile (last row): the "
	"drain no longer waits for that\n  member. plank-entryd does not end "
	"such requests, and a paused process cannot.\n"
	"- The entry hosts are a model of plank-entryd with one replica each. "
	"RPC between\n  fleetd and entryd, start from a peer without the "
	"platform, and the platform's\n  host list are not part of it.\n"
	"- Two processes of one name that run at the same time, clocks of "
	"different speed,\n  and a `member-left` for a process that still "
	"runs.\n"
	"- A worker host whose listed data centre changes during a drain.\n"
	"- More than 2,048 records between two copies of one record.\n"
	"- A search over seeds finds faults; it cannot show that there are "
	"none.\n";

/* Replays all seeds with all guards enabled; returns the number of violations. */
static uint32_t replay_seeds(struct session_result *total)
{
	struct session_result result;
	uint32_t violations = 0;

	for (uint64_t seed = 1; seed <= PROVE_SEEDS; seed++) {
		schedule_make(seed, text);
		session_run(text, 0, SESSION_ALL, NULL, &result);
		violations += result.violation != NULL;
		if (result.violation)
			fprintf(stderr, "seed %llu: %s\n",
				(unsigned long long)seed, result.violation);
		total->records += result.records;
		total->accepted += result.accepted;
		total->sent += result.sent;
		total->drained += result.drained;
		total->cut_off += result.cut_off;
	}
	return violations;
}

static int prove(void)
{
	struct session_result total = { 0 };
	uint32_t violations = replay_seeds(&total), unproved = 0;

	printf("%s| promise | scenario | guard | guard off: violation at seed "
	       "| lines after shrinking | guard on: violations | seeds |\n"
	       "|---|---|---|---|---|---|---|\n",
	       page_head);
	for (uint32_t i = 0; i < schedule_case_count; i++) {
		const struct schedule_case *row = &schedule_cases[i];
		uint64_t seed = schedule_find(row, PROVE_SEEDS, text);
		uint32_t lines = 0;
		char found[32] = "none", on[32];

		snprintf(on, sizeof(on), "%u", violations);
		/* Excused requests are shown: the promise was not kept. */
		if (row->guard == GUARD_CUT_OFF)
			snprintf(on, sizeof(on), "%u excused", total.cut_off);
		if (seed)
			lines = schedule_shrink(text, 1u << row->guard,
						row->promise);
		if (seed)
			snprintf(found, sizeof(found), "%llu",
				 (unsigned long long)seed);
		printf("| %s | %s | %s | %s | %u | %s | 1 to %d |\n",
		       oracle_promise_name(row->promise), row->scenario,
		       session_guard_name(row->guard), found, lines, on,
		       PROVE_SEEDS);
		unproved += !seed;
	}
	printf("\nWith all guards on, the seeds stored %u records (%u "
	       "accepted), sent %u\nrequests and finished %u drains. %u "
	       "requests in another data centre were still\nin flight when "
	       "their host was drained after their member's lease had "
	       "ended.\n%s",
	       total.records, total.accepted, total.sent, total.drained,
	       total.cut_off, page_not_proved);
	return violations || unproved;
}

static uint32_t guard_mask(const char *name)
{
	for (int i = 0; session_guard_name(i); i++)
		if (!strcmp(session_guard_name(i), name))
			return 1u << i;
	fprintf(stderr, "replay: no guard %s\n", name);
	exit(2);
}

/* Prints the session of a seed, shrunk if it breaks a promise. */
static int show_seed(uint64_t seed, uint32_t guards_off)
{
	struct session_result result;

	schedule_make(seed, text);
	session_run(text, guards_off, SESSION_ALL, NULL, &result);
	if (result.violation) {
		printf("# %s\n", result.violation);
		schedule_shrink(text, guards_off, result.promise);
	}
	fputs(text, stdout);
	return result.violation != NULL;
}

static int replay_file(const char *path, uint32_t guards_off)
{
	struct session_result result;
	FILE *file = fopen(path, "r");

	if (!file) {
		perror(path);
		return 2;
	}
	text[fread(text, 1, sizeof(text) - 1, file)] = 0;
	fclose(file);
	session_run(text, guards_off, SESSION_ALL, stdout, &result);
	return result.violation != NULL;
}

/* Prints the shrunk session of a case in the format of a golden session. */
static int show_case(uint32_t index)
{
	const struct schedule_case *row = &schedule_cases[index];

	if (index >= schedule_case_count ||
	    !schedule_find(row, PROVE_SEEDS, text))
		return 2;
	schedule_shrink(text, 1u << row->guard, row->promise);
	printf("# off %s\n# %s: %s\n%s", session_guard_name(row->guard),
	       oracle_promise_name(row->promise), row->scenario, text);
	return 0;
}

int main(int argc, char **argv)
{
	uint32_t guards_off = argc > 3 ? guard_mask(argv[3]) : 0;

	apr_initialize();
	if (argc == 2 && !strcmp(argv[1], "prove"))
		return prove();
	if (argc >= 3 && !strcmp(argv[1], "case"))
		return show_case((uint32_t)atoi(argv[2]));
	if (argc >= 3 && !strcmp(argv[1], "seed"))
		return show_seed(strtoull(argv[2], NULL, 10), guards_off);
	if (argc >= 3 && !strcmp(argv[1], "file"))
		return replay_file(argv[2], guards_off);
	fprintf(stderr, "usage: replay prove | case N | seed N [GUARD] | file "
			"SESSION [GUARD]\n");
	return 2;
}
