/*
 * NAME
 *	ctl_config - plankctl check-config: check a configuration before it is sent
 */
#ifndef CTL_CONFIG_H
#define CTL_CONFIG_H

#include "ctl_command.h"

/* Exit statuses beside that of errors, see err.h; none of those is one of these. */
enum {
	CTL_CONFIG_WARNINGS = 1, /* warnings, and no errors */
	CTL_CONFIG_ERRORS = 25
};

/*
 * ctl_config_check - check the file that the command names, and print the findings
 *
 * RETURN VALUE
 *	0: nothing found, but maybe changes; one of the exit statuses above; or the
 *	kind of the error, which err describes, if there was nothing to check.
 */
int ctl_config_check(const struct ctl_options *options, apr_pool_t *pool,
		     struct err *err);

#endif
