/*
 * Simulates waves of two example users. Compares the planner, with two sets of
 * weights, to rebooting one host or a fixed fraction of the hosts at a time.
 * Also measures the processor time of the planner and the fleet state.
 */

#include <inttypes.h>
#include <time.h>

#include <apr_general.h>

#include "sim.h"
#include "fleet_text.h"

enum {
	SEEDS = 20,
	STEP_MS = 5000,
	MAX_STEPS = 24 * 3600 * 1000 / STEP_MS,
	RESUME_MS = 30 * 60 * 1000,
	MAX_TEXT = 1 << 18,
	HOSTS_PER_POOL = 31,
	MEMBERS = 40,
	REPEATS = 50
};

/* 2029-01-01 00:00 UTC */
#define START_MS ((int64_t)21550 * 24 * 3600 * 1000)

struct service {
	const char *name;
	int hosts;
	int min_available;
};

/* The last pool is the spare pool; the budget of the fourth covers all hosts. */
static const struct user {
	const char *name;
	struct service services[5];
} users[] = {
	{ "payouts",
	  { { "payouts", 12, 9 },
	    { "settlements", 10, 8 },
	    { "advances", 10, 8 },
	    { "tallies", 8, 8 },
	    { "member-records", 10, 6 } } },
	{ "ads",
	  { { "proofs", 12, 8 },
	    { "playlists", 10, 7 },
	    { "bookings", 10, 8 },
	    { "billing", 8, 8 },
	    { "back-office", 10, 5 } } },
};

enum policy { SPARE_AND_MOVES, ROLLOUT, ONE_AT_A_TIME, FRACTION, POLICY_COUNT };

static const char *const policy_names[POLICY_COUNT] = {
	"planner, spare and moves", "planner, roll-out", "one host at a time",
	"a tenth at a time"
};

struct result {
	double out_hours;    /* host-hours out of service by plan */
	double buffer_hours; /* host-hours above the budgets during the wave */
	double below_min;    /* minutes with some pool below its budget */
	double planned_min;  /* the part with planned stops in such a pool */
	double rollout_hours;
	double moves;
	double resumes;
	double done;
};

static char text[MAX_TEXT];

static size_t add_names(size_t len, int first, int count)
{
	for (int i = first; i < first + count; i++)
		len += (size_t)snprintf(text + len, MAX_TEXT - len, "%s\"w%d\"",
					i > first ? "," : "", i);
	return len;
}

static void write_settings(const struct user *user, enum policy policy,
			   int resume)
{
	static const char *const weights[] = { "\"spare\":2,\"moves\":2",
					       "\"rollout\":3", "", "" };
	size_t len = 0;
	int first = 0;

	len += (size_t)snprintf(text, MAX_TEXT,
				"{\"weights\":{%s},\"spare_pool\":\"%s\","
				"\"pools\":{",
				weights[policy], user->services[4].name);
	for (int i = 0; i < 5; i++) {
		const struct service *service = &user->services[i];

		len += (size_t)snprintf(text + len, MAX_TEXT - len,
					"%s\"%s\":{\"hosts\":[", i ? "," : "",
					service->name);
		len = add_names(len, first, service->hosts);
		/* The policies compared to the planner ignore budgets. */
		len += (size_t)snprintf(
			text + len, MAX_TEXT - len, "],\"min_available\":%d}",
			policy < ONE_AT_A_TIME ? service->min_available : 0);
		first += service->hosts;
	}
	len += (size_t)snprintf(text + len, MAX_TEXT - len,
				"},\"batches\":{\"b\":{\"hosts\":[");
	len = add_names(len, 0, first);
	snprintf(text + len, MAX_TEXT - len,
		 "],\"support_ends\":\"2029-06-01\"}},\"waves\":{\"w\":{"
		 "\"batch\":\"b\",\"action\":\"reboot\",\"start\":"
		 "\"2029-01-01\",\"canary\":1,\"resume\":%d}}}",
		 resume);
}

static void publish(struct sim *sim, const struct user *user,
		    enum policy policy, int resume)
{
	struct err err = { .kind = ERR_OK };

	write_settings(user, policy, resume);
	if (sim_publish(sim, user->name, text, &err) == 0)
		return;
	fprintf(stderr, "waves: %s\n", err.text);
	exit(1);
}

static uint32_t add_fleet(struct sim *sim, const struct user *user,
			  struct rnd *rnd)
{
	static const char *const centres[] = { "suva", "lautoka", "levuka" };
	char name[16], rack[16];
	int count = 0;

