#include "nodeconf.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "budget.h"
#include "jcursor.h"

enum { MIB = 1024 * 1024 };

/* Splits "address:port"; any other form is an error. */
static void parse_address(const struct jcursor *root, const char *key,
			  bool required, struct nodeconf_address *out)
{
	struct jcursor field = jcursor_member(root, key);
	char text[LIMIT_ADDRESS_BYTES];
	char *colon;
	char *end;
	unsigned long port;

	jcursor_string(&field, text, sizeof(text), required ? NULL : "");
	if (!text[0])
		return;
	colon = strrchr(text, ':');
	port = colon ? strtoul(colon + 1, &end, 10) : 0;
	if (!colon || *end || port < 1 || port > UINT16_MAX) {
		jcursor_refuse(&field, "address:port");
		return;
	}
	*colon = 0;
	g_strlcpy(out->host, text, sizeof(out->host));
	out->port = (uint16_t)port;
}

static void parse_text(const struct jcursor *root, const char *key, char *out,
		       size_t size, const char *fallback)
{
	struct jcursor field = jcursor_member(root, key);

	jcursor_string(&field, out, size, fallback);
}

static int64_t parse_ms(const struct jcursor *root, const char *key,
			int64_t fallback_ms)
{
	struct jcursor field = jcursor_member(root, key);

	return jcursor_int(&field, 1, 3600 * 1000, fallback_ms);
}

/* Seconds, maybe with a fraction; returns ms. */
static int64_t parse_seconds(const struct jcursor *root, const char *key,
			     double fallback_s)
{
	struct jcursor field = jcursor_member(root, key);

	return (int64_t)(jcursor_double(&field, 0, 3600, fallback_s) * 1000);
}

/* A number from 0 on; a size that is not given counts as large. */
static double parse_amount(const struct jcursor *root, const char *key,
			   double fallback)
{
	struct jcursor field = jcursor_member(root, key);

	return jcursor_double(&field, 0, 1e9, fallback);
}

static bool parse_flag(const struct jcursor *root, const char *key,
		       bool fallback)
{
	struct jcursor field = jcursor_member(root, key);

	return jcursor_bool(&field, fallback);
}

static uint32_t parse_parts(const struct jcursor *root)
{
	struct jcursor field = jcursor_member(root, "group_parts");

	return (uint32_t)jcursor_int(&field, NODECONF_MIN_GROUP_PARTS,
				     NODECONF_MAX_GROUP_PARTS,
				     NODECONF_GROUP_PARTS);
}

static uint32_t parse_record_bytes(const struct jcursor *root)
{
	struct jcursor field = jcursor_member(root, "log_record_bytes");

	return (uint32_t)jcursor_int(&field, NODECONF_MIN_RECORD_BYTES,
				     INT32_MAX, NODECONF_RECORD_BYTES);
}

static uint32_t parse_share_hosts(const struct jcursor *root)
{
	struct jcursor field = jcursor_member(root, "share_hosts");

	return (uint32_t)jcursor_int(&field, 1, NODECONF_MAX_SHARE_HOSTS,
				     NODECONF_SHARE_HOSTS);
}

static uint32_t parse_connections(const struct jcursor *root)
{
	struct jcursor field = jcursor_member(root, "max_connections");

	return (uint32_t)jcursor_int(&field, 0, BUDGET_MAX_CONNECTIONS, 0);
}

static int64_t default_max_tasks(const struct nodeconf *parsed)
{
	int64_t by_memory = parsed->memory_bytes * NODECONF_TASKS_PERCENT /
			    100 / NODECONF_TASK_BYTES;
	int64_t by_cores =
		(int64_t)(parsed->core_share * NODECONF_TASKS_PER_CORE);

	return by_cores ? MIN(by_memory, by_cores) : by_memory;
}

/* A bound in bytes; so many percent of the memory if the settings have none. */
static int64_t parse_bytes(const struct jcursor *root, const char *key,
			   const struct nodeconf *parsed, int64_t percent)
{
	int64_t bytes = (int64_t)parse_amount(root, key, 0);

	return bytes ? bytes : parsed->memory_bytes * percent / 100;
}

