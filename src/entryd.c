/* plank-entryd: accepts callers' requests and forwards them to workers. */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>

#include "budget_counters.h"
#include "claim_log.h"
#include "cmd.h"
#include "procconf.h"
#include "entry_counters.h"
#include "evloop.h"
#include "proxy.h"
#include "log.h"
#include "rnd.h"
#include "rpcfollow.h"
#include "replica.h"
#include "route.h"
#include "web.h"

enum {
	/* A platform log that has been silent for this long is assumed to be
	   unable to record a join. */
	PLATFORM_SILENT_MS = 3000,
	LEAVE_WAIT_MS = 2000,
	/* Buffers of the kernel for a connection. */
	SOCKET_BYTES = 64 * 1024
};

struct listed_host {
	char name[LIMIT_NAME_BYTES];
	bool leaving;
};

struct entryd {
	const struct procconf *procconf;
	struct evloop *evloop;
	const struct clk *clk;
	struct rnd rnd;
	struct counters *counters;
	struct replica *replica;
	struct rpcfollow *rpcfollow;
	struct route *route;
	struct platclient *platclient; /* NULL if platform_url is not set */
	struct claim_log *claim_log;
	struct proxy *proxy;
	struct budget *budget; /* of callers */
	struct web *web;

	int64_t incarnation;
	bool joined;
	bool replaced; /* a newer process has joined under this name */
	bool ready;
	int64_t lease_until_ms;
	int64_t status_ms; /* when the last status was requested; -1: never */
	int64_t platform_age_ms;
	uint64_t synced_changes;
	bool list_changed;
	int64_t list_version;
	uint32_t listed_count;
	struct listed_host *listed;

	bool stopping;
	bool leaving;
	int64_t stop_ms;
	int64_t leave_ms;
};

static int64_t now(const struct entryd *entryd)
{
	return clk_now_ms(entryd->clk);
}

static bool remote_allowed(void *arg)
{
	const struct entryd *entryd = arg;

	return now(entryd) < entryd->lease_until_ms;
}

static uint32_t live_members(void *arg)
{
	const struct table *members =
		replica_state(((const struct entryd *)arg)->replica)->members;
	uint32_t live = 0;

	for (uint32_t i = 0; i < table_count(members); i++)
		live += !((const struct fleet_member *)table_at(members, i))
				 ->expired;
	return live;
}

/* Each live member gets an equal share, rounded up. */
static uint32_t quota(void *arg, const char *name)
{
	const struct entryd *entryd = arg;
	const struct fleet *fleet = replica_state(entryd->replica);
	const struct fleet_team *team = table_find(fleet->teams, name);
	uint32_t live;

	if (!team || !team->settings->quota_slots)
		return 0;
	live = live_members(arg);
	if (!live)
		live = 1;
	return (team->settings->quota_slots + live - 1) / live;
}

static void update_host_list(struct entryd *entryd, const proto_hosts *hosts)
{
	uint32_t count = hosts->hosts.hosts_len;
	struct listed_host *listed = calloc(count + 1, sizeof(*listed));

	if (!listed || hosts->list_version == 0) {
		free(listed);
		return;
	}
	for (uint32_t i = 0; i < count; i++) {
		snprintf(listed[i].name, sizeof(listed[i].name), "%s",
			 hosts->hosts.hosts_val[i].name);
		listed[i].leaving = hosts->hosts.hosts_val[i].leaving;
	}
	free(entryd->listed);
	entryd->listed = listed;
	entryd->listed_count = count;
	entryd->list_version = hosts->list_version;
	entryd->list_changed = true;
}

static void apply_status(struct entryd *entryd,
			 const struct rpcfollow_result *result)
{
	const proto_status *status = &result->status;

	entryd->status_ms = result->requested_ms;
	entryd->platform_age_ms = status->platform_age_ms;
	/* If the wall clock went back, the incarnation still has to exceed that
	   of the previous process. */
	if (!entryd->joined && status->last_incarnation > entryd->incarnation)
		entryd->incarnation = status->last_incarnation + 1;
}

