/*
 * Unit tests of stored bounds, with a log that keeps one record. They guard
 * against a lease that is extended at a worker which another owner takes to be
 * without one, and against waits that begin anew with each owner.
 */

#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "bound.h"
#include "log.h"
#include "suite.h"

enum { START_MS = 1000, END_MS = START_MS + 5000 };

static const char key[] = "pool/0";

/* An append that waits for its answer. */
static struct {
	bool waits;
	char value[256];
	stream_append_fn *fn;
	void *arg;
} sent;

static struct clk clk;
static struct bound_table table;
static struct bound bound;
static struct writer *writer;
static int64_t offset;
static int fenced_calls;

/* An append is the values of its records, one after the other. */
static void fake_add_record(GByteArray *buffer, const char *name,
			    const char *value, size_t len)
{
	ck_assert_str_eq(name, "b:pool/0");
	g_byte_array_append(buffer, (const guint8 *)value, (guint)len);
}

static void fake_append(void *io, const struct stream_append *append,
			stream_append_fn *fn, void *arg)
{
	(void)io;
	ck_assert_uint_lt(append->len, sizeof(sent.value));
	memset(sent.value, 0, sizeof(sent.value));
	memcpy(sent.value, append->records, append->len);
	sent.waits = true;
	sent.fn = fn;
	sent.arg = arg;
}

static struct stream_io stream;

static void answer(enum stream_outcome outcome)
{
	struct stream_append_result result = { outcome, offset, offset + 1 };

	ck_assert(sent.waits);
	sent.waits = false;
	sent.fn(sent.arg, &result);
}

/* Reads the record that was sent last, as any node does. */
static void read_sent(void)
{
	struct err err = { .kind = ERR_OK };

	ck_assert_int_eq(bound_apply(&table, key, offset++, sent.value,
				     strlen(sent.value), clk.manual_ms, &err),
			 0);
}

static void on_fenced(void *arg)
{
	(void)arg;
	fenced_calls++;
}

static void create_writer(void)
{
	struct writer_config config = {
		.io = &stream,
		.clk = &clk,
		.id = { "keyed.t", 0 },
		.producer = "p",
		.epoch = 1,
		.max_bytes = 1024,
	};

	writer = writer_create(&config);
}

static void setup(void)
{
	struct bound_config config = {
		.table = &table,
		.key = key,
		.fenced = on_fenced,
	};

	stream = (struct stream_io){ .append = fake_append,
				     .add_record = fake_add_record };
	clk = clk_manual(START_MS);
	memset(&sent, 0, sizeof(sent));
	offset = 0;
	fenced_calls = 0;
	bound_table_init(&table);
	bound_init(&bound, &config);
	create_writer();
	bound_acquired(&bound);
}

static void teardown(void)
{
	struct stream_append_result result = { STREAM_UNKNOWN, -1, -1 };

	writer_destroy(writer);
	if (sent.waits)
		sent.fn(sent.arg, &result);
	bound_clear(&bound);
	bound_table_clear(&table);
}

static void store(void)
{
	bound_store(&bound, writer, clk.manual_ms);
	writer_tick(writer);
}

static void store_and_answer(void)
{
	store();
	answer(STREAM_OK);
	read_sent();
}

/* Ends the tenure, without an answer to what was sent; another one begins. */
static void change_owner(void)
{
	struct stream_append_result result = { STREAM_UNKNOWN, -1, -1 };

	writer_destroy(writer);
	if (sent.waits)
		sent.fn(sent.arg, &result);
	sent.waits = false;
	bound_lost(&bound);
	create_writer();
	bound_acquired(&bound);
}

/* Guards against a wait that begins anew with each owner. */
START_TEST(end_is_kept_by_all_later_owners)
{
	int64_t end_ms = 0;

	bound_withhold(&bound, "w1", END_MS);
	store_and_answer();
	for (int i = 0; i < 3; i++) {
		clk.manual_ms += 1000;
		change_owner();
		ck_assert(bound_withholds(&bound, "w1"));
		ck_assert(!bound_withhold(&bound, "w1", clk.manual_ms + 6000));
		ck_assert(bound_find_end(&bound, "w1", &end_ms));
		ck_assert_int_eq(end_ms, END_MS);
		store();
		if (sent.waits) {
			answer(STREAM_OK);
			read_sent();
		}
	}
}
END_TEST

/* Guards against a lease given while the newest list denies it. */
START_TEST(subject_is_held_until_a_list_without_it_is_stored)
{
	bound_withhold(&bound, "w1", END_MS);
	store_and_answer();
	ck_assert(bound_allow(&bound, "w1"));
	ck_assert(bound_withholds(&bound, "w1"));
	store();
	ck_assert_str_eq(sent.value, "[]");
	ck_assert(bound_withholds(&bound, "w1"));
	answer(STREAM_OK);
	ck_assert(!bound_withholds(&bound, "w1"));
}
END_TEST

