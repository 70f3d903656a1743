/*
 * Guards against a node that runs out of memory as thousands of tasks save long
 * checkpoints: they were not counted, and 30,000 tasks of 4 KB take 120 MB.
 */

#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "job.h"
#include "odd_text.h"
#include "pool_fixture.h"
#include "suite.h"

enum { TASKS = 100, ROOM_BYTES = 100 * 1000 };

#define JOB_ID "0000000000000001"

static struct pool_fixture fixture;
static struct job *job;
static struct job_room *room;
static char *longest;

static void setup(void)
{
	pool_fixture_setup(&fixture);
	room = &fixture.jobs->room;
	room->max_checkpoint_bytes = ROOM_BYTES;
	job = pool_fixture_submit(
		&fixture, JOB_ID,
		"{\"spec\":\"a\",\"steps\":[{\"count\":100,\"cpu\":1}]}");
	longest = odd_text_repeat("c", JOB_CHECKPOINT_BYTES - 1);
}

static void teardown(void)
{
	g_free(longest);
	pool_fixture_teardown(&fixture);
}

/* Lets each task save the text; returns how many checkpoints are kept. */
static int save_all(const char *text)
{
	struct job_pos pos = { .job = job };
	int kept = 0;

	while (job_next_task(&pos))
		kept += job_keep_checkpoint(&pos, text);
	return kept;
}

START_TEST(checkpoints_are_bounded)
{
	int fit = ROOM_BYTES / (int)job_checkpoint_bytes(longest);
	struct job_pos pos = { .job = job };

	ck_assert_int_eq(save_all("a"), TASKS);
	/* Those that find no room keep what they have. */
	ck_assert_int_ge(save_all(longest), fit - 1);
	ck_assert_int_le(room->checkpoint_bytes, ROOM_BYTES);
	while (job_next_task(&pos))
		ck_assert(!strcmp(job_checkpoint(&pos), "a") ||
			  !strcmp(job_checkpoint(&pos), longest));
	ck_assert_int_eq(save_all("bb"), TASKS);
	ck_assert_int_eq(room->checkpoint_bytes,
			 TASKS * job_checkpoint_bytes("bb"));
}
END_TEST

/* Guards against room that is never given back. */
START_TEST(tasks_that_are_done_have_no_checkpoint)
{
	struct job_pos pos = { .job = job };

	ck_assert_int_eq(save_all("a"), TASKS);
	while (job_next_task(&pos))
		job_end_run(&pos, END_DONE, "b", 1);
	ck_assert_int_eq(room->checkpoint_bytes, 0);
}
END_TEST

START_TEST(room_is_free_after_the_last_job)
{
	ck_assert_int_eq(save_all("a"), TASKS);
	job_store_clear(fixture.jobs);
	ck_assert_int_eq(room->checkpoint_bytes, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("checkpoint room");
	TCase *tcase = tcase_create("memory of checkpoints");

	apr_initialize();
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, checkpoints_are_bounded);
	tcase_add_test(tcase, tasks_that_are_done_have_no_checkpoint);
	tcase_add_test(tcase, room_is_free_after_the_last_job);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
