#include "field.h"

#include <stdlib.h>
#include <string.h>

enum { MAX_FIELDS = 32 };

void field_read(const struct jcursor *object, const struct field *field,
		void *target)
{
	struct jcursor at = jcursor_member(object, field->name);
	void *to = (char *)target + field->offset;

	switch (field->kind) {
	case FIELD_NAME:
		jcursor_name(&at, to, field->size);
		break;
	case FIELD_TEXT:
		jcursor_string(&at, to, field->size, NULL);
		break;
	case FIELD_OPT_TEXT:
		jcursor_string(&at, to, field->size, "");
		break;
	case FIELD_INT:
		*(int64_t *)to =
			jcursor_int(&at, field->min, field->max, INT64_MIN);
		break;
	case FIELD_OPT_INT:
		*(int64_t *)to =
			jcursor_int(&at, field->min, field->max, field->min);
		break;
	case FIELD_BOOL:
		*(bool *)to = jcursor_bool(&at, false);
		break;
	case FIELD_JSON:
		if (jcursor_check_object(&at))
			*(char **)to = strdup(json_object_to_json_string_ext(
				at.value, JSON_C_TO_STRING_PLAIN));
		break;
	}
}

void field_write(struct json_object *object, const struct field *field,
		 const void *source)
{
	const void *from = (const char *)source + field->offset;

	switch (field->kind) {
	case FIELD_OPT_TEXT:
		if (!*(const char *)from)
			break;
		/* fallthrough */
	case FIELD_NAME:
	case FIELD_TEXT:
		jcursor_put_string(object, field->name, from);
		break;
	case FIELD_OPT_INT:
		if (*(const int64_t *)from == field->min)
			break;
		/* fallthrough */
	case FIELD_INT:
		jcursor_put_int(object, field->name, *(const int64_t *)from);
		break;
	case FIELD_BOOL:
		json_object_object_add(
			object, field->name,
			json_object_new_boolean(*(const bool *)from));
		break;
	case FIELD_JSON:
		json_object_object_add(
			object, field->name,
			json_tokener_parse(*(char *const *)from));
		break;
	}
}

void field_read_all(const struct jcursor *object, const struct field *table,
		    size_t count, void *target)
{
	const char *keys[MAX_FIELDS + 1];

	for (size_t i = 0; i < count; i++) {
		keys[i] = table[i].name;
		field_read(object, &table[i], target);
	}
	keys[count] = NULL;
	jcursor_check_keys(object, keys);
}

void field_write_all(struct json_object *object, const struct field *table,
		     size_t count, const void *source)
{
	for (size_t i = 0; i < count; i++)
		field_write(object, &table[i], source);
}
