/*
 * NAME
 *	session_int - internals shared by the files of module session
 *
 * session_log.c stores records, session_guards.c applies them to a replica
 * without the disabled guards, session_entry.c simulates entry hosts, and
 * session.c runs the events.
 */
#ifndef SESSION_INT_H
#define SESSION_INT_H

#include <stdbool.h>
#include <stddef.h>

#include "fleet.h"
#include "member.h"
#include "replica.h"
#include "session.h"

enum {
	SESSION_MAX_ENTRIES = 6,
	SESSION_MAX_RECORDS = 2000,
	SESSION_MAX_HELD_APPENDS = 16,
	SESSION_MAX_PENDING = 32,
	/* Between comparisons of replicas. */
	SESSION_HASH_INTERVAL_RECORDS = 64,
	SESSION_LINE_BYTES = 512
};

/* A proposal that the entry host has not yet read back from the log. */
struct session_pending {
	char key[3 * LIMIT_NAME_BYTES];
	char id[LIMIT_ID_BYTES];
	int64_t since_ms;
};

struct session_entry {
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
	struct table *in_flight;   /* struct session_load, by host */
	struct table *own_entries; /* struct member_entry of this host only */
	uint32_t held_count;
	char *held[SESSION_MAX_HELD_APPENDS];
	uint32_t pending_count;
	struct session_pending pending[SESSION_MAX_PENDING];
};

/* Requests in flight at a worker host. */
struct session_load {
	char name[LIMIT_NAME_BYTES];
	uint32_t count;
};

/* A data centre that is partitioned from the platform. */
struct session_partition {
	char name[LIMIT_NAME_BYTES];
};

/* A record in the log, with the fields that entry hosts match on reading. */
struct session_log_record {
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
	struct session_log_record log[SESSION_MAX_RECORDS];
	struct table *partitions;
	char *snapshot;
	size_t snapshot_len;
	uint32_t entry_count;
	struct session_entry entries[SESSION_MAX_ENTRIES];
};

bool session_guard_is_off(const struct session *session,
			  enum session_guard guard);

/* session_guard_mutable_state - a replica's state, to bypass a guard */
struct fleet *session_guard_mutable_state(const struct replica *replica);

/*
 * session_guard_apply - apply the record at an offset to a replica
 *
 * The replica behaves as if it lacked the disabled guards.
 *
 * RETURN VALUE
 *	Kind of the result, see err.h.
 */
int session_guard_apply(struct session *session, struct replica *replica,
			int64_t offset);

/* session_log_create_replica - replica that sets the session's apply_result */
struct replica *session_log_create_replica(struct session *session);

/* session_log_report_hash - report a replica's state to the oracle */
void session_log_report_hash(struct session *session,
			     const struct replica *replica, const char *name);

/* session_log_print - print an event and its result */
void session_log_print(struct session *session, const char *what,
		       const char *result);

/* session_log_append - store a record; every replica has the same result */
void session_log_append(struct session *session, const char *text);

/* session_log_append_record - store a record with a new id and the time */
void session_log_append_record(struct session *session, struct record *rec,
			       const char *author);

/*
 * session_log_publish_placement - publish settings with one host moved
 *
 * They are the viewer's version of the team's settings with the host in the
 * pool, or in none if its name is "-".
 */
void session_log_publish_placement(struct session_entry *viewer,
				   const char *team_name, const char *name,
				   const char *pool_name, int min_available);

/* session_log_append_host_event - store an operator's record about a host */
void session_log_append_host_event(struct session *session,
				   enum record_type type, const char *name);

/* session_log_list_host - store the platform's record of a new host */
void session_log_list_host(struct session *session, const char *name,
			   const char *data_centre);

/* session_log_append_fields - store a record of a type with fields as JSON */
void session_log_append_fields(struct session *session, const char *type,
			       const char *fields);

/* session_entry_start - start an entry host */
void session_entry_start(struct session *session, const char *name,
			 const char *data_centre);

/* session_entry_end - free a process; the host keeps its name and place */
void session_entry_end(struct session_entry *entry);

/* session_entry_restart - replace the process by a new one */
void session_entry_restart(struct session_entry *entry);

/* session_entry_reaches_log - whether its data centre reaches the platform */
bool session_entry_reaches_log(const struct session_entry *entry);

/* session_entry_may_send - whether its state allows it to send to the host */
bool session_entry_may_send(const struct session_entry *entry,
			    const struct fleet_host *host);

/* session_entry_follow - read the log, max_step_records at most */
void session_entry_follow(struct session_entry *entry);

/* session_entry_tick - propose what is due */
void session_entry_tick(struct session_entry *entry);

/* session_entry_send - start a request at a worker host, if allowed */
void session_entry_send(struct session_entry *entry, const char *team,
			const char *pool_name, const char *name);
void session_entry_end_request(struct session_entry *entry, const char *name);

/* session_entry_take_snapshot - make its state the newest snapshot */
void session_entry_take_snapshot(struct session_entry *entry);

/* session_entry_restore - rebuild its state from the snapshot and the tail */
void session_entry_restore(struct session_entry *entry);

/* session_entry_adopt - load the snapshot, as a replica behind the tail does */
void session_entry_adopt(struct session_entry *entry);

/* session_entry_release_appends - store the appends that were held */
void session_entry_release_appends(struct session_entry *entry);

#endif
