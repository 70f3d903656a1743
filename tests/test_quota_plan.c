/*
 * Unit tests of how a limit is divided, decided from records of the shares that
 * are given as such.
 */

#include <string.h>

#include <check.h>

#include "quota_plan.h"
#include "quota_use.h"
#include "suite.h"
#include "wire.h"

enum { MOST_SHARES = 20 };

#define TENANT "a"

/* What the owner of a share has stored, which follows its grant. */
struct stored {
	int32_t granted;
	int32_t used;
	int32_t wanted;
	int32_t unit;
	int32_t least;
};

static struct quota_table table;
static struct quota_plan *plan;
static struct cfg *cfg;
static GPtrArray *keys;
static struct stored stored[MOST_SHARES];
static int64_t offset;
static int64_t number;
static int64_t now_ms;

static void setup(void)
{
	static const char text[] =
		"{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":["
		"{\"name\":\"" TENANT "\",\"maxCount\":{\"cpu\":1000}}]}";
	struct err err = { .kind = ERR_OK };

	ck_assert_int_eq(wire_decode_cfg(text, strlen(text), &cfg, &err), 0);
	quota_table_init(&table);
	plan = quota_plan_create();
	keys = g_ptr_array_new_with_free_func(g_free);
	memset(stored, 0, sizeof(stored));
	offset = 0;
	number = 1;
	now_ms = 0;
}

static void teardown(void)
{
	g_ptr_array_free(keys, TRUE);
	quota_plan_destroy(plan);
	quota_table_clear(&table);
	cfg_destroy(cfg);
}

static void store_use(guint i)
{
	const struct stored *row = &stored[i];
	struct err err = { .kind = ERR_OK };
	char *value =
		g_strdup_printf("{\"n\":%" G_GINT64_FORMAT ",\"u\":[[\"" TENANT
				"\",%d,%d,%d,%d,%d]]}",
				number, MAX(row->granted, row->used), row->used,
				row->wanted, row->unit, row->least);

	ck_assert_int_eq(quota_apply_use(&table, keys->pdata[i], ++offset,
					 value, strlen(value), &err),
			 0);
	g_free(value);
}

static void store_grant(guint i)
{
	struct err err = { .kind = ERR_OK };
	char *value = g_strdup_printf(
		"{\"n\":%" G_GINT64_FORMAT ",\"g\":[[\"" TENANT "\",%d,%d]]}",
		number, stored[i].granted, stored[i].granted);

	ck_assert_int_eq(quota_apply_grants(&table, keys->pdata[i], ++offset,
					    value, strlen(value), &err),
			 0);
	g_free(value);
}

static void store_all(guint count)
{
	while (keys->len < count)
		g_ptr_array_add(keys, g_strdup_printf("pool/%u", keys->len));
	for (guint i = 0; i < count; i++) {
		store_grant(i);
		store_use(i);
	}
}

static void take_grant(void *arg, const char *key, GHashTable *changes)
{
	guint i = (guint)g_ascii_strtoull(strrchr(key, '/') + 1, NULL, 10);

	(void)arg;
	stored[i].granted =
		GPOINTER_TO_INT(g_hash_table_lookup(changes, TENANT));
}

/* Decides, and all owners follow. */
static void decide(void)
{
	now_ms += 100;
	quota_plan_decide(plan, &table, cfg, keys, now_ms, take_grant, NULL);
	number++;
	store_all(keys->len);
}

/*
 * Guards against a share that never gets anything, as each of the others has only a
 * little more than its due.
 */
START_TEST(share_gets_its_due_from_many_that_have_a_little_more)
{
	enum { ROUNDS = 10, OTHERS = MOST_SHARES - 1 };

	setup();
	for (int i = 0; i < OTHERS; i++)
		stored[i] = (struct stored){ QUOTA_WHOLE / OTHERS,
					     QUOTA_WHOLE / OTHERS, QUOTA_WHOLE,
					     10, 10 };
	stored[OTHERS] = (struct stored){ 0, 0, QUOTA_WHOLE, 10, 10 };
	store_all(MOST_SHARES);
	for (int i = 0; i < ROUNDS; i++) {
		/* Their tasks end, and others start within the grant. */
		for (int k = 0; k < MOST_SHARES; k++)
			stored[k].used = stored[k].granted;
		decide();
	}
	ck_assert_int_ge(stored[OTHERS].granted, QUOTA_WHOLE / MOST_SHARES / 2);
	teardown();
}
END_TEST

/*
 * Guards against small tasks that never start, as a large one waits beside them that
 * what runs elsewhere leaves no part for.
 */
START_TEST(small_tasks_start_beside_a_large_one_that_cannot)
{
	enum { ROUNDS = 10, RUNNING = 5000, LARGE = 8000, SMALL = 100 };

	setup();
	stored[0] = (struct stored){ RUNNING, RUNNING, RUNNING, 0, 0 };
	stored[1] = (struct stored){ 0, 0, QUOTA_WHOLE, LARGE, SMALL };
	store_all(4);
	for (int i = 0; i < ROUNDS; i++)
		decide();
	ck_assert_int_ge(stored[1].granted, SMALL);
	teardown();
}
END_TEST

/*
 * Guards against shares that are kept short for good by another's large task, which
 * cannot start, as what runs elsewhere does not end.
 */
START_TEST(large_task_that_cannot_start_lets_others_have_their_turn)
{
	enum { ROUNDS = 100, RUNNING = 5000, LARGE = 8000, SMALL = 100 };
	int32_t most = 0;

	setup();
	stored[0] = (struct stored){ RUNNING, RUNNING, RUNNING, 0, 0 };
	stored[1] = (struct stored){ 0, 0, LARGE, LARGE, LARGE };
	stored[2] = (struct stored){ 0, 0, QUOTA_WHOLE, SMALL, SMALL };
	stored[3] = (struct stored){ 0, 0, QUOTA_WHOLE, SMALL, SMALL };
	store_all(4);
	for (int i = 0; i < ROUNDS; i++) {
		decide();
		most = MAX(most, stored[2].granted + stored[3].granted);
	}
	ck_assert_int_ge(most, RUNNING * 3 / 4);
	teardown();
}
END_TEST

/* Counts what a gang of an organisation with a limit of 1000 thousandths wants. */
static bool gang_wants(int32_t count, int32_t cpu_milli)
{
	struct job_step gang = { .count = count,
				 .cpu_milli = cpu_milli,
				 .gang = true };
	struct quota_use *use = quota_use_create();
	bool wants;

	ck_assert(quota_use_begin(use, cfg, NULL, true));
	quota_use_want(use, TENANT, &gang, count);
	wants = quota_use_wants(use, TENANT);
	quota_use_destroy(use);
	return wants;
}

/*
 * Guards against a limit that is cleared time and again for a gang which is larger
 * than it, and which may never run.
 */
START_TEST(gang_larger_than_the_limit_wants_nothing)
{
	setup();
	ck_assert(gang_wants(4, 250));
	ck_assert(!gang_wants(4, 251));
	/* A single task runs alone. */
	ck_assert(gang_wants(1, 1001));
	teardown();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("quota_plan");
	TCase *tcase = tcase_create("quota_plan");

	tcase_add_test(tcase,
		       share_gets_its_due_from_many_that_have_a_little_more);
	tcase_add_test(tcase, small_tasks_start_beside_a_large_one_that_cannot);
	tcase_add_test(
		tcase,
		large_task_that_cannot_start_lets_others_have_their_turn);
	tcase_add_test(tcase, gang_larger_than_the_limit_wants_nothing);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
