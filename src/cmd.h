/*
 * NAME
 *	cmd - command-line parsing of the daemons
 */
#ifndef CMD_H
#define CMD_H

#include <stdbool.h>

#include "err.h"

#define CMD_VERSION "0.1.0"

enum {
	CMD_RUN = -1 /* start the daemon; other values are an exit status */
};

struct cmd_daemon {
	char settings_path[4096]; /* path; empty: none given */
	bool quiet;
	bool check_only;
};

/*
 * cmd_parse_daemon_args - parse a daemon's command line
 *
 * args->settings is the default if the command line names no settings. Prints
 * help, version and errors.
 *
 * RETURN VALUE
 *	CMD_RUN, or the exit status.
 */
int cmd_parse_daemon_args(int argc, char **argv, const char *program,
			  struct cmd_daemon *args);

/* cmd_print_settings_result - print the result of --check; returns the exit status */
int cmd_print_settings_result(bool valid, const struct err *err);

#endif
