/*
 * NAME
 *	field - converts struct members to and from JSON members, as described
 *	by a table
 */
#ifndef FIELD_H
#define FIELD_H

#include <stddef.h>
#include <stdint.h>

#include "jcursor.h"

enum field_kind {
	FIELD_NAME,	/* char array; a name, see jcursor_valid_name */
	FIELD_TEXT,	/* char array, not empty */
	FIELD_OPT_TEXT, /* char array; omitted from the object if empty */
	FIELD_INT,	/* int64_t */
	FIELD_OPT_INT,	/* int64_t; omitted from the object if equal to min */
	FIELD_BOOL,	/* bool */
	FIELD_JSON /* char *; JSON text of an object, allocated with malloc */
};

struct field {
	const char *name;
	enum field_kind kind;
	size_t offset; /* in the struct */
	size_t size;   /* of a char array */
	int64_t min;   /* of an int64_t */
	int64_t max;
};

/* Descriptions of a char array, a number, and an optional number. */
#define FIELD_ARRAY(type, member, kind)                                        \
	{                                                                      \
#member, kind, offsetof(struct type, member),                  \
			sizeof(((struct type *)0)->member), 0, 0               \
	}
#define FIELD_NUMBER(type, member, min, max)                                   \
	{                                                                      \
#member, FIELD_INT, offsetof(struct type, member), 0, min, max \
	}
#define FIELD_OPT_NUMBER(type, member, min, max)                               \
	{                                                                      \
#member, FIELD_OPT_INT, offsetof(struct type, member), 0, min, \
			max                                                    \
	}

/* field_read - read one field of an object; a wrong value is refused */
void field_read(const struct jcursor *object, const struct field *field,
		void *target);

/* field_write - add one field to an object */
void field_write(struct json_object *object, const struct field *field,
		 const void *source);

/* field_read_all - read all fields of a table; other keys are refused */
void field_read_all(const struct jcursor *object, const struct field *table,
		    size_t count, void *target);

/* field_write_all - add all fields of a table to an object */
void field_write_all(struct json_object *object, const struct field *table,
		     size_t count, const void *source);

#endif
