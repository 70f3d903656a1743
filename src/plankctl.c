/* plankctl - operators' command-line client of the fleet daemons */

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>
#include <apr_pools.h>
#include <apr_strings.h>
#include <argtable2.h>
#include <curl/curl.h>
#include <json-c/json.h>

#include "clk.h"
#include "cmd.h"
#include "admin_client.h"
#include "err.h"
#include "file.h"
#include "jcursor.h"
#include "limit.h"
#include "rnd.h"
#include "report.h"

enum {
	MAX_COLUMNS = 16,
	NO_BASE = -2, /* no base version given */
	MAX_TOKEN_BYTES = 4096,
	HOUR_MS = 3600 * 1000,
	MAX_HOURS = 24 * 366
};

/* First line of a file written by `settings --output`. */
static const char header_format[] = "// plankctl: team %s, version %" PRId64;

struct options {
	struct admin_client admin_client;
	bool json;
	int64_t base;
	int64_t from;
	int64_t hours;
	const char *id; /* change id to repeat; NULL: generate one */
	const char *output;
	int word_count;
	const char **words; /* the command and its arguments */
};

struct command {
	const char *name;
	int arg_count;
	const char *method;
	/* %s: the first argument, the command's name, the second argument */
	const char *path;
	const char *usage;
	/* Builds the request's body; returns NULL with err filled in. */
	char *(*body)(const struct options *options, apr_pool_t *pool,
		      struct err *err);
	/* Columns of the text output; ends with NULL. */
	const char *columns[MAX_COLUMNS];
	bool is_change;
	/* Replaces the single request to path. */
	int (*run)(const struct options *options, apr_pool_t *pool,
		   struct err *err);
};

/* Version in the header line of a settings file, NO_BASE if not this team's. */
static int64_t read_header_version(const char *text, const char *team)
{
	char expected[2 * LIMIT_NAME_BYTES + 64];
	int64_t version = NO_BASE;
	char name[LIMIT_NAME_BYTES];

	if (sscanf(text,
		   "// plankctl: team %63[A-Za-z0-9._-], version %" SCNd64,
		   name, &version) != 2 ||
	    strcmp(name, team))
		return NO_BASE;
	snprintf(expected, sizeof(expected), header_format, name, version);
	return strncmp(text, expected, strlen(expected)) ? NO_BASE : version;
}

static char *settings_body(const struct options *options, bool needs_base,
			   apr_pool_t *pool, struct err *err)
{
	size_t len;
	char *text =
		file_read(options->words[2], LIMIT_SETTINGS_BYTES, &len, err);
	struct json_object *settings, *obj;
	int64_t base = options->base;
	char *body;

	if (!text)
		return NULL;
	if (base == NO_BASE)
		base = read_header_version(text, options->words[1]);
	settings = jcursor_parse(text, len, err);
	free(text);
	if (!settings)
		return NULL;
	if (needs_base && base == NO_BASE) {
		json_object_put(settings);
		err_set(err, ERR_INVALID,
			"publish needs the version that the change is based "
			"on: --base VERSION (-1 for a new team), or a file "
			"written by `settings %s --output FILE`",
			options->words[1]);
		return NULL;
	}
	obj = json_object_new_object();
	if (base != NO_BASE)
		jcursor_put_int(obj, "base", base);
	json_object_object_add(obj, "settings", settings);
	body = apr_pstrdup(pool, json_object_to_json_string(obj));
	json_object_put(obj);
	return body;
}

static char *check_body(const struct options *options, apr_pool_t *pool,
			struct err *err)
{
	return settings_body(options, false, pool, err);
}

static char *publish_body(const struct options *options, apr_pool_t *pool,
			  struct err *err)
{
	return settings_body(options, true, pool, err);
}

static void print_lines(struct json_object *obj)
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

static int get_resource(const struct options *options, const char *path,
			apr_pool_t *pool, struct json_object **value,
			struct err *err)
{
	struct admin_client_request request = { .path = path };

	if (err->kind == ERR_OK)
		*value = admin_client_call(&options->admin_client, &request,
					   pool, err);
	return err->kind;
}

static int run_report(const struct options *options, apr_pool_t *pool,
		      struct err *err)
{
	bool summary = !strcmp(options->words[0], "summary");
	struct json_object *obj = NULL;
	struct report_input input = { 0 };

