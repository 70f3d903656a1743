/*
 * NAME
 *	standin_worker - workers of the stand-in, which run tasks under leases
 */
#ifndef STANDIN_WORKER_H
#define STANDIN_WORKER_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>
#include <json-c/json.h>

#include "clk.h"
#include "log_model.h"
#include "standin_room.h"
#include "web.h"
#include "worker_model.h"

enum { STANDIN_MAX_WORKERS = 8 };

struct standin_worker {
	struct standin_workers *workers; /* that it is one of */
	uint16_t port;
	bool up;
	int64_t born_ms;
	char id[16];
	struct worker_model model;
	struct standin_room room;
};

struct standin_workers {
	const struct clk *clk;
	struct log_model *log; /* has the registry */
	struct standin_worker worker[STANDIN_MAX_WORKERS];
	int count;
	bool unguarded, hide_capacity;
	int64_t starts_to_delay;
	GPtrArray *late_starts;
	GPtrArray *waiting; /* renewals that wait for the end of a run */
	GHashTable *saves;  /* job id -> bytes that each of its tasks saves */
};

/* standin_workers_init - no workers yet; clk and log are kept */
void standin_workers_init(struct standin_workers *workers,
			  const struct clk *clk, struct log_model *log);

/* standin_workers_add - start one more worker, which is to listen at port */
struct standin_worker *standin_workers_add(struct standin_workers *workers,
					   uint16_t port);

/* standin_worker_handle - serve a request; arg is the worker that got it */
void standin_worker_handle(void *arg, struct web_request *request);

/* standin_workers_control - inject the workers' faults of a POST /control */
void standin_workers_control(struct standin_workers *workers,
			     struct json_object *params);

/* standin_workers_tick - let tasks run on for tick_ms; answer what is due */
void standin_workers_tick(struct standin_workers *workers, int64_t tick_ms);

#endif
