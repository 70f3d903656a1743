/*
 * Unit tests of limits that are divided among the shares of pools: owners of
 * shares, an owner of the hosts and a log, which read each other's records late.
 */

#include <string.h>

#include <check.h>

#include "quota_plan.h"
#include "quota_use.h"
#include "rnd.h"
#include "suite.h"
#include "wire.h"

enum {
	SHARES = 6,
	PARTS = 2, /* of the log; share i is in part i % PARTS */
	STEPS = 20000,
	STEP_MS = 10,
	MAX_RECORDS = 100000
};

#define TENANT "a"

struct record {
	char *key;
	char *value;
};

/* A node's view of the log. */
struct view {
	struct quota_table table;
	guint next[PARTS]; /* records read */
};

struct owner {
	struct view view;
	struct quota_use *use;
	char *key;
	int32_t running;
	int32_t waiting;
	char *unsent; /* record that is not in the log yet */
	const struct cfg *cfg;
};

static struct rnd rnd;
static GPtrArray *parts[PARTS]; /* struct record */
static struct owner owners[SHARES];
static struct view coordinator;
static struct quota_plan *plan;
static GHashTable *written; /* key -> number, of this coordinator */
static GPtrArray *keys;	    /* of configured shares */
static int64_t now_ms;
static int stopped = -1; /* share without an owner */
static struct cfg *cfgs[2];
static struct job_step task = { .count = 1 };

static struct cfg *make_cfg(int limit_milli)
{
	struct err err = { .kind = ERR_OK };
	struct cfg *cfg = NULL;
	char *text = g_strdup_printf(
		"{\"version\":1,\"routes\":[],\"services\":[],\"tenants\":["
		"{\"name\":\"" TENANT "\",\"maxCount\":{\"cpu\":%d}},"
		"{\"name\":\"unlimited\"}]}",
		limit_milli);

	ck_assert_int_eq(wire_decode_cfg(text, strlen(text), &cfg, &err), 0);
	g_free(text);
	return cfg;
}

static void free_record(void *arg)
{
	struct record *record = arg;

	g_free(record->key);
	g_free(record->value);
	g_free(record);
}

static int share_of(const char *key)
{
	for (int i = 0; i < SHARES; i++)
		if (!strcmp(owners[i].key, key))
			return i;
	ck_abort_msg("%s", key);
	return 0;
}

static void append(int share, const char *kind, char *value)
{
	struct record *record = g_new0(struct record, 1);

	record->key = g_strconcat(kind, owners[share].key, NULL);
	record->value = value;
	g_ptr_array_add(parts[share % PARTS], record);
}

static void apply(struct quota_table *table, const struct record *record,
		  guint offset)
{
	struct err err = { .kind = ERR_OK };
	size_t len = strlen(record->value);
	int status =
		record->key[0] == 'q'
			? quota_apply_grants(table, record->key + 2, offset,
					     record->value, len, &err)
			: quota_apply_use(table, record->key + 2, offset,
					  record->value, len, &err);

	ck_assert_msg(status == 0, "%s", err.text);
}

static void read_some(struct view *view, int part, guint count)
{
	for (; count && view->next[part] < parts[part]->len; count--) {
		guint at = view->next[part]++;

		apply(&view->table, parts[part]->pdata[at], at);
	}
}

/* Reads as a node that starts: the newest record of each key only. */
static void read_newest(struct view *view)
{
	quota_table_clear(&view->table);
	quota_table_init(&view->table);
	for (int i = 0; i < PARTS; i++) {
		GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);

		for (guint k = parts[i]->len; k > 0; k--) {
			struct record *record = parts[i]->pdata[k - 1];

			if (g_hash_table_add(seen, record->key))
				apply(&view->table, record, k - 1);
		}
		g_hash_table_destroy(seen);
		view->next[i] = parts[i]->len;
	}
}