	get_resource(options, "/v1/status", pool, &input.status, err);
	get_resource(options, "/v1/hosts", pool, &input.hosts, err);
	get_resource(options, "/v1/pools", pool, &input.pools, err);
	get_resource(options, "/v1/members", pool, &input.members, err);
	get_resource(options, "/v1/audit", pool, &input.audit, err);
	if (err->kind == ERR_OK) {
		obj = summary ? report_summary(&input,
					       clk_wall_ms(clk_system()) -
						       options->hours * HOUR_MS)
			      : report_explain(&input, options->words[1]);
		if (!obj)
			err_set(err, ERR_NOT_FOUND,
				"no host and no team with pools is named %s",
				options->words[1]);
	}
	if (obj && options->json)
		printf("%s\n", json_object_to_json_string(obj));
	else if (obj)
		print_lines(obj);
	json_object_put(obj);
	json_object_put(input.status);
	json_object_put(input.hosts);
	json_object_put(input.pools);
	json_object_put(input.members);
	json_object_put(input.audit);
	return err->kind;
}

static int write_settings(const struct options *options,
			  struct json_object *team, struct err *err)
{
	struct json_object *settings = NULL, *version = NULL;
	FILE *file;
	bool failed;

	json_object_object_get_ex(team, "settings", &settings);
	json_object_object_get_ex(team, "version", &version);
	/* Never overwrite a file, which may hold unpublished edits. */
	file = fopen(options->output, "wx");
	if (!file)
		return err_set(err, ERR_IO, "%s: %s", options->output,
			       strerror(errno));
	fprintf(file, header_format, options->words[1],
		json_object_get_int64(version));
	fprintf(file, "\n%s\n",
		json_object_to_json_string_ext(
			settings, JSON_C_TO_STRING_PRETTY |
					  JSON_C_TO_STRING_SPACED |
					  JSON_C_TO_STRING_NOSLASHESCAPE));
	failed = ferror(file) != 0;
	if (fclose(file) || failed)
		return err_set(err, ERR_IO, "%s: write failed",
			       options->output);
	printf("version %" PRId64 " written to %s\n",
	       json_object_get_int64(version), options->output);
	return 0;
}

/* A change of one host, without a request body. */
#define HOST_CHANGE(action, text)                                              \
	{                                                                      \
		.name = (action), .arg_count = 1, .method = "POST",            \
		.path = "/v1/hosts/%s/%s", .usage = (text), .is_change = true  \
	}

