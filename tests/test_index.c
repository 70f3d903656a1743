/*
 * Unit tests of the index of jobs' states and of published loads. They use no
 * network. The load: 147 nodes answer for jobs whose records they do not read.
 */

#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "backlog.h"
#include "index.h"
#include "job_view.h"
#include "log.h"
#include "place.h"
#include "pool_fixture.h"
#include "suite.h"

#define ID "672a48d34c5231d8"

static struct index *states;
static struct backlogs loads;
static struct pool_fixture fixture;

static void setup(void)
{
	states = index_create();
	backlogs_init(&loads);
	pool_fixture_setup(&fixture);
}

static void teardown(void)
{
	index_destroy(states);
	backlogs_clear(&loads);
	pool_fixture_teardown(&fixture);
}

static int apply(const char *value)
{
	struct err err = { .kind = ERR_OK };

	return index_apply(states, ID, value, strlen(value), &err);
}

static enum index_state state(void)
{
	const struct index_entry *entry = index_find(states, ID);

	ck_assert_ptr_nonnull(entry);
	return entry->state;
}

/* Guards against a job shown as running after it was shown as done. */
START_TEST(late_records_do_not_move_a_state_back)
{
	apply("q queue");
	apply("r queue");
	apply("d queue");
	ck_assert_int_eq(state(), INDEX_DONE);
	apply("r queue");
	apply("x queue");
	apply("f queue");
	ck_assert_int_eq(state(), INDEX_DONE);
}
END_TEST

/* Guards against a cancel that is confirmed and not shown. */
START_TEST(cancelled_job_is_shown_as_cancelled)
{
	apply("r queue");
	apply("x ");
	ck_assert_int_eq(index_job_state(state()), JOB_CANCELLED);
	apply("r queue");
	ck_assert_int_eq(index_job_state(state()), JOB_CANCELLED);
}
END_TEST

/* Guards against a late record that a node which starts later takes for the newest. */
START_TEST(hidden_state_is_noticed)
{
	apply("d queue");
	ck_assert_int_eq(index_find(states, ID)->recorded, INDEX_DONE);
	apply("q queue");
	ck_assert_int_eq(index_find(states, ID)->recorded, INDEX_QUEUED);
	ck_assert_int_eq(state(), INDEX_DONE);
}
END_TEST

START_TEST(waiting_jobs_are_counted_by_queue)
{
	ck_assert_int_eq(index_count_waiting(states, "queue"), 0);
	apply("q queue");
	apply("q queue");
	ck_assert_int_eq(index_count_waiting(states, "queue"), 1);
	ck_assert_int_eq(index_count_waiting(states, "other"), 0);
	apply("r queue");
	ck_assert_int_eq(index_count_waiting(states, "queue"), 0);
	index_remove(states, ID);
	apply("q queue");
	index_remove(states, ID);
	ck_assert_int_eq(index_count_waiting(states, "queue"), 0);
}
END_TEST

START_TEST(malformed_states_are_refused)
{
	static const char *const invalid[] = { "", "q", "z queue", "qqueue" };

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		ck_assert_int_lt(apply(invalid[i]), 0);
	ck_assert_ptr_null(index_find(states, ID));
}
END_TEST

START_TEST(records_are_read_back)
{
	for (int i = 0; i < INDEX_STATE_COUNT; i++) {
		size_t len;
		char *record = index_record((enum index_state)i, "queue", "",
					    true, &len);

		ck_assert_uint_eq(len, strlen(record));
		ck_assert_int_eq(apply(record), 0);
		ck_assert_int_eq(index_find(states, ID)->recorded, i);
		g_free(record);
		index_remove(states, ID);
	}
}
END_TEST

