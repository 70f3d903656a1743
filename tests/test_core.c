/* Unit tests of the fleet state: records, budgets, membership, snapshots. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "fleet.h"
#include "record.h"
#include "fleet_text.h"
#include "suite.h"

static struct fleet *fleet;
static int64_t next_offset;
static struct err err;

static void setup(void)
{
	fleet = fleet_create();
	next_offset = 0;
	err.kind = ERR_OK;
}

static void teardown(void)
{
	fleet_destroy(fleet);
}

/* Applies a record; fields is the JSON that follows at_ms. */
static int apply(const char *type, const char *fields)
{
	static int ids;
	char text[4096];
	struct record rec;
	int status;

	snprintf(text, sizeof(text),
		 "{\"type\":\"%s\",\"id\":\"%032x\",\"author\":\"a\","
		 "\"at_ms\":1,%s}",
		 type, ++ids, fields);
	status = record_parse(&rec, text, strlen(text), &err);
	ck_assert_msg(status == 0, "%s: %s", text, err.text);
	status = fleet_apply(fleet, next_offset++, &rec, &err);
	record_clear(&rec);
	return status;
}

static void add_host(const char *name, const char *data_centre)
{
	char fields[512];

	snprintf(fields, sizeof(fields),
		 "\"host\":\"%s\",\"data_centre\":\"%s\",\"rack\":\"r\","
		 "\"address\":\"127.0.0.1\",\"port\":80,\"cpu_milli\":1,"
		 "\"mem_mib\":1,\"accelerators\":0,\"slots\":8,"
		 "\"connections\":64",
		 name, data_centre);
	ck_assert_int_eq(apply("host", fields), 0);
}

static int heartbeat(const char *member, int incarnation, int seq,
		     const char *data_centre)
{
	char fields[512];

	snprintf(fields, sizeof(fields),
		 "\"member\":\"%s\",\"incarnation\":%d,\"seq\":%d,"
		 "\"data_centre\":\"%s\",\"address\":\"127.0.0.1\","
		 "\"port\":1",
		 member, incarnation, seq, data_centre);
	return apply("member", fields);
}

static int quiet(const char *host, const char *member, int incarnation,
		 int64_t drain)
{
	char fields[512];

	snprintf(fields, sizeof(fields),
		 "\"host\":\"%s\",\"member\":\"%s\",\"incarnation\":%d,"
		 "\"drain\":%lld",
		 host, member, incarnation, (long long)drain);
	return apply("quiet", fields);
}

static const char three_hosts[] =
	"\"team\":\"t\",\"base\":-1,\"settings\":{\"pools\":{\"p\":{"
	"\"hosts\":[\"h0\",\"h1\",\"h2\"],\"min_available\":2}}}";

static void add_pool(void)
{
	add_host("h0", "suva");
	add_host("h1", "suva");
	add_host("h2", "lautoka");
	ck_assert_int_eq(apply("settings", three_hosts), 0);
}

START_TEST(budget_refuses_second_drain)
{
	add_pool();
	ck_assert_int_eq(apply("drain", "\"host\":\"h0\",\"reason\":\"x\""), 0);
	ck_assert_int_eq(apply("drain", "\"host\":\"h1\",\"reason\":\"x\""),
			 ERR_BUDGET);
	ck_assert_int_eq(fleet_host(fleet, "h1")->state, FLEET_SERVING);
}
END_TEST

/* An unplanned failure counts against the budget like a drain. */
START_TEST(failure_uses_budget)
{
	add_pool();
	ck_assert_int_eq(apply("fail", "\"host\":\"h2\",\"reason\":\"x\""), 0);
	ck_assert_int_eq(apply("drain", "\"host\":\"h0\",\"reason\":\"x\""),
			 ERR_BUDGET);
}
END_TEST

/* Of two changes with the same base the lower offset wins. */
START_TEST(racing_settings_conflict)
{
	add_pool();
	ck_assert_int_eq(apply("settings", three_hosts), ERR_CONFLICT);
	ck_assert_ptr_nonnull(strstr(err.text, "version 3 is in force"));
}
END_TEST

START_TEST(host_of_other_team_is_refused)
{
	add_pool();
	ck_assert_int_eq(
		apply("settings",
		      "\"team\":\"u\",\"base\":-1,\"settings\":{\"pools\":{"
		      "\"q\":{\"hosts\":[\"h1\"],\"min_available\":0}}}"),
		ERR_CONFLICT);
	ck_assert_ptr_null(fleet_team(fleet, "u"));
	ck_assert_str_eq(fleet_host(fleet, "h1")->team, "t");
}
END_TEST

