/*
 * NAME
 *	load_report - results of plank-load, as JSON and as text
 */
#ifndef LOAD_REPORT_H
#define LOAD_REPORT_H

#include <stdint.h>

#include <json-c/json.h>

#include "arrival.h"
#include "histo.h"

enum load_priority { LOAD_URGENT, LOAD_NORMAL, LOAD_LONG, LOAD_PRIORITIES };
enum load_outcome {
	LOAD_ANSWERED,
	LOAD_NOT_RUN,
	LOAD_UNKNOWN,
	LOAD_NONE, /* no response */
	LOAD_CANCELLED,
	LOAD_OUTCOMES
};

enum { LOAD_MAX_STATUS = 600 };

struct load_result {
	uint64_t seed;
	const char *pools[ARRIVAL_MAX_POOLS];
	uint32_t pool_count;
	uint64_t sent;
	uint64_t outcomes[LOAD_OUTCOMES];
	uint64_t status[LOAD_MAX_STATUS]; /* by HTTP status; 0: no response */
	struct histo send_delay_us;	  /* after the scheduled time */
	struct histo latency_us;
	struct histo latency_us_by_priority[LOAD_PRIORITIES];
	struct histo latency_us_by_pool[ARRIVAL_MAX_POOLS];
};

extern const char *const load_priority_names[LOAD_PRIORITIES];

/* load_report_json - the caller releases it */
struct json_object *load_report_json(const struct load_result *result);

/* load_report_print - print the result as text */
void load_report_print(const struct load_result *result);

#endif
