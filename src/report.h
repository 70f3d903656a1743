/*
 * NAME
 *	report - reports for operators: why something is as it is, and what
 *	happened in a period
 *
 * Computed from the answers of /v1 resources; makes no calls.
 */
#ifndef REPORT_H
#define REPORT_H

#include <stdint.h>

#include <json-c/json.h>

/* Answers of /v1/status, hosts, pools, members and audit. */
struct report_input {
	struct json_object *status;
	struct json_object *hosts;
	struct json_object *pools;
	struct json_object *members;
	struct json_object *audit;
};

/*
 * report_explain - why a host, or each pool of a team, is where it is
 *
 * RETURN VALUE
 *	A new object, or NULL if no host or team has that name.
 */
struct json_object *report_explain(const struct report_input *input,
				   const char *name);

/*
 * report_summary - what happened since a wall clock time, and what waits
 *
 * The authors' clocks place the entries; a wrong clock misplaces them.
 */
struct json_object *report_summary(const struct report_input *input,
				   int64_t since_ms);

#endif