/* A lost append response leads to a second copy, which must do nothing. */
START_TEST(duplicate_id_has_no_effect)
{
	const char *text = "{\"type\":\"undrain\",\"id\":"
			   "\"ffffffffffffffffffffffffffffffff\","
			   "\"author\":\"a\",\"at_ms\":1,\"host\":\"h0\","
			   "\"reason\":\"x\"}";
	struct record rec;

	add_pool();
	ck_assert_int_eq(apply("drain", "\"host\":\"h0\",\"reason\":\"x\""), 0);
	ck_assert_int_eq(record_parse(&rec, text, strlen(text), &err), 0);
	ck_assert_int_eq(fleet_apply(fleet, next_offset++, &rec, &err), 0);
	ck_assert_int_eq(apply("drain", "\"host\":\"h0\",\"reason\":\"x\""), 0);
	ck_assert_int_eq(fleet_apply(fleet, next_offset++, &rec, &err),
			 ERR_DUPLICATE);
	/* Without members to confirm it, the second drain ended at once. */
	ck_assert_int_eq(fleet_host(fleet, "h0")->state, FLEET_DRAINED);
	record_clear(&rec);
}
END_TEST

/* A drain ends only when every member that may send has confirmed it. */
START_TEST(drain_waits_for_members)
{
	int64_t drain;

	add_pool();
	heartbeat("e0", 1, 1, "suva");
	heartbeat("e1", 1, 1, "lautoka");
	drain = next_offset;
	ck_assert_int_eq(apply("drain", "\"host\":\"h0\",\"reason\":\"x\""), 0);
	/* A member that joins later never sent to the host. */
	heartbeat("e2", 1, 1, "suva");
	ck_assert_int_eq(quiet("h0", "e0", 1, drain), 0);
	ck_assert_int_eq(fleet_host(fleet, "h0")->state, FLEET_DRAINING);
	ck_assert_int_eq(quiet("h0", "e1", 2, drain), ERR_STATE);
	ck_assert_int_eq(quiet("h0", "e1", 1, drain + 1), ERR_STATE);
	ck_assert_int_eq(quiet("h0", "e1", 1, drain), 0);
	ck_assert_int_eq(fleet_host(fleet, "h0")->state, FLEET_DRAINED);
}
END_TEST

/*
 * An expired member no longer has a lease to send to other data centres, but
 * while it is partitioned it still sends to hosts in its own.
 */
START_TEST(expiry_frees_other_data_centres_only)
{
	int64_t seen;

	add_pool();
	seen = next_offset;
	heartbeat("e0", 1, 1, "suva");
	ck_assert_int_eq(apply("drain", "\"host\":\"h2\",\"reason\":\"x\""), 0);
	ck_assert_int_eq(fleet_host(fleet, "h2")->state, FLEET_DRAINING);
	heartbeat("e0", 1, 2, "suva");
	/* The proposer had not read the newer heartbeat. */
	ck_assert_int_eq(
		apply("member-expired",
		      "\"member\":\"e0\",\"incarnation\":1,\"seen\":4"),
		ERR_STATE);
	ck_assert_int_eq(seen, 4);
	ck_assert_int_eq(
		apply("member-expired",
		      "\"member\":\"e0\",\"incarnation\":1,\"seen\":6"),
		0);
	ck_assert_int_eq(fleet_host(fleet, "h2")->state, FLEET_DRAINED);
	ck_assert_int_eq(apply("undrain", "\"host\":\"h2\",\"reason\":\"x\""),
			 0);
	/* Without a live member a data centre's hosts are not available. */
	ck_assert_int_eq(apply("drain", "\"host\":\"h0\",\"reason\":\"x\""),
			 ERR_BUDGET);
	heartbeat("e1", 1, 1, "suva");
	ck_assert_int_eq(apply("drain", "\"host\":\"h0\",\"reason\":\"x\""), 0);
	ck_assert_int_eq(
		quiet("h0", "e1", 1, fleet_host(fleet, "h0")->drain_offset), 0);
	ck_assert_int_eq(fleet_host(fleet, "h0")->state, FLEET_DRAINING);
	ck_assert_int_eq(
		apply("member-left", "\"member\":\"e0\",\"incarnation\":1"), 0);
	ck_assert_int_eq(fleet_host(fleet, "h0")->state, FLEET_DRAINED);
}
END_TEST

