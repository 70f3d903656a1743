/*
 * NAME
 *	teamconf - settings of one team: pools, budgets, batches and waves
 *
 * The text is JSON with comments. It is checked as a whole: an invalid value is
 * refused with its path, the value given and the values allowed, and nothing is
 * applied.
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
	uint32_t min_available; /* hosts that must serve at any time */
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
	int64_t resume; /* an operator raises it to resume a stopped wave */
	/* Night window in hours, UTC; all day if both are equal, or if they are
	   0 and 24. */
	uint32_t from_hour;
	uint32_t to_hour;
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
 * teamconf_parse - parse and check a team's settings
 *
 * RETURN VALUE
 *	The settings, to be freed with teamconf_destroy, or NULL with err set.
 *
 * ERRORS
 *	ERR_INVALID	the text names the path, the value given and the
 *			values allowed
 *	ERR_TOO_LARGE	longer than LIMIT_SETTINGS_BYTES
 */
struct teamconf *teamconf_parse(const char *text, size_t len, struct err *err);

/* teamconf_destroy - free settings; settings may be NULL */
void teamconf_destroy(struct teamconf *teamconf);

/* teamconf_pool_of - pool that the host belongs to, or NULL */
const struct teamconf_pool *teamconf_pool_of(const struct teamconf *teamconf,
					     const char *host);

/*
 * teamconf_find_pool, teamconf_find_batch, teamconf_find_wave - look up by name
 *
 * RETURN VALUE
 *	The entry, or NULL.
 */
const struct teamconf_pool *teamconf_find_pool(const struct teamconf *teamconf,
					       const char *name);
const struct teamconf_batch *
teamconf_find_batch(const struct teamconf *teamconf, const char *name);
const struct teamconf_wave *teamconf_find_wave(const struct teamconf *teamconf,
					       const char *name);

/*
 * teamconf_parse_day - parse a date YYYY-MM-DD into days since 1970-01-01
 *
 * RETURN VALUE
 *	0, or ERR_INVALID unless it is a date from 1970 to 2199.
 */
int teamconf_parse_day(const char *text, int32_t *day);

#endif
