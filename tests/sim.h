/*
 * Simulates planners over a fleet state with hosts that reboot, hosts that do
 * not return from a reboot and hosts that fail without a plan. The clock is
 * advanced in steps, nothing sleeps. Used by tests/test_plan.c and
 * bench/waves.c.
 */
#ifndef SIM_H
#define SIM_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "plan.h"
#include "rnd.h"

enum { SIM_PLANNERS = 3, SIM_QUEUE = 16384, SIM_POOLS = 512 };

struct sim_host {
	char name[LIMIT_NAME_BYTES];
	int64_t boot_id;
	int64_t reboot_drain_offset; /* of the last reboot, or FLEET_NONE */
	int64_t back_ms;	     /* end of the reboot or repair, or -1 */
	uint32_t reboots;
	bool never_back; /* does not return from a reboot */
	int64_t reboot_ms;
	int64_t drain_ms;     /* duration until its last request ends */
	int64_t drain_offset; /* of the last drain, or FLEET_NONE */
	int64_t draining_ms;  /* when that drain began */
	int64_t out_ms;	      /* time not available because of plans */
};

struct sim {
	struct fleet *fleet;
	struct rnd rnd;
	int64_t now_ms;
	int64_t utc_ms; /* UTC at now_ms 0 */
	int64_t offset;
	int64_t repair_ms;
	struct table *hosts; /* struct sim_host */
	struct plan *planners[SIM_PLANNERS];
	struct sim_proposer {
		struct sim *sim;
		int64_t delay_ms; /* until its records are stored */
	} proposers[SIM_PLANNERS];
	uint32_t planner_count;
	struct {
		struct record rec;
		int64_t due_ms;
	} queue[SIM_QUEUE];
	uint32_t queued;
	uint32_t accepted[RECORD_TYPE_COUNT];
	uint32_t refused;
	uint32_t broken; /* records with which a plan broke a budget */
	struct {
		char key[2 * LIMIT_NAME_BYTES];
		uint32_t available; /* at the last check */
	} pools[SIM_POOLS];
	uint32_t pool_count;
};

static inline void sim_check_budgets(struct sim *sim, const struct record *rec)
{
	uint32_t index = 0;

	for (uint32_t i = 0; i < table_count(sim->fleet->teams); i++) {
		const struct fleet_team *team = table_at(sim->fleet->teams, i);

		for (uint32_t k = 0;
		     k < team->settings->pool_count && index < SIM_POOLS; k++) {
			struct fleet_pool_use use =
				fleet_pool_use(sim->fleet, team->name,
					       team->settings->pools[k].name);
			uint32_t before = sim->pools[index].available;

			if (use.available < use.min_available &&
			    use.available < before && rec->type != RECORD_FAIL)
				sim->broken++;
			sim->pools[index++].available = use.available;
		}
	}
}

/* Applies a record; checks budgets except after heartbeats and quiet records. */
static inline int sim_apply(struct sim *sim, struct record *rec,
			    struct err *err)
{
	int status;

	rnd_make_id(&sim->rnd, rec->id);
	snprintf(rec->author, sizeof(rec->author), "sim");
	rec->at_ms = sim->utc_ms + sim->now_ms;
	status = fleet_apply(sim->fleet, sim->offset++, rec, err);
	if (status == 0)
		sim->accepted[rec->type]++;
	else
		sim->refused++;
	if (status == 0 && rec->type != RECORD_MEMBER &&
	    rec->type != RECORD_QUIET)
		sim_check_budgets(sim, rec);
	return status;
}

/* Queues a proposal; each planner has another delay, so that they race. */
static inline void sim_propose(void *arg, const char *key, struct record *rec)
{
	const struct sim_proposer *proposer = arg;
	struct sim *sim = proposer->sim;

	(void)key;
	if (sim->queued == SIM_QUEUE)
		return;
	sim->queue[sim->queued].rec = *rec;
	sim->queue[sim->queued++].due_ms = sim->now_ms + proposer->delay_ms;
}

