/*
 * NAME
 *	standin_log - log service of the stand-in
 */
#ifndef STANDIN_LOG_H
#define STANDIN_LOG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include "clk.h"
#include "log_model.h"
#include "web.h"

struct standin_log {
	const struct clk *clk;
	struct log_model *model;
	bool down; /* reads that wait are answered by 503 */
	int64_t answers_to_lose, appends_to_refuse;
	GPtrArray *waiting; /* reads for records, and lost answers */
};

void standin_log_init(struct standin_log *log, const struct clk *clk);

/* standin_log_handle - serve a request of the log; false: it is for another */
bool standin_log_handle(struct standin_log *log, struct web_request *request);

/* standin_log_control - inject the log's faults of a POST /control */
void standin_log_control(struct standin_log *log, struct json_object *params);

/* standin_log_tick - expire members; answer requests that wait and are due */
void standin_log_tick(struct standin_log *log);

#endif