	for (int i = 0; i < 5; i++)
		count += user->services[i].hosts;
	for (int i = 0; i < count; i++) {
		struct sim_host *host;

		snprintf(name, sizeof(name), "w%d", i);
		snprintf(rack, sizeof(rack), "r%d", i / 12);
		host = sim_add_host(sim, name, centres[i % 3], rack);
		host->drain_ms = 5000 + rnd_below(rnd, 60000);
		host->reboot_ms = 180000 + rnd_below(rnd, 300000);
		host->never_back = rnd_below(rnd, 50) == 0;
	}
	return (uint32_t)count;
}

/* Reboots up to max_out hosts at once, the next when all are back. */
static void run_comparison(struct sim *sim, uint32_t max_out)
{
	uint32_t out = 0;

	for (uint32_t i = 0; i < table_count(sim->hosts); i++) {
		struct sim_host *host = table_at(sim->hosts, i);
		const struct fleet_host *fleet =
			fleet_host(sim->fleet, host->name);
		struct record rec = { .drain = fleet->drain_offset };

		snprintf(rec.host, sizeof(rec.host), "%s", host->name);
		if (fleet->state == FLEET_DRAINED) {
			rec.type = RECORD_REBOOT;
			sim_apply(sim, &rec, NULL);
		} else if (fleet->state == FLEET_REBOOTING &&
			   fleet->boot_id > fleet->reboot_boot_id) {
			sim_host_record(sim, RECORD_RETURN, host->name);
		} else if (fleet->state == FLEET_REBOOTING &&
			   sim->now_ms - host->draining_ms >
				   LIMIT_REBOOT_TIMEOUT_MS) {
			sim_host_record(sim, RECORD_FAIL, host->name);
			host->back_ms = sim->now_ms + sim->repair_ms;
		}
		out += fleet->state == FLEET_DRAINING ||
		       fleet->state == FLEET_DRAINED ||
		       fleet->state == FLEET_REBOOTING;
	}
	for (uint32_t i = 0; !out && i < table_count(sim->hosts) && max_out;
	     i++) {
		struct sim_host *host = table_at(sim->hosts, i);
		const struct fleet_host *fleet =
			fleet_host(sim->fleet, host->name);
		struct record rec = { .type = RECORD_DRAIN };

		if (fleet->state != FLEET_SERVING || fleet->wave_done[0])
			continue;
		snprintf(rec.host, sizeof(rec.host), "%s", host->name);
		snprintf(rec.reason, sizeof(rec.reason), "wave");
		snprintf(rec.wave, sizeof(rec.wave), "w");
		sim_apply(sim, &rec, NULL);
		max_out--;
	}
}

static void measure_pools(struct sim *sim, const struct user *user,
			  struct result *result)
{
	bool is_below = false, is_planned = false;

	for (int i = 0; i < 5; i++) {
		struct fleet_pool_use use = fleet_pool_use(
			sim->fleet, user->name, user->services[i].name);
		int over = (int)use.available - user->services[i].min_available;

		if (over > 0)
			result->buffer_hours += over * STEP_MS / 3.6e6;
		is_below |= over < 0;
		is_planned |= over < 0 && use.planned_out;
	}
	result->below_min += is_below * STEP_MS / 6e4;
	result->planned_min += is_planned * STEP_MS / 6e4;
}

/* Repairs hosts that did not return from a reboot like failed hosts. */
static void repair_missing(struct sim *sim)
{
	for (uint32_t i = 0; i < table_count(sim->hosts); i++) {
		struct sim_host *host = table_at(sim->hosts, i);

		if (fleet_host(sim->fleet, host->name)->state == FLEET_FAILED &&
		    host->back_ms < 0)
			host->back_ms = sim->now_ms + sim->repair_ms;
	}
}

/* Whether a failure has stopped the wave. */
static bool is_stopped(const struct sim *sim)
{
	bool failed = false;

	for (uint32_t i = 0; i < table_count(sim->fleet->hosts); i++) {
		const struct fleet_host *host = table_at(sim->fleet->hosts, i);

		if (host->state == FLEET_DRAINING ||
		    host->state == FLEET_DRAINED ||
		    host->state == FLEET_REBOOTING)
			return false;
		failed |= host->wave_failed[0] != 0;
	}
	return failed;
}

