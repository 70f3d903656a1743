#include "fld.h"

#include <stdlib.h>
#include <string.h>

enum { MAX_FIELDS = 32 };

void fld_read(const struct jsn *object, const struct fld *fld, void *target)
{
	struct jsn at = jsn_member(object, fld->name);
	void *to = (char *)target + fld->offset;

	switch (fld->kind) {
	case FLD_NAME:
		jsn_name(&at, to, fld->size);
		break;
	case FLD_TEXT:
		jsn_string(&at, to, fld->size, NULL);
		break;
	case FLD_OPT_TEXT:
		jsn_string(&at, to, fld->size, "");
		break;
	case FLD_INT:
		*(int64_t *)to = jsn_int(&at, fld->min, fld->max, INT64_MIN);
		break;
	case FLD_OPT_INT:
		*(int64_t *)to = jsn_int(&at, fld->min, fld->max, fld->min);
		break;
	case FLD_BOOL:
		*(bool *)to = jsn_bool(&at, false);
		break;
	case FLD_JSON:
		if (jsn_object(&at))
			*(char **)to = strdup(json_object_to_json_string_ext(
				at.value, JSON_C_TO_STRING_PLAIN));
		break;
	}
}

void fld_write(struct json_object *object, const struct fld *fld,
	       const void *source)
{
	const void *from = (const char *)source + fld->offset;

	switch (fld->kind) {
	case FLD_OPT_TEXT:
		if (!*(const char *)from)
			break;
		/* fallthrough */
	case FLD_NAME:
	case FLD_TEXT:
		jsn_put_string(object, fld->name, from);
		break;
	case FLD_OPT_INT:
		if (*(const int64_t *)from == fld->min)
			break;
		/* fallthrough */
	case FLD_INT:
		jsn_put_int(object, fld->name, *(const int64_t *)from);
		break;
	case FLD_BOOL:
		json_object_object_add(
			object, fld->name,
			json_object_new_boolean(*(const bool *)from));
		break;
	case FLD_JSON:
		json_object_object_add(
			object, fld->name,
			json_tokener_parse(*(char *const *)from));
		break;
	}
}

void fld_read_all(const struct jsn *object, const struct fld *table,
		  size_t count, void *target)
{
	const char *keys[MAX_FIELDS + 1];

	for (size_t i = 0; i < count; i++) {
		keys[i] = table[i].name;
		fld_read(object, &table[i], target);
	}
	keys[count] = NULL;
	jsn_keys(object, keys);
}

void fld_write_all(struct json_object *object, const struct fld *table,
		   size_t count, const void *source)
{
	for (size_t i = 0; i < count; i++)
		fld_write(object, &table[i], source);
}
