#include "session.h"

#include <inttypes.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "fleet.h"
#include "member.h"
#include "rnd.h"
#include "replica.h"
#include "fleet_text.h"

enum {
	MAX_ENTRIES = 6,
	MAX_RECORDS = 2000,
	MAX_HELD_APPENDS = 16,
	MAX_PENDING = 32,
	STEP_MS = 1000,
	PROPOSAL_TIMEOUT_MS = LIMIT_CHANGE_TIMEOUT_MS,
	HASH_INTERVAL_RECORDS = 64, /* between comparisons of replicas */
	LINE_BYTES = 512
};

/* A proposal that the entry host has not yet read back from the log. */
struct pending {
	char key[3 * LIMIT_NAME_BYTES];
	char id[LIMIT_ID_BYTES];
	int64_t since_ms;
};

struct entry {
	char name[LIMIT_NAME_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	struct session *session;
	int64_t incarnation;
	bool up, paused, joined, ready, leaving, lose_response, hold_appends;
	int32_t max_step_records; /* -1: no limit */
	int64_t lease_until_ms;
	bool lease_expired;
	struct replica *replica;
	struct member *member;
	struct table *in_flight;   /* struct load, by host */
	struct table *own_entries; /* struct member_entry of this host only */
	uint32_t held_count;
	char *held[MAX_HELD_APPENDS];
	uint32_t pending_count;
	struct pending pending[MAX_PENDING];
};

/* Requests in flight at a worker host. */
struct load {
	char name[LIMIT_NAME_BYTES];
	uint32_t count;
};

/* A data centre that is partitioned from the platform. */
struct partition {
	char name[LIMIT_NAME_BYTES];
};

/* A record in the log, with the fields that entry hosts match on reading. */
struct log_record {
	char *text;
	size_t len;
	char id[LIMIT_ID_BYTES];
	char heartbeat_of[LIMIT_NAME_BYTES]; /* empty: another record */
	int64_t incarnation;
	int64_t at_ms;
};

struct session {
	uint32_t guards_off;
	uint32_t promises;
	FILE *out;
	struct session_result *result;
	struct oracle *oracle;
	int64_t now_ms;
	bool state_changed; /* since the last check_instant */
	uint32_t last_id;
	int64_t last_incarnation;
	struct replica *head;	 /* applies each record as it is stored */
	struct err apply_result; /* of the last record applied */
	int64_t count;		 /* records in the log */
	struct log_record log[MAX_RECORDS];
	struct table *partitions;
	char *snapshot;
	size_t snapshot_len;
	uint32_t entry_count;
	struct entry entries[MAX_ENTRIES];
};

static const char *const guard_names[GUARD_COUNT] = {
	[GUARD_BUDGET] = "budget",
	[GUARD_IN_FLIGHT] = "in-flight",
	[GUARD_DRAINING] = "draining",
	[GUARD_LEASE] = "lease",
	[GUARD_CAUGHT_UP] = "caught-up",
	[GUARD_ALL_QUIET] = "all-quiet",
	[GUARD_LOCAL] = "local",
	[GUARD_SEEN] = "seen",
	[GUARD_JOINED] = "joined",
	[GUARD_BASE] = "base",
	[GUARD_IDS] = "ids",
	[GUARD_TAIL] = "tail",
	[GUARD_MOVE] = "move",
	[GUARD_EVERY] = "every",
	[GUARD_RAISE] = "raise",
	[GUARD_SNAPSHOT] = "snapshot",
	[GUARD_CUT_OFF] = "cut-off",
};

const char *session_guard_name(int guard)
{
	return guard < GUARD_COUNT ? guard_names[guard] : NULL;
}

static bool is_guard_off(const struct session *session,
			 enum session_guard guard)
{
	return session->guards_off & 1u << guard;
}

/* The state of a replica, writable so that guards can be bypassed. */
static struct fleet *mutable_state(const struct replica *replica)
{
	return (struct fleet *)replica_state(replica);
}

static void store_result(void *arg, int64_t offset, const struct record *rec,
			 const struct err *result)
{
	(void)offset;
	(void)rec;
	((struct session *)arg)->apply_result = *result;
}

static struct replica *create_replica(struct session *session)
{
	struct replica *replica = replica_create();

