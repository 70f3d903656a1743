#include "admin_int.h"

#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>
#include <json-c/json.h>

#include "jcursor.h"
#include "view.h"

enum { MAX_PARTS = 5 };

const struct web_header admin_json_headers[] = {
	{ "Content-Type", "application/json" },
	{ NULL, NULL },
};

static const struct web_header text_headers[] = {
	{ "Content-Type", "text/plain; version=0.0.4" },
	{ NULL, NULL },
};

void admin_respond_json(struct web_request *request, int status,
			struct json_object *value)
{
	size_t len;
	const char *text = json_object_to_json_string_length(
		value, JSON_C_TO_STRING_PLAIN, &len);

	web_respond(request, status, admin_json_headers, text, len);
	json_object_put(value);
}

void admin_refuse(struct admin *admin, struct web_request *request, int kind,
		  const char *text)
{
	counters_inc(admin->config.counters, admin->config.refused_counter);
	web_respond_error(request, kind, text);
}

/* Timing depends only on the lengths, so it does not leak the token. */
static bool tokens_equal(const char *a, const char *b)
{
	size_t len = strlen(a);
	unsigned char differ = len != strlen(b);

	for (size_t i = 0; i < len && b[i]; i++)
		differ |= (unsigned char)(a[i] ^ b[i]);
	return !differ;
}

static const struct procconf_operator *authenticate(struct admin *admin,
						    struct web_request *request)
{
	const char *header = web_header(request, "Authorization");
	const struct procconf_operator *found = NULL;

	if (!header || strncmp(header, "Bearer ", 7))
		return NULL;
	for (uint32_t i = 0; i < admin->config.procconf->operator_count; i++) {
		const struct procconf_operator *op =
			&admin->config.procconf->operators[i];

		if (tokens_equal(op->token, header + 7))
			found = op;
	}
	return found;
}

static void get_status(struct admin *admin, struct web_request *request)
{
	const struct admin_config *config = &admin->config;
	struct json_object *obj = json_object_new_object();
	struct follow_status status;

	follow_get_status(config->follow, &status);
	jcursor_put_string(obj, "name", config->procconf->name);
	jcursor_put_string(obj, "data_centre", config->procconf->data_centre);
	json_object_object_add(
		obj, "ready",
		json_object_new_boolean(replica_ready(config->replica)));
	jcursor_put_int(obj, "next", replica_next(config->replica));
	json_object_object_add(obj, "platform_ok",
			       json_object_new_boolean(status.platform_ok));
	jcursor_put_int(obj, "platform_age_ms", status.platform_age_ms);
	jcursor_put_int(obj, "host_list_age_ms",
			hostlist_age_ms(config->hostlist));
	json_object_object_add(obj, "records_lost_to_retention",
			       json_object_new_boolean(status.gap));
	json_object_object_add(obj, "follows_peer",
			       json_object_new_boolean(status.from_peer));
	jcursor_put_int(obj, "snapshot_next", status.snapshot_next);
	jcursor_put_int(obj, "proposals", propose_count(config->propose));
	admin_respond_json(request, 200, obj);
}

/* Resources that need no operator token. */
static void get_unauthenticated(struct admin *admin,
				struct web_request *request)
{
	bool ready = replica_ready(admin->config.replica) &&
		     !*admin->config.stopping;
	const char *text;

	if (!strcmp(request->path, "/healthz")) {
		web_respond(request, 200, text_headers, "live\n", 5);
	} else if (!strcmp(request->path, "/readyz")) {
		if (ready)
			web_respond(request, 200, text_headers, "ready\n", 6);
		else
			web_respond_error(
				request, ERR_NOT_READY,
				*admin->config.stopping
					? "stopping"
					: "fleet state not loaded yet");
	} else {
		text = counters_format(admin->config.counters, request->pool);
		web_respond(request, 200, text_headers, text, strlen(text));
	}
}

