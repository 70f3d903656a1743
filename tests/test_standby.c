/* Unit tests of which nodes may own pools where nodes differ in size. */

#include <stdio.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>
#include <glib.h>

#include "log.h"
#include "standby.h"
#include "suite.h"

static const struct nodeconf large_node = {
	.core_share = 0.5,
	.link_mbps = 200,
	.decider_core_share = 0.2,
	.decider_link_mbps = 50,
};

/* A small node of the first group. */
static struct nodeconf small_node(void)
{
	struct nodeconf settings = large_node;
	struct standby standby;
	int number = 0;

	settings.link_mbps = 10;
	do {
		snprintf(settings.name, sizeof(settings.name), "small-%d",
			 number++);
		standby_init(&standby, &settings, 0);
	} while (standby.group_delay_ms);
	return settings;
}

/* All nodes have the same size; none waits for another. */
START_TEST(large_node_decides_from_the_start)
{
	struct standby standby;

	standby_init(&standby, &large_node, 1000);
	ck_assert(standby_decides(&standby, 1000));
	ck_assert(standby_must_announce(&standby, 1000 + STANDBY_ANNOUNCE_MS));
	ck_assert(!standby_must_announce(&standby, 1001 + STANDBY_ANNOUNCE_MS));
}
END_TEST

/* A few large nodes among many small ones. */
START_TEST(one_announcing_node_is_enough)
{
	struct standby standby;
	int64_t now_ms = 1000;

	standby_init(&standby, &large_node, now_ms);
	for (; now_ms < 10000; now_ms += 100) {
		if (now_ms % 500 == 0)
			standby_note_announcement(&standby, now_ms);
		ck_assert(!standby_must_announce(&standby, now_ms));
	}
}
END_TEST

enum { STEP_MS = 100 };

/* The log answers all the time, and no large node announces itself. */
static void check_stands_by(struct standby *standby, int64_t from_ms,
			    int64_t to_ms)
{
	for (int64_t ms = from_ms; ms <= to_ms; ms += STEP_MS)
		ck_assert(!standby_decides(standby, ms));
}

/* All large nodes lose power and come back. */
START_TEST(small_node_decides_only_without_large_ones)
{
	struct nodeconf settings = small_node();
	struct standby standby;
	int64_t now_ms = 1000;

	standby_init(&standby, &settings, now_ms);
	ck_assert(!standby_decides(&standby, now_ms));
	ck_assert(!standby_must_announce(&standby,
					 now_ms + 10 * STANDBY_ANNOUNCE_MS));
	check_stands_by(&standby, now_ms, now_ms + STANDBY_SILENCE_MS);
	now_ms += STANDBY_SILENCE_MS;
	ck_assert(standby_decides(&standby, now_ms + 1));
	standby_note_announcement(&standby, now_ms + 2);
	ck_assert(!standby_decides(&standby, now_ms + 2));
}
END_TEST

/* The log is unavailable, so announcements cannot be read. */
START_TEST(silence_counts_only_while_the_log_answers)
{
	struct nodeconf settings = small_node();
	struct standby standby;
	int64_t now_ms = 30000;

	standby_init(&standby, &settings, 1000);
	for (int i = 0; i < 300; i++)
		ck_assert(!standby_decides(&standby, 1000));
	check_stands_by(&standby, now_ms, now_ms + STANDBY_SILENCE_MS);
	ck_assert(standby_decides(&standby, now_ms + STANDBY_SILENCE_MS + 1));
}
END_TEST

/*
 * A data centre is cut off. Its small nodes hear nothing, but large nodes
 * elsewhere go on: small ones must not take pools when the cut ends.
 */
START_TEST(small_node_stays_out_after_a_cut)
{
	struct nodeconf settings = small_node();

	for (int64_t cut_ms = 0; cut_ms < 10000; cut_ms += STEP_MS) {
		struct standby standby;
		int64_t now_ms = 60000;

		standby_init(&standby, &settings, now_ms);
		check_stands_by(&standby, now_ms, now_ms + 1000);
		now_ms += 1000;
		standby_note_announcement(&standby, now_ms);
		for (int64_t ms = 0; ms < cut_ms; ms += STEP_MS)
			ck_assert(!standby_decides(&standby, now_ms));
		/* The first answer brings the announcements made meanwhile. */
		standby_note_announcement(&standby, now_ms + cut_ms);
		ck_assert(!standby_decides(&standby, now_ms + cut_ms));
	}
}
END_TEST

