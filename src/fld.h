/*
 * NAME
 *	fld - members of a struct to and from members of a JSON object, by a
 *	table of field descriptions
 */
#ifndef FLD_H
#define FLD_H

#include <stddef.h>
#include <stdint.h>

#include "jsn.h"

enum fld_kind {
	FLD_NAME,     /* char array: a name, see jsn_valid_name */
	FLD_TEXT,     /* char array, not empty */
	FLD_OPT_TEXT, /* char array; left out of the object when empty */
	FLD_INT,      /* int64_t */
	FLD_OPT_INT,  /* int64_t; left out of the object when it is min */
	FLD_BOOL,     /* bool */
	FLD_JSON      /* char *: text of an object, allocated with malloc */
};

struct fld {
	const char *name;
	enum fld_kind kind;
	size_t offset;
	size_t size; /* of a char array */
	int64_t min;
	int64_t max;
};

/* Field descriptions of a char array and of a number. */
#define FLD_ARRAY(type, member, kind)                                          \
	{                                                                      \
#member, kind, offsetof(struct type, member),                  \
			sizeof(((struct type *)0)->member), 0, 0               \
	}
#define FLD_NUMBER(type, member, min, max)                                     \
	{                                                                      \
#member, FLD_INT, offsetof(struct type, member), 0, min, max   \
	}
#define FLD_OPT_NUMBER(type, member, min, max)                                 \
	{                                                                      \
#member, FLD_OPT_INT, offsetof(struct type, member), 0, min,   \
			max                                                    \
	}

/* fld_read - read one described field of an object, refusing a wrong value */
void fld_read(const struct jsn *object, const struct fld *fld, void *target);

/* fld_write - add one described field to an object */
void fld_write(struct json_object *object, const struct fld *fld,
	       const void *source);

/* fld_read_all, fld_write_all - all fields of a table; other keys are refused */
void fld_read_all(const struct jsn *object, const struct fld *table,
		  size_t count, void *target);
void fld_write_all(struct json_object *object, const struct fld *table,
		   size_t count, const void *source);

#endif
