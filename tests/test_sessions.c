/*
 * Replays whole sessions of the fleet stream. Golden sessions guard against a
 * changed outcome and, with a guard disabled, against an oracle that no longer
 * detects the missing guard; random sessions against schedules that break a
 * promise.
 */

#include <glob.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <apr_general.h>
#include <check.h>

#include "schedule.h"
#include "suite.h"

enum {
	PROCESS_COUNT = 6,
#ifdef __SANITIZE_ADDRESS__
	SEED_COUNT = 200,
#else
	SEED_COUNT = 2000,
#endif
	TIMEOUT_S = 120
};

static char text[SCHEDULE_BYTES], expected[2 * SCHEDULE_BYTES];

static void read_file(const char *path, char *buffer, size_t size)
{
	FILE *file = fopen(path, "r");

	buffer[0] = 0;
	if (!file)
		return;
	buffer[fread(buffer, 1, size - 1, file)] = 0;
	fclose(file);
}

/* Guard that the first line of a session disables, or -1. */
static int guard_of(const char *session)
{
	char name[32];

	if (sscanf(session, "# off %31s", name) != 1)
		return -1;
	for (int i = 0; session_guard_name(i); i++)
		if (!strcmp(session_guard_name(i), name))
			return i;
	ck_abort_msg("no guard %s", name);
}

static void check_golden(const char *path)
{
	struct session_result result;
	char outcome_path[256], *outcome = NULL;
	size_t len;
	FILE *out = open_memstream(&outcome, &len);
	int guard;

	read_file(path, text, sizeof(text));
	guard = guard_of(text);
	if (guard >= 0) {
		session_run(text, 1u << guard, SESSION_ALL, out, &result);
		ck_assert_msg(result.violation != NULL,
			      "%s: no violation without its guard", path);
		fputs("with all guards:\n", out);
	}
	session_run(text, 0, SESSION_ALL, out, &result);
	fclose(out);
	snprintf(outcome_path, sizeof(outcome_path), "%.*soutcome",
		 (int)(strlen(path) - strlen("session")), path);
	if (getenv("PLANK_WRITE_GOLDEN")) {
		out = fopen(outcome_path, "w");
		fputs(outcome, out);
		fclose(out);
	}
	read_file(outcome_path, expected, sizeof(expected));
	ck_assert_msg(!result.violation, "%s: %s", path, result.violation);
	ck_assert_msg(!strcmp(outcome, expected), "%s has the outcome\n%s",
		      path, outcome);
	free(outcome);
}

START_TEST(golden_sessions_keep_their_outcome)
{
	glob_t found;

	ck_assert_int_eq(glob("tests/golden/*.session", 0, NULL, &found), 0);
	for (size_t i = 0; i < found.gl_pathc; i++)
		check_golden(found.gl_pathv[i]);
	globfree(&found);
}
END_TEST

/* Replays every PROCESS_COUNT-th seed; prints each violating session, shrunk. */
static int replay_seeds(uint64_t first)
{
	struct session_result result;
	int failed = 0;

	for (uint64_t seed = first; seed <= SEED_COUNT; seed += PROCESS_COUNT) {
		schedule_make(seed, text);
		session_run(text, 0, SESSION_ALL, NULL, &result);
		if (!result.violation)
			continue;
		failed = 1;
		printf("# seed %llu: %s\n", (unsigned long long)seed,
		       result.violation);
		schedule_shrink(text, 0, result.promise);
		puts(text);
	}
	return failed;
}

START_TEST(random_sessions_break_no_promise)
{
	int failed = 0;

	for (int i = 0; i < PROCESS_COUNT; i++) {
		pid_t child = fork();

		ck_assert_int_ge(child, 0);
		if (child == 0) {
			int status = replay_seeds((uint64_t)i + 1);

			fflush(stdout);
			_exit(status);
		}
	}
	for (int i = 0; i < PROCESS_COUNT; i++) {
		int status = 0;

		ck_assert_int_gt(wait(&status), 0);
		failed += status != 0;
	}
	ck_assert_int_eq(failed, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sessions");
	TCase *tcase = tcase_create("sessions");

	apr_initialize();
	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase, golden_sessions_keep_their_outcome);
	tcase_add_test(tcase, random_sessions_break_no_promise);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
