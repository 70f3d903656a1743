/*
 * NAME
 *	plank-noded - daemon of a node: accepts jobs and runs pools
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <argtable2.h>

#include "budget_counters.h"
#include "call.h"
#include "cmd.h"
#include "host_api.h"
#include "ingress.h"
#include "json.h"
#include "log.h"
#include "node.h"
#include "order_api.h"
#include "platform.h"
#include "rnd.h"
#include "store.h"
#include "web.h"
#include "wire.h"

enum {
	NODED_TICK_MS = 20,
	NODED_SETTINGS_MS = 1000,  /* between two looks at the settings file */
	NODED_STOP_SLACK_MS = 500, /* exit this long before the kill */
	/* The platform sends new connections until it has seen the node not
	   ready this many times; this long if it does not look. */
	NODED_STOP_PROBES = 2,
	NODED_STOP_UNSEEN_MS = 2500,
	/* Buffers of a connection. The library's hold a header of
	   LIMIT_HEAD_BYTES; answers are small. */
	NODED_POOL_BYTES = 40 * 1024,
	NODED_RECEIVE_BYTES = 16 * 1024,
	NODED_SEND_BYTES = 8 * 1024,
	/* Of a caller's body: itself, the job's record and the append. */
	NODED_BODY_COPIES = 3,
	NODED_OWN_CONNECTIONS = 64, /* to the readiness, and to the metrics */
	/* Time and ticks without input before the end: a busy node may not have
	   read yet what callers have sent. */
	NODED_STOP_QUIET_MS = 300,
	NODED_STOP_QUIET_TICKS = 3
};

struct noded {
	struct evloop *evloop;
	char *path; /* of the settings file */
	struct nodeconf settings;
	struct call_client *client;
	struct store *store;
	struct order_api *orders;
	struct host_api *hosts;
	struct node *node;
	struct ingress *ingress;
	struct budget *budget; /* of callers */
	struct web *callers;
	struct web *readiness;
	struct web *metrics;  /* NULL: not served */
	time_t settings_time; /* mtime of the settings file; 0: not read yet */
	int64_t stop_ms;      /* time of the stop signal; 0: none */
	int64_t end_ms;	      /* latest end after it */
	uint32_t stop_probes; /* looks at the readiness since then */
	uint32_t quiet_ticks; /* ticks since the last input */
};

static void handle_readiness(void *arg, struct web_request *request)
{
	struct noded *noded = arg;

	noded->stop_probes += noded->stop_ms != 0;
	ingress_handle_readiness(request, node_ready(noded->node));
}

static void handle_view(const struct noded *noded, struct web_request *request)
{
	static const struct web_header headers[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};
	struct json_object *view = node_view(noded->node, request->path);
	const char *text;

	if (!view) {
		web_respond_error(request, ERR_NOT_FOUND, request->path);
		return;
	}
	text = json_object_to_json_string_ext(view, JSON_C_TO_STRING_PLAIN);
	web_respond(request, 200, headers, text, strlen(text));
	json_object_put(view);
}

static void handle_metrics(void *arg, struct web_request *request)
{
	static const struct web_header headers[] = {
		{ "Content-Type", "text/plain; version=0.0.4" },
		{ NULL, NULL },
	};
	const struct noded *noded = arg;
	char *text;

	if (strcmp(request->path, "/metrics")) {
		handle_view(noded, request);
		return;
	}
	text = apr_pstrcat(
		request->pool, node_metrics(noded->node, request->pool),
		budget_counters_text(noded->budget, request->pool), NULL);
	web_respond(request, 200, headers, text, strlen(text));
}

static void log_refused(void *arg, int kind)
{
	(void)arg;
	log_info("request-refused why=%s", err_name(kind));
}

static void on_caller(void *arg, struct web_request *request)
{
	ingress_handle(((struct noded *)arg)->ingress, request);
}

static size_t max_caller_body(void *arg)
{
	const struct cfg *cfg = *node_cfg(((struct noded *)arg)->node);

	if (!cfg)
		return LIMIT_JOB_BODY_BYTES;
	return cfg->max_body_bytes > 0 ? (size_t)cfg->max_body_bytes : 0;
}

