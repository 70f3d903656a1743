/* plankctl: operators' client of the fleet daemons. */

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

#include "cmd.h"
#include "err.h"
#include "fio.h"
#include "jsn.h"
#include "lim.h"

enum { MAX_ANSWER_BYTES = 64 * 1024 * 1024, MAX_COLUMNS = 16, NO_BASE = -2 };

struct options {
	const char *url;
	const char *token;
	bool json;
	int64_t base;
	int64_t from;
	int word_count;
	const char **words;
};

struct answer {
	char *text;
	size_t len;
	long status;
};

struct command {
	const char *name;
	int words; /* after the name */
	const char *method;
	const char *path; /* %s: the first word */
	const char *usage;
	/* Builds the body, or NULL; with err filled in on failure. */
	char *(*body)(const struct options *options, apr_pool_t *pool,
		      struct err *err);
	/* Columns of the human output; ends with NULL. */
	const char *columns[MAX_COLUMNS];
};

static size_t collect(char *data, size_t size, size_t count, void *arg)
{
	struct answer *answer = arg;
	size_t len = size * count;
	char *text;

	if (answer->len + len > MAX_ANSWER_BYTES)
		return 0;
	text = realloc(answer->text, answer->len + len + 1);
	if (!text)
		return 0;
	memcpy(text + answer->len, data, len);
	answer->text = text;
	answer->len += len;
	text[answer->len] = 0;
	return len;
}

static int call(const struct options *options, const char *method,
		const char *path, const char *body, apr_pool_t *pool,
		struct answer *answer, struct err *err)
{
	CURL *easy = curl_easy_init();
	struct curl_slist *headers = curl_slist_append(
		NULL, apr_pstrcat(pool, "Authorization: Bearer ",
				  options->token, NULL));
	CURLcode code;
	int status = 0;

	curl_easy_setopt(easy, CURLOPT_URL,
			 apr_pstrcat(pool, options->url, path, NULL));
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 2L * LIM_CHANGE_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, answer);
	if (!strcmp(method, "POST")) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body ? body : "");
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
				 (long)(body ? strlen(body) : 0));
	}
	code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &answer->status);
	if (code == CURLE_COULDNT_CONNECT)
		status = err_set(err, ERR_UNAVAILABLE, "%s: %s", options->url,
				 curl_easy_strerror(code));
	else if (code != CURLE_OK)
		status = err_set(err, ERR_UNKNOWN, "%s: %s", options->url,
				 curl_easy_strerror(code));
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	return status;
}

static char *settings_body(const struct options *options, apr_pool_t *pool,
			   struct err *err)
{
	size_t len;
	char *text = fio_read(options->words[2], LIM_SETTINGS_BYTES, &len, err);
	struct json_object *settings, *obj;
	char *body;

	if (!text)
		return NULL;
	settings = jsn_parse(text, len, err);
	free(text);
	if (!settings)
		return NULL;
	obj = json_object_new_object();
	jsn_put_int(obj, "base", options->base == NO_BASE ? -1 : options->base);
	json_object_object_add(obj, "settings", settings);
	body = apr_pstrdup(pool, json_object_to_json_string(obj));
	json_object_put(obj);
	return body;
}

static char *publish_body(const struct options *options, apr_pool_t *pool,
			  struct err *err)
{
	if (options->base != NO_BASE)
		return settings_body(options, pool, err);
	err_set(err, ERR_INVALID,
		"publish needs --base VERSION, the version that the change "
		"was based on (-1 for a new team)");
	return NULL;
}

#define HOST_COLUMNS                                                           \
	{                                                                      \
		"host", "team", "pool", "state", "data_centre", "rack",        \
			"drain", "waits_for", "reason"                         \
	}
#define CHANGE_COLUMNS                                                         \
	{                                                                      \
		"result", "offset"                                             \
	}

static const struct command commands[] = {
	{ "status",
	  0,
	  "GET",
	  "/v1/status",
	  "status of the fleet daemon",
	  NULL,
	  { NULL } },
	{ "teams",
	  0,
	  "GET",
	  "/v1/teams",
	  "teams and their versions",
	  NULL,
	  { "team", "version" } },
	{ "settings",
	  1,
	  "GET",
	  "/v1/teams/%s",
	  "TEAM: settings in force and their version",
	  NULL,
	  { NULL } },
	{ "check",
	  2,
	  "POST",
	  "/v1/teams/%s/check",
	  "TEAM FILE: check settings without publishing them",
	  settings_body,
	  { NULL } },
	{ "publish", 2, "POST", "/v1/teams/%s/settings",
	  "TEAM FILE --base VERSION: publish settings", publish_body,
	  CHANGE_COLUMNS },
	{ "pools",
	  0,
	  "GET",
	  "/v1/pools",
	  "pools and their budgets",
	  NULL,
	  { "team", "pool", "hosts", "available", "min_available",
	    "planned_out", "failed" } },
	{ "hosts", 0, "GET", "/v1/hosts", "hosts and their states", NULL,
	  HOST_COLUMNS },
	{ "host", 1, "GET", "/v1/hosts/%s", "HOST: one host", NULL, { NULL } },
	{ "members",
	  0,
	  "GET",
	  "/v1/members",
	  "entry hosts",
	  NULL,
	  { "member", "data_centre", "state", "incarnation", "joined",
	    "heartbeat" } },
	{ "audit",
	  0,
	  "GET",
	  "/v1/audit",
	  "trail of changes [--from OFFSET]",
	  NULL,
	  { "offset", "author", "action", "target", "before", "after", "result",
	    "detail" } },
	{ "drain", 1, "POST", "/v1/hosts/%s/drain",
	  "HOST: send it nothing new, within the pool's budget", NULL,
	  CHANGE_COLUMNS },
	{ "undrain", 1, "POST", "/v1/hosts/%s/undrain",
	  "HOST: take a drain back", NULL, CHANGE_COLUMNS },
	{ "reboot", 1, "POST", "/v1/hosts/%s/reboot",
	  "HOST: a drained host is being rebooted", NULL, CHANGE_COLUMNS },
	{ "return", 1, "POST", "/v1/hosts/%s/return",
	  "HOST: a rebooted or failed host is back", NULL, CHANGE_COLUMNS },
	{ "retire", 1, "POST", "/v1/hosts/%s/retire",
	  "HOST: a drained host leaves its pool for good", NULL,
	  CHANGE_COLUMNS },
	{ "fail", 1, "POST", "/v1/hosts/%s/fail",
	  "HOST: a host failed by itself", NULL, CHANGE_COLUMNS },
};

