#include "jcursor.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "limit.h"

/*
 * Finds keys that json-c silently mishandles: it keeps the last of two members
 * with the same key, and truncates a key at a zero byte. Reports such a key
 * with its path. The text must be one that json-c accepts. Its depth is limited
 * here too: json-c does not end a comment at a slash after two asterisks, so
 * this may see nesting where json-c sees a comment.
 */
struct key_scan {
	const char *p;
	const char *end;
	const char *error; /* what is wrong at path */
	int depth;	   /* of the value that is being scanned */
	char path[JCURSOR_PATH_BYTES];
};

static void skip_space(struct key_scan *scan)
{
	while (scan->p < scan->end) {
		const char *p = scan->p;
		size_t left = (size_t)(scan->end - p);

		if (isspace((unsigned char)*p)) {
			scan->p++;
		} else if (left > 1 && p[0] == '/' && p[1] == '/') {
			while (scan->p < scan->end && *scan->p != '\n')
				scan->p++;
		} else if (left > 1 && p[0] == '/' && p[1] == '*') {
			scan->p += 2;
			while (scan->p + 1 < scan->end &&
			       !(scan->p[0] == '*' && scan->p[1] == '/'))
				scan->p++;
			scan->p = scan->p + 2 < scan->end ? scan->p + 2
							  : scan->end;
		} else {
			return;
		}
	}
}

static void skip_string(struct key_scan *scan)
{
	char quote = *scan->p++;

	while (scan->p < scan->end && *scan->p != quote)
		scan->p += *scan->p == '\\' && scan->p + 1 < scan->end ? 2 : 1;
	if (scan->p < scan->end)
		scan->p++;
}

static void scan_value(struct key_scan *scan);

/* Puts a part in front of the path of what is wrong. */
static void prefix_path(struct key_scan *scan, const char *part)
{
	char rest[JCURSOR_PATH_BYTES];
	bool member = scan->path[0] && scan->path[0] != '[';

	memcpy(rest, scan->path, sizeof(rest));
	snprintf(scan->path, sizeof(scan->path), "%s%s%s", part,
		 member ? "." : "", rest);
}

/* Decodes the escapes of a key, between its quotes; NULL if that fails. */
static struct json_object *decode_key(const char *start, size_t len)
{
	struct json_tokener *tok;
	struct json_object *key;

	if (!memchr(start, '\\', len))
		return json_object_new_string_len(start + 1, (int)len - 2);
	tok = json_tokener_new();
	if (!tok)
		return NULL;
	key = json_tokener_parse_ex(tok, start, (int)len);
	json_tokener_free(tok);
	return key;
}

/* Reads a key, and adds it to the keys seen; returns it. */
static struct json_object *scan_key(struct key_scan *scan,
				    struct json_object *seen)
{
	const char *start = scan->p;
	struct json_object *key;
	const char *text;

	skip_string(scan);
	key = decode_key(start, (size_t)(scan->p - start));
	text = key ? json_object_get_string(key) : "";
	if (key && strlen(text) != (size_t)json_object_get_string_len(key))
		scan->error = "a key with a zero byte given, each key "
			      "once wanted";
	else if (json_object_object_get_ex(seen, text, NULL))
		scan->error = "a second key of this name given, each key "
			      "once wanted";
	else
		json_object_object_add(seen, text, NULL);
	return key;
}

/* Ends a member or item: skips the separator. */
static void leave(struct key_scan *scan)
{
	skip_space(scan);
	if (scan->p < scan->end && *scan->p == ',')
		scan->p++;
}

static void scan_object(struct key_scan *scan)
{
	struct json_object *seen = json_object_new_object();

	scan->p++;
	while (seen && !scan->error) {
		struct json_object *key;

		skip_space(scan);
		if (scan->p >= scan->end || *scan->p == '}')
			break;
		key = scan_key(scan, seen);
		skip_space(scan);
		if (scan->p < scan->end && *scan->p == ':')
			scan->p++;
		scan_value(scan);
		if (scan->error)
			prefix_path(scan,
				    key ? json_object_get_string(key) : "");
		json_object_put(key);
		leave(scan);
	}
	if (scan->p < scan->end)
		scan->p++;
	json_object_put(seen);
}

static void scan_array(struct key_scan *scan)
{
	size_t index = 0;

	scan->p++;
	for (; !scan->error; index++) {
		skip_space(scan);
		if (scan->p >= scan->end || *scan->p == ']')
			break;
		scan_value(scan);
		if (scan->error) {
			char part[32];

			snprintf(part, sizeof(part), "[%zu]", index);
			prefix_path(scan, part);
		}
		leave(scan);
	}
	if (scan->p < scan->end)
		scan->p++;
}