/* Guards against "not found" for an accepted job at a node that reads no jobs. */
START_TEST(operators_are_told_the_state_at_any_node)
{
	struct job_view view = {
		.cfg = fixture.cfg,
		.jobs = fixture.jobs,
		.workers = fixture.workers,
		.index = states,
	};
	struct json_object *page;
	struct json_object *value;

	ck_assert_ptr_null(job_view_one(&view, ID));
	ck_assert_ptr_null(job_view_explain(&view, ID));
	apply("r queue");
	page = job_view_one(&view, ID);
	ck_assert(json_object_object_get_ex(page, "state", &value));
	ck_assert_str_eq(json_object_get_string(value), "running");
	json_object_put(page);
	page = job_view_explain(&view, ID);
	ck_assert(json_object_object_get_ex(page, "explanation", &value));
	ck_assert_ptr_nonnull(strstr(json_object_get_string(value), "running"));
	json_object_put(page);
}
END_TEST

static const char one_task[] =
	"{\"spec\":\"t\",\"steps\":[{\"count\":1,\"cpu\":1000,\"memMb\":10,"
	"\"estMs\":500}]}";

static void publish(const struct share *share, int64_t wall_ms)
{
	struct place place = {
		.share = *share,
		.cfg = fixture.cfg,
		.jobs = fixture.jobs,
		.workers = fixture.workers,
		.wall_ms = wall_ms,
	};
	struct err err = { .kind = ERR_OK };
	struct backlog backlog;
	char *key = backlog_key(share);
	char *record;

	place_survey_backlog(&place, &backlog);
	record = backlog_record(&backlog);
	ck_assert_int_eq(
		backlogs_apply(&loads, key, record, strlen(record), &err), 0);
	g_free(record);
	g_free(key);
}

/* A node that reads the record decides as one that reads the jobs. */
START_TEST(published_load_gives_the_same_delay)
{
	struct share share = { "pool", 0, 1 };
	struct place place = {
		.share = share,
		.cfg = fixture.cfg,
		.jobs = fixture.jobs,
		.workers = fixture.workers,
	};

	pool_fixture_submit(&fixture, ID, one_task);
	pool_fixture_add_worker(&fixture, "w1", "a", 1000);
	publish(&share, 0);
	ck_assert_int_eq(
		backlogs_delay_ms(&loads, &share, fixture.cfg, INT64_MAX, 0),
		place_backlog_ms(&place, INT64_MAX, 0));
	ck_assert_int_eq(
		backlogs_delay_ms(&loads, &share, fixture.cfg, INT64_MAX, 3000),
		place_backlog_ms(&place, INT64_MAX, 3000));
	ck_assert_int_eq(backlogs_delay_ms(&loads, &share, fixture.cfg, 0, 0),
			 place_backlog_ms(&place, 0, 0));
}
END_TEST

/* A deployment that has just started must not refuse its first jobs. */
START_TEST(unknown_load_delays_nothing)
{
	struct share share = { "pool", 0, 1 };

	ck_assert_int_eq(
		backlogs_delay_ms(&loads, &share, fixture.cfg, INT64_MAX, 0),
		0);
}
END_TEST

START_TEST(malformed_loads_are_refused)
{
	static const char *const invalid[] = {
		"", "[]", "{}", "[1,2,3,4]",
		"[-1,1,1,1,0,0,0,0,0,0,0,0,0,0,0,0]"
	};
	struct err err = { .kind = ERR_OK };

	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++)
		ck_assert_int_lt(backlogs_apply(&loads, "pool/0", invalid[i],
						strlen(invalid[i]), &err),
				 0);
	ck_assert_int_eq(backlogs_full_milli(&loads), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("index");
	TCase *tcase = tcase_create("index");

	apr_initialize();
	log_init("test_index", true);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, late_records_do_not_move_a_state_back);
	tcase_add_test(tcase, cancelled_job_is_shown_as_cancelled);
	tcase_add_test(tcase, hidden_state_is_noticed);
	tcase_add_test(tcase, waiting_jobs_are_counted_by_queue);
	tcase_add_test(tcase, malformed_states_are_refused);
	tcase_add_test(tcase, records_are_read_back);
	tcase_add_test(tcase, operators_are_told_the_state_at_any_node);
	tcase_add_test(tcase, published_load_gives_the_same_delay);
	tcase_add_test(tcase, unknown_load_delays_nothing);
	tcase_add_test(tcase, malformed_loads_are_refused);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