static void parse_job_room(const struct jcursor *root, struct nodeconf *parsed)
{
	parsed->max_tasks = (int64_t)parse_amount(root, "max_tasks", 0);
	if (!parsed->max_tasks)
		parsed->max_tasks = default_max_tasks(parsed);
	parsed->max_job_bytes = parse_bytes(root, "max_job_bytes", parsed,
					    NODECONF_JOBS_PERCENT);
	parsed->max_report_bytes = parse_bytes(root, "max_report_bytes", parsed,
					       NODECONF_REPORTS_PERCENT);
	parsed->max_checkpoint_bytes =
		parse_bytes(root, "max_checkpoint_bytes", parsed,
			    NODECONF_CHECKPOINTS_PERCENT);
}

int nodeconf_parse(const char *text, size_t len, struct nodeconf *settings,
		   struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct nodeconf parsed = { 0 };
	struct json_object *value = jcursor_parse(text, len, &fault);
	struct jcursor root = jcursor_root(value, &fault);

	if (!value)
		return err_set(err, fault.kind, "%s", fault.text);
	jcursor_check_object(&root);
	parse_text(&root, "name", parsed.name, sizeof(parsed.name), NULL);
	parse_text(&root, "data_centre", parsed.data_centre,
		   sizeof(parsed.data_centre), NULL);
	parse_address(&root, "callers", true, &parsed.callers);
	parse_address(&root, "readiness", true, &parsed.readiness);
	parse_address(&root, "metrics", false, &parsed.metrics);
	parse_text(&root, "log_service", parsed.log_service,
		   sizeof(parsed.log_service), NULL);
	parse_text(&root, "host_service", parsed.host_service,
		   sizeof(parsed.host_service), "");
	parsed.lease_max_ms = parse_ms(&root, "lease_max_ms", 6000);
	parsed.stop_grace_ms = parse_seconds(&root, "stop_grace_s", 6);
	parsed.order_lease_ms = parse_ms(&root, "order_lease_ms", 3000);
	parsed.job_keep_ms = parse_seconds(&root, "job_keep_s", 120);
	parsed.rate_window_ms = parse_seconds(&root, "rate_window_s", 0);
	parsed.rate_overage = parse_amount(&root, "rate_overage", 0);
	parsed.rate_slack_jobs = parse_amount(&root, "rate_slack_jobs", 0);
	parsed.group_parts = parse_parts(&root);
	parsed.log_record_bytes = parse_record_bytes(&root);
	parsed.share_hosts = parse_share_hosts(&root);
	parsed.reserve_room = parse_flag(&root, "reserve_room", false);
	parsed.core_share = parse_amount(&root, "core_share", 1) *
			    parse_amount(&root, "core_speed", 1);
	parsed.link_mbps = parse_amount(&root, "link_mbps", 1000);
	parsed.decider_core_share =
		parse_amount(&root, "decider_core_share", 0.2);
	parsed.decider_link_mbps = parse_amount(&root, "decider_link_mbps", 50);
	parsed.memory_bytes =
		(int64_t)(parse_amount(&root, "memory_mb", NODECONF_MEMORY_MB) *
			  MIB);
	parsed.max_fds = (int64_t)parse_amount(&root, "max_fds", 0);
	parsed.max_connections = parse_connections(&root);
	parsed.max_request_bytes =
		(int64_t)parse_amount(&root, "max_request_bytes", 0);
	parse_job_room(&root, &parsed);
	json_object_put(value);
	if (fault.kind != ERR_OK)
		return err_set(err, fault.kind, "%s", fault.text);
	*settings = parsed;
	return 0;
}

int nodeconf_load(const char *path, struct nodeconf *settings, struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	gchar *text = NULL;
	gsize len = 0;
	GError *error = NULL;
	int status;

	if (!g_file_get_contents(path, &text, &len, &error)) {
		status = err_set(err, ERR_IO, "%s", error->message);
		g_error_free(error);
		return status;
	}
	status = nodeconf_parse(text, len, settings, &fault);
	if (status < 0)
		err_set(err, status, "%s: %s", path, fault.text);
	g_free(text);
	return status;
}
