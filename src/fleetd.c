/*
 * plank-fleetd: replicates the fleet state from the platform log, proposes
 * changes to it, and serves it to operators, entry daemons and peers.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>

#include "admin.h"
#include "cmd.h"
#include "procconf.h"
#include "counters.h"
#include "evloop.h"
#include "follow.h"
#include "hostlist.h"
#include "jcursor.h"
#include "log.h"
#include "member.h"
#include "plan.h"
#include "platclient.h"
#include "propose.h"
#include "reboot.h"
#include "rnd.h"
#include "replica.h"
#include "rpcserver.h"
#include "web.h"

enum counter {
	C_RECORDS_APPLIED,
	C_RECORDS_REFUSED,
	C_RECORDS_DUPLICATE,
	C_RECORDS_INVALID,
	C_SNAPSHOTS_INVALID,
	C_REQUESTS,
	C_REQUESTS_REFUSED,
	C_RPC_REFUSED,
	C_NEXT_OFFSET,
	C_READY,
	C_PLATFORM_OK,
	C_PLATFORM_AGE_MS,
	C_HOST_LIST_AGE_MS,
	C_RETENTION_GAP,
	C_RECORD_BYTES,
	C_PROPOSALS,
	C_COUNT
};

static const struct counters_def counters[C_COUNT] = {
	[C_RECORDS_APPLIED] = { "records_applied_total", COUNTERS_COUNTER,
				"Records that were accepted." },
	[C_RECORDS_REFUSED] = { "records_refused_total", COUNTERS_COUNTER,
				"Valid records that were refused." },
	[C_RECORDS_DUPLICATE] = { "records_duplicate_total", COUNTERS_COUNTER,
				  "Records that had been applied before." },
	[C_RECORDS_INVALID] = { "records_invalid_total", COUNTERS_COUNTER,
				"Records that could not be parsed." },
	[C_SNAPSHOTS_INVALID] = { "snapshots_invalid_total", COUNTERS_COUNTER,
				  "Snapshots or parts of one that were not "
				  "valid." },
	[C_REQUESTS] = { "operator_requests_total", COUNTERS_COUNTER,
			 "Requests of operators and probes." },
	[C_REQUESTS_REFUSED] = { "operator_requests_refused_total",
				 COUNTERS_COUNTER,
				 "Requests that were answered with an error." },
	[C_RPC_REFUSED] = { "rpc_refused_total", COUNTERS_COUNTER,
			    "RPC calls that could not be decoded." },
	[C_NEXT_OFFSET] = { "next_offset", COUNTERS_GAUGE,
			    "Offset of the next record to apply." },
	[C_READY] = { "ready", COUNTERS_GAUGE, "1 if there is a fleet state." },
	[C_PLATFORM_OK] = { "platform_ok", COUNTERS_GAUGE,
			    "1 if the platform log answers." },
	[C_PLATFORM_AGE_MS] = { "platform_age_ms", COUNTERS_GAUGE,
				"Time since the log answered; -1: never." },
	[C_HOST_LIST_AGE_MS] = { "host_list_age_ms", COUNTERS_GAUGE,
				 "Time since the host list was read; "
				 "-1: never." },
	[C_RETENTION_GAP] = { "retention_gap", COUNTERS_GAUGE,
			      "1 if records still to be read have "
			      "passed retention." },
	[C_RECORD_BYTES] = { "record_bytes", COUNTERS_GAUGE,
			     "Bytes of records and snapshots read." },
	[C_PROPOSALS] = { "proposals", COUNTERS_GAUGE,
			  "Proposals in progress." },
};

enum {
	/* Exceeds the number of entry daemons that may fail over to this
	   daemon. */
	MAX_ENTRIES = 256,
	ENTRY_KEEP_MS = 60000
};

struct fleetd {
	const struct procconf *procconf;
	struct evloop *evloop;
	const struct clk *clk;
	struct rnd rnd;
	struct counters *counters;
	struct platclient *platclient;
	struct replica *replica;
	struct propose *propose;
	struct follow *follow;
	struct hostlist *hostlist;
	struct member *member;
	struct plan *plan;
	struct reboot *reboot;
	struct admin *admin;
	struct web *web;
	struct rpcserver *rpcserver;
	struct table *entries; /* calling entry daemons: struct member_entry */
	struct table *leases;  /* struct lease */
	bool stopping;
	int64_t stop_ms;
};