static inline void sim_add_member(struct sim *sim, const char *name,
				  const char *data_centre)
{
	struct record rec = {
		.type = RECORD_MEMBER, .incarnation = 1, .seq = 1, .port = 1
	};

	snprintf(rec.member, sizeof(rec.member), "%s", name);
	snprintf(rec.data_centre, sizeof(rec.data_centre), "%s", data_centre);
	snprintf(rec.address, sizeof(rec.address), "127.0.0.1");
	sim_apply(sim, &rec, NULL);
}

static inline void sim_list_host(struct sim *sim, const char *name,
				 const char *data_centre, const char *rack,
				 int64_t boot_id)
{
	struct record rec = { .type = RECORD_HOST,
			      .port = 80,
			      .slots = 8,
			      .connections = 64,
			      .boot_id = boot_id };

	snprintf(rec.host, sizeof(rec.host), "%s", name);
	snprintf(rec.data_centre, sizeof(rec.data_centre), "%s", data_centre);
	snprintf(rec.rack, sizeof(rec.rack), "%s", rack);
	snprintf(rec.address, sizeof(rec.address), "127.0.0.1");
	sim_apply(sim, &rec, NULL);
}

static inline struct sim *sim_create(uint64_t seed, uint32_t planners,
				     int64_t utc_ms)
{
	static const char *const centres[] = { "suva", "lautoka", "levuka" };
	struct sim *sim = calloc(1, sizeof(*sim));

	rnd_init(&sim->rnd, seed);
	sim->fleet = fleet_create();
	sim->hosts = table_create(sizeof(struct sim_host));
	sim->utc_ms = utc_ms;
	sim->repair_ms = INT64_MAX / 2;
	sim->planner_count = planners;
	for (uint32_t i = 0; i < SIM_PLANNERS; i++) {
		static const char *const names[] = { "e0", "e1", "e2" };
		struct plan_config config = { .name = names[i],
					      .propose = sim_propose,
					      .arg = &sim->proposers[i] };

		sim->proposers[i].sim = sim;
		sim->proposers[i].delay_ms = i * 3000;
		sim_add_member(sim, names[i], centres[i]);
		if (i < planners)
			sim->planners[i] = plan_create(&config);
	}
	return sim;
}

static inline void sim_destroy(struct sim *sim)
{
	for (uint32_t i = 0; i < SIM_PLANNERS; i++)
		plan_destroy(sim->planners[i]);
	table_destroy(sim->hosts);
	fleet_destroy(sim->fleet);
	free(sim);
}

static inline struct sim_host *sim_host(struct sim *sim, const char *name)
{
	return table_find(sim->hosts, name);
}

static inline struct sim_host *sim_add_host(struct sim *sim, const char *name,
					    const char *data_centre,
					    const char *rack)
{
	struct sim_host *host = table_add(sim->hosts, name);

	host->boot_id = 1;
	host->reboot_drain_offset = FLEET_NONE;
	host->drain_offset = FLEET_NONE;
	host->back_ms = -1;
	host->reboot_ms = 240000;
	sim_list_host(sim, name, data_centre, rack, 1);
	return host;
}

static inline int sim_publish(struct sim *sim, const char *team,
			      const char *settings, struct err *err)
{
	const struct fleet_team *present = fleet_team(sim->fleet, team);
	struct record rec = { .type = RECORD_SETTINGS,
			      .base = present ? present->version : FLEET_NONE,
			      .settings = (char *)settings };

	snprintf(rec.team, sizeof(rec.team), "%s", team);
	return sim_apply(sim, &rec, err);
}

static inline int sim_host_record(struct sim *sim, enum record_type type,
				  const char *name)
{
	struct record rec = { .type = type };

	snprintf(rec.host, sizeof(rec.host), "%s", name);
	snprintf(rec.reason, sizeof(rec.reason), "simulated");
	return sim_apply(sim, &rec, NULL);
}

