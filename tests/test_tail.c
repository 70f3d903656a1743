/*
 * Unit tests of following a stream. They use no network. The load: many nodes
 * read a stream that grows faster than they can read it at times.
 */

#include <apr_general.h>
#include <check.h>

#include "log.h"
#include "suite.h"
#include "tail.h"

enum { GAP_MS = 150, WAIT_MS = 1500, START_MS = 1000 };

static struct clk clk;
static stream_batch_fn *answer; /* of the call in progress; NULL: none */
static void *answer_arg;
static int reads;
static int64_t last_wait_ms;		/* of the newest read */
static stream_batch_fn *earlier_answer; /* of the call before */
static void *earlier_arg;

static void fake_read(void *io, struct stream_id id, int64_t from,
		      int64_t wait_ms, stream_batch_fn *fn, void *arg)
{
	(void)io;
	(void)id;
	(void)from;
	last_wait_ms = wait_ms;
	reads++;
	earlier_answer = answer;
	earlier_arg = answer_arg;
	answer = fn;
	answer_arg = arg;
}

static void fake_newest(void *io, struct stream_id id, const char *after_key,
			stream_batch_fn *fn, void *arg)
{
	(void)io;
	(void)id;
	(void)after_key;
	answer = fn;
	answer_arg = arg;
}

static const struct stream_io fake_io = {
	.read = fake_read,
	.newest = fake_newest,
};

static void ignore_record(void *arg, const struct stream_record *record)
{
	(void)arg;
	(void)record;
}

static void deliver(int64_t next, int64_t end)
{
	struct stream_batch batch = {
		.outcome = STREAM_OK,
		.next = next,
		.end = end,
	};

	answer(answer_arg, &batch);
}

static struct tail *new_tail(void)
{
	struct tail_config config = {
		.io = &fake_io,
		.clk = &clk,
		.id = { "topic", 0 },
		.gap_ms = GAP_MS,
		.wait_ms = WAIT_MS,
		.on_record = ignore_record,
	};

	clk = clk_manual(START_MS);
	return tail_create(&config);
}

static struct tail *loaded_tail(void)
{
	struct tail *tail = new_tail();

	tail_tick(tail);
	deliver(0, 10);
	ck_assert(tail_loaded(tail));
	reads = 0;
	return tail;
}

/* A node that has read all there is pauses before it reads again. */
START_TEST(reads_pause_at_the_end)
{
	struct tail *tail = loaded_tail();

	tail_tick(tail);
	ck_assert_int_eq(reads, 1);
	deliver(20, 20);
	tail_tick(tail);
	ck_assert_int_eq(reads, 1);
	clk.manual_ms += GAP_MS;
	tail_tick(tail);
	ck_assert_int_eq(reads, 2);
	deliver(20, 20);
	tail_destroy(tail);
}
END_TEST

/* One that is behind reads on at once, and its state counts as old until then. */
START_TEST(reads_go_on_at_once_when_behind)
{
	struct tail *tail = loaded_tail();

	clk.manual_ms += WAIT_MS;
	tail_tick(tail);
	deliver(20, 100);
	ck_assert_int_eq(tail_age_ms(tail), WAIT_MS);
	tail_tick(tail);
	ck_assert_int_eq(reads, 2);
	deliver(100, 100);
	ck_assert_int_eq(tail_age_ms(tail), 0);
	tail_tick(tail);
	ck_assert_int_eq(reads, 2);
	tail_destroy(tail);
}
END_TEST

/* An answer without progress must not make it read without a pause. */
START_TEST(reads_pause_without_progress)
{
	struct tail *tail = loaded_tail();

	tail_tick(tail);
	deliver(tail_next(tail), 100);
	tail_tick(tail);
	ck_assert_int_eq(reads, 1);
	tail_destroy(tail);
}
END_TEST