/* Right of an entry daemon to send to other data centres. */
struct lease {
	char name[LIMIT_NAME_BYTES];
	int64_t incarnation;
	int64_t until_ms;
};

static void on_applied(void *arg, int64_t offset, const struct record *rec,
		       const struct err *result)
{
	static const enum counter by_result[] = { C_RECORDS_REFUSED,
						  C_RECORDS_APPLIED };
	struct fleetd *fleetd = arg;

	if (!rec) {
		counters_inc(fleetd->counters, C_RECORDS_INVALID);
		log_warn("record at offset %lld is not valid: %s",
			 (long long)offset, result->text);
		return;
	}
	if (result->kind == ERR_DUPLICATE)
		counters_inc(fleetd->counters, C_RECORDS_DUPLICATE);
	else
		counters_inc(fleetd->counters,
			     by_result[result->kind == ERR_OK]);
	admin_observe(fleetd->admin, offset, rec, result);
	propose_observe(fleetd->propose, offset, rec, result);
}

/*
 * An entry daemon that starts calls several fleet daemons, and each proposes a
 * heartbeat for it. All but the first of these are refused as outdated, or
 * cannot be distinguished from duplicates. Such a refusal leaves no lease with
 * this daemon, so the heartbeat is proposed again. One that could not be
 * appended has already been retried for LIMIT_CHANGE_TIMEOUT_MS.
 */
static void repeat_heartbeats(struct fleetd *fleetd)
{
	int64_t now_ms = clk_now_ms(fleetd->clk);

	for (uint32_t i = 0; i < table_count(fleetd->leases); i++) {
		const struct lease *lease = table_at(fleetd->leases, i);

		if (lease->until_ms <= now_ms)
			member_repeat_heartbeat(fleetd->member, lease->name);
	}
}

/*
 * Called with the result of a heartbeat. If it was read back from the log, the
 * lease runs from the time before its append.
 */
static void heartbeat_done(void *arg, const struct err *result, int64_t offset,
			   int64_t created_ms)
{
	struct fleetd *fleetd = arg;

	if (result->kind != ERR_OK) {
		repeat_heartbeats(fleetd);
		return;
	}
	for (uint32_t i = 0; i < table_count(fleetd->leases); i++) {
		struct lease *lease = table_at(fleetd->leases, i);
		const struct fleet_member *member = fleet_member(
			replica_state(fleetd->replica), lease->name);

		if (member && member->incarnation == lease->incarnation &&
		    member->seen_offset == offset)
			lease->until_ms =
				created_ms + fleetd->procconf->lease_ms;
	}
}

static void propose(void *arg, const char *key, struct record *rec)
{
	struct fleetd *fleetd = arg;
	bool heartbeat = rec->type == RECORD_MEMBER;

	propose_submit(fleetd->propose, key, rec, LIMIT_CHANGE_TIMEOUT_MS,
		       heartbeat ? heartbeat_done : NULL, fleetd);
}

static void update_entry(struct fleetd *fleetd, const proto_hello *hello)
{
	struct member_entry *entry = table_find(fleetd->entries, hello->name);

	if (!entry && table_count(fleetd->entries) < MAX_ENTRIES)
		entry = table_add(fleetd->entries, hello->name);
	if (!entry)
		return;
	free(entry->quiet);
	entry->quiet =
		calloc(hello->quiet.quiet_len + 1, sizeof(*entry->quiet));
	entry->quiet_count = entry->quiet ? hello->quiet.quiet_len : 0;
	for (uint32_t i = 0; i < entry->quiet_count; i++) {
		const proto_quiet *quiet = &hello->quiet.quiet_val[i];

		apr_cpystrn(entry->quiet[i].host, quiet->host,
			    LIMIT_NAME_BYTES);
		entry->quiet[i].drain = quiet->drain;
	}
	apr_cpystrn(entry->data_centre, hello->data_centre, LIMIT_NAME_BYTES);
	entry->incarnation = hello->incarnation;
	entry->leaving = hello->leaving;
	entry->last_call_ms = clk_now_ms(fleetd->clk);
}