static void run_wave(const struct user *user, enum policy policy, uint64_t seed,
		     struct result *result)
{
	struct sim *sim = sim_create(
		seed, policy < ONE_AT_A_TIME ? SIM_PLANNERS : 0, START_MS);
	int64_t stopped_since_ms = -1;
	uint32_t count;
	struct rnd rnd;
	int resume = 0;

	rnd_init(&rnd, seed);
	sim->repair_ms = (int64_t)2 * 3600 * 1000;
	count = add_fleet(sim, user, &rnd);
	publish(sim, user, policy, 0);
	for (int i = 0; i < MAX_STEPS && sim_count_done(sim, "w") < count;
	     i++) {
		/* Two unplanned failures in the eight hours of a night. */
		uint32_t failure_draw =
			rnd_below(&rnd, 8 * 3600 * 1000 / STEP_MS / 2);
		uint32_t failed_index = rnd_below(&rnd, count);
		char name[16];

		snprintf(name, sizeof(name), "w%u", failed_index);
		if (failure_draw == 0)
			sim_fail(sim, name);
		if (policy == ONE_AT_A_TIME)
			run_comparison(sim, 1);
		else if (policy == FRACTION)
			run_comparison(sim, count / 10);
		sim_step(sim, STEP_MS);
		repair_missing(sim);
		measure_pools(sim, user, result);
		result->rollout_hours += STEP_MS / 3.6e6;
		if (policy >= ONE_AT_A_TIME || !is_stopped(sim))
			stopped_since_ms = -1;
		else if (stopped_since_ms < 0)
			stopped_since_ms = sim->now_ms;
		else if (sim->now_ms - stopped_since_ms >= RESUME_MS) {
			publish(sim, user, policy, ++resume);
			stopped_since_ms = -1;
		}
	}
	for (uint32_t i = 0; i < count; i++)
		result->out_hours +=
			(double)((struct sim_host *)table_at(sim->hosts, i))
				->out_ms /
			3.6e6;
	result->moves += sim->accepted[RECORD_ASSIGN];
	result->resumes += resume;
	result->done += (double)sim_count_done(sim, "w") / count;
	if (policy < ONE_AT_A_TIME && sim->broken)
		fprintf(stderr,
			"waves: seed %" PRIu64 ": a plan broke a budget\n",
			seed);
	sim_destroy(sim);
}

static void compare(void)
{
	printf("seeds 1 to %d, means of a wave; a host in 50 does not come "
	       "back, 2 failures in 8 h, repaired after 2 h\n\n",
	       SEEDS);
	printf("| user | policy | roll-out, h | out, host-h | buffer, host-h | "
	       "moves | below budget, min | of it with planned stops, min | "
	       "resumes | done |\n"
	       "|---|---|---|---|---|---|---|---|---|---|\n");
	for (size_t u = 0; u < sizeof(users) / sizeof(users[0]); u++)
		for (int policy = 0; policy < POLICY_COUNT; policy++) {
			struct result total = { 0 };

			for (uint64_t seed = 1; seed <= SEEDS; seed++)
				run_wave(&users[u], policy, seed, &total);
			printf("| %s | %s | %.2f | %.2f | %.1f | %.2f | %.1f | "
			       "%.1f | %.2f | %.3f |\n",
			       users[u].name, policy_names[policy],
			       total.rollout_hours / SEEDS,
			       total.out_hours / SEEDS,
			       total.buffer_hours / SEEDS, total.moves / SEEDS,
			       total.below_min / SEEDS,
			       total.planned_min / SEEDS, total.resumes / SEEDS,
			       total.done / SEEDS);
			fflush(stdout);
		}
}

static double now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static void count_proposal(void *arg, const char *key, struct record *rec)
{
	(void)key;
	(void)rec;
	++*(uint32_t *)arg;
}

static void ignore_row(void *arg, const struct plan_row *row)
{
	(void)row;
	++*(uint32_t *)arg;
}

static void write_team(int first, int count, int min_available)
{
	size_t len = (size_t)snprintf(text, MAX_TEXT,
				      "{\"pools\":{\"p\":{\"hosts\":[");

	len = add_names(len, first, count);
	len += (size_t)snprintf(text + len, MAX_TEXT - len,
				"],\"min_available\":%d}},\"batches\":{\"b\":{"
				"\"hosts\":[",
				min_available);
	len = add_names(len, first, count);
	snprintf(text + len, MAX_TEXT - len,
		 "],\"support_ends\":\"2029-06-01\"}},\"waves\":{\"w\":{"
		 "\"batch\":\"b\",\"action\":\"reboot\",\"start\":"
		 "\"2029-01-01\",\"canary\":1}}}");
}

