#include "session_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "fleet_text.h"

static void store_result(void *arg, int64_t offset, const struct record *rec,
			 const struct err *result)
{
	(void)offset;
	(void)rec;
	((struct session *)arg)->apply_result = *result;
}

struct replica *session_log_create_replica(struct session *session)
{
	struct replica *replica = replica_create();

	replica_on_applied(replica, store_result, session);
	return replica;
}

void session_log_report_hash(struct session *session,
			     const struct replica *replica, const char *name)
{
	oracle_state_hash(session->oracle, name, replica_next(replica),
			  fleet_text_hash(replica_state(replica)));
}

void session_log_print(struct session *session, const char *what,
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

void session_log_append(struct session *session, const char *text)
{
	int64_t offset = session->count;
	struct session_log_record *log_record = &session->log[offset];
	char what[SESSION_LINE_BYTES];
	struct record rec;
	int status;

	if (session->count == SESSION_MAX_RECORDS)
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
	status = session_guard_apply(session, session->head, offset);
	oracle_record(session->oracle, offset, &rec, status);
	if (session->count % SESSION_HASH_INTERVAL_RECORDS == 0)
		session_log_report_hash(session, session->head, "log");
	report_hosts(session);
	session->result->records++;
	session->result->accepted += status == 0;
	snprintf(what, sizeof(what), "  %" PRId64 " %s %s%s%s by %s", offset,
		 record_type_name(rec.type), rec.team, rec.host,
		 rec.type == RECORD_QUIET ? "" : rec.member, rec.author);
	if (rec.type != RECORD_MEMBER || status == 0)
		session_log_print(session, what,
				  status ? err_name(status) : "accepted");
	record_clear(&rec);
}

void session_log_append_record(struct session *session, struct record *rec,
			       const char *author)
{
	char *text;

	snprintf(rec->id, sizeof(rec->id), "%032x", ++session->last_id);
	snprintf(rec->author, sizeof(rec->author), "%s", author);
	rec->at_ms = session->now_ms;
	text = record_encode(rec);
	session_log_append(session, text);
	free(text);
}

void session_log_publish_placement(struct session_entry *viewer,
				   const char *team_name, const char *name,
				   const char *pool_name, int min_available)
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
	session_log_append_record(viewer->session, &rec, "op");
	record_clear(&rec);
	json_object_put(root);
}

void session_log_append_host_event(struct session *session,
				   enum record_type type, const char *name)
{
	const struct fleet_host *host =
		fleet_host(replica_state(session->head), name);
	struct record rec = { .type = type,
			      .reason = "session",
			      .by_operator = true };

	snprintf(rec.host, sizeof(rec.host), "%s", name);
	rec.drain = host && host->drain_offset > 0 ? host->drain_offset : 0;
	session_log_append_record(session, &rec, "op");
}

void session_log_list_host(struct session *session, const char *name,
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
	session_log_append_record(session, &rec, "platform");
}

void session_log_append_fields(struct session *session, const char *type,
			       const char *fields)
{
	char text[2 * SESSION_LINE_BYTES];
	struct record rec;

	snprintf(text, sizeof(text),
		 "{\"type\":\"%s\",\"id\":\"%032x\",\"author\":\"op\","
		 "\"at_ms\":%" PRId64 ",%s}",
		 type, ++session->last_id, session->now_ms, fields);
	if (record_parse(&rec, text, strlen(text), NULL) < 0) {
		session_log_print(session, text, "not a record");
		return;
	}
	record_clear(&rec);
	session_log_append(session, text);
}
