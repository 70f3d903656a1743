/* Unit tests of the planner of waves and moves, in simulated time. */

#include <apr_general.h>
#include <check.h>

#include "member.h"
#include "sim.h"
#include "suite.h"

enum { MAX_TEXT = 32768, SEED = 7, NIGHT_S = 8 * 3600 };

/* 2029-01-01 00:00 UTC */
#define START_MS ((int64_t)21550 * 24 * 3600 * 1000)

static struct sim *sim;
static struct err err;
static char text[MAX_TEXT];

static void setup(void)
{
	sim = sim_create(SEED, SIM_PLANNERS, START_MS);
	sim->repair_ms = 3600 * 1000;
	err.kind = ERR_OK;
}

static void teardown(void)
{
	/* No plan may violate a budget in any test. */
	ck_assert_uint_eq(sim->broken, 0);
	sim_destroy(sim);
}

/* Hosts first..first+count-1 over three data centres, four to a rack. */
static void add_hosts(int first, int count)
{
	static const char *const centres[] = { "suva", "lautoka", "levuka" };
	char name[16], rack[16];

	for (int i = first; i < first + count; i++) {
		snprintf(name, sizeof(name), "h%d", i);
		snprintf(rack, sizeof(rack), "r%d", i / 12);
		sim_add_host(sim, name, centres[i % 3], rack);
	}
}

static const char *names(int first, int count)
{
	static char out[4][MAX_TEXT / 4];
	static int turn;
	char *to = out[turn = (turn + 1) % 4];
	size_t len = 0;

	to[0] = 0;
	for (int i = first; i < first + count; i++)
		len += (size_t)snprintf(to + len, MAX_TEXT / 4 - len,
					"%s\"h%d\"", i > first ? "," : "", i);
	return to;
}

#define POOL "\"%s\":{\"hosts\":[%s],\"min_available\":%d}"
#define BATCH "\"%s\":{\"hosts\":[%s],\"support_ends\":\"%s\"}"
#define WAVE                                                                   \
	"\"%s\":{\"batch\":\"%s\",\"action\":\"%s\",\"start\":\"2029-01-01\"," \
	"\"canary\":%d%s}"

/* Weights of the team, for publish_one. */
static const char *weights = "";

/* One pool of all hosts, one wave over them. */
static void publish_one(int hosts, int min_available, int canary,
			const char *more)
{
	snprintf(text, sizeof(text),
		 "{%s\"pools\":{" POOL "},\"batches\":{" BATCH
		 "},\"waves\":{" WAVE "}}",
		 weights, "p", names(0, hosts), min_available, "b",
		 names(0, hosts), "2029-06-01", "w", "b", "reboot", canary,
		 more);
	ck_assert_msg(sim_publish(sim, "t", text, &err) == 0, "%s", err.text);
}

static const struct fleet_host *host(const char *name)
{
	return fleet_host(sim->fleet, name);
}

static uint32_t out_count(void)
{
	return fleet_pool_use(sim->fleet, "t", "p").planned_out;
}

static char found[512];

static void find_row(void *arg, const struct plan_row *row)
{
	if (!strcmp(row->host, arg) && !found[0])
		snprintf(found, sizeof(found), "%s: %s", row->state, row->text);
}

static const char *explain(const char *name)
{
	found[0] = 0;
	plan_explain(sim->fleet, sim->utc_ms + sim->now_ms, find_row,
		     (char *)name);
	return found;
}

static void count_alarm(void *arg, const struct plan_row *row)
{
	*(uint32_t *)arg += !strcmp(row->state, "alarm");
}

static uint32_t count_alarms(int64_t days_on)
{
	uint32_t count = 0;

	plan_explain(sim->fleet,
		     sim->utc_ms + sim->now_ms + days_on * 24 * 3600 * 1000,
		     count_alarm, &count);
	return count;
}

/* Guards against hosts that are skipped or rebooted twice, and against too
   many hosts out at once. */
