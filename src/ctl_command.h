/*
 * NAME
 *	ctl_command - commands of plankctl: their requests, results and checks
 */
#ifndef CTL_COMMAND_H
#define CTL_COMMAND_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_pools.h>

#include "admin_client.h"
#include "ctl_print.h"
#include "err.h"

enum { CTL_NO_BASE = -2 /* no base version given */ };

struct ctl_options {
	struct admin_client admin_client;
	bool json;
	int64_t base;
	int64_t from;
	int64_t hours;
	const char *id; /* change id to repeat; NULL: generate one */
	const char *output;
	/* Of check-config; NULL: not given. */
	const char *against;
	const char *largest_task;
	const char *workers;
	int word_count;
	const char **words; /* the command and its arguments */
};

struct ctl_command {
	const char *name;
	int arg_count;
	const char *method;
	/* %s: the first argument, the command's name, the second argument */
	const char *path;
	const char *usage;
	/* Builds the request's body; returns NULL with err filled in. */
	char *(*body)(const struct ctl_options *options, apr_pool_t *pool,
		      struct err *err);
	/* Columns of the text output; ends with NULL. */
	const char *columns[CTL_PRINT_MAX_COLUMNS];
	bool is_change;
	/* Asks no daemon; the first argument is a file. */
	bool is_local;
	/* Replaces the single request to path. Returns 0, an error's kind, or the
	   exit status, which is positive. */
	int (*run)(const struct ctl_options *options, apr_pool_t *pool,
		   struct err *err);
};

/* ctl_command_find - the command that the words name, or NULL */
const struct ctl_command *ctl_command_find(const struct ctl_options *options);

/*
 * ctl_command_run - carry out a command and print its result
 *
 * RETURN VALUE
 *	0, the kind of the error, which err describes, or the exit status of a
 *	command that has ones of its own.
 */
int ctl_command_run(const struct ctl_options *options,
		    const struct ctl_command *command, apr_pool_t *pool,
		    struct err *err);

/* ctl_command_print_usage - print a line for each command */
void ctl_command_print_usage(void);

#endif