static void apply_state(struct entryd *entryd,
			const struct rpcfollow_result *result)
{
	struct err err;

	if (result->snapshot &&
	    replica_install_snapshot(entryd->replica, result->snapshot,
				     result->snapshot_len, &err) == ERR_INVALID)
		log_warn("state of the fleet daemon is not valid: %s",
			 err.text);
	for (u_int i = 0; i < result->tail.records.records_len; i++) {
		const proto_record *record =
			&result->tail.records.records_val[i];

		replica_apply(entryd->replica, record->offset,
			      record->data.data_val, record->data.data_len);
	}
	if (result->has_tail)
		replica_skip_to(entryd->replica, result->tail.next);
	if (replica_next(entryd->replica) >= result->status.next)
		replica_set_ready(entryd->replica);
}

/*
 * Accepts a lease only once the replica has reached the state that it was
 * granted with: hosts may have been drained or moved since an earlier lease
 * expired.
 */
static void apply_lease(struct entryd *entryd,
			const struct rpcfollow_result *result)
{
	int64_t left_ms = result->status.lease_left_ms;

	if (left_ms > 0 &&
	    replica_next(entryd->replica) >= result->status.next &&
	    result->requested_ms + left_ms > entryd->lease_until_ms)
		entryd->lease_until_ms = result->requested_ms + left_ms;
}

static void poll_follower(struct entryd *entryd)
{
	struct rpcfollow_result result;

	if (!rpcfollow_take_result(entryd->rpcfollow, &result))
		return;
	if (result.has_status) {
		apply_status(entryd, &result);
		apply_state(entryd, &result);
		apply_lease(entryd, &result);
	}
	if (result.has_hosts)
		update_host_list(entryd, &result.hosts);
	rpcfollow_result_clear(&result);
}

static void sync_routes(struct entryd *entryd)
{
	const struct fleet *fleet = replica_state(entryd->replica);
	struct route_listed *listed;

	route_set_lease(entryd->route, now(entryd) - entryd->lease_until_ms);
	route_sync_members(entryd->route, fleet);
	if (fleet->changes == entryd->synced_changes && !entryd->list_changed)
		return;
	listed = calloc(entryd->listed_count + 1, sizeof(*listed));
	if (!listed)
		return;
	for (uint32_t i = 0; i < entryd->listed_count; i++) {
		listed[i].name = entryd->listed[i].name;
		listed[i].leaving = entryd->listed[i].leaving;
	}
	route_sync(entryd->route, fleet, entryd->list_version != 0, listed,
		   entryd->listed_count);
	entryd->synced_changes = fleet->changes;
	entryd->list_changed = false;
	free(listed);
	proxy_dispatch(entryd->proxy);
}

/*
 * A drain waits only for members. A process therefore accepts requests only
 * once it has joined, or while the platform log does not answer and no new
 * drain can be recorded.
 */
static void update_ready(struct entryd *entryd)
{
	const struct fleet_member *member = fleet_member(
		replica_state(entryd->replica), entryd->procconf->name);
	bool platform_silent = entryd->platform_age_ms < 0 ||
			       entryd->platform_age_ms > PLATFORM_SILENT_MS;
	bool ready;

	if (member && member->incarnation == entryd->incarnation)
		entryd->joined = true;
	if (entryd->joined && member &&
	    member->incarnation > entryd->incarnation && !entryd->replaced) {
		entryd->replaced = true;
		log_error("another process with the name %s has joined",
			  entryd->procconf->name);
	}
	ready = replica_ready(entryd->replica) && !entryd->replaced &&
		(entryd->joined || platform_silent);
	if (ready != entryd->ready)
		log_info(ready ? "ready, next offset %lld"
			       : "not ready, next offset %lld",
			 (long long)replica_next(entryd->replica));
	entryd->ready = ready;
}