static void setup_with(int limit_milli, int other_limit_milli)
{
	cfgs[0] = make_cfg(limit_milli);
	cfgs[1] = make_cfg(other_limit_milli);
	keys = g_ptr_array_new();
	now_ms = 0;
	written = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	plan = quota_plan_create();
	quota_table_init(&coordinator.table);
	memset(coordinator.next, 0, sizeof(coordinator.next));
	for (int i = 0; i < PARTS; i++)
		parts[i] = g_ptr_array_new_with_free_func(free_record);
	for (int i = 0; i < SHARES; i++) {
		owners[i] = (struct owner){
			.key = g_strdup_printf("pool/%d", i),
			.use = quota_use_create(),
			.cfg = cfgs[0],
		};
		quota_table_init(&owners[i].view.table);
		g_ptr_array_add(keys, owners[i].key);
	}
}

static void teardown(void)
{
	for (int i = 0; i < SHARES; i++) {
		quota_table_clear(&owners[i].view.table);
		quota_use_destroy(owners[i].use);
		g_free(owners[i].unsent);
		g_free(owners[i].key);
	}
	for (int i = 0; i < PARTS; i++)
		g_ptr_array_free(parts[i], TRUE);
	quota_table_clear(&coordinator.table);
	quota_plan_destroy(plan);
	g_hash_table_destroy(written);
	g_ptr_array_free(keys, TRUE);
	cfg_destroy(cfgs[0]);
	cfg_destroy(cfgs[1]);
}

static int total_running(void)
{
	int total = 0;

	for (int i = 0; i < SHARES; i++)
		total += owners[i].running;
	return total;
}

/* A pass of the owner's scheduler. */
static void owner_pass(int i)
{
	struct owner *owner = &owners[i];
	const struct quota_share *share =
		quota_find(&owner->view.table, owner->key);

	ck_assert(quota_use_begin(owner->use, owner->cfg, share, true));
	for (int k = 0; k < owner->running; k++)
		quota_use_add(owner->use, TENANT, &task);
	while (owner->waiting &&
	       quota_use_allows(owner->use, TENANT, &task, 1)) {
		quota_use_add(owner->use, TENANT, &task);
		owner->running++;
		owner->waiting--;
	}
	if (owner->waiting)
		quota_use_want(owner->use, TENANT, &task, owner->waiting);
	if (!owner->unsent && quota_use_is_news(owner->use, true))
		owner->unsent = quota_use_record(owner->use);
}

static void owner_send(int i)
{
	if (owners[i].unsent)
		append(i, "u:", owners[i].unsent);
	owners[i].unsent = NULL;
}

/* Another node owns the share: what was not stored is lost, its tasks run on. */
static void owner_takeover(int i)
{
	g_free(owners[i].unsent);
	owners[i].unsent = NULL;
	quota_use_reset(owners[i].use);
	read_newest(&owners[i].view);
}

static void write_grants(void *arg, const char *key, GHashTable *changes)
{
	const struct quota_share *share = quota_find(&coordinator.table, key);
	int64_t number = share ? share->number + 1 : 1;

	(void)arg;
	append(share_of(key),
	       "q:", quota_grants_record(share, number, changes));
	g_hash_table_insert(written, g_strdup(key),
			    GINT_TO_POINTER((int)number));
}

static bool written_is_read(void)
{
	GHashTableIter iter;
	void *key, *number;

	g_hash_table_iter_init(&iter, written);
	while (g_hash_table_iter_next(&iter, &key, &number)) {
		const struct quota_share *share =
			quota_find(&coordinator.table, key);

		if (!share || share->number < GPOINTER_TO_INT(number))
			return false;
	}
	return true;
}

static void coordinator_decide(const struct cfg *cfg)
{
	if (written_is_read())
		quota_plan_decide(plan, &coordinator.table, cfg, keys, now_ms,
				  write_grants, NULL);
}

