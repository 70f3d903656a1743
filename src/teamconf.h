/*
 * NAME
 *	teamconf - settings of one team: pools, budgets, batches and waves
 *
 * The text is JSON with comments. A team's subtree is checked as a whole; a
 * wrong value is refused with its path, the value seen and the value wanted,
 * and nothing of the text is applied.
 */
#ifndef TEAMCONF_H
#define TEAMCONF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_pools.h>

#include "err.h"
#include "limit.h"

enum teamconf_action { TEAMCONF_REBOOT, TEAMCONF_RETIRE };

struct teamconf_hosts {
	uint32_t count;
	const char **names;
};

struct teamconf_pool {
	char name[LIMIT_NAME_BYTES];
	struct teamconf_hosts hosts;
	uint32_t min_available; /* hosts that must serve at any moment */
};

struct teamconf_batch {
	char name[LIMIT_NAME_BYTES];
	struct teamconf_hosts hosts;
	int32_t support_ends_day; /* days since 1970-01-01 */
};

struct teamconf_wave {
	char name[LIMIT_NAME_BYTES];
	char batch[LIMIT_NAME_BYTES];
	enum teamconf_action action;
	int32_t start_day; /* days since 1970-01-01 */
	uint32_t canary_hosts;
	bool paused;
	int64_t resume;	    /* raised by an operator to go on after a stop */
	uint32_t from_hour; /* of the night window, UTC; equal to to_hour or */
	uint32_t to_hour;   /* 0 and 24: all day */
};

struct teamconf {
	apr_pool_t *mem;
	const char *text; /* the settings as canonical JSON */
	uint32_t quota_slots;
	double weight_spare;
	double weight_rollout;
	double weight_moves;
	char spare_pool[LIMIT_NAME_BYTES]; /* empty: none */
	uint32_t pool_count;
	struct teamconf_pool *pools;
	uint32_t batch_count;
	struct teamconf_batch *batches;
	uint32_t wave_count;
	struct teamconf_wave *waves;
};

/*
 * teamconf_parse - read and check a team's settings
 *
 * RETURN VALUE
 *	The settings, which the caller releases with teamconf_destroy, or NULL with
 *	err filled in.
 *
 * ERRORS
 *	ERR_INVALID	with path, value seen and value wanted
 *	ERR_TOO_LARGE	longer than LIMIT_SETTINGS_BYTES
 */
struct teamconf *teamconf_parse(const char *text, size_t len, struct err *err);

/* teamconf_destroy - release settings; NULL is allowed */
void teamconf_destroy(struct teamconf *teamconf);

/* teamconf_pool_of - pool that lists the host, or NULL */
const struct teamconf_pool *teamconf_pool_of(const struct teamconf *teamconf,
					     const char *host);

/* teamconf_find_pool, teamconf_find_batch, teamconf_find_wave - entry by name, or NULL */
const struct teamconf_pool *teamconf_find_pool(const struct teamconf *teamconf,
					       const char *name);
const struct teamconf_batch *
teamconf_find_batch(const struct teamconf *teamconf, const char *name);
const struct teamconf_wave *teamconf_find_wave(const struct teamconf *teamconf,
					       const char *name);

/*
 * teamconf_parse_day - days since 1970-01-01 of a date written as YYYY-MM-DD
 *
 * RETURN VALUE
 *	0, or ERR_INVALID if it is no date between 1970 and 2199.
 */
int teamconf_parse_day(const char *text, int32_t *day);

#endif