/*
 * Removes entry daemons that have not called for ENTRY_KEEP_MS, and their
 * leases.
 */
static void remove_silent_entries(struct fleetd *fleetd)
{
	int64_t now_ms = clk_now_ms(fleetd->clk);

	for (uint32_t i = table_count(fleetd->entries); i-- > 0;) {
		struct member_entry *entry = table_at(fleetd->entries, i);

		if (now_ms - entry->last_call_ms < ENTRY_KEEP_MS)
			continue;
		table_remove(fleetd->leases, entry->name);
		free(entry->quiet);
		table_remove(fleetd->entries, entry->name);
	}
}

static int64_t lease_left_ms(struct fleetd *fleetd, const proto_hello *hello)
{
	struct lease *lease = table_find(fleetd->leases, hello->name);
	int64_t left_ms;

	if (!lease && table_find(fleetd->entries, hello->name))
		lease = table_add(fleetd->leases, hello->name);
	if (!lease)
		return 0;
	if (lease->incarnation != hello->incarnation) {
		lease->incarnation = hello->incarnation;
		lease->until_ms = 0;
	}
	left_ms = lease->until_ms - clk_now_ms(fleetd->clk);
	return left_ms > 0 ? left_ms : 0;
}

static void fill_status(void *arg, const proto_hello *hello,
			proto_status *status)
{
	struct fleetd *fleetd = arg;
	const struct fleet_member *member =
		fleet_member(replica_state(fleetd->replica), hello->name);
	struct follow_status follower;

	follow_get_status(fleetd->follow, &follower);
	*status = (proto_status){
		.name = (char *)fleetd->procconf->name,
		.data_centre = (char *)fleetd->procconf->data_centre,
		.ready = replica_ready(fleetd->replica),
		.next = replica_next(fleetd->replica),
		.hosts_version = hostlist_version(
			fleetd->hostlist, replica_state(fleetd->replica)),
		.platform_age_ms = follower.platform_age_ms,
		.last_incarnation = member ? member->incarnation : -1,
	};
	if (!jcursor_valid_name(hello->name) ||
	    !jcursor_valid_name(hello->data_centre))
		return;
	update_entry(fleetd, hello);
	status->lease_left_ms = lease_left_ms(fleetd, hello);
}

static void fill_hosts(void *arg, proto_hosts *hosts)
{
	struct fleetd *fleetd = arg;
	uint32_t count;

	hosts->list_version = hostlist_version(fleetd->hostlist,
					       replica_state(fleetd->replica));
	hosts->hosts.hosts_val = hostlist_rows(
		fleetd->hostlist, replica_state(fleetd->replica), &count);
	hosts->hosts.hosts_len = count;
}

static void rpc_refused(void *arg)
{
	counters_inc(((struct fleetd *)arg)->counters, C_RPC_REFUSED);
}

static void handle(void *arg, struct web_request *request)
{
	struct fleetd *fleetd = arg;

	counters_inc(fleetd->counters, C_REQUESTS);
	admin_handle(fleetd->admin, request);
}

static void web_refused(void *arg, int kind)
{
	(void)kind;
	counters_inc(((struct fleetd *)arg)->counters, C_REQUESTS_REFUSED);
}

static void set_gauges(struct fleetd *fleetd)
{
	struct follow_status status;

	follow_get_status(fleetd->follow, &status);
	counters_set(fleetd->counters, C_NEXT_OFFSET,
		     replica_next(fleetd->replica));
	counters_set(fleetd->counters, C_READY, replica_ready(fleetd->replica));
	counters_set(fleetd->counters, C_PLATFORM_OK, status.platform_ok);
	counters_set(fleetd->counters, C_PLATFORM_AGE_MS,
		     status.platform_age_ms);
	counters_set(fleetd->counters, C_HOST_LIST_AGE_MS,
		     hostlist_age_ms(fleetd->hostlist));
	counters_set(fleetd->counters, C_RETENTION_GAP, status.gap);
	counters_set(fleetd->counters, C_SNAPSHOTS_INVALID,
		     status.snapshots_invalid);
	counters_set(fleetd->counters, C_RECORD_BYTES, status.bytes_read);
	counters_set(fleetd->counters, C_PROPOSALS,
		     propose_count(fleetd->propose));
}