/* The pool of a share is removed from the configuration, or added to it again. */
static void toggle_configured(int i)
{
	if (!g_ptr_array_remove(keys, owners[i].key))
		g_ptr_array_add(keys, owners[i].key);
}

static void coordinator_takeover(void)
{
	quota_plan_reset(plan);
	g_hash_table_remove_all(written);
	read_newest(&coordinator);
}

/* Everybody reads and stores all, and decides. */
static void round_of_all(void)
{
	for (int i = 0; i < PARTS; i++)
		read_some(&coordinator, i, MAX_RECORDS);
	coordinator_decide(cfgs[0]);
	for (int i = 0; i < SHARES; i++) {
		if (i == stopped)
			continue;
		read_some(&owners[i].view, i % PARTS, MAX_RECORDS);
		owner_pass(i);
		owner_send(i);
	}
}

static void random_step(int limit_tasks)
{
	int i = (int)rnd_below(&rnd, SHARES);

	now_ms += STEP_MS;
	switch (rnd_below(&rnd, 10)) {
	case 0:
		owners[i].waiting += (int32_t)rnd_below(&rnd, 4);
		owners[i].waiting = MIN(owners[i].waiting, 2 * limit_tasks);
		break;
	case 1:
		if (owners[i].running)
			owners[i].running--;
		break;
	case 2:
	case 3:
		read_some(&owners[i].view, i % PARTS,
			  (guint)rnd_below(&rnd, 3) + 1);
		break;
	case 4:
	case 5:
		owner_pass(i);
		break;
	case 6:
		owner_send(i);
		break;
	case 7:
		for (int k = 0; k < PARTS; k++)
			read_some(&coordinator, k,
				  (guint)rnd_below(&rnd, 4) + 1);
		break;
	case 8:
		coordinator_decide(cfgs[rnd_below(&rnd, 2)]);
		break;
	case 9:
		if (!rnd_below(&rnd, 20))
			owner_takeover(i);
		if (!rnd_below(&rnd, 60))
			coordinator_takeover();
		if (!rnd_below(&rnd, 10))
			owners[i].cfg = cfgs[rnd_below(&rnd, 2)];
		if (!rnd_below(&rnd, 400))
			toggle_configured(SHARES - 1);
		break;
	}
}

/*
 * Guards against starts beyond a limit: records are read late, owners change and
 * lose what they have not stored, configurations with two limits are in force, and
 * a pool is removed and comes back while its tasks run on.
 */
START_TEST(what_runs_never_exceeds_the_limit)
{
	enum { LIMIT = 20, OTHER_LIMIT = 12, MILLI = 1000 };
	int most = 0;

	task.cpu_milli = MILLI;
	rnd_init(&rnd, (uint64_t)_i + 1);
	setup_with(LIMIT * MILLI, OTHER_LIMIT * MILLI);
	for (int step = 0; step < STEPS; step++) {
		int before = total_running();

		random_step(LIMIT);
		if (total_running() > before)
			ck_assert_int_le(total_running(), LIMIT);
		most = MAX(most, total_running());
	}
	/* The limit was put to use, too. */
	ck_assert_int_ge(most, LIMIT / 2);
	teardown();
}
END_TEST

/* Guards against a limit that is left unused while some share is short. */
START_TEST(share_that_is_short_gets_what_others_do_not_use)
{
	enum { LIMIT = 20, ROUNDS = 12 };

	task.cpu_milli = 1000;
	setup_with(LIMIT * 1000, LIMIT * 1000);
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	owners[1].waiting = 3 * LIMIT;
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	ck_assert_int_ge(owners[1].running, LIMIT * 3 / 4);
	/* The turn goes on to another share, and what ends there is not used. */
	owners[1].waiting = 0;
	owners[4].waiting = 3 * LIMIT;
	for (int i = 0; i < ROUNDS; i++) {
		owners[1].running = owners[1].running / 2;
		round_of_all();
	}
	ck_assert_int_ge(owners[4].running, LIMIT * 3 / 4);
	ck_assert_int_le(total_running(), LIMIT);
	teardown();
}
END_TEST