START_TEST(wave_reboots_every_host_once)
{
	add_hosts(0, 12);
	publish_one(12, 9, 1, "");
	sim_run(sim, 200);
	ck_assert_uint_eq(out_count(), 1);
	ck_assert_ptr_nonnull(strstr(explain("h5"), "after the canary hosts"));
	for (int i = 0; i < 3600 && sim_count_done(sim, "w") < 12; i++) {
		sim_run(sim, 1);
		/* One of the three hosts of the budget is reserved for
		   failures. */
		ck_assert_uint_le(out_count(), 2);
	}
	ck_assert_uint_eq(sim_count_done(sim, "w"), 12);
	sim_run(sim, 600);
	ck_assert_uint_eq(sim_count_in_state(sim, FLEET_SERVING), 12);
	for (int i = 0; i < 12; i++)
		ck_assert_uint_eq(
			((struct sim_host *)table_at(sim->hosts, i))->reboots,
			1);
	ck_assert_str_eq(explain("h5"), "done: completed");
}
END_TEST

/* A team that gives roll-out time the highest weight uses its whole budget. */
START_TEST(rollout_weight_uses_the_whole_budget)
{
	uint32_t most = 0;

	add_hosts(0, 12);
	snprintf(text, sizeof(text),
		 "{\"weights\":{\"rollout\":3},\"pools\":{" POOL
		 "},\"batches\":{" BATCH "},\"waves\":{" WAVE "}}",
		 "p", names(0, 12), 9, "b", names(0, 12), "2029-06-01", "w",
		 "b", "reboot", 1, "");
	ck_assert_msg(sim_publish(sim, "t", text, &err) == 0, "%s", err.text);
	for (int i = 0; i < 3600; i++) {
		sim_run(sim, 1);
		most = out_count() > most ? out_count() : most;
	}
	ck_assert_uint_eq(most, 3);
	ck_assert_uint_eq(sim_count_done(sim, "w"), 12);
}
END_TEST

/* Guards against a bad image that is rolled out beyond the canary host. */
START_TEST(failed_canary_stops_the_wave)
{
	add_hosts(0, 12);
	for (int i = 0; i < 12; i++)
		((struct sim_host *)table_at(sim->hosts, i))->never_back = true;
	publish_one(12, 6, 1, "");
	sim_run(sim, 3600);
	ck_assert_uint_eq(sim->accepted[RECORD_REBOOT], 1);
	ck_assert_uint_eq(sim_count_in_state(sim, FLEET_FAILED), 1);
	ck_assert_ptr_nonnull(strstr(explain("h5"), "higher resume"));
	for (int i = 0; i < 12; i++)
		((struct sim_host *)table_at(sim->hosts, i))->never_back =
			false;
	publish_one(12, 6, 1, ",\"resume\":1");
	sim_run(sim, 3 * 3600);
	ck_assert_uint_eq(sim_count_done(sim, "w"), 11);
}
END_TEST

/* After the canary stage, two failures that exceed 5 % of the hosts stop it. */
START_TEST(second_lost_host_stops_the_wave)
{
	add_hosts(0, 12);
	publish_one(12, 6, 1, "");
	sim_run(sim, 400);
	ck_assert_uint_gt(out_count(), 1);
	for (int i = 0; i < 12; i++)
		((struct sim_host *)table_at(sim->hosts, i))->never_back =
			host(((struct sim_host *)table_at(sim->hosts, i))->name)
				->state == FLEET_SERVING;
	sim_run(sim, 2 * 3600);
	ck_assert_uint_ge(sim_count_in_state(sim, FLEET_FAILED), 2);
	ck_assert_uint_lt(sim->accepted[RECORD_REBOOT], 12);
	ck_assert_uint_eq(out_count(), 0);
	ck_assert_ptr_nonnull(strstr(explain("h11"), "stopped"));
}
END_TEST

/*
 * Guards against planned outages in addition to unplanned ones: when failures
 * use up the budget, drains are cancelled before the reboot.
 */
