/*
 * NAME
 *	ctl_print - text output of plankctl
 */
#ifndef CTL_PRINT_H
#define CTL_PRINT_H

#include <json-c/json.h>

enum { CTL_PRINT_MAX_COLUMNS = 16 };

/* ctl_print_lines - a line for each member; those of arrays are indented */
void ctl_print_lines(struct json_object *obj);

/*
 * ctl_print_value - a table if the value is an array, else a line a member
 *
 * columns: members of the array's objects; ends with NULL.
 */
void ctl_print_value(struct json_object *value, const char *const *columns);

#endif