/*
 * Guards against a part of the limit that is used twice, as the owner of a removed
 * pool runs what it has on.
 */
START_TEST(removed_pool_keeps_what_its_tasks_use)
{
	enum { LIMIT = 20, ROUNDS = 12, GONE_MS = 60 * 1000 };

	task.cpu_milli = 1000;
	setup_with(LIMIT * 1000, LIMIT * 1000);
	owners[0].waiting = LIMIT / 2;
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	ck_assert_int_eq(owners[0].running, LIMIT / 2);
	toggle_configured(0);
	owners[0].waiting = LIMIT;
	owners[1].waiting = LIMIT;
	for (int k = 0; k < 3; k++) {
		for (int i = 0; i < ROUNDS; i++) {
			round_of_all();
			ck_assert_int_le(total_running(), LIMIT);
		}
		now_ms += GONE_MS;
	}
	/* What ends there is given to others. */
	owners[0].running = 0;
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	ck_assert_int_ge(owners[1].running, LIMIT * 3 / 4);
	ck_assert_int_le(total_running(), LIMIT);
	teardown();
}
END_TEST

/*
 * Guards against a part of the limit that is lost with a pool that was removed and
 * has no owner any more, and is used twice once the pool is back.
 */
START_TEST(removed_pool_gives_its_part_back)
{
	enum { LIMIT = 20, ROUNDS = 12, GONE_MS = 60 * 1000 };

	task.cpu_milli = 1000;
	setup_with(LIMIT * 1000, LIMIT * 1000);
	owners[0].waiting = LIMIT;
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	ck_assert_int_ge(owners[0].running, LIMIT * 3 / 4);
	/* Its node has stopped, and its tasks with their leases. */
	stopped = 0;
	owners[0].running = 0;
	toggle_configured(0);
	owners[1].waiting = 2 * LIMIT;
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	ck_assert_int_le(owners[1].running, LIMIT / 4);
	now_ms += GONE_MS;
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	ck_assert_int_ge(owners[1].running, LIMIT * 3 / 4);
	stopped = -1;
	toggle_configured(0);
	owner_takeover(0);
	owners[0].waiting = LIMIT;
	for (int i = 0; i < ROUNDS; i++) {
		round_of_all();
		ck_assert_int_le(total_running(), LIMIT);
	}
	teardown();
}
END_TEST

/*
 * Guards against starts beyond a limit that was lowered under what runs already, by
 * shares that have a part of it unused.
 */
START_TEST(nothing_starts_while_more_runs_than_a_lowered_limit)
{
	enum { LIMIT = 200, LOWERED = 100, ROUNDS = 12 };

	task.cpu_milli = 1000;
	setup_with(LIMIT * 1000, LIMIT * 1000);
	owners[0].waiting = LOWERED * 9 / 10;
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	ck_assert_int_eq(owners[0].running, LOWERED * 9 / 10);
	cfg_destroy(cfgs[0]);
	cfgs[0] = make_cfg(LOWERED * 1000);
	for (int i = 0; i < SHARES; i++)
		owners[i].cfg = cfgs[0];
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	for (int i = 0; i < SHARES; i++)
		owners[i].waiting = LIMIT;
	for (int i = 0; i < ROUNDS; i++) {
		round_of_all();
		ck_assert_int_le(total_running(), LOWERED);
	}
	/* What ends makes room for others. */
	owners[0].running = 0;
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	ck_assert_int_ge(total_running(), LOWERED * 3 / 4);
	ck_assert_int_le(total_running(), LOWERED);
	teardown();
}
END_TEST

