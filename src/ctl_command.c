#include "ctl_command.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "clk.h"
#include "ctl_config.h"
#include "file.h"
#include "jcursor.h"
#include "limit.h"
#include "report.h"
#include "rnd.h"

enum { HOUR_MS = 3600 * 1000 };

/* First line of a file written by `settings --output`. */
static const char header_format[] = "// plankctl: team %s, version %" PRId64;

/* Version in a settings file's header, CTL_NO_BASE if not this team's. */
static int64_t read_header_version(const char *text, const char *team)
{
	char expected[2 * LIMIT_NAME_BYTES + 64];
	int64_t version = CTL_NO_BASE;
	char name[LIMIT_NAME_BYTES];

	if (sscanf(text,
		   "// plankctl: team %63[A-Za-z0-9._-], version %" SCNd64,
		   name, &version) != 2 ||
	    strcmp(name, team))
		return CTL_NO_BASE;
	snprintf(expected, sizeof(expected), header_format, name, version);
	return strncmp(text, expected, strlen(expected)) ? CTL_NO_BASE
							 : version;
}

static char *settings_body(const struct ctl_options *options, bool needs_base,
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
	if (base == CTL_NO_BASE)
		base = read_header_version(text, options->words[1]);
	settings = jcursor_parse(text, len, err);
	free(text);
	if (!settings)
		return NULL;
	if (needs_base && base == CTL_NO_BASE) {
		json_object_put(settings);
		err_set(err, ERR_INVALID,
			"publish needs the version that the change is based "
			"on: --base VERSION (-1 for a new team), or a file "
			"written by `settings %s --output FILE`",
			options->words[1]);
		return NULL;
	}
	obj = json_object_new_object();
	if (base != CTL_NO_BASE)
		jcursor_put_int(obj, "base", base);
	json_object_object_add(obj, "settings", settings);
	body = apr_pstrdup(pool, json_object_to_json_string(obj));
	json_object_put(obj);
	return body;
}

static char *check_body(const struct ctl_options *options, apr_pool_t *pool,
			struct err *err)
{
	return settings_body(options, false, pool, err);
}

static char *publish_body(const struct ctl_options *options, apr_pool_t *pool,
			  struct err *err)
{
	return settings_body(options, true, pool, err);
}

static int get_resource(const struct ctl_options *options, const char *path,
			apr_pool_t *pool, struct json_object **value,
			struct err *err)
{
	struct admin_client_request request = { .path = path };

	if (err->kind == ERR_OK)
		*value = admin_client_call(&options->admin_client, &request,
					   pool, err);
	return err->kind;
}

static int run_report(const struct ctl_options *options, apr_pool_t *pool,
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
		ctl_print_lines(obj);
	json_object_put(obj);
	json_object_put(input.status);
	json_object_put(input.hosts);
	json_object_put(input.pools);
	json_object_put(input.members);
	json_object_put(input.audit);
	return err->kind;
}

static int write_settings(const struct ctl_options *options,
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

static const struct ctl_command commands[] = {
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
	{ .name = "check-config",
	  .arg_count = 1,
	  .usage = "FILE [--against FILE] [--largest-task CPU,MEM,GPU] "
		   "[--workers CPU,MEM,GPU]: check a configuration of queues, "
		   "pools and organisations",
	  .is_local = true,
	  .run = ctl_config_check },
	{ .name = "summary",
	  .usage = "[--hours N]: recent events and what needs an operator",
	  .run = run_report },
};

enum { COMMAND_COUNT = sizeof(commands) / sizeof(commands[0]) };

/* Id of a change, and the next offset when the id was chosen. */
struct change {
	char id[LIMIT_ID_BYTES];
	char since[24];
};

static int init_change(const struct ctl_options *options, apr_pool_t *pool,
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

static void print_result(const struct ctl_options *options,
			 const struct ctl_command *command,
			 struct json_object *value)
{
	if (options->json)
		printf("%s\n", json_object_to_json_string_ext(
				       value, JSON_C_TO_STRING_PLAIN));
	else
		ctl_print_value(value, command->columns);
}

int ctl_command_run(const struct ctl_options *options,
		    const struct ctl_command *command, apr_pool_t *pool,
		    struct err *err)
{
	const char *first = options->word_count > 1 ? options->words[1] : "";
	const char *second = options->word_count > 2 ? options->words[2] : "";
	struct admin_client_request request = { 0 };
	struct change change = { 0 };
	struct json_object *value;

	if (command->arg_count && !command->is_local &&
	    !jcursor_valid_name(first))
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

const struct ctl_command *ctl_command_find(const struct ctl_options *options)
{
	for (int i = 0; i < COMMAND_COUNT; i++)
		if (options->word_count == commands[i].arg_count + 1 &&
		    !strcmp(options->words[0], commands[i].name))
			return &commands[i];
	return NULL;
}

void ctl_command_print_usage(void)
{
	for (int i = 0; i < COMMAND_COUNT; i++)
		printf("  %-12s %s\n", commands[i].name, commands[i].usage);
}
