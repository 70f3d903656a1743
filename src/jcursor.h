/*
 * NAME
 *	jcursor - checked access to JSON values
 *
 * A struct jcursor is a value with its path from the root, so that an error
 * names the path, the value found and the value expected. All cursors derived
 * from one root share a struct err. It keeps the first error; later calls do
 * nothing and return neutral values, so that a caller checks once at the end.
 */
#ifndef JCURSOR_H
#define JCURSOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <json-c/json.h>

#include "err.h"

enum { JCURSOR_PATH_BYTES = 256 };

struct jcursor {
	struct json_object *value; /* NULL: absent */
	struct err *err;
	char path[JCURSOR_PATH_BYTES];
};

/*
 * jcursor_parse - parse a JSON text that may contain comments
 *
 * The text need not end in a zero byte. Duplicate keys of an object, nesting
 * deeper than LIMIT_JSON_DEPTH, and anything after the value are refused.
 *
 * A null at the top level is refused too, as json-c represents it by NULL.
 *
 * RETURN VALUE
 *	The value, which the caller releases with json_object_put, or NULL
 *	with err filled in (ERR_INVALID).
 */
struct json_object *jcursor_parse(const char *text, size_t len,
				  struct err *err);

/*
 * jcursor_parse_bytes - like jcursor_parse, but strings may hold any bytes
 *
 * For lists whose strings the caller checks one by one, so that a string that
 * is not valid UTF-8 does not make the other entries unreadable.
 */
struct json_object *jcursor_parse_bytes(const char *text, size_t len,
					struct err *err);

/* jcursor_root - cursor at a parsed value; err->kind must be ERR_OK */
struct jcursor jcursor_root(struct json_object *value, struct err *err);

/* jcursor_member - cursor at a member, which may be absent */
struct jcursor jcursor_member(const struct jcursor *at, const char *key);

/* jcursor_item - cursor at an item of an array */
struct jcursor jcursor_item(const struct jcursor *at, size_t index);

/*
 * jcursor_check_keys - refuse members of an object that are not in a list
 *
 * keys ends with NULL. A value that is not an object is refused too.
 */
void jcursor_check_keys(const struct jcursor *at, const char *const *keys);

/* jcursor_check_object - whether the value is an object; refuse any other type */
bool jcursor_check_object(const struct jcursor *at);

/* jcursor_check_array - length of an array; refuse any other type, returning 0 */
size_t jcursor_check_array(const struct jcursor *at, size_t max_items);

/*
 * jcursor_string - copy a string of 1 to size - 1 bytes
 *
 * fallback is used if the value is absent; NULL means that it is required.
 */
void jcursor_string(const struct jcursor *at, char *out, size_t size,
		    const char *fallback);

/* jcursor_name - like jcursor_string, for a required name of [A-Za-z0-9._-] */
void jcursor_name(const struct jcursor *at, char *out, size_t size);

/* jcursor_int - integer from min to max; required if fallback < min */
int64_t jcursor_int(const struct jcursor *at, int64_t min, int64_t max,
		    int64_t fallback);

/* jcursor_double - number from min to max; fallback if absent */
double jcursor_double(const struct jcursor *at, double min, double max,
		      double fallback);

/* jcursor_bool - true or false; fallback if absent */
bool jcursor_bool(const struct jcursor *at, bool fallback);

/* jcursor_refuse - set the error; fmt describes the expected value */
void jcursor_refuse(const struct jcursor *at, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* jcursor_refuse_secret - like jcursor_refuse, without showing the value */
void jcursor_refuse_secret(const struct jcursor *at, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * jcursor_valid_name - whether text is a name: 1 to LIMIT_NAME_BYTES - 1 bytes
 * of [A-Za-z0-9._-]
 */
bool jcursor_valid_name(const char *text);

/* jcursor_put_string, jcursor_put_int - add a member to an object */
void jcursor_put_string(struct json_object *obj, const char *key,
			const char *value);
void jcursor_put_int(struct json_object *obj, const char *key, int64_t value);

#endif
