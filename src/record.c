#include "record.h"

#include <stdlib.h>
#include <string.h>

#include "field.h"
#include "jcursor.h"

enum {
	F_TEAM = 1 << 0,
	F_BASE = 1 << 1,
	F_SETTINGS = 1 << 2,
	F_HOST = 1 << 3,
	F_REASON = 1 << 4,
	F_DRAIN = 1 << 5,
	F_MEMBER = 1 << 6,
	F_INCARNATION = 1 << 7,
	F_SEQ = 1 << 8,
	F_SEEN = 1 << 9,
	F_DATA_CENTRE = 1 << 10,
	F_RACK = 1 << 11,
	F_ADDRESS = 1 << 12,
	F_PORT = 1 << 13,
	F_CPU = 1 << 14,
	F_MEM = 1 << 15,
	F_ACCELERATORS = 1 << 16,
	F_SLOTS = 1 << 17,
	F_CONNECTIONS = 1 << 18,
	F_WAVE = 1 << 19,
	F_POOL = 1 << 20,
	F_BOOT_ID = 1 << 21,
	F_BY_OPERATOR = 1 << 22,
	F_MOVE_TO = 1 << 23
};

/* Fields that depend on the type; bit i of a field_mask selects field i. */
static const struct field fields[] = {
	FIELD_ARRAY(record, team, FIELD_NAME),
	FIELD_NUMBER(record, base, -1, LIMIT_NUMBER_MAX),
	{ "settings", FIELD_JSON, offsetof(struct record, settings), 0, 0, 0 },
	FIELD_ARRAY(record, host, FIELD_NAME),
	FIELD_ARRAY(record, reason, FIELD_TEXT),
	FIELD_NUMBER(record, drain, 0, LIMIT_NUMBER_MAX),
	FIELD_ARRAY(record, member, FIELD_NAME),
	FIELD_NUMBER(record, incarnation, 0, LIMIT_NUMBER_MAX),
	FIELD_NUMBER(record, seq, 0, LIMIT_NUMBER_MAX),
	FIELD_NUMBER(record, seen, 0, LIMIT_NUMBER_MAX),
	FIELD_ARRAY(record, data_centre, FIELD_NAME),
	FIELD_ARRAY(record, rack, FIELD_NAME),
	FIELD_ARRAY(record, address, FIELD_TEXT),
	FIELD_NUMBER(record, port, 1, 65535),
	FIELD_NUMBER(record, cpu_milli, 0, 1000000000),
	FIELD_NUMBER(record, mem_mib, 0, 1000000000),
	FIELD_NUMBER(record, accelerators, 0, 1000000),
	FIELD_NUMBER(record, slots, 1, 1000000),
	FIELD_NUMBER(record, connections, 1, 1000000),
	FIELD_ARRAY(record, wave, FIELD_OPT_TEXT),
	FIELD_ARRAY(record, pool, FIELD_NAME),
	FIELD_OPT_NUMBER(record, boot_id, 0, LIMIT_NUMBER_MAX),
	{ "by_operator", FIELD_BOOL, offsetof(struct record, by_operator), 0, 0,
	  0 },
	FIELD_ARRAY(record, move_to, FIELD_OPT_TEXT),
};

enum {
	FIELD_COUNT = sizeof(fields) / sizeof(fields[0]),
	HOST_ATTRIBUTES = F_DATA_CENTRE | F_RACK | F_ADDRESS | F_PORT | F_CPU |
			  F_MEM | F_ACCELERATORS | F_SLOTS | F_CONNECTIONS |
			  F_BOOT_ID
};

