#include "fleet_text.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "field.h"
#include "rnd.h"

#define OFFSET(type, member) FIELD_NUMBER(type, member, -1, LIMIT_NUMBER_MAX)

static const struct field host_fields[] = {
	FIELD_ARRAY(fleet_host, name, FIELD_NAME),
	FIELD_ARRAY(fleet_host, team, FIELD_OPT_TEXT),
	FIELD_ARRAY(fleet_host, pool, FIELD_OPT_TEXT),
	OFFSET(fleet_host, drain_offset),
	OFFSET(fleet_host, changed_offset),
	FIELD_ARRAY(fleet_host, reason, FIELD_OPT_TEXT),
	{ "known", FIELD_BOOL, offsetof(struct fleet_host, known), 0, 0, 0 },
	FIELD_ARRAY(fleet_host, data_centre, FIELD_OPT_TEXT),
	FIELD_ARRAY(fleet_host, rack, FIELD_OPT_TEXT),
	FIELD_ARRAY(fleet_host, address, FIELD_OPT_TEXT),
	FIELD_NUMBER(fleet_host, port, 0, 65535),
	OFFSET(fleet_host, cpu_milli),
	OFFSET(fleet_host, mem_mib),
	OFFSET(fleet_host, accelerators),
	OFFSET(fleet_host, slots),
	OFFSET(fleet_host, connections),
	FIELD_ARRAY(fleet_host, home_pool, FIELD_OPT_TEXT),
	FIELD_OPT_NUMBER(fleet_host, boot_id, 0, LIMIT_NUMBER_MAX),
	FIELD_OPT_NUMBER(fleet_host, reboot_boot_id, -1, LIMIT_NUMBER_MAX),
	{ "stays", FIELD_BOOL, offsetof(struct fleet_host, keep_in_pool), 0, 0,
	  0 },
	{ "failed_by_operator", FIELD_BOOL,
	  offsetof(struct fleet_host, failed_by_operator), 0, 0, 0 },
	FIELD_ARRAY(fleet_host, wave, FIELD_OPT_TEXT),
	FIELD_ARRAY(fleet_host, move_to, FIELD_OPT_TEXT),
	FIELD_ARRAY(fleet_host, wave_done, FIELD_OPT_TEXT),
	FIELD_ARRAY(fleet_host, wave_failed, FIELD_OPT_TEXT),
};

static const struct field quiet_fields[] = {
	FIELD_ARRAY(fleet_quiet, member, FIELD_NAME),
	OFFSET(fleet_quiet, incarnation),
};

static const struct field member_fields[] = {
	FIELD_ARRAY(fleet_member, name, FIELD_NAME),
	OFFSET(fleet_member, incarnation),
	OFFSET(fleet_member, seq),
	OFFSET(fleet_member, join_offset),
	OFFSET(fleet_member, seen_offset),
	{ "expired", FIELD_BOOL, offsetof(struct fleet_member, expired), 0, 0,
	  0 },
	FIELD_ARRAY(fleet_member, data_centre, FIELD_NAME),
	FIELD_ARRAY(fleet_member, address, FIELD_TEXT),
	FIELD_NUMBER(fleet_member, port, 1, 65535),
};

static const struct field audit_fields[] = {
	OFFSET(fleet_audit, offset),
	OFFSET(fleet_audit, at_ms),
	FIELD_ARRAY(fleet_audit, author, FIELD_TEXT),
	FIELD_ARRAY(fleet_audit, action, FIELD_TEXT),
	FIELD_ARRAY(fleet_audit, target, FIELD_OPT_TEXT),
	FIELD_ARRAY(fleet_audit, before, FIELD_OPT_TEXT),
	FIELD_ARRAY(fleet_audit, after, FIELD_OPT_TEXT),
	FIELD_ARRAY(fleet_audit, detail, FIELD_OPT_TEXT),
};

enum {
	HOST_FIELDS = sizeof(host_fields) / sizeof(host_fields[0]),
	QUIET_FIELDS = sizeof(quiet_fields) / sizeof(quiet_fields[0]),
	MEMBER_FIELDS = sizeof(member_fields) / sizeof(member_fields[0]),
	AUDIT_FIELDS = sizeof(audit_fields) / sizeof(audit_fields[0])
};

/* List of the text: its key, its largest size and the functions for one row. */
struct list {
	const char *key;
	size_t max;
	struct json_object *(*write)(const struct fleet *fleet, uint32_t index);
	void (*read)(struct fleet *fleet, const struct jcursor *at);
};

static struct json_object *write_team(const struct fleet *fleet, uint32_t index)
{
	const struct fleet_team *team = table_at(fleet->teams, index);
	struct json_object *obj = json_object_new_object();

	jcursor_put_string(obj, "name", team->name);
	jcursor_put_int(obj, "version", team->version);
	json_object_object_add(obj, "settings",
			       json_tokener_parse(team->settings->text));
	return obj;
}