/*
 * A stop waits up to stop_grace_ms for operators' requests in progress; new
 * ones are refused.
 */
static void check_stop(struct fleetd *fleetd)
{
	int64_t waited_ms = clk_now_ms(fleetd->clk) - fleetd->stop_ms;

	if (!fleetd->stopping)
		return;
	if (web_idle(fleetd->web) ||
	    waited_ms >= fleetd->procconf->stop_grace_ms)
		evloop_stop(fleetd->evloop);
}

static void tick(void *arg)
{
	struct fleetd *fleetd = arg;
	struct member_input input = {
		.fleet = replica_state(fleetd->replica),
		.now_ms = clk_now_ms(fleetd->clk),
		.entries = fleetd->entries,
	};
	struct plan_input plan = {
		.now_ms = input.now_ms,
		.utc_ms = clk_wall_ms(fleetd->clk),
	};
	struct follow_status follower;

	follow_tick(fleetd->follow);
	follow_get_status(fleetd->follow, &follower);
	input.log_followed = follower.platform_ok;
	hostlist_tick(fleetd->hostlist, replica_next(fleetd->replica));
	propose_tick(fleetd->propose);
	input.fleet = replica_state(fleetd->replica);
	input.hosts = hostlist_workers(fleetd->hostlist, &input.host_count);
	input.hosts_age_ms = hostlist_age_ms(fleetd->hostlist);
	input.list_count = hostlist_read_count(fleetd->hostlist);
	plan.fleet = input.fleet;
	if (replica_ready(fleetd->replica))
		member_tick(fleetd->member, &input);
	remove_silent_entries(fleetd);
	/* Without the log the state is outdated and no proposal can be read
	   back. */
	if (replica_ready(fleetd->replica) && follower.platform_ok &&
	    !fleetd->stopping) {
		plan_tick(fleetd->plan, &plan);
		reboot_tick(fleetd->reboot, plan.fleet, plan.now_ms);
	}
	set_gauges(fleetd);
	check_stop(fleetd);
}

static void on_stop_signal(void *arg)
{
	struct fleetd *fleetd = arg;

	if (fleetd->stopping) {
		evloop_stop(fleetd->evloop);
		return;
	}
	log_info("stopping");
	fleetd->stopping = true;
	fleetd->stop_ms = clk_now_ms(fleetd->clk);
	web_quiesce(fleetd->web);
}

static int start_servers(struct fleetd *fleetd, struct err *err)
{
	struct admin_config admin = {
		.procconf = fleetd->procconf,
		.clk = fleetd->clk,
		.replica = fleetd->replica,
		.follow = fleetd->follow,
		.hostlist = fleetd->hostlist,
		.propose = fleetd->propose,
		.counters = fleetd->counters,
		.stopping = &fleetd->stopping,
		.refused_counter = C_REQUESTS_REFUSED,
	};
	struct web_config web = {
		.address = fleetd->procconf->address,
		.port = (uint16_t)fleetd->procconf->http_port,
		.max_body_bytes = LIMIT_SETTINGS_BYTES * 2,
		.on_request = handle,
		.on_refused = web_refused,
		.arg = fleetd,
	};
	struct rpcserver_config rpcserver = {
		.address = fleetd->procconf->address,
		.port = (uint16_t)fleetd->procconf->rpc_port,
		.replica = fleetd->replica,
		.status = fill_status,
		.hosts = fill_hosts,
		.refused = rpc_refused,
		.arg = fleetd,
	};

	fleetd->admin = admin_create(&admin);
	fleetd->web = web_create(fleetd->evloop, &web, err);
	if (!fleetd->web)
		return err->kind;
	fleetd->rpcserver = rpcserver_create(fleetd->evloop, &rpcserver, err);
	return fleetd->rpcserver ? 0 : err->kind;
}