static const struct command commands[] = {
	{ .name = "status",
	  .arg_count = 0,
	  .method = "GET",
	  .path = "/v1/status",
	  .usage = "status of the fleet daemon" },
	{ .name = "teams",
	  .arg_count = 0,
	  .method = "GET",
	  .path = "/v1/teams",
	  .usage = "teams and their versions",
	  .columns = { "team", "version" } },
	{ .name = "settings",
	  .arg_count = 1,
	  .method = "GET",
	  .path = "/v1/teams/%s",
	  .usage = "TEAM [--output FILE]: settings in force, version" },
	{ .name = "check",
	  .arg_count = 2,
	  .method = "POST",
	  .path = "/v1/teams/%s/check",
	  .usage = "TEAM FILE: check settings without publishing them",
	  .body = check_body },
	{ .name = "publish",
	  .arg_count = 2,
	  .method = "POST",
	  .path = "/v1/teams/%s/settings",
	  .usage = "TEAM FILE [--base VERSION]: publish settings",
	  .body = publish_body,
	  .is_change = true },
	{ .name = "pools",
	  .arg_count = 0,
	  .method = "GET",
	  .path = "/v1/pools",
	  .usage = "pools and their budgets",
	  .columns = { "team", "pool", "hosts", "available", "min_available",
		       "planned_out", "failed" } },
	{ .name = "hosts",
	  .arg_count = 0,
	  .method = "GET",
	  .path = "/v1/hosts",
	  .usage = "hosts and their states",
	  .columns = { "host", "team", "pool", "state", "data_centre", "rack",
		       "drain", "waits_for", "reason" } },
	{ .name = "host",
	  .arg_count = 1,
	  .method = "GET",
	  .path = "/v1/hosts/%s",
	  .usage = "HOST: one host" },
	{ .name = "jobs",
	  .arg_count = 0,
	  .method = "GET",
	  .path = "/v1/jobs",
	  .usage = "unfinished jobs (URL: a node's metrics address)",
	  .columns = { "job", "queue", "pool", "state", "age_ms", "tasks",
		       "done", "placed", "failed_runs" } },
	{ .name = "job",
	  .arg_count = 1,
	  .method = "GET",
	  .path = "/v1/jobs/%s",
	  .usage = "ID: one job with its steps and placed tasks" },
	{ .name = "explain-job",
	  .arg_count = 1,
	  .method = "GET",
	  .path = "/v1/jobs/%s/explain",
	  .usage = "ID: why a job is in its current state" },
	{ .name = "members",
	  .arg_count = 0,
	  .method = "GET",
	  .path = "/v1/members",
	  .usage = "entry hosts",
	  .columns = { "member", "data_centre", "state", "incarnation",
		       "joined", "heartbeat" } },
	{ .name = "audit",
	  .arg_count = 0,
	  .method = "GET",
	  .path = "/v1/audit",
	  .usage = "audit trail of changes [--from OFFSET]",
	  .columns = { "offset", "author", "action", "target", "before",
		       "after", "result", "detail" } },
	{ .name = "plan",
	  .arg_count = 0,
	  .method = "GET",
	  .path = "/v1/plan",
	  .usage = "maintenance waves: when each host is due or why "
		   "it is not; alarms",
	  .columns = { "team", "wave", "batch", "host", "state", "why" } },
	{ .name = "move",
	  .arg_count = 2,
	  .method = "POST",
	  .path = "/v1/hosts/%s/%s/%s",
	  .usage = "HOST POOL: drain the host, then move it to the pool",
	  .is_change = true },
	HOST_CHANGE("drain", "HOST: send it no new work, if the budget allows"),
	HOST_CHANGE("undrain", "HOST: cancel its drain"),
	HOST_CHANGE("reboot", "HOST: mark a drained host as rebooting"),
	HOST_CHANGE("return",
		    "HOST: return a rebooting or failed host to service"),
	HOST_CHANGE("retire",
		    "HOST: remove a drained host from its pool permanently"),
	HOST_CHANGE("fail", "HOST: mark a host as failed"),
	{ .name = "explain",
	  .arg_count = 1,
	  .usage = "HOST or TEAM: why it is in its current state",
	  .run = run_report },
	{ .name = "summary",
	  .usage = "[--hours N]: recent events and what needs an operator",
	  .run = run_report },
};

enum { COMMAND_COUNT = sizeof(commands) / sizeof(commands[0]) };

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
	int widths[MAX_COLUMNS];

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

