/*
 * NAME
 *	plan_int - what the parts of the planner share among themselves
 *
 * plan_survey.c counts what the state holds, plan.c plans from that, plan_check.c
 * refuses settings whose waves are impossible. Only these include this header.
 */
#ifndef PLAN_INT_H
#define PLAN_INT_H

#include "member.h"
#include "plan.h"

enum {
	MS_PER_HOUR = 3600 * 1000,
	HOURS_PER_DAY = 24,
	MAX_DATA_CENTRES = 32,
	/* The state's changes start a new plan; time alone one each second. */
	REPLAN_MS = 1000,
	/* A proposal that was refused or got lost is repeated after this. */
	REPEAT_MS = 3000,
	KEY_BYTES = 2 * LIMIT_NAME_BYTES
};

/* Pool of a team. Counts are of the present plan, need_since_ms persists. */
struct pool {
	char name[LIMIT_NAME_BYTES]; /* hash of team and pool, see key_of */
	const struct fleet_team *team;
	const struct teamconf_pool *settings;
	uint64_t seq;
	uint32_t hosts;
	uint32_t available;
	uint32_t planned_out;
	int32_t left;  /* hosts that may still be taken out in this plan */
	int32_t undo;  /* hosts missing for the budget */
	bool waits;    /* a wave has hosts to do here */
	bool can_wait; /* such a wave may take out hosts now */
	bool receives; /* a host is being moved here */
	int64_t need_since_ms;
	struct {
		uint32_t hosts;
		uint32_t available;
	} centres[MAX_DATA_CENTRES];
};

struct rack {
	char name[LIMIT_NAME_BYTES]; /* hash of data centre and rack */
	uint64_t seq;
	uint64_t listed_by; /* wave pass that has it in its list */
	uint32_t out;
	struct host *first; /* candidates of the wave under consideration */
	struct host *last;
};

/* What is kept of a host between plans, and what is planned for it. */
struct host {
	char name[LIMIT_NAME_BYTES];
	const struct fleet_host *fleet;
	struct pool *pool; /* present one, or NULL */
	struct rack *rack;
	uint32_t centre;
	uint64_t seq;
	struct host *next; /* in its rack's list */

	int64_t state_offset; /* of the state that it has since state_ms */
	int64_t state_ms;
	int64_t move_since_ms; /* -1: no reason to move */

	uint64_t planned_in;  /* plan that gave it the action below */
	struct record action; /* text fields only; nothing is owned */
	int64_t due_ms;
	int64_t proposed_ms; /* -1: not proposed */
};

struct wave {
	const struct fleet_team *team;
	const struct teamconf_wave *settings;
	const struct teamconf_batch *batch;
	uint32_t total;
	uint32_t done;
	uint32_t healthy; /* done, and not failed since */
	uint32_t failed;
	uint32_t out;
	uint32_t todo;
	bool stopped;
	char held[LIMIT_REASON_BYTES]; /* why no host is taken out now, or "" */
};

struct plan {
	struct plan_config config;
	struct table *pools;
	struct table *racks;
	struct table *hosts;
	char centres[MAX_DATA_CENTRES][LIMIT_NAME_BYTES];
	uint32_t centre_count;
	struct wave *waves;
	uint32_t wave_count;
	struct host **acting;
	uint32_t acting_count;
	uint32_t acting_cap;
	uint64_t seq;
	uint64_t pass;

	const struct fleet *planned_fst;
	uint64_t planned_changes;
	int64_t planned_ms;

	/* Of the plan under way. */
	const struct fleet *fleet;
	int64_t now_ms;
	int32_t day;
	uint32_t hour;
	void (*row)(void *arg, const struct plan_row *row);
	void *row_arg;
};

/* plan_is_out - whether a host is draining, drained or rebooting */
bool plan_is_out(const struct fleet_host *host);

/* plan_find_pool - pool of the present plan, or NULL */
struct pool *plan_find_pool(struct plan *pln, const char *team,
			    const char *name);

/* plan_start_pools - begin a plan with the pools of all teams, not counted */
void plan_start_pools(struct plan *pln);

/* plan_start_host - count a host into its pool and rack */
void plan_start_host(struct plan *pln, const struct fleet_host *fleet);

/* plan_pool_room - available and planned-out hosts above the budget; may be < 0 */
int32_t plan_pool_room(const struct pool *pool);

/* plan_set_budgets - how many hosts each pool may take out, or must undo */
void plan_set_budgets(struct plan *pln);

/* plan_host_of - host of the present plan, or NULL */
struct host *plan_host_of(const struct plan *pln, const char *name);

/* plan_wave_done - whether a host has completed a wave, or a later one */
bool plan_wave_done(const struct teamconf *settings,
		    const struct teamconf_wave *wave,
		    const struct fleet_host *host);

/* plan_wave_host - host of the wave's batch by its place in the list, or NULL */
struct host *plan_wave_host(const struct plan *pln, const struct wave *wave,
			    uint32_t index);

/* plan_format_day - write a day as YYYY-MM-DD */
void plan_format_day(char *text, size_t size, int32_t day);

/* plan_in_canary_stage - whether the first hosts are not all back yet */
bool plan_in_canary_stage(const struct wave *wave);

/* plan_start_waves - count the waves, in the order of their support end */
void plan_start_waves(struct plan *pln);

/* plan_find_wave - wave of the present plan, or NULL */
const struct wave *plan_find_wave(const struct plan *pln, const char *team,
				  const char *name);

#endif
