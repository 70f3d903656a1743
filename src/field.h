/*
 * NAME
 *	field - members of a struct to and from members of a JSON object, by a
 *	table of field descriptions
 */
#ifndef FIELD_H
#define FIELD_H

#include <stddef.h>
#include <stdint.h>

#include "jcursor.h"

enum field_kind {
	FIELD_NAME,	/* char array: a name, see jcursor_valid_name */
	FIELD_TEXT,	/* char array, not empty */
	FIELD_OPT_TEXT, /* char array; left out of the object when empty */
	FIELD_INT,	/* int64_t */
	FIELD_OPT_INT,	/* int64_t; left out of the object when it is min */
	FIELD_BOOL,	/* bool */
	FIELD_JSON	/* char *: text of an object, allocated with malloc */
};

struct field {
	const char *name;
	enum field_kind kind;
	size_t offset;
	size_t size; /* of a char array */
	int64_t min;
	int64_t max;
};

/* Field descriptions of a char array and of a number. */
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

/* field_read - read one described field of an object, refusing a wrong value */
void field_read(const struct jcursor *object, const struct field *field,
		void *target);

/* field_write - add one described field to an object */
void field_write(struct json_object *object, const struct field *field,
		 const void *source);

/* field_read_all, field_write_all - all fields of a table; other keys are refused */
void field_read_all(const struct jcursor *object, const struct field *table,
		    size_t count, void *target);
void field_write_all(struct json_object *object, const struct field *table,
		     size_t count, const void *source);

#endif