static void create_core(struct fleetd *fleetd, apr_pool_t *pool)
{
	struct member_config member = {
		.name = fleetd->procconf->name,
		.address = fleetd->procconf->address,
		.rpc_port = fleetd->procconf->rpc_port,
		.heartbeat_ms = fleetd->procconf->heartbeat_ms,
		.expire_ms = fleetd->procconf->expire_ms,
		.propose = propose,
		.arg = fleetd,
	};
	struct plan_config plan = {
		.name = fleetd->procconf->name,
		.propose = propose,
		.arg = fleetd,
	};

	fleetd->clk = clk_system();
	rnd_init(&fleetd->rnd, rnd_system_seed());
	fleetd->counters = counters_create(pool, counters, C_COUNT);
	fleetd->evloop = evloop_create(fleetd->clk);
	fleetd->platclient = platclient_create(fleetd->evloop,
					       fleetd->procconf->platform_url);
	fleetd->replica = replica_create();
	replica_on_applied(fleetd->replica, on_applied, fleetd);
	fleetd->propose = propose_create(fleetd->clk, fleetd->platclient,
					 &fleetd->rnd, fleetd->procconf->name);
	fleetd->hostlist = hostlist_create(fleetd->evloop, fleetd->platclient);
	fleetd->member = member_create(&member);
	fleetd->plan = plan_create(&plan);
	fleetd->reboot =
		reboot_create(fleetd->platclient, fleetd->procconf->name);
	fleetd->follow =
		follow_create(fleetd->evloop, fleetd->platclient,
			      fleetd->replica, &fleetd->rnd, fleetd->procconf);
	fleetd->entries = table_create(sizeof(struct member_entry));
	fleetd->leases = table_create(sizeof(struct lease));
}

static void destroy(struct fleetd *fleetd)
{
	rpcserver_destroy(fleetd->rpcserver);
	web_destroy(fleetd->web);
	admin_destroy(fleetd->admin);
	follow_destroy(fleetd->follow);
	member_destroy(fleetd->member);
	plan_destroy(fleetd->plan);
	hostlist_destroy(fleetd->hostlist);
	platclient_destroy(fleetd->platclient);
	reboot_destroy(fleetd->reboot);
	propose_destroy(fleetd->propose);
	replica_destroy(fleetd->replica);
	for (uint32_t i = 0; i < table_count(fleetd->entries); i++)
		free(((struct member_entry *)table_at(fleetd->entries, i))
			     ->quiet);
	table_destroy(fleetd->entries);
	table_destroy(fleetd->leases);
	evloop_destroy(fleetd->evloop);
}

int main(int argc, char **argv)
{
	struct err err = { .kind = ERR_OK };
	struct fleetd fleetd = { 0 };
	struct cmd_daemon args = { 0 };
	apr_pool_t *pool;
	struct procconf *procconf;
	int status = cmd_parse_daemon_args(argc, argv, "plank-fleetd", &args);

	if (status != CMD_RUN)
		return status;
	apr_initialize();
	apr_pool_create(&pool, NULL);
	log_init("plank-fleetd", args.quiet);
	procconf = procconf_load(args.settings_path, PROCCONF_FLEET, &err);
	if (!procconf || args.check_only) {
		status = cmd_print_settings_result(procconf != NULL, &err);
		procconf_destroy(procconf);
		return status;
	}
	fleetd.procconf = procconf;
	create_core(&fleetd, pool);
	evloop_on_stop_signal(fleetd.evloop, on_stop_signal, &fleetd);
	status = start_servers(&fleetd, &err);
	if (status == 0) {
		log_info("%s in %s: serving operators on port %lld, RPC on "
			 "port %lld",
			 procconf->name, procconf->data_centre,
			 (long long)procconf->http_port,
			 (long long)procconf->rpc_port);
		evloop_add_timer(fleetd.evloop, LIMIT_TICK_MS, tick, &fleetd);
		evloop_run(fleetd.evloop);
		log_info("stopped");
	} else {
		log_error("%s", err.text);
	}
	destroy(&fleetd);
	procconf_destroy(procconf);
	apr_terminate();
	return err_answer(status)->exit_code;
}