START_TEST(unplanned_failures_undo_drains)
{
	struct record rec = { .type = RECORD_DRAIN };

	add_hosts(0, 6);
	publish_one(6, 4, 1, ",\"paused\":true");
	snprintf(rec.host, sizeof(rec.host), "h0");
	snprintf(rec.reason, sizeof(rec.reason), "x");
	snprintf(rec.move_to, sizeof(rec.move_to), "p");
	ck_assert_int_eq(sim_apply(sim, &rec, &err), 0);
	ck_assert_int_eq(sim_fail(sim, "h1"), 0);
	ck_assert_int_eq(sim_fail(sim, "h2"), 0);
	ck_assert_uint_eq(fleet_pool_use(sim->fleet, "t", "p").available, 3);
	sim_run(sim, 10);
	ck_assert_int_eq(host("h0")->state, FLEET_SERVING);
	ck_assert_uint_eq(sim->accepted[RECORD_UNDRAIN], 1);
}
END_TEST

/* Guards against a drain by a planner that had not seen the last failure. */
START_TEST(late_drain_is_refused)
{
	add_hosts(0, 6);
	weights = "\"weights\":{\"rollout\":3},";
	publish_one(6, 5, 1, "");
	for (int i = 0; i < SIM_PLANNERS; i++)
		sim->proposers[i].delay_ms = 6000;
	while (!sim->queued)
		sim_run(sim, 1);
	ck_assert_int_eq(sim->queue[0].rec.type, RECORD_DRAIN);
	ck_assert_int_eq(sim_fail(sim, "h5"), 0);
	sim_run(sim, 10);
	ck_assert_uint_eq(sim->accepted[RECORD_DRAIN], 0);
	ck_assert_uint_gt(sim->refused, 0);
}
END_TEST

/* A wave continues without an operator once failed hosts are back. */
START_TEST(wave_survives_unplanned_failures)
{
	add_hosts(0, 12);
	publish_one(12, 9, 1, "");
	sim_run(sim, 300);
	for (int i = 0; i < 4; i++) {
		char name[16];

		snprintf(name, sizeof(name), "h%d", 11 - i);
		sim_fail(sim, name);
	}
	sim_run(sim, 60);
	ck_assert_uint_lt(fleet_pool_use(sim->fleet, "t", "p").available, 9);
	sim_run(sim, 4 * 3600);
	ck_assert_uint_eq(sim_count_done(sim, "w"), 12);
	ck_assert_uint_eq(sim_count_in_state(sim, FLEET_SERVING), 12);
}
END_TEST

/* A pool with no host to spare borrows one for the duration of the wave. */
START_TEST(spare_host_is_lent_and_returned)
{
	add_hosts(0, 7);
	snprintf(text, sizeof(text),
		 "{\"spare_pool\":\"s\",\"pools\":{" POOL "," POOL
		 "},\"batches\":{" BATCH "},\"waves\":{" WAVE "}}",
		 "p", names(0, 4), 4, "s", names(4, 3), 1, "b", names(0, 4),
		 "2029-06-01", "w", "b", "reboot", 1, "");
	ck_assert_msg(sim_publish(sim, "t", text, &err) == 0, "%s", err.text);
	sim_run(sim, LIMIT_MOVE_HOLD_MS / 1000 - 10);
	ck_assert_uint_eq(sim->accepted[RECORD_ASSIGN], 0);
	sim_run(sim, 3600);
	ck_assert_uint_eq(sim_count_done(sim, "w"), 4);
	sim_run(sim, 3600);
	ck_assert_uint_eq(sim->accepted[RECORD_ASSIGN], 2);
	ck_assert_uint_eq(fleet_pool_use(sim->fleet, "t", "p").hosts, 4);
	ck_assert_uint_eq(fleet_pool_use(sim->fleet, "t", "s").hosts, 3);
}
END_TEST

