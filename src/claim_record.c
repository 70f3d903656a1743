#include "claim_record.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "jcursor.h"

enum { KEY_HEX_BYTES = 33 };

static void key_to_hex(const struct claim_key *key, char *hex)
{
	for (size_t i = 0; i < sizeof(key->bytes); i++)
		snprintf(hex + 2 * i, 3, "%02x", key->bytes[i]);
}

static void read_key(const struct jcursor *at, struct claim_key *key)
{
	char hex[KEY_HEX_BYTES];

	jcursor_string(at, hex, sizeof(hex), NULL);
	if (at->err->kind != ERR_OK)
		return;
	for (size_t i = 0; i < sizeof(key->bytes); i++) {
		int high = g_ascii_xdigit_value(hex[2 * i]);
		int low = high < 0 ? -1 : g_ascii_xdigit_value(hex[2 * i + 1]);

		if (low < 0) {
			jcursor_refuse(at, "32 hexadecimal digits");
			return;
		}
		key->bytes[i] = (uint8_t)(high << 4 | low);
	}
}

static size_t read_keys(const struct jcursor *root, const char *name,
			struct claim_key *keys)
{
	struct jcursor list = jcursor_member(root, name);
	size_t count = jcursor_check_array(&list, CLAIM_RECORD_KEYS);

	for (size_t i = 0; i < count; i++) {
		struct jcursor at = jcursor_item(&list, i);

		read_key(&at, &keys[i]);
	}
	return count;
}

int claim_record_parse(struct claim_record *record, const char *data,
		       size_t len)
{
	static const char *const keys[] = { "type",   "process",     "batch",
					    "author", "incarnation", "at_ms",
					    "claims", "releases",    NULL };
	struct err fault = { .kind = ERR_OK };
	struct json_object *value = jcursor_parse(data, len, &fault);
	struct jcursor root = jcursor_root(value, &fault);
	struct jcursor type_at = jcursor_member(&root, "type");
	struct jcursor process_at = jcursor_member(&root, "process");
	struct jcursor author_at = jcursor_member(&root, "author");
	struct jcursor batch_at = jcursor_member(&root, "batch");
	struct jcursor incarnation_at = jcursor_member(&root, "incarnation");
	struct jcursor time_at = jcursor_member(&root, "at_ms");
	char type[LIMIT_NAME_BYTES];

	if (!value)
		return ERR_INVALID;
	jcursor_check_keys(&root, keys);
	jcursor_name(&type_at, type, sizeof(type));
	if (strcmp(type, "claims"))
		jcursor_refuse(&type_at, "\"claims\"");
	jcursor_name(&process_at, record->process, sizeof(record->process));
	jcursor_name(&author_at, record->author, sizeof(record->author));
	record->batch = jcursor_int(&batch_at, 0, LIMIT_NUMBER_MAX, -1);
	record->incarnation =
		jcursor_int(&incarnation_at, 0, LIMIT_NUMBER_MAX, -1);
	record->at_ms = jcursor_int(&time_at, 0, LIMIT_NUMBER_MAX, -1);
	record->claim_count = read_keys(&root, "claims", record->keys);
	record->release_count = read_keys(&root, "releases",
					  record->keys + record->claim_count);
	json_object_put(value);
	return fault.kind;
}

static void put_keys(struct json_object *root, const char *name,
		     const struct claim_key *keys, size_t count)
{
	struct json_object *list = json_object_new_array();
	char hex[KEY_HEX_BYTES];

	for (size_t i = 0; i < count; i++) {
		key_to_hex(&keys[i], hex);
		json_object_array_add(list, json_object_new_string(hex));
	}
	json_object_object_add(root, name, list);
}

char *claim_record_encode(const struct claim_record *record)
{
	struct json_object *root = json_object_new_object();
	char *text;

	jcursor_put_string(root, "type", "claims");
	jcursor_put_string(root, "process", record->process);
	jcursor_put_int(root, "batch", record->batch);
	jcursor_put_string(root, "author", record->author);
	jcursor_put_int(root, "incarnation", record->incarnation);
	jcursor_put_int(root, "at_ms", record->at_ms);
	put_keys(root, "claims", record->keys, record->claim_count);
	put_keys(root, "releases", record->keys + record->claim_count,
		 record->release_count);
	text = g_strdup(
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}