static void set_hello(struct entryd *entryd)
{
	const struct fleet *fleet = replica_state(entryd->replica);
	uint32_t count = table_count(fleet->hosts);
	proto_quiet *quiet = calloc(count + 1, sizeof(*quiet));
	struct rpcfollow_hello hello = {
		.enabled = true,
		.name = entryd->procconf->name,
		.data_centre = entryd->procconf->data_centre,
		.incarnation = entryd->incarnation,
		.leaving = entryd->leaving,
		.next = replica_next(entryd->replica),
		.hosts_version = entryd->list_version,
		.quiet = quiet,
	};

	for (uint32_t i = 0; quiet && i < count; i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);

		if (host->state != FLEET_DRAINING ||
		    route_in_flight(entryd->route, host->name) ||
		    hello.quiet_count == PROTO_QUIET_MAX)
			continue;
		quiet[hello.quiet_count].host = (char *)host->name;
		quiet[hello.quiet_count++].drain = host->drain_offset;
	}
	rpcfollow_set_hello(entryd->rpcfollow, &hello);
	free(quiet);
}

static void set_gauges(struct entryd *entryd)
{
	int64_t lease_ms = entryd->lease_until_ms - now(entryd);

	counters_set(entryd->counters, ENTRY_ACTIVE,
		     proxy_active(entryd->proxy));
	counters_set(entryd->counters, ENTRY_READY,
		     entryd->ready && !entryd->stopping);
	counters_set(entryd->counters, ENTRY_NEXT_OFFSET,
		     replica_next(entryd->replica));
	counters_set(entryd->counters, ENTRY_LEASE_LEFT_MS,
		     lease_ms > 0 ? lease_ms : 0);
	counters_set(entryd->counters, ENTRY_STATE_AGE_MS,
		     entryd->status_ms < 0 ? -1
					   : now(entryd) - entryd->status_ms);
	counters_set(entryd->counters, ENTRY_PLATFORM_AGE_MS,
		     entryd->platform_age_ms);
}

static void set_route_counters(struct entryd *entryd)
{
	const struct route_stats *stats = route_stats(entryd->route);

	counters_set(entryd->counters, ENTRY_EJECTIONS, stats->ejections);
	counters_set(entryd->counters, ENTRY_PROBES, stats->probes);
	counters_set(entryd->counters, ENTRY_FAILURES_UNDONE,
		     stats->failures_undone);
	counters_set(entryd->counters, ENTRY_NO_FIT, stats->no_fit);
}

/*
 * Order of a stop: report not ready, so that the load balancer sends requests
 * elsewhere; accept no new connections; wait for the requests in progress;
 * leave the membership.
 */
static void check_stop(struct entryd *entryd)
{
	const struct fleet *fleet = replica_state(entryd->replica);
	const struct fleet_member *member;
	int64_t waited_ms = now(entryd) - entryd->stop_ms;

	if (!entryd->stopping)
		return;
	if (waited_ms >= entryd->procconf->stop_delay_ms)
		web_quiesce(entryd->web);
	if (!entryd->leaving) {
		if (waited_ms < entryd->procconf->stop_delay_ms ||
		    (!web_idle(entryd->web) &&
		     waited_ms < entryd->procconf->stop_delay_ms +
					 entryd->procconf->stop_grace_ms))
			return;
		entryd->leaving = true;
		entryd->leave_ms = now(entryd);
		log_info("no requests in progress, leaving");
		return;
	}
	/* A connection that is still open may have brought a request. */
	if (!web_idle(entryd->web) &&
	    waited_ms < entryd->procconf->stop_delay_ms +
				entryd->procconf->stop_grace_ms)
		return;
	member = fleet_member(fleet, entryd->procconf->name);
	if (!member || member->incarnation != entryd->incarnation ||
	    now(entryd) - entryd->leave_ms >= LEAVE_WAIT_MS)
		evloop_stop(entryd->evloop);
}

static void tick(void *arg)
{
	struct entryd *entryd = arg;

	poll_follower(entryd);
	sync_routes(entryd);
	update_ready(entryd);
	set_hello(entryd);
	set_gauges(entryd);
	set_route_counters(entryd);
	web_tick(entryd->web);
	check_stop(entryd);
}

static void respond_text(struct web_request *request, int status,
			 const char *text)
{
	static const struct web_header headers[] = {
		{ "Content-Type", "text/plain; version=0.0.4" },
		{ NULL, NULL },
	};

	web_respond(request, status, headers, text, strlen(text));
}