/* A stream must not pass for read whose next page is not known. */
START_TEST(page_without_records_is_not_the_last_one)
{
	struct stream_batch page = {
		.outcome = STREAM_OK,
		.end = 10,
		.more = true,
	};
	struct tail *tail = new_tail();

	tail_tick(tail);
	answer(answer_arg, &page);
	ck_assert(!tail_loaded(tail));
	clk.manual_ms += WAIT_MS;
	tail_tick(tail);
	deliver(0, 10);
	ck_assert(tail_loaded(tail));
	tail_destroy(tail);
}
END_TEST

/* Guards against what is known getting old as one answer is lost. */
START_TEST(late_read_is_confirmed_by_another)
{
	struct tail *tail = loaded_tail();
	struct stream_batch lost = { .outcome = STREAM_UNKNOWN };

	tail_set_confirm(tail, WAIT_MS);
	tail_tick(tail);
	clk.manual_ms += WAIT_MS;
	tail_tick(tail);
	ck_assert_int_eq(reads, 1);
	clk.manual_ms++;
	tail_tick(tail);
	ck_assert_int_eq(reads, 2);
	ck_assert_int_eq(last_wait_ms, 0);
	tail_tick(tail);
	ck_assert_int_eq(reads, 2);
	deliver(20, 20);
	ck_assert_int_eq(tail_age_ms(tail), 0);
	ck_assert_int_eq(tail_next(tail), 20);
	tail_tick(tail);
	ck_assert_int_eq(reads, 2);
	earlier_answer(earlier_arg, &lost);
	tail_destroy(tail);
}
END_TEST

/* A log that refuses such reads must not get one each tick. */
START_TEST(confirming_reads_pause_after_a_refusal)
{
	struct tail *tail = loaded_tail();
	struct stream_batch refused = { .outcome = STREAM_REFUSED };

	tail_set_confirm(tail, WAIT_MS);
	tail_tick(tail);
	clk.manual_ms += WAIT_MS + 1;
	tail_tick(tail);
	answer(answer_arg, &refused);
	ck_assert_int_eq(tail_age_ms(tail), WAIT_MS + 1);
	tail_tick(tail);
	ck_assert_int_eq(reads, 2);
	clk.manual_ms += GAP_MS + 50;
	tail_tick(tail);
	ck_assert_int_eq(reads, 3);
	deliver(10, 10);
	earlier_answer(earlier_arg, &refused);
	tail_destroy(tail);
}
END_TEST

/*
 * Pages are not a snapshot: a record that replaces one of the first page is read
 * only after the last page, so that what is known is as old as the first page.
 */
START_TEST(age_counts_from_the_first_page)
{
	static const struct stream_record record = {
		.key = "k",
		.key_len = 1,
		.value = "v",
		.value_len = 1,
	};
	struct stream_batch page = {
		.outcome = STREAM_OK,
		.records = &record,
		.count = 1,
		.end = 10,
		.more = true,
	};
	struct tail *tail = new_tail();

	tail_tick(tail);
	answer(answer_arg, &page);
	clk.manual_ms += GAP_MS;
	tail_tick(tail);
	deliver(0, 11);
	ck_assert(tail_loaded(tail));
	ck_assert_int_eq(tail_next(tail), 10);
	ck_assert_int_eq(tail_age_ms(tail), GAP_MS);
	tail_destroy(tail);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("tail");
	TCase *tcase = tcase_create("tail");

	apr_initialize();
	log_init("test_tail", true);
	tcase_add_test(tcase, reads_pause_at_the_end);
	tcase_add_test(tcase, reads_go_on_at_once_when_behind);
	tcase_add_test(tcase, reads_pause_without_progress);
	tcase_add_test(tcase, page_without_records_is_not_the_last_one);
	tcase_add_test(tcase, late_read_is_confirmed_by_another);
	tcase_add_test(tcase, confirming_reads_pause_after_a_refusal);
	tcase_add_test(tcase, age_counts_from_the_first_page);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