static void print_value(const struct command *command,
			struct json_object *value)
{
	if (json_object_is_type(value, json_type_array)) {
		print_table(value, command->columns);
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

/* Id of a change, and the next offset when the id was chosen. */
struct change {
	char id[LIMIT_ID_BYTES];
	char since[24];
};

static int init_change(const struct options *options, apr_pool_t *pool,
		       struct change *change, struct err *err)
{
	struct json_object *status = NULL, *next = NULL;
	struct rnd rnd;

	if (options->id) {
		if (sscanf(options->id, "%32[0-9a-f]-%18[0-9]", change->id,
			   change->since) == 2 &&
		    strlen(options->id) ==
			    strlen(change->id) + 1 + strlen(change->since))
			return 0;
		return err_set(err, ERR_INVALID,
			       "--id: %s is not an id printed by plankctl",
			       options->id);
	}
	if (get_resource(options, "/v1/status", pool, &status, err) < 0)
		return err->kind;
	json_object_object_get_ex(status, "next", &next);
	snprintf(change->since, sizeof(change->since), "%" PRId64,
		 json_object_get_int64(next));
	json_object_put(status);
	rnd_init(&rnd, rnd_system_seed());
	rnd_make_id(&rnd, change->id);
	return 0;
}

static void print_result(const struct options *options,
			 const struct command *command,
			 struct json_object *value)
{
	if (options->json)
		printf("%s\n", json_object_to_json_string_ext(
				       value, JSON_C_TO_STRING_PLAIN));
	else
		print_value(command, value);
}

static int run_command(const struct options *options,
		       const struct command *command, apr_pool_t *pool,
		       struct err *err)
{
	const char *first = options->word_count > 1 ? options->words[1] : "";
	const char *second = options->word_count > 2 ? options->words[2] : "";
	struct admin_client_request request = { 0 };
	struct change change = { 0 };
	struct json_object *value;

	if (command->arg_count && !jcursor_valid_name(first))
		return err_set(err, ERR_INVALID, "%s: not a valid name", first);
	if (command->arg_count == 2 && !command->body &&
	    !jcursor_valid_name(second))
		return err_set(err, ERR_INVALID, "%s: not a valid name",
			       second);
	if (command->run)
		return command->run(options, pool, err);
	request.path =
		apr_psprintf(pool, command->path, first, command->name, second);
	if (options->from >= 0)
		request.path = apr_psprintf(pool, "%s?from=%" PRId64,
					    request.path, options->from);
	if (!strcmp(command->method, "POST"))
		request.body = "";
	if (command->body) {
		request.body = command->body(options, pool, err);
		if (!request.body)
			return err->kind;
	}
	if (command->is_change) {
		if (init_change(options, pool, &change, err) < 0)
			return err->kind;
		request.change_id = change.id;
		request.change_since = change.since;
	}
	value = admin_client_call(&options->admin_client, &request, pool, err);
	if (value && options->output)
		write_settings(options, value, err);
	else if (value)
		print_result(options, command, value);
	json_object_put(value);
	if (command->is_change && err->kind < 0 &&
	    err_answer(err->kind)->ran == ERR_RAN_MAYBE)
		fprintf(stderr,
			"plankctl: the change may have been applied; repeat "
			"the command with --id %s-%s, which does not apply "
			"it twice\n",
			change.id, change.since);
	return err->kind;
}

static const struct command *find_command(const struct options *options)
{
	for (int i = 0; i < COMMAND_COUNT; i++)
		if (options->word_count == commands[i].arg_count + 1 &&
		    !strcmp(options->words[0], commands[i].name))
			return &commands[i];
	return NULL;
}

static void print_help(void **table)
{
	printf("Usage: plankctl");
	arg_print_syntax(stdout, table, "\n\n");
	arg_print_glossary(stdout, table, "  %-28s %s\n");
	printf("\nCommands:\n");
	for (int i = 0; i < COMMAND_COUNT; i++)
		printf("  %-10s %s\n", commands[i].name, commands[i].usage);
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
	struct arg_lit *json;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_str *words;
	struct arg_end *end;
};

static int read_options(const struct arguments *args, struct options *options,
			apr_pool_t *pool)
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
	options->base = parse_int(args->base, NO_BASE, -1, INT64_MAX, &status);
	options->from = parse_int(args->from, -1, 0, INT64_MAX, &status);
	options->hours = parse_int(args->hours, 12, 1, MAX_HOURS, &status);
	options->id = args->id->count ? args->id->sval[0] : NULL;
	options->output = args->output->count ? args->output->sval[0] : NULL;
	options->word_count = args->words->count;
	options->words = args->words->sval;
	return status;
}

/* Refuses options that the command does not use. */
static int check_options(const struct options *options,
			 const struct command *command)
{
	const char *message = NULL;

	if (options->output && strcmp(command->name, "settings"))
		message = "--output applies only to settings";
	else if (options->id && !command->is_change)
		message = "--id applies only to changes";
	else if (options->from >= 0 && strcmp(command->name, "audit"))
		message = "--from applies only to audit";
	else if (options->base != NO_BASE && command->body == NULL)
		message = "--base applies only to publish and check";
	else if (!options->admin_client.urls[0])
		message = "--url or $PLANK_URL is required";
	else
		return 0;
	fprintf(stderr, "plankctl: %s\n", message);
	return ERR_INVALID;
}

static int execute(const struct arguments *args, apr_pool_t *pool)
{
	struct err err = { .kind = ERR_OK };
	struct options options = { 0 };
	const struct command *command;
	int status = read_options(args, &options, pool);

	if (status < 0)
		return status;
	command = args->words->count ? find_command(&options) : NULL;
	if (!command) {
		fprintf(stderr, "plankctl: no such command; see --help\n");
		return ERR_INVALID;
	}
	status = check_options(&options, command);
	if (status < 0)
		return status;
	status = run_command(&options, command, pool, &err);
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
		.json = arg_lit0("j", "json", "print JSON"),
		.help = arg_lit0("h", "help", "print this and exit"),
		.version =
			arg_lit0("V", "version", "print the version and exit"),
		.words = arg_strn(NULL, NULL, "COMMAND", 0, 4, "see below"),
		.end = arg_end(8),
	};
	void *table[] = { args.url,  args.token, args.token_file, args.base,
			  args.from, args.hours, args.id,	  args.output,
			  args.json, args.help,	 args.version,	  args.words,
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
	return err_answer(status)->exit_code;
}
