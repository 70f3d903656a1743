#include "session_int.h"

#include <stdlib.h>
#include <string.h>

#include "fleet_text.h"

enum { PROPOSAL_TIMEOUT_MS = LIMIT_CHANGE_TIMEOUT_MS };

bool session_entry_reaches_log(const struct session_entry *entry)
{
	return !table_find(entry->session->partitions, entry->data_centre);
}

static void propose(void *arg, const char *key, struct record *rec)
{
	struct session_entry *entry = arg;
	struct session *session = entry->session;
	struct session_pending *pending;
	char *text;

	for (uint32_t i = 0; i < entry->pending_count; i++)
		if (!strcmp(entry->pending[i].key, key))
			return;
	if (entry->pending_count == SESSION_MAX_PENDING ||
	    !session_entry_reaches_log(entry))
		return;
	snprintf(rec->id, sizeof(rec->id), "%032x", ++session->last_id);
	memcpy(rec->author, entry->name, sizeof(rec->author));
	rec->at_ms = session->now_ms;
	pending = &entry->pending[entry->pending_count++];
	snprintf(pending->key, sizeof(pending->key), "%s", key);
	memcpy(pending->id, rec->id, sizeof(pending->id));
	pending->since_ms = session->now_ms;
	text = record_encode(rec);
	if (entry->hold_appends &&
	    entry->held_count < SESSION_MAX_HELD_APPENDS) {
		entry->held[entry->held_count++] = text;
		return;
	}
	session_log_append(session, text);
	if (entry->lose_response)
		session_log_append(session, text);
	entry->lose_response = false;
	free(text);
}

static void start_process(struct session *session, struct session_entry *entry)
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
	entry->replica = session_log_create_replica(session);
	if (session->snapshot)
		replica_install_snapshot(entry->replica, session->snapshot,
					 session->snapshot_len, NULL);
	entry->member = member_create(&config);
	entry->in_flight = table_create(sizeof(struct session_load));
	entry->own_entries = table_create(sizeof(struct member_entry));
	own_entry = table_add(entry->own_entries, entry->name);
	memcpy(own_entry->data_centre, entry->data_centre,
	       sizeof(own_entry->data_centre));
	own_entry->incarnation = entry->incarnation;
}

void session_entry_end(struct session_entry *entry)
{
	struct member_entry *own_entry = table_at(entry->own_entries, 0);
	struct session_entry next = { 0 };

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

void session_entry_restart(struct session_entry *entry)
{
	struct session *session = entry->session;

	oracle_crash(session->oracle, entry->name);
	session_entry_end(entry);
	start_process(session, entry);
}

static bool is_local(const struct session_entry *entry,
		     const struct fleet_host *host)
{
	return !strcmp(entry->data_centre, host->data_centre);
}

bool session_entry_may_send(const struct session_entry *entry,
			    const struct fleet_host *host)
{
	const struct session *session = entry->session;
	const struct fleet_member *member =
		fleet_member(replica_state(entry->replica), entry->name);
	bool serves = host->state == FLEET_SERVING ||
		      (session_guard_is_off(session, GUARD_DRAINING) &&
		       host->state == FLEET_DRAINING);

	if (!entry->up || !entry->ready || entry->leaving || !host->team[0] ||
	    !host->known || !serves)
		return false;
	if (member && member->incarnation > entry->incarnation)
		return false;
	if (!entry->joined && !session_guard_is_off(session, GUARD_JOINED))
		return false;
	return is_local(entry, host) ||
	       session_guard_is_off(session, GUARD_LEASE) ||
	       session->now_ms < entry->lease_until_ms;
}

static void report_versions(const struct session_entry *entry)
{
	const struct fleet *fleet = replica_state(entry->replica);

	for (uint32_t i = 0; entry->ready && i < table_count(fleet->teams);
	     i++) {
		const struct fleet_team *team = table_at(fleet->teams, i);

		oracle_version(entry->session->oracle, entry->name, team->name,
			       team->version);
	}
}

static void read_back(struct session_entry *entry, int64_t offset, int status)
{
	const struct session_log_record *log_record =
		&entry->session->log[offset];

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

void session_entry_follow(struct session_entry *entry)
{
	struct session *session = entry->session;
	int32_t remaining = entry->max_step_records;

	if (session_guard_is_off(session, GUARD_EVERY) && remaining > 0 &&
	    replica_next(entry->replica) < session->count)
		replica_skip_to(entry->replica,
				replica_next(entry->replica) + 1);
	while (replica_next(entry->replica) < session->count &&
	       remaining-- != 0) {
		int64_t offset = replica_next(entry->replica);
		int status =
			session_guard_apply(session, entry->replica, offset);

		session->state_changed = true;
		if (replica_next(entry->replica) %
			    SESSION_HASH_INTERVAL_RECORDS ==
		    0)
			session_log_report_hash(session, entry->replica,
						entry->name);
		read_back(entry, offset, status);
		report_versions(entry);
	}
	if (replica_next(entry->replica) == session->count)
		entry->ready = true;
	/* Without this guard a heartbeat that the replica has not applied yet
	   renews the lease. */
	if (session_guard_is_off(session, GUARD_CAUGHT_UP))
		for (int64_t i = replica_next(entry->replica);
		     i < session->count; i++)
			read_back(entry, i, 0);
}

static void update_quiet_list(struct session_entry *entry)
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
		const struct session_load *load =
			table_find(entry->in_flight, host->name);

		if (load && load->count)
			own_entry->leaving = false;
		if (host->state != FLEET_DRAINING ||
		    (load && load->count &&
		     !session_guard_is_off(session, GUARD_IN_FLIGHT)))
			continue;
		memcpy(own_entry->quiet[own_entry->quiet_count].host,
		       host->name, LIMIT_NAME_BYTES);
		own_entry->quiet[own_entry->quiet_count++].drain =
			host->drain_offset;
	}
}