/* A host that the settings list under another pool is drained and assigned. */
START_TEST(host_moves_to_its_new_home_pool)
{
	struct record rec = { .type = RECORD_DRAIN, .by_operator = true };

	add_hosts(0, 5);
	snprintf(text, sizeof(text), "{\"pools\":{" POOL "," POOL "}}", "p",
		 names(0, 4), 2, "s", names(4, 1), 0);
	ck_assert_int_eq(sim_publish(sim, "t", text, &err), 0);
	snprintf(text, sizeof(text), "{\"pools\":{" POOL "," POOL "}}", "p",
		 names(0, 3), 2, "s", names(3, 2), 0);
	ck_assert_msg(sim_publish(sim, "t", text, &err) == 0, "%s", err.text);
	ck_assert_str_eq(host("h3")->pool, "p");
	sim_run(sim, LIMIT_MOVE_HOLD_MS / 1000 + 30);
	ck_assert_str_eq(host("h3")->pool, "s");
	ck_assert_int_eq(host("h3")->state, FLEET_SERVING);
	/* Guards against a planner that reverts an operator's move. */
	snprintf(rec.host, sizeof(rec.host), "h3");
	snprintf(rec.reason, sizeof(rec.reason), "x");
	snprintf(rec.move_to, sizeof(rec.move_to), "p");
	ck_assert_int_eq(sim_apply(sim, &rec, &err), 0);
	sim_run(sim, 2 * LIMIT_MOVE_HOLD_MS / 1000);
	ck_assert_str_eq(host("h3")->pool, "p");
	ck_assert_int_eq(host("h3")->state, FLEET_SERVING);
}
END_TEST

/* Guards against a wave that takes out a whole data centre. */
START_TEST(half_of_each_data_centre_stays)
{
	add_hosts(0, 24);
	publish_one(24, 2, 1, "");
	for (int i = 0; i < 1200; i++) {
		uint32_t out[3] = { 0 };

		sim_run(sim, 1);
		for (int k = 0; k < 24; k++) {
			char name[16];

			snprintf(name, sizeof(name), "h%d", k);
			out[k % 3] += !fleet_host_counts_available(sim->fleet,
								   host(name));
		}
		for (int k = 0; k < 3; k++)
			ck_assert_uint_le(out[k], 4);
	}
	sim_run(sim, NIGHT_S);
	ck_assert_uint_eq(sim_count_done(sim, "w"), 24);
}
END_TEST

/* Guards against a wave that has hosts of more racks out than needed. */
START_TEST(racks_are_drained_together)
{
	for (int i = 0; i < 8; i++) {
		char name[16];

		snprintf(name, sizeof(name), "h%d", i);
		sim_add_host(sim, name, "suva", i % 2 ? "r1" : "r0");
	}
	publish_one(8, 4, 1, "");
	while (out_count() < 3)
		sim_run(sim, 1);
	for (int i = 1; i < 6; i += 2) {
		char name[16];

		snprintf(name, sizeof(name), "h%d", i);
		ck_assert_msg(fleet_host(sim->fleet, name)->state !=
				      FLEET_SERVING,
			      "%s", name);
	}
}
END_TEST

/* The batch whose support ends first is processed first, with alarms. */
START_TEST(support_end_orders_batches_and_raises_alarms)
{
	add_hosts(0, 8);
	snprintf(text, sizeof(text),
		 "{\"pools\":{" POOL "},\"batches\":{" BATCH "," BATCH
		 "},\"waves\":{" WAVE "," WAVE "}}",
		 "p", names(0, 8), 7, "a", names(0, 4), "2029-06-01", "b",
		 names(4, 4), "2029-01-10", "wa", "a", "reboot", 1, "", "wb",
		 "b", "retire", 1, "");
	ck_assert_int_eq(sim_publish(sim, "t", text, &err), ERR_INVALID);
	ck_assert_ptr_nonnull(strstr(err.text, "lower min_available to 4"));
	snprintf(text, sizeof(text),
		 "{\"pools\":{" POOL "},\"batches\":{" BATCH "," BATCH
		 "},\"waves\":{" WAVE "," WAVE "}}",
		 "p", names(0, 8), 7, "a", names(0, 4), "2029-06-01", "b",
		 names(4, 4), "2029-01-10", "wa", "a", "reboot", 1, "", "wb",
		 "b", "reboot", 1, "");
	ck_assert_msg(sim_publish(sim, "t", text, &err) == 0, "%s", err.text);
	ck_assert_uint_eq(count_alarms(-10), 0);
	ck_assert_uint_eq(count_alarms(0), 4);
	while (sim_count_done(sim, "wa") + sim_count_done(sim, "wb") < 8) {
		sim_run(sim, 1);
		if (sim_count_done(sim, "wb") < 4)
			ck_assert_uint_eq(sim_count_done(sim, "wa"), 0);
	}
}
END_TEST