static struct sim *large_fleet(int hosts)
{
	struct sim *sim = sim_create(1, 0, START_MS);
	struct err err = { .kind = ERR_OK };
	char name[16], centre[16], rack[16];

	for (int i = 0; i < MEMBERS; i++) {
		snprintf(name, sizeof(name), "m%d", i);
		snprintf(centre, sizeof(centre), "dc%d", i % 5);
		sim_add_member(sim, name, centre);
	}
	for (int i = 0; i < hosts; i++) {
		snprintf(name, sizeof(name), "w%d", i);
		snprintf(centre, sizeof(centre), "dc%d", i % 5);
		snprintf(rack, sizeof(rack), "r%d", i / 20);
		sim_add_host(sim, name, centre, rack);
	}
	for (int i = 0; i < hosts; i += HOSTS_PER_POOL) {
		int count =
			hosts - i < HOSTS_PER_POOL ? hosts - i : HOSTS_PER_POOL;

		snprintf(name, sizeof(name), "t%d", i);
		write_team(i, count, count * 4 / 5);
		if (sim_publish(sim, name, text, &err) < 0) {
			fprintf(stderr, "waves: %s\n", err.text);
			exit(1);
		}
	}
	return sim;
}

static void measure_size(int hosts)
{
	uint32_t proposals = 0, rows = 0;
	struct plan_config config = { .name = "m0",
				      .propose = count_proposal,
				      .arg = &proposals };
	struct sim *sim = large_fleet(hosts);
	struct plan *plan = plan_create(&config);
	struct plan_input input = { .fleet = sim->fleet, .utc_ms = START_MS };
	double start, plan_us, tick_us, explain_us, drain_us, settings_us;
	char name[16];

	plan_tick(plan, &input);
	start = now_us();
	for (int i = 0; i < REPEATS; i++) {
		input.now_ms += 1000;
		plan_tick(plan, &input);
	}
	plan_us = (now_us() - start) / REPEATS;
	start = now_us();
	for (int i = 0; i < REPEATS; i++)
		plan_tick(plan, &input);
	tick_us = (now_us() - start) / REPEATS;
	start = now_us();
	plan_explain(sim->fleet, START_MS, ignore_row, &rows);
	explain_us = now_us() - start;
	start = now_us();
	for (int i = 0; i < REPEATS; i++) {
		struct record rec = { .type = RECORD_DRAIN };

		snprintf(rec.host, sizeof(rec.host), "w%d", i % hosts);
		snprintf(rec.reason, sizeof(rec.reason), "x");
		rnd_make_id(&sim->rnd, rec.id);
		fleet_apply(sim->fleet, sim->offset++, &rec, NULL);
		rec.type = RECORD_UNDRAIN;
		rnd_make_id(&sim->rnd, rec.id);
		fleet_apply(sim->fleet, sim->offset++, &rec, NULL);
	}
	drain_us = (now_us() - start) / REPEATS;
	snprintf(name, sizeof(name), "t0");
	write_team(0, HOSTS_PER_POOL, HOSTS_PER_POOL * 4 / 5);
	start = now_us();
	for (int i = 0; i < REPEATS; i++) {
		struct record rec = {
			.type = RECORD_SETTINGS,
			.base = fleet_team(sim->fleet, name)->version,
			.settings = text,
			.at_ms = START_MS
		};

		snprintf(rec.team, sizeof(rec.team), "%s", name);
		rnd_make_id(&sim->rnd, rec.id);
		fleet_apply(sim->fleet, sim->offset++, &rec, NULL);
	}
	settings_us = (now_us() - start) / REPEATS;
	printf("| %d | %.0f | %.1f | %.0f | %.1f | %.0f | %u |\n", hosts,
	       plan_us, tick_us, explain_us, drain_us, settings_us, rows);
	fflush(stdout);
	plan_destroy(plan);
	sim_destroy(sim);
}

int main(void)
{
	static const int sizes[] = { 50, 500, 2600, 10000 };

	apr_initialize();
	compare();
	printf("\n%d members, %d hosts a pool, a wave over every pool; "
	       "processor "
	       "time, us, means of %d\n\n",
	       MEMBERS, HOSTS_PER_POOL, REPEATS);
	printf("| hosts | plan | tick without change | explain | drain and "
	       "undrain applied | settings applied | rows |\n"
	       "|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure_size(sizes[i]);
	return 0;
}