/* Drains and reboots the host for a wave; no member has to confirm. */
static void reboot_for_wave(const char *name, const char *wave)
{
	char fields[256];

	snprintf(fields, sizeof(fields),
		 "\"host\":\"%s\",\"reason\":\"x\",\"wave\":\"%s\"", name,
		 wave);
	ck_assert_msg(apply("drain", fields) == 0, "%s", err.text);
	snprintf(fields, sizeof(fields), "\"host\":\"%s\",\"drain\":%lld", name,
		 (long long)fleet_host(fleet, name)->drain_offset);
	ck_assert_int_eq(apply("reboot", fields), 0);
}

static void set_boot_id(const char *name, int boot_id)
{
	char fields[512];

	snprintf(fields, sizeof(fields),
		 "\"host\":\"%s\",\"data_centre\":\"suva\",\"rack\":\"r\","
		 "\"address\":\"127.0.0.1\",\"port\":80,\"cpu_milli\":1,"
		 "\"mem_mib\":1,\"accelerators\":0,\"slots\":8,"
		 "\"connections\":64,\"boot_id\":%d",
		 name, boot_id);
	ck_assert_int_eq(apply("host", fields), 0);
}

#define WAVE_SETTINGS(base, resume)                                            \
	"\"team\":\"t\",\"base\":" base ",\"settings\":{\"pools\":{\"p\":{"    \
	"\"hosts\":[\"h0\",\"h1\"],\"min_available\":1},\"q\":{\"hosts\":"     \
	"[\"h2\"],\"min_available\":0}},\"batches\":{\"b\":{\"hosts\":["       \
	"\"h0\","                                                              \
	"\"h1\",\"h2\"],\"support_ends\":\"2030-01-01\"}},\"waves\":{\"w\":{"  \
	"\"batch\":\"b\",\"action\":\"reboot\",\"start\":\"2029-01-01\","      \
	"\"resume\":" resume "}}}"

/*
 * A host returns without an operator only with a higher boot_id: the platform's
 * list lags, and shows it live with the old boot_id before it has gone down.
 */
START_TEST(return_needs_a_higher_boot_id)
{
	set_boot_id("h0", 7);
	set_boot_id("h1", 7);
	ck_assert_int_eq(apply("settings", WAVE_SETTINGS("-1", "0")), 0);
	reboot_for_wave("h0", "w");
	ck_assert_int_eq(apply("return", "\"host\":\"h0\",\"reason\":\"x\""),
			 ERR_STATE);
	set_boot_id("h0", 8);
	ck_assert_int_eq(apply("return", "\"host\":\"h0\",\"reason\":\"x\""),
			 0);
	ck_assert_str_eq(fleet_host(fleet, "h0")->wave_done, "w");
	ck_assert_str_eq(fleet_host(fleet, "h0")->wave, "");
	reboot_for_wave("h1", "w");
	ck_assert_int_eq(apply("return", "\"host\":\"h1\",\"reason\":\"x\","
					 "\"by_operator\":true"),
			 0);
	ck_assert_str_eq(fleet_host(fleet, "h1")->wave_done, "w");
}
END_TEST

