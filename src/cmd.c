#include "cmd.h"

#include <stdio.h>
#include <argtable2.h>

static void print_help(const char *program, void **table)
{
	printf("Usage: %s", program);
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("\nSettings are JSON with comments; docs/OPERATIONS.md lists "
	       "each key.\n");
}

int cmd_parse_daemon_args(int argc, char **argv, const char *program,
			  struct cmd_daemon *args)
{
	struct arg_file *settings =
		arg_file0("s", "settings", "FILE", "settings of the daemon");
	struct arg_lit *check =
		arg_lit0("c", "check", "check the settings and exit");
	struct arg_lit *quiet =
		arg_lit0("q", "quiet", "log only warnings and errors");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *version =
		arg_lit0("V", "version", "print the version and exit");
	struct arg_end *end = arg_end(8);
	void *table[] = { settings, check, quiet, help, version, end };
	int error_count = arg_parse(argc, argv, table);
	int status = CMD_RUN;

	if (help->count) {
		print_help(program, table);
		status = 0;
	} else if (version->count) {
		printf("%s %s\n", program, CMD_VERSION);
		status = 0;
	} else if (error_count) {
		arg_print_errors(stderr, end, program);
		status = err_answer(ERR_INVALID)->exit_code;
	} else if (!settings->count && !args->settings_path[0]) {
		fprintf(stderr, "%s: --settings FILE is required\n", program);
		status = err_answer(ERR_INVALID)->exit_code;
	} else {
		if (settings->count)
			snprintf(args->settings_path,
				 sizeof(args->settings_path), "%s",
				 settings->filename[0]);
		args->check_only = check->count > 0;
		args->quiet = quiet->count > 0;
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return status;
}

int cmd_print_settings_result(bool valid, const struct err *err)
{
	if (valid) {
		printf("settings are valid\n");
		return 0;
	}
	fprintf(stderr, "%s\n", err->text);
	return err_answer(err->kind)->exit_code;
}