/* Applies the timeouts of the configuration in force, if it has any. */
static void set_times(struct noded *noded)
{
	const struct cfg *cfg = *node_cfg(noded->node);
	int64_t head_ms = cfg ? cfg->header_timeout_ms : 0;
	int64_t idle_ms = cfg ? cfg->idle_timeout_ms : 0;

	budget_set_times(noded->budget,
			 head_ms ? head_ms : LIMIT_PARTIAL_REQUEST_S * 1000,
			 idle_ms ? idle_ms : LIMIT_PARTIAL_REQUEST_S * 1000);
}

/* Whether the platform sends no more connections, as far as is known. */
static bool out_of_rotation(const struct noded *noded, int64_t now_ms)
{
	return noded->stop_probes >= NODED_STOP_PROBES ||
	       now_ms - noded->stop_ms > NODED_STOP_UNSEEN_MS;
}

/* Whether all that callers have sent has certainly been read. */
static bool input_read(struct noded *noded)
{
	if (web_quiet_ms(noded->callers) < NODED_STOP_QUIET_MS)
		noded->quiet_ticks = 0;
	else
		noded->quiet_ticks++;
	return noded->quiet_ticks >= NODED_STOP_QUIET_TICKS;
}

static void exit_when_stopped(struct noded *noded, int64_t now_ms)
{
	if (now_ms > noded->end_ms) {
		log_warn("stop: the time is over, requests=%u",
			 web_active(noded->callers));
		evloop_stop(noded->evloop);
		return;
	}
	if (!out_of_rotation(noded, now_ms))
		return;
	web_quiesce(noded->callers);
	if (input_read(noded) && node_stopped(noded->node) &&
	    !web_active(noded->callers))
		evloop_stop(noded->evloop);
}

static void tick(void *arg)
{
	struct noded *noded = arg;

	node_note_tick(noded->node, NODED_TICK_MS,
		       evloop_busy_ms(noded->evloop));
	call_tick(noded->client);
	node_tick(noded->node);
	set_times(noded);
	web_tick(noded->callers);
	if (noded->stop_ms)
		exit_when_stopped(noded, clk_now_ms(evloop_clk(noded->evloop)));
}

static void on_stop(void *arg)
{
	struct noded *noded = arg;

	if (noded->stop_ms)
		return;
	noded->stop_ms = clk_now_ms(evloop_clk(noded->evloop));
	noded->end_ms = noded->stop_ms + noded->settings.stop_grace_ms -
			NODED_STOP_SLACK_MS;
	web_close_answered(noded->callers);
	node_stop(noded->node, noded->end_ms);
}

/*
 * Applies the settings that can change at run time: limits and intervals. New
 * addresses to listen on or to call need a restart.
 */
static void reload(void *arg)
{
	struct noded *noded = arg;
	struct err err = { .kind = ERR_OK };
	struct nodeconf settings;

	if (nodeconf_load(noded->path, &settings, &err) < 0) {
		log_error("reload: settings stay as they were: %s", err.text);
		return;
	}
	noded->settings.stop_grace_ms = settings.stop_grace_ms;
	noded->settings.lease_max_ms = settings.lease_max_ms;
	noded->settings.order_lease_ms = settings.order_lease_ms;
	noded->settings.reserve_room = settings.reserve_room;
	node_settings_changed(noded->node);
	log_info("reload: settings loaded from %s", noded->path);
}

/* Reloads the settings file if it changed without a signal. */
static void check_settings_file(void *arg)
{
	struct noded *noded = arg;
	struct stat status;

	if (stat(noded->path, &status) < 0 ||
	    status.st_mtime == noded->settings_time)
		return;
	if (noded->settings_time)
		reload(noded);
	noded->settings_time = status.st_mtime;
}

static const struct web_sizes sizes = {
	.max_connections = NODED_OWN_CONNECTIONS,
	.pool_bytes = NODED_POOL_BYTES,
	.receive_bytes = NODED_RECEIVE_BYTES,
	.send_bytes = NODED_SEND_BYTES,
};

static struct budget *create_budget(const struct nodeconf *settings)
{
	struct budget_config config = {
		.max_connections = settings->max_connections,
		.max_bytes = settings->max_request_bytes,
		.connection_bytes = web_connection_bytes(&sizes),
		.request_bytes = WEB_REQUEST_BYTES,
		.body_copies = NODED_BODY_COPIES,
	};

	budget_derive(&config, settings->memory_bytes,
		      settings->max_fds ? settings->max_fds : web_max_fds());
	log_info(
		"bounds max_connections=%u max_request_bytes=%" G_GINT64_FORMAT,
		config.max_connections, config.max_bytes);
	return budget_create(&config);
}