	replica_on_applied(replica, store_result, session);
	return replica;
}

/* Moves hosts to their pools in the settings that are about to be applied. */
static void bypass_move_guard(struct fleet *fleet, const struct record *rec)
{
	struct teamconf *settings =
		teamconf_parse(rec->settings, strlen(rec->settings), NULL);

	for (uint32_t i = 0; settings && i < table_count(fleet->hosts); i++) {
		struct fleet_host *host = table_at(fleet->hosts, i);
		const struct teamconf_pool *pool =
			teamconf_pool_of(settings, host->name);

		if (pool && !strcmp(host->team, rec->team))
			snprintf(host->pool, sizeof(host->pool), "%s",
				 pool->name);
	}
	teamconf_destroy(settings);
}

/* Sets the budgets in force to the new ones, so that no raise is detected. */
static void bypass_raise_guard(const struct fleet_team *team,
			       const struct record *rec)
{
	struct teamconf *settings =
		teamconf_parse(rec->settings, strlen(rec->settings), NULL);

	for (uint32_t i = 0; settings && i < team->settings->pool_count; i++) {
		struct teamconf_pool *pool = &team->settings->pools[i];
		const struct teamconf_pool *next =
			teamconf_find_pool(settings, pool->name);

		if (next)
			pool->min_available = next->min_available;
	}
	teamconf_destroy(settings);
}

/* Changes a record so that a replica behaves as if it lacked the guards. */
static void bypass_record_guards(const struct session *session,
				 struct fleet *fleet, int64_t offset,
				 struct record *rec)
{
	const struct fleet_team *team = fleet_team(fleet, rec->team);
	const struct fleet_member *member = fleet_member(fleet, rec->member);

	if (is_guard_off(session, GUARD_BASE) && rec->type == RECORD_SETTINGS)
		rec->base = team ? team->version : FLEET_NONE;
	if (is_guard_off(session, GUARD_MOVE) && rec->type == RECORD_SETTINGS &&
	    team && rec->base == team->version)
		bypass_move_guard(fleet, rec);
	if (is_guard_off(session, GUARD_RAISE) &&
	    rec->type == RECORD_SETTINGS && team && rec->base == team->version)
		bypass_raise_guard(team, rec);
	if (is_guard_off(session, GUARD_SEEN) &&
	    rec->type == RECORD_MEMBER_EXPIRED && member)
		rec->seen = member->seen_offset;
	if (is_guard_off(session, GUARD_IDS))
		snprintf(rec->id, sizeof(rec->id), "%032" PRIx64, offset);
}

/* Ends drains that only disabled guards would still hold back. */
static void bypass_drain_guards(const struct session *session,
				struct fleet *fleet)
{
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		struct fleet_host *host = table_at(fleet->hosts, i);
		bool live_members_quiet = true;

		if (host->state != FLEET_DRAINING)
			continue;
		for (uint32_t k = 0; k < table_count(fleet->members); k++) {
			const struct fleet_member *member =
				table_at(fleet->members, k);

			live_members_quiet =
				live_members_quiet &&
				(member->expired ||
				 member->join_offset > host->drain_offset ||
				 fleet_drain_confirmed(host, member));
		}
		if ((is_guard_off(session, GUARD_ALL_QUIET) &&
		     host->quiet_count) ||
		    (is_guard_off(session, GUARD_LOCAL) && live_members_quiet))
			host->state = FLEET_DRAINED;
	}
}

static void report_state_hash(struct session *session,
			      const struct replica *replica, const char *name)
{
	oracle_state_hash(session->oracle, name, replica_next(replica),
			  fleet_text_hash(replica_state(replica)));
}

/* Applies the record at an offset to a replica without the disabled guards. */
static int apply_at(struct session *session, struct replica *replica,
		    int64_t offset)
{
	const struct log_record *log_record = &session->log[offset];
	struct fleet *fleet = mutable_state(replica);
	struct record rec;
	char *text;

	if (!session->guards_off) {
		replica_apply(replica, offset, log_record->text,
			      log_record->len);
		return session->apply_result.kind;
	}
	if (record_parse(&rec, log_record->text, log_record->len, NULL) < 0)
		abort();
	bypass_record_guards(session, fleet, offset, &rec);
	text = record_encode(&rec);
	replica_apply(replica, offset, text, strlen(text));
	free(text);
	if (is_guard_off(session, GUARD_BUDGET) &&
	    session->apply_result.kind == ERR_BUDGET &&
	    rec.type == RECORD_DRAIN) {
		struct fleet_host *host = fleet_host(fleet, rec.host);

		host->state = FLEET_DRAINING;
		host->drain_offset = offset;
		session->apply_result.kind = ERR_OK;
	}
	if (is_guard_off(session, GUARD_ALL_QUIET) ||
	    is_guard_off(session, GUARD_LOCAL))
		bypass_drain_guards(session, fleet);
	record_clear(&rec);
	return session->apply_result.kind;
}