/* Failures of a wave are kept until an operator resumes the wave. */
START_TEST(wave_keeps_its_failures_until_resumed)
{
	set_boot_id("h0", 7);
	set_boot_id("h1", 7);
	ck_assert_int_eq(apply("settings", WAVE_SETTINGS("-1", "0")), 0);
	reboot_for_wave("h0", "w");
	ck_assert_int_eq(apply("fail", "\"host\":\"h0\",\"reason\":\"x\""), 0);
	ck_assert_str_eq(fleet_host(fleet, "h0")->wave_failed, "w");
	ck_assert_str_eq(fleet_host(fleet, "h0")->wave_done, "");
	set_boot_id("h0", 8);
	ck_assert_int_eq(apply("return", "\"host\":\"h0\",\"reason\":\"x\""),
			 0);
	ck_assert_str_eq(fleet_host(fleet, "h0")->wave_done, "w");
	ck_assert_int_eq(apply("settings", WAVE_SETTINGS("2", "0")), 0);
	ck_assert_str_eq(fleet_host(fleet, "h0")->wave_failed, "w");
	ck_assert_int_eq(apply("settings", WAVE_SETTINGS("8", "1")), 0);
	ck_assert_str_eq(fleet_host(fleet, "h0")->wave_failed, "");
	/* A host repaired after the wave resumed is not rebooted again. */
	reboot_for_wave("h1", "w");
	ck_assert_int_eq(apply("fail", "\"host\":\"h1\",\"reason\":\"x\""), 0);
	ck_assert_int_eq(apply("settings", WAVE_SETTINGS("9", "2")), 0);
	set_boot_id("h1", 8);
	ck_assert_int_eq(apply("return", "\"host\":\"h1\",\"reason\":\"x\""),
			 0);
	ck_assert_str_eq(fleet_host(fleet, "h1")->wave_done, "w");
	/* h0 had returned, but the wave still has other hosts to reboot. */
	ck_assert_int_eq(apply("fail", "\"host\":\"h0\",\"reason\":\"x\""), 0);
	ck_assert_str_eq(fleet_host(fleet, "h0")->wave_failed, "w");
}
END_TEST

/* A host serves in another pool only after a drain from the first. */
START_TEST(assign_moves_a_drained_host)
{
	char fields[128];

	set_boot_id("h0", 0);
	set_boot_id("h1", 0);
	ck_assert_int_eq(apply("settings", WAVE_SETTINGS("-1", "0")), 0);
	ck_assert_int_eq(
		apply("assign", "\"host\":\"h0\",\"drain\":0,\"pool\":\"q\""),
		ERR_STATE);
	ck_assert_int_eq(apply("drain", "\"host\":\"h0\",\"reason\":\"x\""), 0);
	ck_assert_int_eq(
		apply("assign", "\"host\":\"h0\",\"drain\":0,\"pool\":\"q\""),
		ERR_STATE);
	ck_assert_int_eq(
		apply("assign", "\"host\":\"h0\",\"drain\":4,\"pool\":\"z\""),
		ERR_NOT_FOUND);
	snprintf(fields, sizeof(fields),
		 "\"host\":\"h0\",\"drain\":%lld,\"pool\":\"q\"",
		 (long long)fleet_host(fleet, "h0")->drain_offset);
	ck_assert_int_eq(apply("assign", fields), 0);
	ck_assert_str_eq(fleet_host(fleet, "h0")->pool, "q");
	ck_assert_str_eq(fleet_host(fleet, "h0")->home_pool, "p");
	ck_assert_int_eq(fleet_host(fleet, "h0")->state, FLEET_SERVING);
}
END_TEST

/* A decoded snapshot encodes to the same text and applies records alike. */
START_TEST(snapshot_gives_the_same_bytes)
{
	size_t len, again_len;
	struct fleet *copy;
	char *text, *again;

	add_pool();
	heartbeat("e0", 1, 1, "suva");
	apply("drain", "\"host\":\"h0\",\"reason\":\"x\"");
	text = fleet_text_encode(fleet, &len);
	copy = fleet_text_decode(text, len, &err);
	ck_assert_msg(copy != NULL, "%s", err.text);
	again = fleet_text_encode(copy, &again_len);
	ck_assert_str_eq(text, again);
	fleet_destroy(fleet);
	fleet = copy;
	ck_assert_int_eq(quiet("h0", "e0", 1, 5), 0);
	ck_assert_int_eq(fleet_host(fleet, "h0")->state, FLEET_DRAINED);
	free(text);
	free(again);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("core");
	TCase *tcase = tcase_create("fleet state");

	apr_initialize();
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, budget_refuses_second_drain);
	tcase_add_test(tcase, failure_uses_budget);
	tcase_add_test(tcase, racing_settings_conflict);
	tcase_add_test(tcase, host_of_other_team_is_refused);
	tcase_add_test(tcase, duplicate_id_has_no_effect);
	tcase_add_test(tcase, drain_waits_for_members);
	tcase_add_test(tcase, expiry_frees_other_data_centres_only);
	tcase_add_test(tcase, return_needs_a_higher_boot_id);
	tcase_add_test(tcase, wave_keeps_its_failures_until_resumed);
	tcase_add_test(tcase, assign_moves_a_drained_host);
	tcase_add_test(tcase, snapshot_gives_the_same_bytes);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