static void handle(void *arg, struct web_request *request)
{
	struct entryd *entryd = arg;
	bool accepting = entryd->ready && !entryd->stopping;

	if (!strcmp(request->path, "/healthz")) {
		respond_text(request, 200, "live\n");
	} else if (!strcmp(request->path, "/readyz")) {
		respond_text(request, accepting ? 200 : 503,
			     accepting ? "ready\n" : "not ready\n");
	} else if (!strcmp(request->path, "/metrics")) {
		respond_text(request, 200,
			     apr_pstrcat(request->pool,
					 counters_format(entryd->counters,
							 request->pool),
					 budget_counters_text(entryd->budget,
							      request->pool),
					 NULL));
	} else {
		counters_inc(entryd->counters, ENTRY_REQUESTS);
		/* While stopping, requests that the load balancer still sends
		   are accepted until the listener closes. */
		if (entryd->ready)
			proxy_start(entryd->proxy, request);
		else
			proxy_refuse(entryd->proxy, request, ERR_NOT_READY,
				     "no fleet state yet");
	}
}

static void web_refused(void *arg, int kind)
{
	(void)kind;
	counters_inc(((struct entryd *)arg)->counters, ENTRY_MALFORMED);
}

static void on_stop_signal(void *arg)
{
	struct entryd *entryd = arg;

	if (entryd->stopping) {
		evloop_stop(entryd->evloop);
		return;
	}
	log_info("stopping, %u requests in progress",
		 proxy_active(entryd->proxy));
	entryd->stopping = true;
	entryd->stop_ms = now(entryd);
}

static void wake(void *arg)
{
	evloop_wake(((struct entryd *)arg)->evloop);
}

static struct rpcfollow *start_follower(struct entryd *entryd)
{
	uint32_t count = entryd->procconf->peer_count;
	struct rpcfollow_target *targets = calloc(count, sizeof(*targets));
	struct rpcfollow_config config = {
		.clk = entryd->clk,
		.policy = RPCFOLLOW_FIRST,
		.targets = targets,
		.target_count = count,
		.interval_ms = LIMIT_FOLLOW_INTERVAL_MS,
		.wake = wake,
		.arg = entryd,
	};
	struct rpcfollow *rpcfollow;

	for (uint32_t i = 0; i < count; i++) {
		targets[i].address = entryd->procconf->peers[i].address;
		targets[i].port = (uint16_t)entryd->procconf->peers[i].port;
	}
	rpcfollow = rpcfollow_create(&config);
	free(targets);
	return rpcfollow;
}

static bool start_claims(struct entryd *entryd, const struct procconf *procconf)
{
	char process[LIMIT_ID_BYTES];
	struct claim_log_config config = {
		.evloop = entryd->evloop,
		.counters = entryd->counters,
		.first_counter = ENTRY_CLAIMS,
		.author = procconf->name,
		.incarnation = entryd->incarnation,
		.process = process,
		.window_ms = procconf->claim_window_ms,
		.live_members = live_members,
		.arg = entryd,
	};

	if (!procconf->platform_url[0])
		return true;
	rnd_make_id(&entryd->rnd, process);
	entryd->platclient =
		platclient_create(entryd->evloop, procconf->platform_url);
	config.platclient = entryd->platclient;
	entryd->claim_log = claim_log_create(&config);
	return entryd->claim_log != NULL;
}

static const struct web_sizes sizes = {
	.pool_bytes = LIMIT_HEAD_READ_BYTES,
	.receive_bytes = SOCKET_BYTES,
	.send_bytes = SOCKET_BYTES,
};

static struct budget *create_budget(const struct procconf *procconf)
{
	struct budget_config config = {
		.max_connections = (uint32_t)procconf->max_connections,
		.max_bytes = procconf->max_request_bytes,
		.connection_bytes = web_connection_bytes(&sizes),
		.request_bytes = WEB_REQUEST_BYTES,
		.body_copies = 1,
		.head_ms = procconf->header_timeout_ms,
		.idle_ms = procconf->idle_timeout_ms,
	};

	budget_derive(&config, procconf->memory_mb << 20,
		      procconf->max_fds ? procconf->max_fds : web_max_fds());
	log_info("bounds max_connections=%u max_request_bytes=%lld",
		 config.max_connections, (long long)config.max_bytes);
	return budget_create(&config);
}

