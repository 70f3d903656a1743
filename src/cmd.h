/*
 * NAME
 *	cmd - command line of the daemons
 */
#ifndef CMD_H
#define CMD_H

#include <stdbool.h>

#include "err.h"

#define CMD_VERSION "0.1.0"

enum {
	CMD_RUN = -1 /* go on; any other value is the exit status */
};

struct cmd_daemon {
	char settings[4096];
	bool quiet;
	bool check_only;
};

/*
 * cmd_daemon_args - read a daemon's command line
 *
 * args may name settings that are taken if the line names none. Prints help, version or what is wrong.
 *
 * RETURN VALUE
 *	CMD_RUN, or the exit status.
 */
int cmd_daemon_args(int argc, char **argv, const char *program,
		    struct cmd_daemon *args);

/* cmd_settings_result - print whether settings are valid; the exit status */
int cmd_settings_result(bool valid, const struct err *err);

#endif