/*
 * All large nodes lose power among many small ones. Each member reads all jobs, so
 * that the reads of all small nodes together would hold up the log.
 */
START_TEST(only_a_part_of_the_small_nodes_joins)
{
	enum { NODES = 132, START_MS = 1000, RUN_MS = 20000 };
	struct standby nodes[NODES];
	struct nodeconf settings = small_node();
	int joined = 0;

	for (int i = 0; i < NODES; i++) {
		snprintf(settings.name, sizeof(settings.name), "front-%d", i);
		standby_init(&nodes[i], &settings, START_MS);
	}
	for (int64_t ms = START_MS; ms < RUN_MS; ms += STEP_MS) {
		char *record = NULL;

		joined = 0;
		for (int i = 0; i < NODES; i++)
			joined += standby_decides(&nodes[i], ms);
		for (int i = 0; i < NODES && !record; i++)
			if (standby_must_announce(&nodes[i], ms))
				record = standby_record(&nodes[i], "front");
		for (int i = 0; record && i < NODES; i++)
			standby_apply(&nodes[i], record, strlen(record), ms);
		g_free(record);
	}
	ck_assert_int_gt(joined, NODES / STANDBY_GROUPS / 2);
	ck_assert_int_lt(joined, NODES / STANDBY_GROUPS * 2);
}
END_TEST

/* The first group of small nodes has gone, too. */
START_TEST(later_groups_join_if_the_first_is_away)
{
	struct nodeconf settings = small_node();
	struct standby standby;
	int64_t now_ms = 1000;

	standby_init(&standby, &settings, now_ms);
	standby.group_delay_ms = 3 * STANDBY_GROUP_MS;
	check_stands_by(&standby, now_ms,
			now_ms + STANDBY_SILENCE_MS + standby.group_delay_ms);
	now_ms += STANDBY_SILENCE_MS + standby.group_delay_ms;
	ck_assert(standby_decides(&standby, now_ms + 1));
}
END_TEST

static struct standby standby_with_settings(const char *size_fields)
{
	char *text =
		g_strdup_printf("{\"name\":\"n\",\"data_centre\":\"d\","
				"\"callers\":\"a:1\",\"readiness\":\"a:2\","
				"\"log_service\":\"a:3\"%s}",
				size_fields);
	struct err err = { .kind = ERR_OK };
	struct nodeconf settings;
	struct standby standby;

	ck_assert_msg(!nodeconf_parse(text, strlen(text), &settings, &err),
		      "%s", err.text);
	g_free(text);
	standby_init(&standby, &settings, 1000);
	return standby;
}

START_TEST(settings_determine_the_size)
{
	ck_assert(!standby_with_settings("").small);
	ck_assert(!standby_with_settings(",\"core_share\":0.25").small);
	ck_assert(standby_with_settings(",\"core_share\":0.12").small);
	ck_assert(
		!standby_with_settings(",\"core_share\":0.12,\"core_speed\":2")
			 .small);
	ck_assert(standby_with_settings(",\"link_mbps\":10").small);
	ck_assert(!standby_with_settings(",\"link_mbps\":10,"
					 "\"decider_link_mbps\":5")
			   .small);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("standby");
	TCase *tcase = tcase_create("standby");

	apr_initialize();
	log_init("test_standby", true);
	tcase_add_test(tcase, large_node_decides_from_the_start);
	tcase_add_test(tcase, one_announcing_node_is_enough);
	tcase_add_test(tcase, small_node_decides_only_without_large_ones);
	tcase_add_test(tcase, silence_counts_only_while_the_log_answers);
	tcase_add_test(tcase, small_node_stays_out_after_a_cut);
	tcase_add_test(tcase, only_a_part_of_the_small_nodes_joins);
	tcase_add_test(tcase, later_groups_join_if_the_first_is_away);
	tcase_add_test(tcase, settings_determine_the_size);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
