/*
 * NAME
 *	plan_int - internal interface of the planner's source files
 *
 * plan_survey.c counts the pools, hosts, racks and waves of the fleet state,
 * plan.c decides from these counts, and plan_check.c refuses settings with
 * impossible waves. Only these files include this header.
 */
#ifndef PLAN_INT_H
#define PLAN_INT_H

#include "member.h"
#include "plan.h"

enum {
	MS_PER_HOUR = 3600 * 1000,
	HOURS_PER_DAY = 24,
	MAX_DATA_CENTRES = 32,
	/* Interval of plans while no change of the fleet state causes one. */
	REPLAN_MS = 1000,
	/* Interval at which a refused or lost proposal is repeated. */
	REPEAT_MS = 3000,
	KEY_BYTES = 2 * LIMIT_NAME_BYTES
};

/* Pool of a team. Only name and shortage_since_ms last beyond a plan. */
struct pool {
	char name[LIMIT_NAME_BYTES]; /* hash of team and pool, see make_key */
	const struct fleet_team *team;
	const struct teamconf_pool *settings;
	uint64_t seq; /* last plan that has the pool */
	uint32_t hosts;
	uint32_t available;
	uint32_t planned_out;
	int32_t drains_left; /* hosts that this plan may still drain */
	int32_t to_undrain;  /* available hosts missing for the budget */
	bool has_wave_hosts; /* a started wave has yet to process hosts */
	bool has_open_wave;  /* one of these waves may take out hosts now */
	bool receives_host;  /* a host is being moved here */
	int64_t shortage_since_ms; /* no host to spare for a wave; -1: not so */
	struct {
		uint32_t hosts;
		uint32_t available;
	} data_centres[MAX_DATA_CENTRES];
};

struct rack {
	char name[LIMIT_NAME_BYTES]; /* hash of data centre and rack */
	uint64_t seq;
	uint64_t listed_pass; /* last wave pass with candidates in the rack */
	uint32_t out;
	struct host *first; /* candidates of the wave under consideration */
	struct host *last;
};

/* Host, with what is kept between plans and the action planned for it. */
struct host {
	char name[LIMIT_NAME_BYTES];
	const struct fleet_host *entry; /* in the fleet state */
	struct pool *pool;		/* where it serves, or NULL */
	struct rack *rack;
	uint32_t data_centre_no;
	uint64_t seq;
	struct host *next; /* in its rack's list of candidates */

	int64_t state_offset;  /* changed_offset of its state */
	int64_t state_ms;      /* when that state was first seen */
	int64_t move_since_ms; /* -1: no reason to go home */

	uint64_t planned_seq; /* plan that set the action below */
	struct record action; /* owns no memory: settings is NULL */
	int64_t due_ms;
	int64_t proposed_ms; /* -1: not proposed */
};

struct wave {
	const struct fleet_team *team;
	const struct teamconf_wave *settings;
	const struct teamconf_batch *batch;
	uint32_t total;
	uint32_t done;
	uint32_t healthy; /* done and not failed since */
	uint32_t failed;
	uint32_t out;
	uint32_t todo;
	bool stopped;
	/* Why no host is taken out now, or "". */
	char hold_reason[LIMIT_REASON_BYTES];
};

struct plan {
	struct plan_config config;
	struct table *pools;
	struct table *racks;
	struct table *hosts;
	char data_centres[MAX_DATA_CENTRES][LIMIT_NAME_BYTES];
	uint32_t data_centre_count;
	struct wave *waves;
	uint32_t wave_count;
	struct host **pending; /* hosts with an action in this plan */
	uint32_t pending_count;
	uint32_t pending_cap;
	uint64_t seq;  /* number of this plan */
	uint64_t pass; /* number of plan_wave calls */

	const struct fleet *planned_fleet;
	uint64_t planned_changes;
	int64_t planned_ms;

	/* Input of the plan in progress. */
	const struct fleet *fleet;
	int64_t now_ms;
	int32_t day;
	uint32_t hour;
	void (*row)(void *arg, const struct plan_row *row);
	void *row_arg;
};

/* plan_is_out - whether a host is draining, drained or rebooting */
bool plan_is_out(const struct fleet_host *host);

/* plan_find_pool - pool in this plan, or NULL */
struct pool *plan_find_pool(struct plan *plan, const char *team,
			    const char *name);

/* plan_reset_pools - reset the counts of the pools of all teams */
void plan_reset_pools(struct plan *plan);

/* plan_count_host - add a host to the counts of its pool and rack */
void plan_count_host(struct plan *plan, const struct fleet_host *entry);

/*
 * plan_pool_room - number of hosts that could be out for maintenance at once
 *
 * RETURN VALUE
 *	Available and planned-out hosts above min_available; may be negative.
 */
int32_t plan_pool_room(const struct pool *pool);

/* plan_set_budgets - set how many hosts each pool may drain, or must undrain */
void plan_set_budgets(struct plan *plan);

/* plan_find_host - host in this plan, or NULL */
struct host *plan_find_host(const struct plan *plan, const char *name);

/* plan_wave_done - whether a host has completed a wave or a later one */
bool plan_wave_done(const struct teamconf *settings,
		    const struct teamconf_wave *wave,
		    const struct fleet_host *host);

/*
 * plan_wave_host - host of the wave's batch by its index
 *
 * RETURN VALUE
 *	The host, or NULL if it is unknown or not in the wave's team.
 */
struct host *plan_wave_host(const struct plan *plan, const struct wave *wave,
			    uint32_t index);

/* plan_format_day - write a day as YYYY-MM-DD */
void plan_format_day(char *text, size_t size, int32_t day);

/* plan_in_canary_stage - whether too few canary hosts are back and healthy */
bool plan_in_canary_stage(const struct wave *wave);

/* plan_count_waves - count the waves and sort them by end of support */
void plan_count_waves(struct plan *plan);

/* plan_find_wave - wave in this plan, or NULL */
const struct wave *plan_find_wave(const struct plan *plan, const char *team,
				  const char *name);

#endif