static void print_event(struct session *session, const char *what,
			const char *result)
{
	if (session->out)
		fprintf(session->out, "%s -> %s\n", what, result);
}

static void report_hosts(struct session *session)
{
	const struct fleet *fleet = replica_state(session->head);

	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);

		oracle_observe(session->oracle, host->name,
			       fleet_host_state_name(host->state), host->team,
			       host->pool);
	}
}

/* Stores a record; every replica has the same result at its offset. */
static void append(struct session *session, const char *text)
{
	int64_t offset = session->count;
	struct log_record *log_record = &session->log[offset];
	char what[LINE_BYTES];
	struct record rec;
	int status;

	if (session->count == MAX_RECORDS)
		return;
	if (record_parse(&rec, text, strlen(text), NULL) < 0)
		abort();
	session->state_changed = true;
	session->count++;
	log_record->text = strdup(text);
	log_record->len = strlen(text);
	log_record->incarnation = rec.incarnation;
	log_record->at_ms = rec.at_ms;
	memcpy(log_record->id, rec.id, sizeof(log_record->id));
	if (rec.type == RECORD_MEMBER)
		memcpy(log_record->heartbeat_of, rec.member, LIMIT_NAME_BYTES);
	status = apply_at(session, session->head, offset);
	oracle_record(session->oracle, offset, &rec, status);
	if (session->count % HASH_INTERVAL_RECORDS == 0)
		report_state_hash(session, session->head, "log");
	report_hosts(session);
	session->result->records++;
	session->result->accepted += status == 0;
	snprintf(what, sizeof(what), "  %" PRId64 " %s %s%s%s by %s", offset,
		 record_type_name(rec.type), rec.team, rec.host,
		 rec.type == RECORD_QUIET ? "" : rec.member, rec.author);
	if (rec.type != RECORD_MEMBER || status == 0)
		print_event(session, what,
			    status ? err_name(status) : "accepted");
	record_clear(&rec);
}

static void append_record(struct session *session, struct record *rec,
			  const char *author)
{
	char *text;

	snprintf(rec->id, sizeof(rec->id), "%032x", ++session->last_id);
	snprintf(rec->author, sizeof(rec->author), "%s", author);
	rec->at_ms = session->now_ms;
	text = record_encode(rec);
	append(session, text);
	free(text);
}

static bool reaches_log(const struct entry *entry)
{
	return !table_find(entry->session->partitions, entry->data_centre);
}

static void propose(void *arg, const char *key, struct record *rec)
{
	struct entry *entry = arg;
	struct session *session = entry->session;
	struct pending *pending;
	char *text;

	for (uint32_t i = 0; i < entry->pending_count; i++)
		if (!strcmp(entry->pending[i].key, key))
			return;
	if (entry->pending_count == MAX_PENDING || !reaches_log(entry))
		return;
	snprintf(rec->id, sizeof(rec->id), "%032x", ++session->last_id);
	memcpy(rec->author, entry->name, sizeof(rec->author));
	rec->at_ms = session->now_ms;
	pending = &entry->pending[entry->pending_count++];
	snprintf(pending->key, sizeof(pending->key), "%s", key);
	memcpy(pending->id, rec->id, sizeof(pending->id));
	pending->since_ms = session->now_ms;
	text = record_encode(rec);
	if (entry->hold_appends && entry->held_count < MAX_HELD_APPENDS) {
		entry->held[entry->held_count++] = text;
		return;
	}
	append(session, text);
	if (entry->lose_response)
		append(session, text);
	entry->lose_response = false;
	free(text);
}

