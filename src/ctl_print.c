#include "ctl_print.h"

#include <stdbool.h>
#include <stdio.h>
#include <string.h>

void ctl_print_lines(struct json_object *obj)
{
	json_object_object_foreach(obj, key, member)
	{
		if (!json_object_is_type(member, json_type_array)) {
			printf("%s: %s\n", key, json_object_get_string(member));
			continue;
		}
		printf("%s: %zu\n", key, json_object_array_length(member));
		for (size_t i = 0; i < json_object_array_length(member); i++)
			printf("  %s\n",
			       json_object_get_string(
				       json_object_array_get_idx(member, i)));
	}
}

static const char *cell_text(struct json_object *row, const char *column)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(row, column, &value);
	if (!value)
		return "";
	if (json_object_is_type(value, json_type_array) &&
	    !json_object_array_length(value))
		return "";
	return json_object_is_type(value, json_type_string)
		       ? json_object_get_string(value)
		       : json_object_to_json_string_ext(value,
							JSON_C_TO_STRING_PLAIN);
}

static void print_table(struct json_object *rows, const char *const *columns)
{
	size_t count = json_object_array_length(rows);
	int widths[CTL_PRINT_MAX_COLUMNS];

	for (int c = 0; columns[c]; c++) {
		widths[c] = (int)strlen(columns[c]);
		for (size_t i = 0; i < count; i++) {
			int len = (int)strlen(
				cell_text(json_object_array_get_idx(rows, i),
					  columns[c]));

			if (len > widths[c])
				widths[c] = len;
		}
	}
	for (int c = 0; columns[c]; c++)
		printf("%-*s%s", widths[c], columns[c],
		       columns[c + 1] ? "  " : "\n");
	for (size_t i = 0; i < count; i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		for (int c = 0; columns[c]; c++)
			printf("%-*s%s", widths[c], cell_text(row, columns[c]),
			       columns[c + 1] ? "  " : "\n");
	}
}

void ctl_print_value(struct json_object *value, const char *const *columns)
{
	if (json_object_is_type(value, json_type_array)) {
		print_table(value, columns);
		return;
	}
	json_object_object_foreach(value, key, member)
	{
		int flags = JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED;

		printf("%s: %s\n", key,
		       json_object_is_type(member, json_type_string)
			       ? json_object_get_string(member)
			       : json_object_to_json_string_ext(member, flags));
	}
}