/* A retiring wave leaves the hosts that the budget needs, and no alarm. */
START_TEST(retired_hosts_leave_their_pool)
{
	add_hosts(0, 8);
	snprintf(text, sizeof(text),
		 "{\"pools\":{" POOL "},\"batches\":{" BATCH
		 "},\"waves\":{" WAVE "}}",
		 "p", names(0, 8), 4, "b", names(4, 4), "2029-01-10", "w", "b",
		 "retire", 1, "");
	ck_assert_msg(sim_publish(sim, "t", text, &err) == 0, "%s", err.text);
	ck_assert_uint_eq(count_alarms(0), 4);
	sim_run(sim, NIGHT_S);
	ck_assert_uint_eq(sim_count_in_state(sim, FLEET_RETIRED), 4);
	ck_assert_uint_eq(fleet_pool_use(sim->fleet, "t", "p").available, 4);
	ck_assert_uint_eq(count_alarms(0), 0);
	ck_assert_str_eq(explain("h6"), "done: retired");
}
END_TEST

/* Drains start neither outside the wave's hours nor while it is paused. */
START_TEST(window_and_pause_hold_the_wave)
{
	add_hosts(0, 4);
	publish_one(4, 2, 1, ",\"from_hour\":22,\"to_hour\":2,\"paused\":true");
	sim_run(sim, 60);
	ck_assert_str_eq(explain("h0"),
			 "waiting: the wave is paused by its settings");
	publish_one(4, 2, 1, ",\"from_hour\":22,\"to_hour\":23");
	sim_run(sim, 60);
	ck_assert_uint_eq(sim->accepted[RECORD_DRAIN], 0);
	sim_run(sim, 22 * 3600);
	ck_assert_uint_gt(sim->accepted[RECORD_DRAIN], 0);
}
END_TEST

/* Refusals of impossible plans say what would make them possible. */
START_TEST(impossible_plans_are_refused)
{
	add_hosts(0, 4);
	snprintf(text, sizeof(text),
		 "{\"pools\":{" POOL "},\"batches\":{" BATCH
		 "},\"waves\":{" WAVE "}}",
		 "p", names(0, 1), 1, "b", names(0, 1), "2029-06-01", "w", "b",
		 "reboot", 1, "");
	ck_assert_int_eq(sim_publish(sim, "t", text, &err), ERR_INVALID);
	ck_assert_ptr_nonnull(strstr(err.text, "lower min_available to 0"));
	ck_assert_ptr_nonnull(strstr(err.text, "spare_pool"));
	snprintf(text, sizeof(text),
		 "{\"pools\":{" POOL "},\"batches\":{" BATCH
		 "},\"waves\":{" WAVE "}}",
		 "p", names(0, 4), 3, "b", names(0, 4), "2029-01-01", "w", "b",
		 "reboot", 1, "");
	ck_assert_int_eq(sim_publish(sim, "t", text, &err), 0);
	sim->now_ms += (int64_t)24 * 3600 * 1000;
	snprintf(text, sizeof(text),
		 "{\"pools\":{" POOL "},\"batches\":{" BATCH
		 "},\"waves\":{" WAVE "}}",
		 "p", names(0, 4), 3, "b", names(0, 4), "2029-01-01", "w2", "b",
		 "reboot", 1, "");
	ck_assert_int_eq(sim_publish(sim, "t", text, &err), ERR_INVALID);
	ck_assert_ptr_nonnull(strstr(err.text, "from 2029-01-02 on"));
	/* The late wave already in force does not block other changes. */
	publish_one(4, 2, 1, ",\"paused\":true");
}
END_TEST