static void start_process(struct session *session, struct entry *entry)
{
	struct member_config config = {
		.name = entry->name,
		.address = "127.0.0.1",
		.rpc_port = 1,
		.heartbeat_ms = LIMIT_HEARTBEAT_MS,
		.expire_ms = LIMIT_EXPIRE_MS,
		.propose = propose,
		.arg = entry,
	};
	struct member_entry *own_entry;

	entry->session = session;
	entry->up = true;
	entry->max_step_records = -1;
	entry->incarnation = ++session->last_incarnation;
	entry->replica = create_replica(session);
	if (session->snapshot)
		replica_install_snapshot(entry->replica, session->snapshot,
					 session->snapshot_len, NULL);
	entry->member = member_create(&config);
	entry->in_flight = table_create(sizeof(struct load));
	entry->own_entries = table_create(sizeof(struct member_entry));
	own_entry = table_add(entry->own_entries, entry->name);
	memcpy(own_entry->data_centre, entry->data_centre,
	       sizeof(own_entry->data_centre));
	own_entry->incarnation = entry->incarnation;
}

static void end_process(struct entry *entry)
{
	struct member_entry *own_entry = table_at(entry->own_entries, 0);
	struct entry next = { 0 };

	replica_destroy(entry->replica);
	member_destroy(entry->member);
	free(own_entry->quiet);
	table_destroy(entry->in_flight);
	table_destroy(entry->own_entries);
	for (uint32_t i = 0; i < entry->held_count; i++)
		free(entry->held[i]);
	memcpy(next.name, entry->name, sizeof(next.name));
	memcpy(next.data_centre, entry->data_centre, sizeof(next.data_centre));
	*entry = next;
}

static void restart(struct entry *entry)
{
	struct session *session = entry->session;

	oracle_crash(session->oracle, entry->name);
	end_process(entry);
	start_process(session, entry);
}

static bool is_local(const struct entry *entry, const struct fleet_host *host)
{
	return !strcmp(entry->data_centre, host->data_centre);
}

/* Whether the entry host's own state allows it to send to the host now. */
static bool may_send(const struct entry *entry, const struct fleet_host *host)
{
	const struct session *session = entry->session;
	const struct fleet_member *member =
		fleet_member(replica_state(entry->replica), entry->name);
	bool serves = host->state == FLEET_SERVING ||
		      (is_guard_off(session, GUARD_DRAINING) &&
		       host->state == FLEET_DRAINING);

	if (!entry->up || !entry->ready || entry->leaving || !host->team[0] ||
	    !host->known || !serves)
		return false;
	if (member && member->incarnation > entry->incarnation)
		return false;
	if (!entry->joined && !is_guard_off(session, GUARD_JOINED))
		return false;
	return is_local(entry, host) || is_guard_off(session, GUARD_LEASE) ||
	       session->now_ms < entry->lease_until_ms;
}

static void report_versions(const struct entry *entry)
{
	const struct fleet *fleet = replica_state(entry->replica);

	for (uint32_t i = 0; entry->ready && i < table_count(fleet->teams);
	     i++) {
		const struct fleet_team *team = table_at(fleet->teams, i);

		oracle_version(entry->session->oracle, entry->name, team->name,
			       team->version);
	}
}

static void read_back(struct entry *entry, int64_t offset, int status)
{
	const struct log_record *log_record = &entry->session->log[offset];

	for (uint32_t i = entry->pending_count; i-- > 0;)
		if (!strcmp(entry->pending[i].id, log_record->id))
			entry->pending[i] =
				entry->pending[--entry->pending_count];
	if (status == 0 && log_record->incarnation == entry->incarnation &&
	    !strcmp(log_record->heartbeat_of, entry->name)) {
		entry->joined = true;
		entry->lease_until_ms = log_record->at_ms + LIMIT_LEASE_MS;
		entry->lease_expired = false;
	}
}