static const struct {
	const char *name;
	uint32_t field_mask;
} types[RECORD_TYPE_COUNT] = {
	[RECORD_SETTINGS] = { "settings", F_TEAM | F_BASE | F_SETTINGS },
	[RECORD_HOST] = { "host", F_HOST | HOST_ATTRIBUTES },
	[RECORD_MEMBER] = { "member", F_MEMBER | F_INCARNATION | F_SEQ |
					      F_DATA_CENTRE | F_ADDRESS |
					      F_PORT },
	[RECORD_MEMBER_LEFT] = { "member-left", F_MEMBER | F_INCARNATION },
	[RECORD_MEMBER_EXPIRED] = { "member-expired",
				    F_MEMBER | F_INCARNATION | F_SEEN },
	[RECORD_DRAIN] = { "drain", F_HOST | F_REASON | F_WAVE | F_MOVE_TO |
					    F_BY_OPERATOR },
	[RECORD_QUIET] = { "quiet",
			   F_HOST | F_DRAIN | F_MEMBER | F_INCARNATION },
	[RECORD_UNDRAIN] = { "undrain", F_HOST | F_REASON },
	[RECORD_REBOOT] = { "reboot", F_HOST | F_DRAIN },
	[RECORD_RETURN] = { "return", F_HOST | F_REASON | F_BY_OPERATOR },
	[RECORD_FAIL] = { "fail", F_HOST | F_REASON | F_BY_OPERATOR },
	[RECORD_RETIRE] = { "retire", F_HOST | F_DRAIN },
	[RECORD_ASSIGN] = { "assign", F_HOST | F_DRAIN | F_POOL },
};

const char *record_type_name(enum record_type type)
{
	return type < RECORD_TYPE_COUNT ? types[type].name : "unknown";
}

static int find_type(const char *name)
{
	for (int i = 0; i < RECORD_TYPE_COUNT; i++)
		if (!strcmp(types[i].name, name))
			return i;
	return -1;
}

static bool valid_id(const char *id)
{
	return strlen(id) == LIMIT_ID_BYTES - 1 &&
	       strspn(id, "0123456789abcdef") == LIMIT_ID_BYTES - 1;
}

static void read_record(const struct jcursor *root, struct record *rec)
{
	const char *keys[FIELD_COUNT + 5] = { "type", "id", "author", "at_ms" };
	char type_name[LIMIT_NAME_BYTES];
	size_t count = 4;
	struct jcursor at;
	int type;

	if (!jcursor_check_object(root))
		return;
	at = jcursor_member(root, "type");
	jcursor_string(&at, type_name, sizeof(type_name), NULL);
	type = find_type(type_name);
	if (type < 0) {
		jcursor_refuse(&at, "a known record type");
		return;
	}
	rec->type = (enum record_type)type;
	at = jcursor_member(root, "id");
	jcursor_string(&at, rec->id, sizeof(rec->id), NULL);
	if (!valid_id(rec->id))
		jcursor_refuse(&at, "32 hexadecimal digits");
	at = jcursor_member(root, "author");
	jcursor_name(&at, rec->author, sizeof(rec->author));
	at = jcursor_member(root, "at_ms");
	rec->at_ms = jcursor_int(&at, 0, LIMIT_NUMBER_MAX, -1);
	for (size_t i = 0; i < FIELD_COUNT; i++) {
		if (!(types[type].field_mask & 1u << i))
			continue;
		keys[count++] = fields[i].name;
		field_read(root, &fields[i], rec);
	}
	keys[count] = NULL;
	jcursor_check_keys(root, keys);
}

int record_parse(struct record *rec, const char *text, size_t len,
		 struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct json_object *value;
	struct jcursor root;

	memset(rec, 0, sizeof(*rec));
	if (len > LIMIT_RECORD_BYTES)
		return err_set(err, ERR_TOO_LARGE,
			       "record of %zu bytes, at most %d wanted", len,
			       LIMIT_RECORD_BYTES);
	value = jcursor_parse(text, len, &fault);
	if (value) {
		root = jcursor_root(value, &fault);
		read_record(&root, rec);
		json_object_put(value);
	}
	if (fault.kind == ERR_OK)
		return 0;
	record_clear(rec);
	if (err)
		*err = fault;
	return fault.kind;
}

char *record_encode(const struct record *rec)
{
	struct json_object *obj = json_object_new_object();
	char *text;

	jcursor_put_string(obj, "type", record_type_name(rec->type));
	jcursor_put_string(obj, "id", rec->id);
	jcursor_put_string(obj, "author", rec->author);
	jcursor_put_int(obj, "at_ms", rec->at_ms);
	for (size_t i = 0; i < FIELD_COUNT; i++)
		if (types[rec->type].field_mask & 1u << i)
			field_write(obj, &fields[i], rec);
	text = strdup(
		json_object_to_json_string_ext(obj, JSON_C_TO_STRING_PLAIN));
	json_object_put(obj);
	return text;
}

void record_clear(struct record *rec)
{
	free(rec->settings);
	rec->settings = NULL;
}
