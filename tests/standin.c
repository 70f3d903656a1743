/*
 * Stand-in for the users' platform, which serves its published protocol on
 * loopback: the log service, the host list, and workers that run tasks under
 * leases. All run in one process; worker i listens on PORT + 10 + i.
 *
 * usage: standin PORT WORKERS CONFIGURATION-FILE
 *
 * POST /control injects faults. Its JSON body may hold
 *	"down": bool       answer 503 to log and host list requests
 *	"lose": n          execute the next n appends, but answer too late
 *	"refuse": n        answer 503 to the next n appends
 *	"trim": offset     delete job records before the offset
 *	"deal": true       reassign all parts of the consumer group at once
 *	"crash": worker    stop a worker and delete its registry entry
 *	"restart": worker  start it again under the same id
 *	"unguarded": bool  workers start whatever they are told to, and log
 *			   "over-capacity" for each start that takes one over the
 *			   capacity that it says; a stop takes 200 ms
 *	"of": worker	   its entry says "capacity" from now on, or none without
 *			   that member
 *	"hide": bool	   entries say the full capacity, though another counts
 *	"late": n	   execute the next n starts late, and answer them too late
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "json.h"
#include "log.h"
#include "standin_answer.h"
#include "standin_log.h"
#include "standin_worker.h"

enum { TICK_MS = 20, WORKER_PORT_OFFSET = 10 };

static struct evloop *evloop;
static struct standin_log log_service;
static struct standin_workers workers;

static void list_hosts(struct web_request *request)
{
	struct json_object *rows = json_object_new_array();

	for (int i = 0; i < workers.count; i++) {
		struct json_object *row = json_object_new_object();
		char name[16];

		snprintf(name, sizeof(name), "m-%d", i);
		json_object_object_add(row, "machine",
				       json_object_new_string(name));
		json_object_object_add(row, "pool",
				       json_object_new_string("tallies"));
		json_object_object_add(row, "zone",
				       json_object_new_string("suva"));
		json_object_object_add(
			row, "state",
			json_object_new_string(workers.worker[i].up ? "up"
								    : "down"));
		json_object_object_add(
			row, "id",
			json_object_new_string(workers.worker[i].id));
		json_object_array_add(rows, row);
	}
	standin_answer(request, 200, standin_object_with("machines", rows));
}

static void control(struct web_request *request)
{
	struct json_object *params =
		json_parse(request->body, request->body_len);

	standin_log_control(&log_service, params);
	standin_workers_control(&workers, params);
	json_object_put(params);
	standin_answer(request, 200, json_object_new_object());
}

static void handle(void *arg, struct web_request *request)
{
	(void)arg;
	if (!strcmp(request->path, "/control"))
		control(request);
	else if (log_service.down)
		standin_answer(request, 503, json_object_new_object());
	else if (standin_log_handle(&log_service, request))
		return;
	else if (!strcmp(request->path, "/machines"))
		list_hosts(request);
	else
		standin_answer(request, 404, json_object_new_object());
}

static void on_refused(void *arg, int kind)
{
	(void)arg;
	log_warn("request refused: %s", err_name(kind));
}

static void tick(void *arg)
{
	(void)arg;
	standin_log_tick(&log_service);
	standin_workers_tick(&workers, TICK_MS);
}

static void stop(void *arg)
{
	(void)arg;
	evloop_stop(evloop);
}

static bool listen_at(uint16_t port, void (*fn)(void *, struct web_request *),
		      void *arg)
{
	struct err err = { .kind = ERR_OK };
	struct web_config config = {
		.address = "127.0.0.1",
		.port = port,
		.max_body_bytes = 4 * 1024 * 1024,
		.on_request = fn,
		.on_refused = on_refused,
		.arg = arg,
	};

	if (web_create(evloop, &config, &err))
		return true;
	log_error("%s", err.text);
	return false;
}

int main(int argc, char **argv)
{
	gchar *configuration = NULL;
	gsize len;
	uint16_t port;
	int count;

	apr_initialize();
	log_init("standin", false);
	if (argc != 4 ||
	    !g_file_get_contents(argv[3], &configuration, &len, NULL)) {
		fprintf(stderr,
			"usage: standin PORT WORKERS CONFIGURATION-FILE\n");
		return 2;
	}
	evloop = evloop_create(clk_system());
	standin_log_init(&log_service, evloop_clk(evloop));
	standin_workers_init(&workers, evloop_clk(evloop), log_service.model);
	port = (uint16_t)atoi(argv[1]);
	count = MIN(atoi(argv[2]), STANDIN_MAX_WORKERS);
	log_model_put(log_service.model, "keyed.op", "config", configuration,
		      len);
	g_free(configuration);
	if (!listen_at(port, handle, NULL))
		return 1;
	port += WORKER_PORT_OFFSET;
	for (int i = 0; i < count; i++, port++)
		if (!listen_at(port, standin_worker_handle,
			       standin_workers_add(&workers, port)))
			return 1;
	evloop_on_stop_signal(evloop, stop, NULL);
	evloop_add_timer(evloop, TICK_MS, tick, NULL);
	evloop_run(evloop);
	return 0;
}