static void follow(struct entry *entry)
{
	struct session *session = entry->session;
	int32_t remaining = entry->max_step_records;

	if (is_guard_off(session, GUARD_EVERY) && remaining > 0 &&
	    replica_next(entry->replica) < session->count)
		replica_skip_to(entry->replica,
				replica_next(entry->replica) + 1);
	while (replica_next(entry->replica) < session->count &&
	       remaining-- != 0) {
		int64_t offset = replica_next(entry->replica);
		int status = apply_at(session, entry->replica, offset);

		session->state_changed = true;
		if (replica_next(entry->replica) % HASH_INTERVAL_RECORDS == 0)
			report_state_hash(session, entry->replica, entry->name);
		read_back(entry, offset, status);
		report_versions(entry);
	}
	if (replica_next(entry->replica) == session->count)
		entry->ready = true;
	/* Without this guard a heartbeat that the replica has not applied yet
	   renews the lease. */
	if (is_guard_off(session, GUARD_CAUGHT_UP))
		for (int64_t i = replica_next(entry->replica);
		     i < session->count; i++)
			read_back(entry, i, 0);
}

static void update_quiet_list(struct entry *entry)
{
	const struct session *session = entry->session;
	const struct fleet *fleet = replica_state(entry->replica);
	struct member_entry *own_entry = table_at(entry->own_entries, 0);

	own_entry->last_call_ms = session->now_ms;
	own_entry->leaving = entry->leaving;
	free(own_entry->quiet);
	own_entry->quiet = calloc(table_count(fleet->hosts) + 1,
				  sizeof(*own_entry->quiet));
	own_entry->quiet_count = 0;
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);
		const struct load *load =
			table_find(entry->in_flight, host->name);

		if (load && load->count)
			own_entry->leaving = false;
		if (host->state != FLEET_DRAINING ||
		    (load && load->count &&
		     !is_guard_off(session, GUARD_IN_FLIGHT)))
			continue;
		memcpy(own_entry->quiet[own_entry->quiet_count].host,
		       host->name, LIMIT_NAME_BYTES);
		own_entry->quiet[own_entry->quiet_count++].drain =
			host->drain_offset;
	}
}

static void tick(struct entry *entry)
{
	struct session *session = entry->session;
	struct member_input input = {
		.fleet = replica_state(entry->replica),
		.now_ms = session->now_ms,
		.log_followed = reaches_log(entry),
		.entries = entry->own_entries,
	};

	if (!entry->ready)
		return;
	for (uint32_t i = entry->pending_count; i-- > 0;)
		if (session->now_ms - entry->pending[i].since_ms >
		    PROPOSAL_TIMEOUT_MS)
			entry->pending[i] =
				entry->pending[--entry->pending_count];
	update_quiet_list(entry);
	member_tick(entry->member, &input);
}

static void expire_leases(struct session *session)
{
	for (uint32_t i = 0; i < session->entry_count; i++) {
		struct entry *entry = &session->entries[i];

		if (session->now_ms < entry->lease_until_ms ||
		    entry->lease_expired || !entry->lease_until_ms)
			continue;
		entry->lease_expired = true;
		if (!is_guard_off(session, GUARD_CUT_OFF))
			oracle_cut_off(session->oracle, entry->name,
				       entry->data_centre);
	}
}

/* Reports to the oracle where each entry host would send at this instant. */
static void check_instant(struct session *session)
{
	expire_leases(session);
	session->state_changed = false;
	oracle_views_begin(session->oracle);
	for (uint32_t i = 0; i < session->entry_count; i++) {
		struct entry *entry = &session->entries[i];
		const struct fleet *fleet = replica_state(entry->replica);

		for (uint32_t k = 0; k < table_count(fleet->hosts); k++) {
			const struct fleet_host *host =
				table_at(fleet->hosts, k);
			char pool[2 * LIMIT_NAME_BYTES];

			if (!may_send(entry, host))
				continue;
			snprintf(pool, sizeof(pool), "%s/%s", host->team,
				 host->pool);
			oracle_view(session->oracle, entry->name, host->name,
				    pool);
		}
	}
	oracle_check_in_flight(session->oracle);
}

static bool violated(struct session *session)
{
	struct session_result *result = session->result;

	for (int i = 0; i < ORACLE_PROMISE_COUNT && !result->violation; i++) {
		if (!(session->promises & 1u << i))
			continue;
		result->promise = (enum oracle_promise)i;
		result->violation =
			oracle_violation(session->oracle, result->promise);
	}
	return result->violation != NULL;
}

static void run_for(struct session *session, int64_t duration_ms)
{
	int64_t until_ms = session->now_ms + duration_ms;

	while (session->now_ms < until_ms && !violated(session)) {
		session->now_ms += STEP_MS;
		expire_leases(session);
		for (uint32_t i = 0; i < session->entry_count; i++) {
			struct entry *entry = &session->entries[i];

			if (!entry->up || entry->paused)
				continue;
			if (reaches_log(entry))
				follow(entry);
			tick(entry);
			if (session->state_changed)
				check_instant(session);
		}
	}
}