static void scan_value(struct key_scan *scan)
{
	skip_space(scan);
	if (scan->p >= scan->end || scan->error)
		return;
	if (scan->depth == LIMIT_JSON_DEPTH) {
		scan->error = "nested too deep";
		return;
	}
	scan->depth++;
	if (*scan->p == '{') {
		scan_object(scan);
	} else if (*scan->p == '[') {
		scan_array(scan);
	} else if (*scan->p == '"' || *scan->p == '\'') {
		skip_string(scan);
	} else {
		const char *start = scan->p;

		while (scan->p < scan->end && !strchr(",]}/ \t\r\n", *scan->p))
			scan->p++;
		if (scan->p == start)
			scan->p++;
	}
	scan->depth--;
}

static struct json_object *parse(const char *text, size_t len, int flags,
				 struct err *err)
{
	struct json_tokener *tok = json_tokener_new_ex(LIMIT_JSON_DEPTH);
	struct key_scan scan = { .p = text, .end = text + len };
	struct json_object *value;
	enum json_tokener_error error;
	size_t used;

	if (!tok) {
		err_set(err, ERR_NO_MEMORY, "out of memory");
		return NULL;
	}
	json_tokener_set_flags(tok, flags);
	value = json_tokener_parse_ex(tok, text, (int)len);
	error = json_tokener_get_error(tok);
	/* json-c takes a bare number at the end of the text for incomplete. */
	if (error == json_tokener_continue && !value) {
		value = json_tokener_parse_ex(tok, "", 1);
		error = json_tokener_get_error(tok);
		used = len;
	} else {
		used = json_tokener_get_parse_end(tok);
	}
	json_tokener_free(tok);
	if (error != json_tokener_success) {
		json_object_put(value);
		err_set(err, ERR_INVALID, "not valid JSON at byte %zu: %s",
			used, json_tokener_error_desc(error));
		return NULL;
	}
	/* json-c represents null by NULL, as if there were no value. */
	if (!value) {
		err_set(err, ERR_INVALID, "(root): null given, a value wanted");
		return NULL;
	}
	scan.p = text + used;
	skip_space(&scan);
	if (scan.p < scan.end) {
		json_object_put(value);
		err_set(err, ERR_INVALID,
			"text after the JSON value at byte %zu", used);
		return NULL;
	}
	scan.p = text;
	scan_value(&scan);
	if (scan.error) {
		json_object_put(value);
		err_set(err, ERR_INVALID, "%s: %s", scan.path, scan.error);
		return NULL;
	}
	return value;
}

struct json_object *jcursor_parse(const char *text, size_t len, struct err *err)
{
	return parse(text, len, JSON_TOKENER_VALIDATE_UTF8, err);
}

struct json_object *jcursor_parse_bytes(const char *text, size_t len,
					struct err *err)
{
	return parse(text, len, 0, err);
}

struct jcursor jcursor_root(struct json_object *value, struct err *err)
{
	return (struct jcursor){ .value = value, .err = err };
}

struct jcursor jcursor_member(const struct jcursor *at, const char *key)
{
	struct jcursor member = { .err = at->err };

	if (json_object_is_type(at->value, json_type_object))
		json_object_object_get_ex(at->value, key, &member.value);
	snprintf(member.path, sizeof(member.path), "%s%s%s", at->path,
		 at->path[0] ? "." : "", key);
	return member;
}

struct jcursor jcursor_item(const struct jcursor *at, size_t index)
{
	struct jcursor item = { .err = at->err };

	if (json_object_is_type(at->value, json_type_array))
		item.value = json_object_array_get_idx(at->value, index);
	snprintf(item.path, sizeof(item.path), "%s[%zu]", at->path, index);
	return item;
}

static void refuse(const struct jcursor *at, const char *found, const char *fmt,
		   va_list ap)
{
	char expected[LIMIT_REASON_BYTES];

	vsnprintf(expected, sizeof(expected), fmt, ap);
	err_set(at->err, ERR_INVALID, "%s: %.80s given, %s wanted",
		at->path[0] ? at->path : "(root)", found, expected);
}

void jcursor_refuse(const struct jcursor *at, const char *fmt, ...)
{
	const char *found = "nothing";
	va_list ap;

	if (at->err->kind != ERR_OK)
		return;
	if (at->value)
		found = json_object_to_json_string_ext(at->value,
						       JSON_C_TO_STRING_PLAIN);
	va_start(ap, fmt);
	refuse(at, found, fmt, ap);
	va_end(ap);
}

void jcursor_refuse_secret(const struct jcursor *at, const char *fmt, ...)
{
	va_list ap;

	if (at->err->kind != ERR_OK)
		return;
	va_start(ap, fmt);
	refuse(at, at->value ? "(not shown)" : "nothing", fmt, ap);
	va_end(ap);
}