/* Refuses keys other than those of the table, first and second (or NULL). */
static void check_keys(const struct jcursor *at, const struct field *table,
		       size_t count, const char *first, const char *second)
{
	const char *keys[HOST_FIELDS + 3] = { first, second };
	size_t used = second ? 2 : 1;

	for (size_t i = 0; i < count; i++)
		keys[used++] = table[i].name;
	keys[used] = NULL;
	jcursor_check_keys(at, keys);
}

static void read_team(struct fleet *fleet, const struct jcursor *at)
{
	static const char *const keys[] = { "name", "version", "settings",
					    NULL };
	struct jcursor name_at = jcursor_member(at, "name");
	struct jcursor version_at = jcursor_member(at, "version");
	struct jcursor settings_at = jcursor_member(at, "settings");
	struct err fault = { .kind = ERR_OK };
	char name[LIMIT_NAME_BYTES];
	int64_t version = jcursor_int(&version_at, 0, LIMIT_NUMBER_MAX, -1);
	struct fleet_team *team;
	const char *text;

	jcursor_check_keys(at, keys);
	jcursor_name(&name_at, name, sizeof(name));
	if (!jcursor_check_object(&settings_at))
		return;
	team = table_add(fleet->teams, name);
	if (!team) {
		jcursor_refuse(&name_at, "a team that is not listed yet");
		return;
	}
	text = json_object_to_json_string_ext(settings_at.value,
					      JSON_C_TO_STRING_PLAIN);
	team->version = version;
	team->settings = teamconf_parse(text, strlen(text), &fault);
	if (!team->settings)
		jcursor_refuse(&settings_at, "valid settings (%s)", fault.text);
}

static struct json_object *write_host(const struct fleet *fleet, uint32_t index)
{
	const struct fleet_host *host = table_at(fleet->hosts, index);
	struct json_object *obj = json_object_new_object();
	struct json_object *quiet;

	field_write_all(obj, host_fields, HOST_FIELDS, host);
	jcursor_put_string(obj, "state", fleet_host_state_name(host->state));
	if (!host->quiet_count)
		return obj;
	quiet = json_object_new_array();
	for (uint32_t i = 0; i < host->quiet_count; i++) {
		struct json_object *row = json_object_new_object();

		field_write_all(row, quiet_fields, QUIET_FIELDS,
				&host->quiet[i]);
		json_object_array_add(quiet, row);
	}
	json_object_object_add(obj, "quiet", quiet);
	return obj;
}

static enum fleet_host_state read_state(const struct jcursor *at)
{
	struct jcursor state_at = jcursor_member(at, "state");
	char name[LIMIT_NAME_BYTES];

	jcursor_string(&state_at, name, sizeof(name), NULL);
	for (int i = 0; i < FLEET_HOST_STATE_COUNT; i++)
		if (!strcmp(name, fleet_host_state_name(i)))
			return i;
	jcursor_refuse(&state_at, "a host state");
	return FLEET_FAILED;
}

static void read_quiet(const struct jcursor *at, struct fleet_host *host)
{
	struct jcursor list = jcursor_member(at, "quiet");
	size_t count = list.value ? jcursor_check_array(&list, LIMIT_HOSTS) : 0;

	if (!count)
		return;
	host->quiet = calloc(count, sizeof(*host->quiet));
	for (size_t i = 0; host->quiet && i < count; i++) {
		struct jcursor row = jcursor_item(&list, i);

		field_read_all(&row, quiet_fields, QUIET_FIELDS,
			       &host->quiet[i]);
		host->quiet_count++;
	}
}

static void read_host(struct fleet *fleet, const struct jcursor *at)
{
	struct fleet_host row = { .drain_offset = FLEET_NONE };
	struct fleet_host *host;

	for (size_t i = 0; i < HOST_FIELDS; i++)
		field_read(at, &host_fields[i], &row);
	/* Snapshots of older releases have no home pools. */
	if (!row.home_pool[0])
		memcpy(row.home_pool, row.pool, sizeof(row.home_pool));
	row.state = read_state(at);
	read_quiet(at, &row);
	check_keys(at, host_fields, HOST_FIELDS, "state", "quiet");
	host = at->err->kind == ERR_OK ? table_add(fleet->hosts, row.name)
				       : NULL;
	if (!host) {
		free(row.quiet);
		jcursor_refuse(at, "a host that is not listed yet");
		return;
	}
	*host = row;
}

static struct json_object *write_member(const struct fleet *fleet,
					uint32_t index)
{
	struct json_object *obj = json_object_new_object();

	field_write_all(obj, member_fields, MEMBER_FIELDS,
			table_at(fleet->members, index));
	return obj;
}

static void read_member(struct fleet *fleet, const struct jcursor *at)
{
	struct fleet_member row = { 0 };
	struct fleet_member *member;

	field_read_all(at, member_fields, MEMBER_FIELDS, &row);
	member = at->err->kind == ERR_OK ? table_add(fleet->members, row.name)
					 : NULL;
	if (!member)
		jcursor_refuse(at, "a member that is not listed yet");
	else
		*member = row;
}

/* Ring slot of the index-th oldest entry kept, out of count ever added. */
static uint32_t ring_slot(uint32_t count, uint32_t size, uint32_t index)
{
	return count <= size ? index : (count + index) % size;
}

