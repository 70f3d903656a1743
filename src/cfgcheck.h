/*
 * NAME
 *	cfgcheck - what is doubtful in a configuration, and what a new version changes
 *
 * Works on decoded configurations; what the decoder refuses is an error of its own.
 * Pure functions. No text has a key of an organisation.
 */
#ifndef CFGCHECK_H
#define CFGCHECK_H

#include "cfg.h"

enum cfgcheck_level {
	CFGCHECK_ERROR,	  /* nodes ignore it, or jobs can never run */
	CFGCHECK_WARNING, /* likely not meant */
	CFGCHECK_CHANGE	  /* against the version in force */
};

struct cfgcheck_finding {
	enum cfgcheck_level level;
	char *path; /* of the field, as "routes[2].prefix" */
	char *text; /* what is seen, and what is wanted or changes */
};

struct cfgcheck_input {
	const struct cfg *cfg;
	const struct cfg *in_force;   /* NULL: not compared */
	struct cfg_room largest_task; /* 0: not known */
	struct cfg_room workers;      /* what all of them have; 0: not known */
};

/*
 * cfgcheck_run - check a configuration
 *
 * RETURN VALUE
 *	Array of struct cfgcheck_finding, by level and then as in the configuration;
 *	free with g_ptr_array_unref.
 */
GPtrArray *cfgcheck_run(const struct cfgcheck_input *input);

/* cfgcheck_add - add a finding, as for an error of the decoder */
void cfgcheck_add(GPtrArray *findings, enum cfgcheck_level level,
		  const char *path, const char *format, ...)
	G_GNUC_PRINTF(4, 5);

/* cfgcheck_new - an empty array of findings */
GPtrArray *cfgcheck_new(void);

/* cfgcheck_count - findings of a level */
guint cfgcheck_count(const GPtrArray *findings, enum cfgcheck_level level);

/* cfgcheck_level_name - "error", "warning" or "change" */
const char *cfgcheck_level_name(enum cfgcheck_level level);

#endif