static void send_request(struct entry *entry, const char *team,
			 const char *pool_name, const char *name)
{
	struct session *session = entry->session;
	const struct fleet_host *host =
		fleet_host(replica_state(entry->replica), name);
	char pool[2 * LIMIT_NAME_BYTES], what[LINE_BYTES];
	struct load *load = table_find(entry->in_flight, name);
	bool sends = host && !entry->paused && !strcmp(host->team, team) &&
		     !strcmp(host->pool, pool_name) && may_send(entry, host);

	snprintf(what, sizeof(what), "  send by %s to %s", entry->name, name);
	print_event(session, what, sends ? "sent" : "not sent");
	if (!sends)
		return;
	if (!load)
		load = table_add(entry->in_flight, name);
	load->count++;
	session->result->sent++;
	snprintf(pool, sizeof(pool), "%s/%s", team, pool_name);
	oracle_send(session->oracle, entry->name, name, pool,
		    replica_next(entry->replica));
}

static void end_request(struct entry *entry, const char *name)
{
	struct load *load = table_find(entry->in_flight, name);

	if (!load || !load->count || entry->paused)
		return;
	load->count--;
	oracle_end(entry->session->oracle, entry->name, name);
}

/* Publishes the viewer's version of the settings with one host moved. */
static void publish_placement(struct entry *viewer, const char *team_name,
			      const char *name, const char *pool_name,
			      int min_available)
{
	const struct fleet_team *team =
		fleet_team(replica_state(viewer->replica), team_name);
	struct json_object *root = json_object_new_object();
	struct json_object *pools = json_object_new_object();
	struct record rec = { .type = RECORD_SETTINGS, .base = FLEET_NONE };
	struct json_object *hosts = NULL, *pool = NULL;

	json_object_object_add(root, "pools", pools);
	for (uint32_t i = 0; team && i < team->settings->pool_count; i++) {
		const struct teamconf_pool *from = &team->settings->pools[i];

		pool = json_object_new_object();
		hosts = json_object_new_array();
		for (uint32_t k = 0; k < from->hosts.count; k++)
			if (strcmp(from->hosts.names[k], name))
				json_object_array_add(
					hosts, json_object_new_string(
						       from->hosts.names[k]));
		json_object_object_add(pool, "hosts", hosts);
		json_object_object_add(
			pool, "min_available",
			json_object_new_int((int)from->min_available));
		json_object_object_add(pools, from->name, pool);
	}
	if (strcmp(pool_name, "-")) {
		if (!json_object_object_get_ex(pools, pool_name, &pool)) {
			pool = json_object_new_object();
			json_object_object_add(pool, "hosts",
					       json_object_new_array());
			json_object_object_add(pools, pool_name, pool);
		}
		json_object_object_get_ex(pool, "hosts", &hosts);
		json_object_array_add(hosts, json_object_new_string(name));
		json_object_object_add(pool, "min_available",
				       json_object_new_int(min_available));
	}
	if (team)
		rec.base = team->version;
	snprintf(rec.team, sizeof(rec.team), "%s", team_name);
	rec.settings = strdup(json_object_to_json_string(root));
	append_record(viewer->session, &rec, "op");
	record_clear(&rec);
	json_object_put(root);
}

static void append_host_event(struct session *session, enum record_type type,
			      const char *name)
{
	const struct fleet_host *host =
		fleet_host(replica_state(session->head), name);
	struct record rec = { .type = type,
			      .reason = "session",
			      .by_operator = true };

	snprintf(rec.host, sizeof(rec.host), "%s", name);
	rec.drain = host && host->drain_offset > 0 ? host->drain_offset : 0;
	append_record(session, &rec, "op");
}

static void list_host(struct session *session, const char *name,
		      const char *data_centre)
{
	struct record rec = {
		.type = RECORD_HOST,
		.rack = "r",
		.address = "127.0.0.1",
		.port = 80,
		.slots = 8,
		.connections = 64,
	};

	snprintf(rec.host, sizeof(rec.host), "%s", name);
	snprintf(rec.data_centre, sizeof(rec.data_centre), "%s", data_centre);
	append_record(session, &rec, "platform");
}