/* Guards against shares that each have less than any task needs. */
START_TEST(few_large_tasks_run_in_some_share)
{
	enum { ROUNDS = 20 };

	task.cpu_milli = 900;
	setup_with(2000, 2000);
	for (int i = 0; i < SHARES; i++)
		owners[i].waiting = 5;
	for (int i = 0; i < ROUNDS; i++)
		round_of_all();
	ck_assert_int_eq(total_running(), 2);
	teardown();
}
END_TEST

/* Guards against tasks that never run, as the limit is smaller than they are. */
START_TEST(task_larger_than_the_limit_runs_alone)
{
	enum { ROUNDS = 200, LENGTH = 5 };
	int runs = 0;

	task.cpu_milli = 5000;
	setup_with(2000, 2000);
	owners[0].waiting = 100;
	owners[3].waiting = 100;
	for (int i = 0; i < ROUNDS; i++) {
		round_of_all();
		ck_assert_int_le(total_running(), 1);
		if (i % LENGTH)
			continue;
		runs += total_running();
		owners[0].running = 0;
		owners[3].running = 0;
	}
	ck_assert_int_lt(owners[0].waiting, 100);
	ck_assert_int_lt(owners[3].waiting, 100);
	ck_assert_int_ge(runs, ROUNDS / LENGTH / 4);
	teardown();
}
END_TEST

/* Guards against placements by a configuration that may have been replaced. */
START_TEST(nothing_is_placed_by_an_unconfirmed_configuration)
{
	task.cpu_milli = 1000;
	setup_with(20000, 20000);
	for (int i = 0; i < 5; i++)
		round_of_all();
	quota_use_begin(owners[0].use, cfgs[0],
			quota_find(&owners[0].view.table, owners[0].key),
			false);
	ck_assert(!quota_use_allows(owners[0].use, TENANT, &task, 1));
	ck_assert(quota_use_allows(owners[0].use, "unlimited", &task, 1));
	ck_assert(quota_use_allows(owners[0].use, "", &task, 1));
	ck_assert(!quota_use_is_news(owners[0].use, true));
	teardown();
}
END_TEST

/* Guards against a malformed record that is half applied. */
START_TEST(malformed_records_change_nothing)
{
	static const char *const invalid[] = {
		"",
		"[]",
		"{\"n\":1}",
		"{\"n\":1,\"g\":[[\"a\",1]]}",
		"{\"n\":1,\"g\":[[\"a\",7,7],[\"b\",-1,7]]}",
	};
	struct quota_table table;

	quota_table_init(&table);
	for (size_t i = 0; i < G_N_ELEMENTS(invalid); i++) {
		struct err err = { .kind = ERR_OK };

		ck_assert_int_lt(quota_apply_grants(&table, "pool/0", 5,
						    invalid[i],
						    strlen(invalid[i]), &err),
				 0);
		ck_assert_int_eq(
			quota_granted(quota_find(&table, "pool/0"), "a"), 0);
	}
	quota_table_clear(&table);
}
END_TEST

int main(void)
{
	enum { SEEDS = 20 };
	Suite *suite = suite_create("quota");
	TCase *tcase = tcase_create("quota");

	tcase_set_timeout(tcase, 120);
	tcase_add_loop_test(tcase, what_runs_never_exceeds_the_limit, 0, SEEDS);
	tcase_add_test(tcase, share_that_is_short_gets_what_others_do_not_use);
	tcase_add_test(tcase, removed_pool_keeps_what_its_tasks_use);
	tcase_add_test(tcase, removed_pool_gives_its_part_back);
	tcase_add_test(tcase,
		       nothing_starts_while_more_runs_than_a_lowered_limit);
	tcase_add_test(tcase, few_large_tasks_run_in_some_share);
	tcase_add_test(tcase, task_larger_than_the_limit_runs_alone);
	tcase_add_test(tcase,
		       nothing_is_placed_by_an_unconfirmed_configuration);
	tcase_add_test(tcase, malformed_records_change_nothing);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