static bool open_listeners(struct noded *noded)
{
	struct err err = { .kind = ERR_OK };
	struct web_config callers = {
		.address = noded->settings.callers.host,
		.port = noded->settings.callers.port,
		.max_body = max_caller_body,
		.budget = noded->budget,
		.sizes = sizes,
		.decoded_bytes = json_decoded_bytes,
		.on_request = on_caller,
		.on_refused = log_refused,
		.arg = noded,
	};
	struct web_config readiness = {
		.address = noded->settings.readiness.host,
		.port = noded->settings.readiness.port,
		.max_body_bytes = 0,
		.sizes = sizes,
		.on_request = handle_readiness,
		.on_refused = log_refused,
		.arg = noded,
	};

	struct web_config metrics = {
		.address = noded->settings.metrics.host,
		.port = noded->settings.metrics.port,
		.max_body_bytes = 0,
		.sizes = sizes,
		.on_request = handle_metrics,
		.on_refused = log_refused,
		.arg = noded,
	};

	noded->callers = web_create(noded->evloop, &callers, &err);
	if (noded->callers)
		noded->readiness = web_create(noded->evloop, &readiness, &err);
	if (noded->readiness && metrics.port)
		noded->metrics = web_create(noded->evloop, &metrics, &err);
	if (err.kind != ERR_OK)
		log_error("%s", err.text);
	/* The node runs even if the metrics address cannot be opened. */
	return noded->readiness != NULL;
}

static bool start(struct noded *noded)
{
	const struct clk *clk = evloop_clk(noded->evloop);
	char incarnation[24];
	struct node_config config = {
		.clk = clk,
		.settings = &noded->settings,
		.decoders = {
			.cfg = wire_decode_cfg,
			.spec = wire_decode_spec,
			.worker = wire_decode_worker,
			.wave = wire_decode_wave,
		},
		.streams = platform_streams(),
		.incarnation = incarnation,
	};

	snprintf(incarnation, sizeof(incarnation), "%08x%08x",
		 (unsigned int)clk_wall_ms(clk), (unsigned int)g_random_int());
	noded->client = call_client_create(noded->evloop);
	noded->store = store_create(noded->client, noded->settings.log_service);
	noded->orders = order_api_create(noded->client,
					 noded->settings.max_report_bytes);
	config.stream = store_io(noded->store);
	config.orders = order_api_io(noded->orders);
	noded->hosts =
		host_api_create(noded->client, noded->settings.host_service);
	config.hosts = host_api_io(noded->hosts);
	noded->node = node_create(&config);
	noded->ingress = ingress_create(node_front(noded->node), clk);
	noded->budget = create_budget(&noded->settings);
	return open_listeners(noded);
}

static int serve(const char *path, const struct nodeconf *settings)
{
	/* Static, as calls that outlast the event loop point into it. */
	static struct noded noded;

	noded.path = g_strdup(path);
	noded.settings = *settings;
	noded.evloop = evloop_create(clk_system());
	if (!noded.evloop || !start(&noded))
		return err_answer(ERR_IO)->exit_code;
	log_info("start name=%s data_centre=%s version=%s", noded.settings.name,
		 noded.settings.data_centre, CMD_VERSION);
	evloop_on_stop_signal(noded.evloop, on_stop, &noded);
	evloop_on_reload_signal(noded.evloop, reload, &noded);
	evloop_add_timer(noded.evloop, NODED_SETTINGS_MS, check_settings_file,
			 &noded);
	evloop_add_timer(noded.evloop, NODED_TICK_MS, tick, &noded);
	evloop_run(noded.evloop);
	log_info("end");
	return 0;
}

int main(int argc, char **argv)
{
	struct cmd_daemon args = { 0 };
	struct nodeconf settings;
	struct err err = { .kind = ERR_OK };
	const char *path = platform_settings_path();
	int status;

	/* The platform passes the path in the environment. */
	g_strlcpy(args.settings_path, path ? path : "",
		  sizeof(args.settings_path));
	status = cmd_parse_daemon_args(argc, argv, "plank-noded", &args);
	if (status != CMD_RUN)
		return status;
	apr_initialize();
	log_init("plank-noded", args.quiet);
	status = nodeconf_load(args.settings_path, &settings, &err);
	if (args.check_only)
		return cmd_print_settings_result(status == 0, &err);
	if (status < 0) {
		log_error("settings: %s", err.text);
		return err_answer(err.kind)->exit_code;
	}
	return serve(args.settings_path, &settings);
}