/*
 * Seeded sessions with three concurrent planners and hosts that come back from
 * their reboot, never come back, or fail. The fixture checks the budgets.
 */
START_TEST(seeded_sessions_keep_the_budgets)
{
	struct rnd rnd;

	rnd_init(&rnd, SEED + (uint64_t)_i);
	sim->repair_ms = 20 * 60 * 1000;
	weights = _i % 2 ? "\"weights\":{\"rollout\":3}," : "";
	add_hosts(0, 30);
	for (int i = 0; i < 30; i++) {
		struct sim_host *host = table_at(sim->hosts, i);

		host->never_back = rnd_below(&rnd, 25) == 0;
		host->reboot_ms = 60000 + rnd_below(&rnd, 500000);
	}
	publish_one(30, 20 + (int)rnd_below(&rnd, 9), 2, "");
	for (int i = 0; i < NIGHT_S / 10; i++) {
		sim_step(sim, 5000);
		sim_step(sim, 5000);
		/* Most failures occur between a proposal and its record. */
		if (rnd_below(&rnd, sim->queued ? 12 : 600) == 0) {
			char name[16];

			snprintf(name, sizeof(name), "h%u",
				 rnd_below(&rnd, 30));
			sim_fail(sim, name);
		}
		if (i % 360 == 0) {
			char resume[32];

			snprintf(resume, sizeof(resume), ",\"resume\":%d",
				 i / 360 + 1);
			publish_one(30, 20, 2, resume);
		}
	}
	ck_assert_uint_gt(sim_count_done(sim, "w"), 20);
	for (int i = 0; i < 30; i++)
		ck_assert_uint_le(
			((struct sim_host *)table_at(sim->hosts, i))->reboots,
			2);
}
END_TEST

static void apply_host_record(void *arg, const char *key, struct record *rec)
{
	(void)key;
	if (rec->type == RECORD_FAIL || rec->type == RECORD_RETURN) {
		++*(uint32_t *)arg;
		sim_apply(sim, rec, NULL);
	}
}

/*
 * A host that is down in the platform's list, or missing from it, for a while
 * has failed; a list that lacks most hosts is ignored. A host that an operator
 * failed does not return by itself.
 */
START_TEST(platform_list_fails_and_returns_hosts)
{
	uint32_t proposed = 0;
	struct member_host listed[4] = { 0 };
	struct member_config config = { .name = "e0",
					.heartbeat_ms = 5000,
					.expire_ms = 1000000000,
					.propose = apply_host_record,
					.arg = &proposed };
	struct member *member = member_create(&config);
	struct member_input input = { .fleet = sim->fleet,
				      .entries = table_create(64),
				      .hosts = listed,
				      .host_count = 4 };

	add_hosts(0, 4);
	for (int i = 0; i < 4; i++) {
		snprintf(listed[i].name, sizeof(listed[i].name), "h%d", i);
		listed[i].live = i != 1;
		listed[i].down = i == 1;
	}
	sim_host_record(sim, RECORD_FAIL, "h3");
	((struct fleet_host *)host("h3"))->failed_by_operator = true;
	for (input.now_ms = 0; input.now_ms < 4000; input.now_ms += 500)
		member_tick(member, &input);
	ck_assert_int_eq(host("h1")->state, FLEET_SERVING);
	for (; input.now_ms < 20000; input.now_ms += 500)
		member_tick(member, &input);
	ck_assert_int_eq(host("h1")->state, FLEET_FAILED);
	ck_assert_uint_eq(proposed, 1);
	listed[1].live = true;
	listed[1].down = false;
	for (; input.now_ms < 40000; input.now_ms += 500)
		member_tick(member, &input);
	ck_assert_int_eq(host("h1")->state, FLEET_SERVING);
	ck_assert_int_eq(host("h3")->state, FLEET_FAILED);
	input.host_count = 1;
	for (; input.now_ms < 60000; input.now_ms += 500)
		member_tick(member, &input);
	ck_assert_int_eq(host("h2")->state, FLEET_SERVING);
	input.host_count = 3;
	for (; input.now_ms < 80000; input.now_ms += 500)
		member_tick(member, &input);
	ck_assert_int_eq(host("h2")->state, FLEET_SERVING);
	listed[2] = listed[1];
	for (; input.now_ms < 100000; input.now_ms += 500)
		member_tick(member, &input);
	ck_assert_int_eq(host("h2")->state, FLEET_FAILED);
	table_destroy(input.entries);
	member_destroy(member);
}
END_TEST