/* Guards against the same while it is not known whether a list is stored. */
START_TEST(subject_is_held_while_a_list_with_it_has_no_answer)
{
	bound_withhold(&bound, "w1", END_MS);
	store();
	bound_allow(&bound, "w1");
	ck_assert(bound_withholds(&bound, "w1"));
	answer(STREAM_OK);
	ck_assert(bound_withholds(&bound, "w1"));
	store_and_answer();
	ck_assert(!bound_withholds(&bound, "w1"));
}
END_TEST

START_TEST(subject_that_no_list_has_named_is_released_at_once)
{
	bound_withhold(&bound, "w1", END_MS);
	ck_assert(bound_allow(&bound, "w1"));
	ck_assert(!bound_withholds(&bound, "w1"));
	store();
	ck_assert(!sent.waits);
}
END_TEST

/* Guards against a list that is delivered again after a newer one. */
START_TEST(older_list_is_ignored)
{
	struct err err = { .kind = ERR_OK };

	bound_withhold(&bound, "w1", END_MS);
	store_and_answer();
	bound_allow(&bound, "w1");
	store_and_answer();
	ck_assert_int_eq(bound_apply(&table, key, 0, "[[\"w1\",10]]", 11,
				     clk.manual_ms, &err),
			 0);
	change_owner();
	ck_assert(!bound_withholds(&bound, "w1"));
}
END_TEST

/* Guards against leases beside a list that others can read. */
START_TEST(unreadable_list_is_replaced_first)
{
	struct err err = { .kind = ERR_OK };

	ck_assert_int_eq(bound_apply(&table, key, offset++, "[1]", 3,
				     clk.manual_ms, &err),
			 ERR_INVALID);
	change_owner();
	ck_assert(bound_withholds(&bound, "w1"));
	store_and_answer();
	ck_assert_str_eq(sent.value, "[]");
	ck_assert(!bound_withholds(&bound, "w1"));
}
END_TEST

/* Guards against a node that starts and reads a list of long ago. */
START_TEST(list_is_stored_again_while_its_times_run)
{
	bound_withhold(&bound, "w1", END_MS);
	store_and_answer();
	store();
	ck_assert(!sent.waits);
	clk.manual_ms += 500;
	store_and_answer();
	ck_assert_str_eq(sent.value, "[[\"w1\",4500]]");
	clk.manual_ms = END_MS + 500;
	store();
	ck_assert(!sent.waits);
}
END_TEST

/* Guards against an owner that goes on beside a later one. */
START_TEST(fenced_list_ends_the_tenure)
{
	bound_withhold(&bound, "w1", END_MS);
	store();
	answer(STREAM_FENCED);
	ck_assert_int_eq(fenced_calls, 1);
}
END_TEST

/*
 * Guards against leases that end though their worker answers and only the log does
 * not, and against one that outlasts what a successor waits for: an owner may extend
 * a lease up to the end in its own list, but not up to one that it has read.
 */
START_TEST(only_own_ends_leave_room_for_permissions)
{
	ck_assert_int_eq(bound_own_end_ms(&bound, "w1"), 0);
	ck_assert(bound_withhold(&bound, "w1", END_MS));
	ck_assert_int_eq(bound_own_end_ms(&bound, "w1"), END_MS);
	bound_store(&bound, writer, clk.manual_ms);
	writer_tick(writer);
	read_sent();
	answer(STREAM_OK);
	ck_assert(!bound_withhold(&bound, "w1", END_MS + 1));
	ck_assert_int_eq(bound_own_end_ms(&bound, "w1"), END_MS);
	bound_acquired(&bound);
	ck_assert(bound_withholds(&bound, "w1"));
	ck_assert_int_eq(bound_own_end_ms(&bound, "w1"), 0);
	ck_assert(!bound_withhold(&bound, "w1", END_MS));
	ck_assert_int_eq(bound_own_end_ms(&bound, "w1"), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("bound");
	TCase *tcase = tcase_create("bounds");

	apr_initialize();
	log_init("test_bound", true);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, end_is_kept_by_all_later_owners);
	tcase_add_test(tcase,
		       subject_is_held_until_a_list_without_it_is_stored);
	tcase_add_test(tcase,
		       subject_is_held_while_a_list_with_it_has_no_answer);
	tcase_add_test(tcase,
		       subject_that_no_list_has_named_is_released_at_once);
	tcase_add_test(tcase, older_list_is_ignored);
	tcase_add_test(tcase, unreadable_list_is_replaced_first);
	tcase_add_test(tcase, list_is_stored_again_while_its_times_run);
	tcase_add_test(tcase, fenced_list_ends_the_tenure);
	tcase_add_test(tcase, only_own_ends_leave_room_for_permissions);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