bool jcursor_check_object(const struct jcursor *at)
{
	if (json_object_is_type(at->value, json_type_object))
		return at->err->kind == ERR_OK;
	jcursor_refuse(at, "an object");
	return false;
}

void jcursor_check_keys(const struct jcursor *at, const char *const *keys)
{
	if (!jcursor_check_object(at))
		return;
	json_object_object_foreach(at->value, key, member)
	{
		const char *const *known = keys;

		while (*known && strcmp(*known, key))
			known++;
		if (!*known) {
			struct jcursor unknown = jcursor_member(at, key);
			char list[LIMIT_REASON_BYTES] = "";

			for (known = keys; *known; known++) {
				strncat(list, " ",
					sizeof(list) - strlen(list) - 1);
				strncat(list, *known,
					sizeof(list) - strlen(list) - 1);
			}
			unknown.value = member;
			jcursor_refuse(&unknown, "unknown key; one of%s", list);
			return;
		}
	}
}

size_t jcursor_check_array(const struct jcursor *at, size_t max_items)
{
	size_t count;

	if (at->err->kind != ERR_OK)
		return 0;
	if (!json_object_is_type(at->value, json_type_array)) {
		jcursor_refuse(at, "a list");
		return 0;
	}
	count = json_object_array_length(at->value);
	if (count > max_items) {
		jcursor_refuse(at, "a list of at most %zu", max_items);
		return 0;
	}
	return count;
}

void jcursor_string(const struct jcursor *at, char *out, size_t size,
		    const char *fallback)
{
	size_t len;

	out[0] = 0;
	if (at->err->kind != ERR_OK)
		return;
	if (!at->value && fallback) {
		snprintf(out, size, "%s", fallback);
		return;
	}
	len = (size_t)json_object_get_string_len(at->value);
	if (!json_object_is_type(at->value, json_type_string) || len == 0 ||
	    len >= size || strlen(json_object_get_string(at->value)) != len) {
		jcursor_refuse(at, "a text of 1 to %zu bytes", size - 1);
		return;
	}
	memcpy(out, json_object_get_string(at->value), len + 1);
}

bool jcursor_valid_name(const char *text)
{
	size_t len = strlen(text);

	if (len == 0 || len >= LIMIT_NAME_BYTES)
		return false;
	for (size_t i = 0; i < len; i++)
		if (!isalnum((unsigned char)text[i]) && !strchr("._-", text[i]))
			return false;
	return true;
}

void jcursor_name(const struct jcursor *at, char *out, size_t size)
{
	jcursor_string(at, out, size, NULL);
	if (at->err->kind == ERR_OK && !jcursor_valid_name(out))
		jcursor_refuse(at,
			       "a name of letters, digits, '.', '_' and '-'");
}

int64_t jcursor_int(const struct jcursor *at, int64_t min, int64_t max,
		    int64_t fallback)
{
	int64_t value;

	if (at->err->kind != ERR_OK)
		return min;
	if (!at->value && fallback >= min)
		return fallback;
	value = json_object_get_int64(at->value);
	/* json-c clamps a number that does not fit an int64_t. */
	if (!json_object_is_type(at->value, json_type_int) || value < min ||
	    value > max || json_object_get_uint64(at->value) > INT64_MAX) {
		jcursor_refuse(at,
			       "a whole number from %" PRId64 " to %" PRId64,
			       min, max);
		return min;
	}
	return value;
}

double jcursor_double(const struct jcursor *at, double min, double max,
		      double fallback)
{
	double value;

	if (at->err->kind != ERR_OK || !at->value)
		return fallback;
	value = json_object_get_double(at->value);
	if ((!json_object_is_type(at->value, json_type_int) &&
	     !json_object_is_type(at->value, json_type_double)) ||
	    !(value >= min && value <= max)) {
		jcursor_refuse(at, "a number from %g to %g", min, max);
		return fallback;
	}
	return value;
}

bool jcursor_bool(const struct jcursor *at, bool fallback)
{
	if (at->err->kind != ERR_OK || !at->value)
		return fallback;
	if (!json_object_is_type(at->value, json_type_boolean)) {
		jcursor_refuse(at, "true or false");
		return fallback;
	}
	return json_object_get_boolean(at->value);
}

void jcursor_put_string(struct json_object *obj, const char *key,
			const char *value)
{
	json_object_object_add(obj, key, json_object_new_string(value));
}

void jcursor_put_int(struct json_object *obj, const char *key, int64_t value)
{
	json_object_object_add(obj, key, json_object_new_int64(value));
}