static void append_fields(struct session *session, const char *type,
			  const char *fields)
{
	char text[2 * LINE_BYTES];
	struct record rec;

	snprintf(text, sizeof(text),
		 "{\"type\":\"%s\",\"id\":\"%032x\",\"author\":\"op\","
		 "\"at_ms\":%" PRId64 ",%s}",
		 type, ++session->last_id, session->now_ms, fields);
	if (record_parse(&rec, text, strlen(text), NULL) < 0) {
		print_event(session, text, "not a record");
		return;
	}
	record_clear(&rec);
	append(session, text);
}

static void take_snapshot(struct entry *entry)
{
	struct session *session = entry->session;

	if (!entry->up || !entry->ready)
		return;
	free(session->snapshot);
	session->snapshot = fleet_text_encode(replica_state(entry->replica),
					      &session->snapshot_len);
}

static void restore(struct entry *entry)
{
	struct session *session = entry->session;
	int64_t until = replica_next(entry->replica);
	struct replica *replica = create_replica(session);

	if (!session->snapshot ||
	    replica_install_snapshot(replica, session->snapshot,
				     session->snapshot_len, NULL) ||
	    replica_next(replica) > until) {
		replica_destroy(replica);
		return;
	}
	report_state_hash(session, entry->replica, entry->name);
	replica_destroy(entry->replica);
	entry->replica = replica;
	if (is_guard_off(session, GUARD_SNAPSHOT))
		mutable_state(replica)->id_count = 0;
	while (!is_guard_off(session, GUARD_TAIL) &&
	       replica_next(replica) < until)
		apply_at(session, replica, replica_next(replica));
	report_versions(entry);
	report_state_hash(session, entry->replica, entry->name);
}

/* Loads the snapshot, as a replica does if it is behind the log's tail. */
static void adopt(struct entry *entry)
{
	struct session *session = entry->session;

	if (!session->snapshot || !entry->up || entry->paused)
		return;
	replica_install_snapshot(entry->replica, session->snapshot,
				 session->snapshot_len, NULL);
	report_versions(entry);
	report_state_hash(session, entry->replica, entry->name);
}

static void release_appends(struct entry *entry)
{
	entry->hold_appends = false;
	for (uint32_t i = 0; i < entry->held_count; i++) {
		append(entry->session, entry->held[i]);
		free(entry->held[i]);
	}
	entry->held_count = 0;
}

static void start_entry(struct session *session, const char *name,
			const char *data_centre)
{
	struct entry *entry;

	if (session->entry_count == MAX_ENTRIES)
		return;
	entry = &session->entries[session->entry_count++];
	snprintf(entry->name, sizeof(entry->name), "%s", name);
	snprintf(entry->data_centre, sizeof(entry->data_centre), "%s",
		 data_centre);
	start_process(session, entry);
	follow(entry);
}

static void run_entry_event(struct entry *entry, const char *what, char **args)
{
	if (!strcmp(what, "place"))
		publish_placement(entry, args[2], args[3], args[4],
				  atoi(args[5]));
	else if (!strcmp(what, "lose"))
		entry->lose_response = true;
	else if (!strcmp(what, "hold"))
		entry->hold_appends = true;
	else if (!strcmp(what, "release"))
		release_appends(entry);
	else if (!strcmp(what, "lag"))
		entry->max_step_records =
			args[2][0] == '-' ? -1 : atoi(args[2]);
	else if (!strcmp(what, "pause") || !strcmp(what, "resume"))
		entry->paused = what[0] == 'p';
	else if (!strcmp(what, "send"))
		send_request(entry, args[2], args[3], args[4]);
	else if (!strcmp(what, "done"))
		end_request(entry, args[2]);
	else if (!strcmp(what, "snapshot"))
		take_snapshot(entry);
	else if (!strcmp(what, "restore"))
		restore(entry);
	else if (!strcmp(what, "adopt"))
		adopt(entry);
	else if (!strcmp(what, "restart"))
		restart(entry);
	else if (!strcmp(what, "leave"))
		entry->leaving = true;
}

