/* plankctl - operators' command-line client of the fleet daemons */

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <curl/curl.h>

#include "cmd.h"
#include "ctl_command.h"
#include "file.h"

enum { MAX_TOKEN_BYTES = 4096, MAX_HOURS = 24 * 366 };

static void print_help(void **table)
{
	printf("Usage: plankctl");
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("\nCommands:\n");
	ctl_command_print_usage();
	printf("\nThe exit status is 0 on success; docs/OPERATIONS.md lists "
	       "the "
	       "others.\n");
}

static const char *arg_or_env(const struct arg_str *arg, const char *name)
{
	const char *value = arg->count ? arg->sval[0] : getenv(name);

	return value ? value : "";
}

/* Parses an integer option; sets *status if it is not valid. */
static int64_t parse_int(const struct arg_str *arg, int64_t fallback,
			 int64_t min, int64_t max, int *status)
{
	int64_t value;
	char *end;

	if (!arg->count)
		return fallback;
	errno = 0;
	value = strtoll(arg->sval[0], &end, 10);
	if (!errno && end != arg->sval[0] && !*end && value >= min &&
	    value <= max)
		return value;
	fprintf(stderr,
		"plankctl: --%s: %s given, a number from %" PRId64
		" to %" PRId64 " wanted\n",
		arg->hdr.longopts, arg->sval[0], min, max);
	*status = ERR_INVALID;
	return fallback;
}

/* Reads the first line of a file, without its line ending. */
static const char *read_token(const char *path, apr_pool_t *pool, int *status)
{
	struct err err = { .kind = ERR_OK };
	size_t len;
	char *text = file_read(path, MAX_TOKEN_BYTES, &len, &err);
	char *token;

	if (!text) {
		fprintf(stderr, "plankctl: %s\n", err.text);
		*status = err.kind;
		return "";
	}
	token = apr_pstrdup(pool, text);
	free(text);
	token[strcspn(token, "\r\n")] = 0;
	return token;
}

struct arguments {
	struct arg_str *url;
	struct arg_str *token;
	struct arg_str *token_file;
	struct arg_str *base;
	struct arg_str *from;
	struct arg_str *hours;
	struct arg_str *id;
	struct arg_str *output;
	struct arg_str *against;
	struct arg_str *largest_task;
	struct arg_str *workers;
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *words;
	struct arg_end *end;
};

static int read_options(const struct arguments *args,
			struct ctl_options *options, apr_pool_t *pool)
{
	int status = 0;

	options->admin_client.urls = arg_or_env(args->url, "PLANK_URL");
	if (args->token_file->count && !args->token->count)
		options->admin_client.token =
			read_token(args->token_file->sval[0], pool, &status);
	else
		options->admin_client.token =
			arg_or_env(args->token, "PLANK_TOKEN");
	options->json = args->json->count > 0;
	options->base =
		parse_int(args->base, CTL_NO_BASE, -1, INT64_MAX, &status);
	options->from = parse_int(args->from, -1, 0, INT64_MAX, &status);
	options->hours = parse_int(args->hours, 12, 1, MAX_HOURS, &status);
	options->id = args->id->count ? args->id->sval[0] : NULL;
	options->output = args->output->count ? args->output->sval[0] : NULL;
	options->against = args->against->count ? args->against->sval[0] : NULL;
	options->largest_task =
		args->largest_task->count ? args->largest_task->sval[0] : NULL;
	options->workers = args->workers->count ? args->workers->sval[0] : NULL;
	options->word_count = args->words->count;
	options->words = args->words->sval;
	return status;
}

/* Refuses options that the command does not use. */
static int check_options(const struct ctl_options *options,
			 const struct ctl_command *command)
{
	const char *message = NULL;

	if (options->output && strcmp(command->name, "settings"))
		message = "--output applies only to settings";
	else if (options->id && !command->is_change)
		message = "--id applies only to changes";
	else if (options->from >= 0 && strcmp(command->name, "audit"))
		message = "--from applies only to audit";
	else if (options->base != CTL_NO_BASE && command->body == NULL)
		message = "--base applies only to publish and check";
	else if ((options->against || options->largest_task ||
		  options->workers) &&
		 !command->is_local)
		message = "--against, --largest-task and --workers apply only "
			  "to check-config";
	else if (!command->is_local && !options->admin_client.urls[0])
		message = "--url or $PLANK_URL is required";
	else
		return 0;
	fprintf(stderr, "plankctl: %s\n", message);
	return ERR_INVALID;
}

static int execute(const struct arguments *args, apr_pool_t *pool)
{
	struct err err = { .kind = ERR_OK };
	struct ctl_options options = { 0 };
	const struct ctl_command *command;
	int status = read_options(args, &options, pool);

	if (status < 0)
		return status;
	command = args->words->count ? ctl_command_find(&options) : NULL;
	if (!command) {
		fprintf(stderr, "plankctl: no such command; see --help\n");
		return ERR_INVALID;
	}
	status = check_options(&options, command);
	if (status < 0)
		return status;
	status = ctl_command_run(&options, command, pool, &err);
	if (status < 0)
		fprintf(stderr, "plankctl: %s: %s\n", err_name(err.kind),
			err.text);
	return status;
}

int main(int argc, char **argv)
{
	struct arguments args = {
		.url = arg_str0("u", "url", "URL,...",
				"fleet daemons, tried in this order; without "
				"it the value of $PLANK_URL"),
		.token = arg_str0("t", "token", "TOKEN",
				  "operator's token, or $PLANK_TOKEN"),
		.token_file = arg_str0("T", "token-file", "FILE",
				       "file with the operator's token"),
		.base = arg_str0("b", "base", "VERSION",
				 "version that the change is based on"),
		.from = arg_str0(NULL, "from", "OFFSET",
				 "first offset of audit entries to show"),
		.hours = arg_str0(NULL, "hours", "N",
				  "hours that summary covers (12)"),
		.id = arg_str0(NULL, "id", "ID",
			       "repeat a change whose outcome is unknown"),
		.output = arg_str0("o", "output", "FILE",
				   "write settings to a new file"),
		.against = arg_str0(NULL, "against", "FILE",
				    "configuration in force, to compare with"),
		.largest_task = arg_str0(NULL, "largest-task", "CPU,MEM,GPU",
					 "of the largest task, in thousandths "
					 "of a core, MiB and GPUs"),
		.workers = arg_str0(NULL, "workers", "CPU,MEM,GPU",
				    "of all workers together"),
		.json = arg_lit0("j", "json", "print JSON"),
		.help = arg_lit0("h", "help", "print this and exit"),
		.version =
			arg_lit0("V", "version", "print the version and exit"),
		.words = arg_strn(NULL, NULL, "COMMAND", 0, 4, "see below"),
		.end = arg_end(8),
	};
	void *table[] = { args.url,	     args.token,   args.token_file,
			  args.base,	     args.from,	   args.hours,
			  args.id,	     args.output,  args.against,
			  args.largest_task, args.workers, args.json,
			  args.help,	     args.version, args.words,
			  args.end };
	int error_count = arg_parse(argc, argv, table);
	apr_pool_t *pool;
	int status = 0;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	if (args.help->count) {
		print_help(table);
	} else if (args.version->count) {
		printf("plankctl %s\n", CMD_VERSION);
	} else if (error_count) {
		arg_print_errors(stderr, args.end, "plankctl");
		status = ERR_INVALID;
	} else {
		status = execute(&args, pool);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	curl_global_cleanup();
	apr_terminate();
	return status > 0 ? status : err_answer(status)->exit_code;
}