/* Makes a host fail without a plan; it is repaired after repair_ms. */
static inline int sim_fail(struct sim *sim, const char *name)
{
	int status = sim_host_record(sim, RECORD_FAIL, name);

	if (status == 0) {
		sim_host(sim, name)->reboot_drain_offset = FLEET_NONE;
		sim_host(sim, name)->back_ms = sim->now_ms + sim->repair_ms;
	}
	return status;
}

/* Confirms the drain of the host for all members. */
static inline void sim_confirm_drain(struct sim *sim,
				     const struct fleet_host *host)
{
	int64_t drain = host->drain_offset;

	for (uint32_t i = 0; i < table_count(sim->fleet->members); i++) {
		const struct fleet_member *member =
			table_at(sim->fleet->members, i);
		struct record rec = { .type = RECORD_QUIET,
				      .drain = drain,
				      .incarnation = member->incarnation };

		if (host->state != FLEET_DRAINING)
			return;
		memcpy(rec.host, host->name, sizeof(rec.host));
		memcpy(rec.member, member->name, sizeof(rec.member));
		sim_apply(sim, &rec, NULL);
	}
}

static inline void sim_step_host(struct sim *sim, struct sim_host *host,
				 int64_t step_ms)
{
	const struct fleet_host *fleet = fleet_host(sim->fleet, host->name);

	if (fleet->state == FLEET_DRAINING &&
	    host->drain_offset != fleet->drain_offset) {
		host->drain_offset = fleet->drain_offset;
		host->draining_ms = sim->now_ms;
	}
	if (fleet->state == FLEET_DRAINING &&
	    sim->now_ms - host->draining_ms >= host->drain_ms)
		sim_confirm_drain(sim, fleet);
	if (fleet->state == FLEET_DRAINING || fleet->state == FLEET_DRAINED ||
	    fleet->state == FLEET_REBOOTING)
		host->out_ms += step_ms;
	if (fleet->state == FLEET_REBOOTING &&
	    host->reboot_drain_offset != fleet->drain_offset) {
		host->reboot_drain_offset = fleet->drain_offset;
		host->reboots++;
		host->back_ms =
			host->never_back ? -1 : sim->now_ms + host->reboot_ms;
	}
	if (host->back_ms < 0 || sim->now_ms < host->back_ms)
		return;
	host->back_ms = -1;
	sim_list_host(sim, host->name, fleet->data_centre, fleet->rack,
		      ++host->boot_id);
	if (fleet->state == FLEET_FAILED)
		sim_host_record(sim, RECORD_RETURN, host->name);
}

static inline void sim_step(struct sim *sim, int64_t step_ms)
{
	struct plan_input input;
	uint32_t kept = 0;

	sim->now_ms += step_ms;
	for (uint32_t i = 0; i < table_count(sim->hosts); i++)
		sim_step_host(sim, table_at(sim->hosts, i), step_ms);
	input = (struct plan_input){ .fleet = sim->fleet,
				     .now_ms = sim->now_ms,
				     .utc_ms = sim->utc_ms + sim->now_ms };
	for (uint32_t i = 0; i < sim->planner_count; i++)
		plan_tick(sim->planners[i], &input);
	for (uint32_t i = 0; i < sim->queued; i++)
		if (sim->now_ms >= sim->queue[i].due_ms)
			sim_apply(sim, &sim->queue[i].rec, NULL);
		else
			sim->queue[kept++] = sim->queue[i];
	sim->queued = kept;
}

static inline void sim_run(struct sim *sim, int64_t seconds)
{
	for (int64_t i = 0; i < seconds; i++)
		sim_step(sim, 1000);
}

/* Number of hosts that have completed the wave. */
static inline uint32_t sim_count_done(const struct sim *sim, const char *wave)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table_count(sim->fleet->hosts); i++)
		count += !strcmp(((const struct fleet_host *)table_at(
					  sim->fleet->hosts, i))
					 ->wave_done,
				 wave);
	return count;
}

static inline uint32_t sim_count_in_state(const struct sim *sim,
					  enum fleet_host_state state)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table_count(sim->fleet->hosts); i++)
		count += ((const struct fleet_host *)table_at(sim->fleet->hosts,
							      i))
				 ->state == state;
	return count;
}

#endif