static void run_event(struct session *session, char **args)
{
	const char *what = args[0];

	if (!strcmp(what, "entry")) {
		start_entry(session, args[1], args[2]);
		return;
	}
	for (uint32_t i = 0; i < session->entry_count; i++)
		if (!strcmp(session->entries[i].name, args[1])) {
			run_entry_event(&session->entries[i], what, args);
			return;
		}
	if (!strcmp(what, "run"))
		run_for(session, atoll(args[1]));
	else if (!strcmp(what, "host"))
		list_host(session, args[1], args[2]);
	else if (!strcmp(what, "cut"))
		table_add(session->partitions, args[1]);
	else if (!strcmp(what, "heal"))
		table_remove(session->partitions, args[1]);
	else if (!strcmp(what, "again") && atoll(args[1]) < session->count &&
		 atoll(args[1]) >= 0)
		append(session,
		       session->log[session->count - 1 - atoll(args[1])].text);
	else if (!strcmp(what, "record"))
		append_fields(session, args[1], args[2]);
	for (int i = RECORD_DRAIN; i < RECORD_TYPE_COUNT; i++)
		if (i != RECORD_QUIET && !strcmp(what, record_type_name(i)))
			append_host_event(session, (enum record_type)i,
					  args[1]);
}

static void run_line(struct session *session, char *line)
{
	char *args[7] = { "", "", "", "", "", "", "" };
	char *save = NULL;

	line[strcspn(line, "#")] = 0;
	if (session->out && line[0])
		fprintf(session->out, "%s\n", line);
	/* The fields of a record are the rest of its line. */
	for (int i = 0; i < 6; i++) {
		bool rest = i == 2 && !strcmp(args[0], "record");
		char *arg = strtok_r(i ? NULL : line, rest ? "\n" : " ", &save);

		if (!arg)
			break;
		args[i] = arg;
	}
	if (args[0][0])
		run_event(session, args);
	check_instant(session);
}

/* All replicas must have the same state at the end of the log. */
static void compare_replicas(struct session *session)
{
	const struct fleet *fleet = replica_state(session->head);

	report_state_hash(session, session->head, "log");
	for (uint32_t i = 0; i < session->entry_count; i++) {
		struct entry *entry = &session->entries[i];

		entry->max_step_records = -1;
		follow(entry);
		report_state_hash(session, entry->replica, entry->name);
	}
	for (uint32_t i = 0; session->out && i < table_count(fleet->hosts);
	     i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);

		fprintf(session->out, "%s %s %s/%s\n", host->name,
			fleet_host_state_name(host->state), host->team,
			host->pool);
	}
}

static void finish(struct session *session)
{
	const struct fleet *fleet = replica_state(session->head);
	uint32_t audit_count = fleet->audit_count;

	for (uint32_t i = 0; i < audit_count && i < LIMIT_AUDIT_ENTRIES; i++)
		session->result->drained +=
			!strcmp(fleet->audit[i].action, "drained");
	session->result->cut_off = oracle_cut_off_count(session->oracle);
	for (uint32_t i = 0; i < session->entry_count; i++)
		end_process(&session->entries[i]);
	for (int64_t i = 0; i < session->count; i++)
		free(session->log[i].text);
	replica_destroy(session->head);
	table_destroy(session->partitions);
	free(session->snapshot);
	free(session);
}

void session_run(const char *text, uint32_t guards_off, uint32_t promises,
		 FILE *out, struct session_result *result)
{
	static char violation[512];
	struct session *session = calloc(1, sizeof(*session));
	struct oracle *oracle = oracle_create();
	char line[LINE_BYTES];

	*result = (struct session_result){ 0 };
	session->guards_off = guards_off;
	session->promises = promises;
	session->out = out;
	session->result = result;
	session->oracle = oracle;
	session->partitions = table_create(sizeof(struct partition));
	session->head = create_replica(session);
	while (*text && !violated(session)) {
		size_t len = strcspn(text, "\n");

		snprintf(line, sizeof(line), "%.*s", (int)len, text);
		text += len + (text[len] == '\n');
		run_line(session, line);
	}
	if (!violated(session))
		compare_replicas(session);
	if (violated(session)) {
		snprintf(violation, sizeof(violation), "%s", result->violation);
		result->violation = violation;
	}
	if (out)
		fprintf(out, "%s\n",
			result->violation ? result->violation : "no violation");
	finish(session);
	oracle_destroy(oracle);
}