enum { COMMAND_COUNT = sizeof(commands) / sizeof(commands[0]) };

static const char *cell(struct json_object *row, const char *column)
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
				cell(json_object_array_get_idx(rows, i),
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
			printf("%-*s%s", widths[c], cell(row, columns[c]),
			       columns[c + 1] ? "  " : "\n");
	}
}

static void print_answer(const struct command *command,
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

/* Fills in err from an error answer; its kind. */
static int answer_fault(const struct answer *answer, struct json_object *value,
			struct err *err)
{
	struct json_object *name = NULL, *text = NULL;

	json_object_object_get_ex(value, "error", &name);
	json_object_object_get_ex(value, "text", &text);
	return err_set(
		err,
		name ? err_by_name(json_object_get_string(name)) : ERR_INTERNAL,
		"%s", text ? json_object_get_string(text) : answer->text);
}

static int show(const struct options *options, const struct command *command,
		const struct answer *answer, struct err *err)
{
	struct json_object *value =
		answer->text ? json_tokener_parse(answer->text) : NULL;
	int status = 0;

	if (!value)
		return err_set(err, ERR_UNKNOWN, "the answer is not JSON");
	if (answer->status != 200)
		status = answer_fault(answer, value, err);
	if (options->json)
		printf("%s\n", answer->text);
	else if (status == 0)
		print_answer(command, value);
	json_object_put(value);
	return status;
}

static int run(const struct options *options, const struct command *command,
	       apr_pool_t *pool, struct err *err)
{
	const char *word = options->word_count > 1 ? options->words[1] : "";
	const char *path = apr_psprintf(pool, command->path, word);
	struct answer answer = { 0 };
	char *body = NULL;
	int status;

	if (command->words && !jsn_valid_name(word))
		return err_set(err, ERR_INVALID, "%s: not a valid name", word);
	if (options->from >= 0)
		path = apr_psprintf(pool, "%s?from=%" PRId64, path,
				    options->from);
	if (command->body) {
		body = command->body(options, pool, err);
		if (!body)
			return err->kind;
	}
	status = call(options, command->method, path, body, pool, &answer, err);
	if (status == 0)
		status = show(options, command, &answer, err);
	free(answer.text);
	return status;
}

static const struct command *find_command(const struct options *options)
{
	for (int i = 0; i < COMMAND_COUNT; i++)
		if (options->word_count == commands[i].words + 1 &&
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

static const char *or_environment(const struct arg_str *arg, const char *name)
{
	const char *value = arg->count ? arg->sval[0] : getenv(name);

	return value ? value : "";
}

int main(int argc, char **argv)
{
	struct arg_str *url =
		arg_str0("u", "url", "URL", "fleet daemon, or $PLANK_URL");
	struct arg_str *token = arg_str0("t", "token", "TOKEN",
					 "operator's token, or $PLANK_TOKEN");
	struct arg_int *base = arg_int0("b", "base", "VERSION",
					"version the change is based on");
	struct arg_int *from =
		arg_int0(NULL, "from", "OFFSET", "entries from this offset on");
	struct arg_lit *json = arg_lit0("j", "json", "print JSON");
	struct arg_lit *help = arg_lit0("h", "help", "print this and exit");
	struct arg_lit *version =
		arg_lit0("V", "version", "print the version and exit");
	struct arg_str *words =
		arg_strn(NULL, NULL, "COMMAND", 0, 4, "see below");
	struct arg_end *end = arg_end(8);
	void *table[] = { url,	json,	 base,	from, token,
			  help, version, words, end };
	int faults = arg_parse(argc, argv, table);
	struct err err = { .kind = ERR_OK };
	struct options options = { 0 };
	const struct command *command;
	apr_pool_t *pool;
	int status = 0;

	apr_initialize();
	apr_pool_create(&pool, NULL);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	options.url = or_environment(url, "PLANK_URL");
	options.token = or_environment(token, "PLANK_TOKEN");
	options.json = json->count > 0;
	options.base = base->count ? base->ival[0] : NO_BASE;
	options.from = from->count ? from->ival[0] : -1;
	options.word_count = words->count;
	options.words = words->sval;
	command = words->count ? find_command(&options) : NULL;
	if (help->count) {
		print_help(table);
	} else if (version->count) {
		printf("plankctl %s\n", CMD_VERSION);
	} else if (faults) {
		arg_print_errors(stderr, end, "plankctl");
		status = ERR_INVALID;
	} else if (!command) {
		fprintf(stderr, "plankctl: no such command; see --help\n");
		status = ERR_INVALID;
	} else if (!options.url[0]) {
		fprintf(stderr, "plankctl: --url or $PLANK_URL is needed\n");
		status = ERR_INVALID;
	} else {
		status = run(&options, command, pool, &err);
		if (status < 0)
			fprintf(stderr, "plankctl: %s: %s\n",
				err_name(err.kind), err.text);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	apr_terminate();
	return err_answer(status)->exit_code;
}
