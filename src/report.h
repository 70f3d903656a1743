/*
 * NAME
 *	report - reports for operators: why a host or pool is in its current
 *	state, and what happened in a period
 *
 * Computed from responses of the /v1 resources; sends no requests.
 */
#ifndef REPORT_H
#define REPORT_H

#include <stdint.h>

#include <json-c/json.h>

/* Responses of /v1/status, /v1/hosts, /v1/pools, /v1/members and /v1/audit. */
struct report_input {
	struct json_object *status;
	struct json_object *hosts;
	struct json_object *pools;
	struct json_object *members;
	struct json_object *audit;
};

/*
 * report_explain - explain the state of a host, or of each pool of a team
 *
 * RETURN VALUE
 *	A new object, or NULL if no host or team has that name.
 */
struct json_object *report_explain(const struct report_input *input,
				   const char *name);

/*
 * report_summary - summarize events since a wall-clock time, and what needs
 * operator action
 *
 * Audit entries carry the time of their author's clock, so one with a wrong
 * clock may be counted in the wrong period.
 *
 * RETURN VALUE
 *	A new object.
 */
struct json_object *report_summary(const struct report_input *input,
				   int64_t since_ms);

#endif