static void store_seq(void *arg, const char *key, struct record *rec)
{
	(void)key;
	if (rec->type == RECORD_MEMBER)
		*(int64_t *)arg = rec->seq;
}

/*
 * Guards against an entry daemon that has no lease until the next heartbeat is
 * due, because another fleet daemon's heartbeat for it was accepted first.
 */
START_TEST(outdated_heartbeat_is_repeated)
{
	int64_t seq = 0;
	struct member_config config = { .name = "e0",
					.heartbeat_ms = 5000,
					.expire_ms = 1000000000,
					.propose = store_seq,
					.arg = &seq };
	struct member *member = member_create(&config);
	struct member_input input = {
		.fleet = sim->fleet,
		.entries = table_create(sizeof(struct member_entry)),
	};
	struct member_entry *entry = table_add(input.entries, "e9");
	struct record rec = { .type = RECORD_MEMBER,
			      .seq = 1,
			      .incarnation = 7 };

	entry->incarnation = 7;
	member_tick(member, &input);
	ck_assert_int_eq(seq, 1);
	snprintf(rec.member, sizeof(rec.member), "e9");
	sim_apply(sim, &rec, NULL);
	input.now_ms += 50;
	member_tick(member, &input);
	ck_assert_int_eq(seq, 1);
	member_repeat_heartbeat(member, "e9");
	member_tick(member, &input);
	ck_assert_int_eq(seq, 2);
	table_destroy(input.entries);
	member_destroy(member);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("planner");
	TCase *tcase = tcase_create("waves, moves and members");

	apr_initialize();
	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, wave_reboots_every_host_once);
	tcase_add_test(tcase, rollout_weight_uses_the_whole_budget);
	tcase_add_test(tcase, failed_canary_stops_the_wave);
	tcase_add_test(tcase, second_lost_host_stops_the_wave);
	tcase_add_test(tcase, unplanned_failures_undo_drains);
	tcase_add_test(tcase, late_drain_is_refused);
	tcase_add_test(tcase, wave_survives_unplanned_failures);
	tcase_add_test(tcase, spare_host_is_lent_and_returned);
	tcase_add_test(tcase, host_moves_to_its_new_home_pool);
	tcase_add_test(tcase, half_of_each_data_centre_stays);
	tcase_add_test(tcase, racks_are_drained_together);
	tcase_add_test(tcase, support_end_orders_batches_and_raises_alarms);
	tcase_add_test(tcase, retired_hosts_leave_their_pool);
	tcase_add_test(tcase, window_and_pause_hold_the_wave);
	tcase_add_test(tcase, impossible_plans_are_refused);
	tcase_add_test(tcase, platform_list_fails_and_returns_hosts);
	tcase_add_test(tcase, outdated_heartbeat_is_repeated);
	tcase_add_loop_test(tcase, seeded_sessions_keep_the_budgets, 0, 20);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
