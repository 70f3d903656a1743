/*
 * NAME
 *	jsn - checked access to JSON values
 *
 * A struct jsn is a cursor: a value together with its path from the root, so
 * that every refusal names the path, the value seen and the value wanted.
 * The first refusal is kept; later calls of the same cursor family do nothing
 * and return neutral values, so that a caller checks once at the end.
 */
#ifndef JSN_H
#define JSN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "err.h"

enum { JSN_PATH_BYTES = 256 };

struct jsn {
	struct json_object *value; /* NULL: absent */
	struct err *err;
	char path[JSN_PATH_BYTES];
};

/*
 * jsn_parse - parse a text that may hold comments
 *
 * The text need not end in a zero byte. Duplicate keys of an object, nesting
 * deeper than LIMIT_JSON_DEPTH, and anything after the value are refused.
 *
 * A lone null is refused too: it is no object of json-c.
 *
 * RETURN VALUE
 *	The value, which the caller releases with json_object_put, or NULL
 *	with err filled in (ERR_INVALID).
 */
struct json_object *jsn_parse(const char *text, size_t len, struct err *err);

/*
 * jsn_parse_bytes - as jsn_parse, for strings that may hold any bytes
 *
 * For an envelope whose strings are checked one by one, so that one string
 * that is not UTF-8 does not hide the others.
 */
struct json_object *jsn_parse_bytes(const char *text, size_t len,
				    struct err *err);

/* jsn_root - cursor at a parsed value; err must start with kind ERR_OK */
struct jsn jsn_root(struct json_object *value, struct err *err);

/* jsn_member - cursor at a member, which may be absent */
struct jsn jsn_member(const struct jsn *at, const char *key);

/* jsn_item - cursor at an item of an array */
struct jsn jsn_item(const struct jsn *at, size_t index);

/*
 * jsn_keys - refuse members of an object that are not in a list
 *
 * keys ends with NULL. Refuses a value that is not an object, too.
 */
void jsn_keys(const struct jsn *at, const char *const *keys);

/* jsn_object, jsn_array - refuse another type; the array's length or 0 */
bool jsn_object(const struct jsn *at);
size_t jsn_array(const struct jsn *at, size_t max_items);

/*
 * jsn_string - copy a string of 1 to size - 1 bytes
 *
 * fallback is used if the value is absent; NULL means that it is required.
 */
void jsn_string(const struct jsn *at, char *out, size_t size,
		const char *fallback);

/* jsn_name - as jsn_string, for a required name of [A-Za-z0-9._-] */
void jsn_name(const struct jsn *at, char *out, size_t size);

/* jsn_int - whole number within bounds; required if fallback < min */
int64_t jsn_int(const struct jsn *at, int64_t min, int64_t max,
		int64_t fallback);

/* jsn_double - number within bounds; fallback if absent */
double jsn_double(const struct jsn *at, double min, double max,
		  double fallback);

/* jsn_bool - true or false; fallback if absent */
bool jsn_bool(const struct jsn *at, bool fallback);

/* jsn_refuse - refuse the value at the cursor, saying what is wanted */
void jsn_refuse(const struct jsn *at, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* jsn_refuse_secret - as jsn_refuse, without showing the value */
void jsn_refuse_secret(const struct jsn *at, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* jsn_valid_name - whether text is a name of 1 to LIMIT_NAME_BYTES - 1 bytes */
bool jsn_valid_name(const char *text);

/* jsn_put_string, jsn_put_int - add a member while building an object */
void jsn_put_string(struct json_object *obj, const char *key,
		    const char *value);
void jsn_put_int(struct json_object *obj, const char *key, int64_t value);

#endif