static void respond_found(struct admin *admin, struct web_request *request,
			  struct json_object *value)
{
	if (value)
		admin_respond_json(request, 200, value);
	else
		admin_refuse(admin, request, ERR_NOT_FOUND, "no such resource");
}

static void get_audit(struct admin *admin, struct web_request *request)
{
	const char *from = web_query(request, "from");

	if (from && (!*from || strlen(from) > 18 ||
		     strspn(from, "0123456789") != strlen(from)))
		admin_refuse(admin, request, ERR_INVALID,
			     "from: must be an offset");
	else
		admin_respond_json(
			request, 200,
			view_audit(replica_state(admin->config.replica),
				   from ? apr_atoi64(from) : 0));
}

struct collection {
	const char *name;
	struct json_object *(*view)(const struct fleet *fleet);
};

static const struct collection collections[] = {
	{ "teams", view_teams },
	{ "pools", view_pools },
	{ "hosts", view_hosts },
	{ "members", view_members },
};

static void get(struct admin *admin, struct web_request *request, char **parts,
		int count)
{
	const struct fleet *fleet = replica_state(admin->config.replica);

	for (size_t i = 0;
	     count == 2 && i < sizeof(collections) / sizeof(collections[0]);
	     i++)
		if (!strcmp(collections[i].name, parts[1])) {
			admin_respond_json(request, 200,
					   collections[i].view(fleet));
			return;
		}
	if (count == 2 && !strcmp(parts[1], "status"))
		get_status(admin, request);
	else if (count == 2 && !strcmp(parts[1], "audit"))
		get_audit(admin, request);
	else if (count == 2 && !strcmp(parts[1], "plan"))
		admin_respond_json(
			request, 200,
			view_plan(fleet, clk_wall_ms(admin->config.clk)));
	else if (count == 3 && !strcmp(parts[1], "teams"))
		respond_found(admin, request, view_team(fleet, parts[2]));
	else if (count == 3 && !strcmp(parts[1], "hosts"))
		respond_found(admin, request, view_host(fleet, parts[2]));
	else
		admin_refuse(admin, request, ERR_NOT_FOUND, "no such resource");
}

/* Splits the path; returns 0 parts if one of them is not a valid name. */
static int split_path(struct web_request *request, char **parts)
{
	char *state, *part;
	int count = 0;

	part = apr_strtok(apr_pstrdup(request->pool, request->path), "/",
			  &state);
	while (part) {
		if (count == MAX_PARTS || !jcursor_valid_name(part))
			return 0;
		parts[count++] = part;
		part = apr_strtok(NULL, "/", &state);
	}
	return count;
}

void admin_handle(void *arg, struct web_request *request)
{
	const struct procconf_operator *op;
	struct admin *admin = arg;
	char *parts[MAX_PARTS];
	int count = split_path(request, parts);
	bool is_get = !strcmp(request->method, "GET");

	if (is_get && count == 1 &&
	    (!strcmp(parts[0], "healthz") || !strcmp(parts[0], "readyz") ||
	     !strcmp(parts[0], "metrics"))) {
		get_unauthenticated(admin, request);
		return;
	}
	op = authenticate(admin, request);
	if (!op)
		admin_refuse(admin, request, ERR_AUTH,
			     "operator token missing or not valid");
	else if (count < 2 || strcmp(parts[0], "v1"))
		admin_refuse(admin, request, ERR_NOT_FOUND, "no such resource");
	else if (is_get)
		get(admin, request, parts, count);
	else if (!strcmp(request->method, "POST"))
		admin_change_handle(admin, request, op, parts, count);
	else
		admin_refuse(admin, request, ERR_INVALID,
			     "the method must be GET or POST");
}

struct admin *admin_create(const struct admin_config *config)
{
	struct admin *admin = calloc(1, sizeof(*admin));

	if (admin)
		admin->config = *config;
	return admin;
}

void admin_destroy(struct admin *admin)
{
	free(admin);
}