static int create(struct entryd *entryd, apr_pool_t *pool, struct err *err)
{
	struct web_config web = {
		.address = entryd->procconf->address,
		.port = (uint16_t)entryd->procconf->http_port,
		.max_body_bytes = (size_t)entryd->procconf->max_body_bytes,
		.sizes = sizes,
		.on_request = handle,
		.on_refused = web_refused,
		.arg = entryd,
	};
	struct proxy_config proxy = {
		.remote_allowed = remote_allowed,
		.quota = quota,
#ifdef PLANK_QUEUE_BASELINE
		.policy = &admit_round_robin, /* baseline of the benchmark */
#endif
		.arg = entryd,
		.first_counter = ENTRY_PROXY,
	};

	entryd->clk = clk_system();
	entryd->incarnation = clk_wall_ms(entryd->clk);
	/* No lease is held at the start. */
	entryd->lease_until_ms = now(entryd);
	entryd->status_ms = -1;
	entryd->platform_age_ms = -1;
	rnd_init(&entryd->rnd, rnd_system_seed());
	entryd->counters =
		counters_create(pool, entry_counters, ENTRY_COUNTER_COUNT);
	entryd->evloop = evloop_create(entryd->clk);
	entryd->replica = replica_create();
	entryd->route =
		route_create(entryd->procconf->name,
			     entryd->procconf->data_centre, &entryd->rnd);
	proxy.evloop = entryd->evloop;
	proxy.route = entryd->route;
	proxy.counters = entryd->counters;
	if (!start_claims(entryd, entryd->procconf))
		return err_set(err, ERR_NO_MEMORY, "out of memory");
	if (entryd->claim_log)
		proxy.claims = claim_log_claims(entryd->claim_log);
	entryd->proxy = proxy_create(&proxy);
	entryd->budget = create_budget(entryd->procconf);
	web.budget = entryd->budget;
	entryd->web = web_create(entryd->evloop, &web, err);
	if (!entryd->web)
		return err->kind;
	entryd->rpcfollow = start_follower(entryd);
	if (!entryd->rpcfollow)
		return err_set(err, ERR_INTERNAL, "cannot start a thread");
	return 0;
}

static void destroy(struct entryd *entryd)
{
	rpcfollow_destroy(entryd->rpcfollow);
	web_destroy(entryd->web);
	budget_destroy(entryd->budget);
	platclient_destroy(entryd->platclient);
	claim_log_destroy(entryd->claim_log);
	evloop_destroy(entryd->evloop);
	proxy_destroy(entryd->proxy);
	route_destroy(entryd->route);
	replica_destroy(entryd->replica);
	free(entryd->listed);
}

int main(int argc, char **argv)
{
	struct err err = { .kind = ERR_OK };
	struct entryd entryd = { 0 };
	struct cmd_daemon args = { 0 };
	apr_pool_t *pool;
	struct procconf *procconf;
	int status = cmd_parse_daemon_args(argc, argv, "plank-entryd", &args);

	if (status != CMD_RUN)
		return status;
	apr_initialize();
	apr_pool_create(&pool, NULL);
	log_init("plank-entryd", args.quiet);
	procconf = procconf_load(args.settings_path, PROCCONF_ENTRY, &err);
	if (!procconf || args.check_only) {
		status = cmd_print_settings_result(procconf != NULL, &err);
		procconf_destroy(procconf);
		return status;
	}
	entryd.procconf = procconf;
	status = create(&entryd, pool, &err);
	if (status == 0) {
		evloop_on_stop_signal(entryd.evloop, on_stop_signal, &entryd);
		log_info("%s in %s: serving callers on port %lld",
			 procconf->name, procconf->data_centre,
			 (long long)procconf->http_port);
		evloop_add_timer(entryd.evloop, LIMIT_TICK_MS, tick, &entryd);
		evloop_run(entryd.evloop);
		log_info("stopped");
	} else {
		log_error("%s", err.text);
	}
	destroy(&entryd);
	procconf_destroy(procconf);
	apr_terminate();
	return err_answer(status)->exit_code;
}
