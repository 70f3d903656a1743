#include "ctl_config.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cfgcheck.h"
#include "file.h"
#include "jcursor.h"
#include "wire.h"

enum { CTL_CONFIG_BYTES = 4 * 1024 * 1024 };

/* Reads "CPU,MEM" or "CPU,MEM,GPU"; NULL is nothing. */
static int parse_room(const char *text, const char *option,
		      struct cfg_room *room, struct err *err)
{
	int64_t *const parts[] = { &room->cpu_milli, &room->mem_mib,
				   &room->gpu };
	const char *at = text;
	size_t count = 0;

	while (at && count < G_N_ELEMENTS(parts)) {
		char *end;
		int64_t value = g_ascii_strtoll(at, &end, 10);

		if (end == at || value < 0 || value > LIMIT_NUMBER_MAX)
			break;
		*parts[count++] = value;
		if (!*end)
			return 0;
		at = *end == ',' ? end + 1 : NULL;
	}
	if (!text)
		return 0;
	return err_set(err, ERR_INVALID,
		       "--%s: %s given, thousandths of a core, MiB and perhaps "
		       "GPUs wanted, as 4000,8192,1",
		       option, text);
}

/*
 * Decodes a file. If its content is refused, that is a finding with the path that
 * the decoder's error begins with.
 */
static int read_cfg(const char *path, struct cfg **cfg, GPtrArray *refused,
		    struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	size_t len, field_len;
	char *text = file_read(path, CTL_CONFIG_BYTES, &len, err);
	char *field;
	int status;

	if (!text)
		return err->kind;
	status = wire_decode_cfg(text, len, cfg, &fault);
	free(text);
	if (status == 0)
		return 0;
	field_len =
		strspn(fault.text, "abcdefghijklmnopqrstuvwxyz"
				   "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789[].");
	if (strncmp(fault.text + field_len, ": ", 2)) {
		cfgcheck_add(refused, CFGCHECK_ERROR, "", "%s", fault.text);
		return 0;
	}
	field = g_strndup(fault.text, field_len);
	cfgcheck_add(refused, CFGCHECK_ERROR, field, "%s",
		     fault.text + field_len + 2);
	g_free(field);
	return 0;
}

static void print_json(const char *path, const GPtrArray *findings)
{
	struct json_object *root = json_object_new_object();
	struct json_object *list = json_object_new_array();

	jcursor_put_string(root, "file", path);
	jcursor_put_int(root, "errors",
			cfgcheck_count(findings, CFGCHECK_ERROR));
	jcursor_put_int(root, "warnings",
			cfgcheck_count(findings, CFGCHECK_WARNING));
	jcursor_put_int(root, "changes",
			cfgcheck_count(findings, CFGCHECK_CHANGE));
	for (guint i = 0; i < findings->len; i++) {
		const struct cfgcheck_finding *finding = findings->pdata[i];
		struct json_object *row = json_object_new_object();

		jcursor_put_string(row, "level",
				   cfgcheck_level_name(finding->level));
		jcursor_put_string(row, "path", finding->path);
		jcursor_put_string(row, "text", finding->text);
		json_object_array_add(list, row);
	}
	json_object_object_add(root, "findings", list);
	printf("%s\n",
	       json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
}

static void print_text(const char *path, const GPtrArray *findings)
{
	for (guint i = 0; i < findings->len; i++) {
		const struct cfgcheck_finding *finding = findings->pdata[i];

		printf("%s: %s%s%s\n", cfgcheck_level_name(finding->level),
		       finding->path, *finding->path ? ": " : "",
		       finding->text);
	}
	printf("%s: %u errors, %u warnings, %u changes\n", path,
	       cfgcheck_count(findings, CFGCHECK_ERROR),
	       cfgcheck_count(findings, CFGCHECK_WARNING),
	       cfgcheck_count(findings, CFGCHECK_CHANGE));
}

static int report(const struct ctl_options *options, const char *path,
		  const GPtrArray *findings)
{
	if (options->json)
		print_json(path, findings);
	else
		print_text(path, findings);
	if (cfgcheck_count(findings, CFGCHECK_ERROR))
		return CTL_CONFIG_ERRORS;
	return cfgcheck_count(findings, CFGCHECK_WARNING) ? CTL_CONFIG_WARNINGS
							  : 0;
}

/* The version in force is valid, or there is nothing to compare with. */
static int read_in_force(const char *path, struct cfg **cfg, struct err *err)
{
	GPtrArray *refused = cfgcheck_new();
	int status = read_cfg(path, cfg, refused, err);

	if (status == 0 && refused->len) {
		const struct cfgcheck_finding *finding = refused->pdata[0];

		status = err_set(err, ERR_INVALID, "--against: %s: %s: %s",
				 path, finding->path, finding->text);
	}
	g_ptr_array_unref(refused);
	return status;
}

int ctl_config_check(const struct ctl_options *options, apr_pool_t *pool,
		     struct err *err)
{
	const char *path = options->words[1];
	struct cfgcheck_input input = { 0 };
	struct cfg *cfg = NULL, *in_force = NULL;
	GPtrArray *findings = cfgcheck_new();
	int status = parse_room(options->largest_task, "largest-task",
				&input.largest_task, err);

	(void)pool;
	if (status == 0)
		status = parse_room(options->workers, "workers", &input.workers,
				    err);
	if (status == 0 && options->against)
		status = read_in_force(options->against, &in_force, err);
	if (status == 0)
		status = read_cfg(path, &cfg, findings, err);
	if (status == 0 && cfg) {
		input.cfg = cfg;
		input.in_force = in_force;
		g_ptr_array_unref(findings);
		findings = cfgcheck_run(&input);
	}
	if (status == 0)
		status = report(options, path, findings);
	g_ptr_array_unref(findings);
	cfg_destroy(cfg);
	cfg_destroy(in_force);
	return status;
}