static struct json_object *write_id(const struct fleet *fleet, uint32_t index)
{
	return json_object_new_string(fleet->ids[ring_slot(
		fleet->id_count, LIMIT_RECORD_IDS, index)]);
}

static void read_id(struct fleet *fleet, const struct jcursor *at)
{
	jcursor_string(at, fleet->ids[fleet->id_count++], LIMIT_ID_BYTES, NULL);
}

static struct json_object *write_audit(const struct fleet *fleet,
				       uint32_t index)
{
	const struct fleet_audit *entry = &fleet->audit[ring_slot(
		fleet->audit_count, LIMIT_AUDIT_ENTRIES, index)];
	struct json_object *obj = json_object_new_object();

	field_write_all(obj, audit_fields, AUDIT_FIELDS, entry);
	jcursor_put_string(obj, "result", err_name(entry->result));
	return obj;
}

static void read_audit(struct fleet *fleet, const struct jcursor *at)
{
	struct fleet_audit *entry = &fleet->audit[fleet->audit_count++];
	struct jcursor result_at = jcursor_member(at, "result");
	char result[LIMIT_NAME_BYTES];

	for (size_t i = 0; i < AUDIT_FIELDS; i++)
		field_read(at, &audit_fields[i], entry);
	jcursor_string(&result_at, result, sizeof(result), NULL);
	entry->result = err_by_name(result);
	if (strcmp(err_name(entry->result), result))
		jcursor_refuse(&result_at, "the name of a result");
	check_keys(at, audit_fields, AUDIT_FIELDS, "result", NULL);
}

static const struct list lists[] = {
	{ "teams", LIMIT_TEAMS, write_team, read_team },
	{ "hosts", LIMIT_HOSTS, write_host, read_host },
	{ "members", LIMIT_HOSTS, write_member, read_member },
	{ "ids", LIMIT_RECORD_IDS, write_id, read_id },
	{ "audit", LIMIT_AUDIT_ENTRIES, write_audit, read_audit },
};

enum { LIST_COUNT = sizeof(lists) / sizeof(lists[0]) };

static uint32_t ring_count(uint32_t count, uint32_t size)
{
	return count < size ? count : size;
}

char *fleet_text_encode(const struct fleet *fleet, size_t *len)
{
	const uint32_t counts[LIST_COUNT] = {
		table_count(fleet->teams),
		table_count(fleet->hosts),
		table_count(fleet->members),
		ring_count(fleet->id_count, LIMIT_RECORD_IDS),
		ring_count(fleet->audit_count, LIMIT_AUDIT_ENTRIES),
	};
	struct json_object *root = json_object_new_object();
	const char *text;
	char *copy;

	jcursor_put_int(root, "next", fleet->next);
	for (size_t i = 0; i < LIST_COUNT; i++) {
		struct json_object *rows = json_object_new_array();

		for (uint32_t k = 0; k < counts[i]; k++)
			json_object_array_add(rows, lists[i].write(fleet, k));
		json_object_object_add(root, lists[i].key, rows);
	}
	text = json_object_to_json_string_length(root, JSON_C_TO_STRING_PLAIN,
						 len);
	copy = malloc(*len + 1);
	if (copy)
		memcpy(copy, text, *len + 1);
	json_object_put(root);
	return copy;
}

static void read_state_text(struct fleet *fleet, const struct jcursor *root)
{
	const char *keys[LIST_COUNT + 2] = { "next" };
	struct jcursor next_at = jcursor_member(root, "next");

	fleet->next = jcursor_int(&next_at, 0, LIMIT_NUMBER_MAX, -1);
	for (size_t i = 0; i < LIST_COUNT; i++) {
		struct jcursor list = jcursor_member(root, lists[i].key);
		size_t count = jcursor_check_array(&list, lists[i].max);

		keys[i + 1] = lists[i].key;
		for (size_t k = 0; k < count && root->err->kind == ERR_OK;
		     k++) {
			struct jcursor at = jcursor_item(&list, k);

			lists[i].read(fleet, &at);
		}
	}
	jcursor_check_keys(root, keys);
}

struct fleet *fleet_text_decode(const char *text, size_t len, struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct json_object *value;
	struct fleet *fleet = NULL;
	struct jcursor root;

	if (len > LIMIT_SNAPSHOT_BYTES) {
		err_set(err, ERR_TOO_LARGE, "snapshot of %zu bytes", len);
		return NULL;
	}
	value = jcursor_parse(text, len, &fault);
	if (value) {
		fleet = fleet_create();
		root = jcursor_root(value, &fault);
		read_state_text(fleet, &root);
		json_object_put(value);
	}
	if (fault.kind == ERR_OK)
		return fleet;
	fleet_destroy(fleet);
	if (err)
		*err = fault;
	return NULL;
}

uint64_t fleet_text_hash(const struct fleet *fleet)
{
	size_t len;
	char *text = fleet_text_encode(fleet, &len);
	uint64_t hash = text ? rnd_hash(RND_HASH_START, text, len) : 0;

	free(text);
	return hash;
}