void session_entry_tick(struct session_entry *entry)
{
	struct session *session = entry->session;
	struct member_input input = {
		.fleet = replica_state(entry->replica),
		.now_ms = session->now_ms,
		.log_followed = session_entry_reaches_log(entry),
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

void session_entry_send(struct session_entry *entry, const char *team,
			const char *pool_name, const char *name)
{
	struct session *session = entry->session;
	const struct fleet_host *host =
		fleet_host(replica_state(entry->replica), name);
	char pool[2 * LIMIT_NAME_BYTES], what[SESSION_LINE_BYTES];
	struct session_load *load = table_find(entry->in_flight, name);
	bool sends = host && !entry->paused && !strcmp(host->team, team) &&
		     !strcmp(host->pool, pool_name) &&
		     session_entry_may_send(entry, host);

	snprintf(what, sizeof(what), "  send by %s to %s", entry->name, name);
	session_log_print(session, what, sends ? "sent" : "not sent");
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

void session_entry_end_request(struct session_entry *entry, const char *name)
{
	struct session_load *load = table_find(entry->in_flight, name);

	if (!load || !load->count || entry->paused)
		return;
	load->count--;
	oracle_end(entry->session->oracle, entry->name, name);
}

void session_entry_take_snapshot(struct session_entry *entry)
{
	struct session *session = entry->session;

	if (!entry->up || !entry->ready)
		return;
	free(session->snapshot);
	session->snapshot = fleet_text_encode(replica_state(entry->replica),
					      &session->snapshot_len);
}

void session_entry_restore(struct session_entry *entry)
{
	struct session *session = entry->session;
	int64_t until = replica_next(entry->replica);
	struct replica *replica = session_log_create_replica(session);

	if (!session->snapshot ||
	    replica_install_snapshot(replica, session->snapshot,
				     session->snapshot_len, NULL) ||
	    replica_next(replica) > until) {
		replica_destroy(replica);
		return;
	}
	session_log_report_hash(session, entry->replica, entry->name);
	replica_destroy(entry->replica);
	entry->replica = replica;
	if (session_guard_is_off(session, GUARD_SNAPSHOT))
		session_guard_mutable_state(replica)->id_count = 0;
	while (!session_guard_is_off(session, GUARD_TAIL) &&
	       replica_next(replica) < until)
		session_guard_apply(session, replica, replica_next(replica));
	report_versions(entry);
	session_log_report_hash(session, entry->replica, entry->name);
}

void session_entry_adopt(struct session_entry *entry)
{
	struct session *session = entry->session;

	if (!session->snapshot || !entry->up || entry->paused)
		return;
	replica_install_snapshot(entry->replica, session->snapshot,
				 session->snapshot_len, NULL);
	report_versions(entry);
	session_log_report_hash(session, entry->replica, entry->name);
}

void session_entry_release_appends(struct session_entry *entry)
{
	entry->hold_appends = false;
	for (uint32_t i = 0; i < entry->held_count; i++) {
		session_log_append(entry->session, entry->held[i]);
		free(entry->held[i]);
	}
	entry->held_count = 0;
}

void session_entry_start(struct session *session, const char *name,
			 const char *data_centre)
{
	struct session_entry *entry;

	if (session->entry_count == SESSION_MAX_ENTRIES)
		return;
	entry = &session->entries[session->entry_count++];
	snprintf(entry->name, sizeof(entry->name), "%s", name);
	snprintf(entry->data_centre, sizeof(entry->data_centre), "%s",
		 data_centre);
	start_process(session, entry);
	session_entry_follow(entry);
}
