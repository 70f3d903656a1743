#include "admin.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>
#include <json-c/json.h>

#include "jcursor.h"
#include "fleet_text.h"
#include "view.h"

enum { MAX_PARTS = 5 };

/* Result of an applied record, kept for clients that retry the change. */
struct outcome {
	char id[LIMIT_ID_BYTES];
	char author[LIMIT_NAME_BYTES];
	char target[LIMIT_NAME_BYTES]; /* team or host */
	enum record_type type;
	int64_t offset;
	struct err result;
};

struct admin {
	struct admin_config config;
	uint32_t outcome_count;			   /* total ever added */
	struct outcome outcomes[LIMIT_RECORD_IDS]; /* ring of the newest */
};

static const struct web_header json_headers[] = {
	{ "Content-Type", "application/json" },
	{ NULL, NULL },
};

static const struct web_header text_headers[] = {
	{ "Content-Type", "text/plain; version=0.0.4" },
	{ NULL, NULL },
};

/* Sends a JSON value and releases it. */
static void respond_json(struct web_request *request, int status,
			 struct json_object *value)
{
	size_t len;
	const char *text = json_object_to_json_string_length(
		value, JSON_C_TO_STRING_PLAIN, &len);

	web_respond(request, status, json_headers, text, len);
	json_object_put(value);
}

static void refuse(struct admin *admin, struct web_request *request, int kind,
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

static bool may_change(const struct procconf_operator *op, const char *team)
{
	return !strcmp(op->team, "*") || !strcmp(op->team, team);
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
	respond_json(request, 200, obj);
}

static const char *change_target(const struct record *rec)
{
	return rec->type == RECORD_SETTINGS ? rec->team : rec->host;
}

static const struct outcome *find_outcome(const struct admin *admin,
					  const char *id)
{
	uint32_t kept = admin->outcome_count < LIMIT_RECORD_IDS
				? admin->outcome_count
				: LIMIT_RECORD_IDS;

	for (uint32_t i = 0; i < kept; i++)
		if (!strcmp(admin->outcomes[i].id, id))
			return &admin->outcomes[i];
	return NULL;
}

void admin_observe(struct admin *admin, int64_t offset,
		   const struct record *rec, const struct err *result)
{
	struct outcome *outcome;

	/* Operators only change settings and hosts. */
	if (result->kind == ERR_DUPLICATE ||
	    (!rec->host[0] && rec->type != RECORD_SETTINGS) || rec->member[0])
		return;
	outcome = &admin->outcomes[admin->outcome_count++ % LIMIT_RECORD_IDS];
	*outcome = (struct outcome){
		.type = rec->type,
		.offset = offset,
		.result = *result,
	};
	memcpy(outcome->id, rec->id, sizeof(outcome->id));
	memcpy(outcome->author, rec->author, sizeof(outcome->author));
	apr_cpystrn(outcome->target, change_target(rec),
		    sizeof(outcome->target));
}

static void respond_change(struct admin *admin, struct web_request *request,
			   const struct err *result, int64_t offset)
{
	struct json_object *obj;

	if (result->kind != ERR_OK) {
		refuse(admin, request, result->kind, result->text);
		return;
	}
	obj = json_object_new_object();
	jcursor_put_string(obj, "result", "accepted");
	jcursor_put_int(obj, "offset", offset);
	respond_json(request, 200, obj);
}

/* A request that waits for the outcome of its proposal. */
struct pending_change {
	struct admin *admin;
	struct web_request *request;
	char id[LIMIT_ID_BYTES]; /* chosen by the client, or empty */
};

static void change_done(void *arg, const struct err *result, int64_t offset,
			int64_t created_ms)
{
	struct pending_change *change = arg;
	const struct outcome *first = NULL;

	(void)created_ms;
	/* An earlier copy of this change was read: report its result. */
	if (result->kind == ERR_DUPLICATE && change->id[0])
		first = find_outcome(change->admin, change->id);
	if (first)
		respond_change(change->admin, change->request, &first->result,
			       first->offset);
	else
		respond_change(change->admin, change->request, result, offset);
}

static bool is_change_id(const char *id)
{
	return strlen(id) == LIMIT_ID_BYTES - 1 &&
	       strspn(id, "0123456789abcdef") == LIMIT_ID_BYTES - 1;
}

/*
 * Reads the client's change id into the record. Ids are remembered for the
 * last LIMIT_RECORD_IDS records. An older id is refused: its first copy may have been
 * forgotten, and the change could be applied twice.
 */
static int read_change_id(struct admin *admin, struct web_request *request,
			  struct record *rec, struct err *err)
{
	const char *id = web_header(request, "Plank-Change-Id");
	const char *since = web_header(request, "Plank-Change-Since");
	int64_t next = replica_next(admin->config.replica);
	int64_t since_offset = 0;

	if (!id)
		return 0;
	if (!is_change_id(id))
		return err_set(
			err, ERR_INVALID,
			"Plank-Change-Id: must be 32 hexadecimal digits");
	if (!since || !*since || strspn(since, "0123456789") != strlen(since) ||
	    strlen(since) > 18)
		return err_set(err, ERR_INVALID,
			       "Plank-Change-Since: must be the next offset "
			       "at the time when the id was chosen");
	since_offset = apr_atoi64(since);
	if (next - since_offset > LIMIT_RECORD_IDS && !find_outcome(admin, id))
		return err_set(err, ERR_GONE,
			       "the change id was chosen at offset %" PRId64
			       ", %" PRId64 " records ago; a retry is safe "
			       "within %d records, see the audit trail",
			       since_offset, next - since_offset,
			       LIMIT_RECORD_IDS);
	apr_cpystrn(rec->id, id, sizeof(rec->id));
	return 0;
}

/* Responds if the change's record was already applied; false if not. */
static bool respond_duplicate(struct admin *admin, struct web_request *request,
			      const struct record *rec)
{
	const struct outcome *first =
		rec->id[0] ? find_outcome(admin, rec->id) : NULL;

	if (!first)
		return false;
	if (first->type != rec->type || strcmp(first->author, rec->author) ||
	    strcmp(first->target, change_target(rec)))
		refuse(admin, request, ERR_DUPLICATE,
		       "the change id was already used for another change");
	else
		respond_change(admin, request, &first->result, first->offset);
	return true;
}

/* Takes ownership of the record's allocated members. */
static void propose_change(struct admin *admin, struct web_request *request,
			   const struct procconf_operator *op,
			   struct record *rec)
{
	struct pending_change *change =
		apr_pcalloc(request->pool, sizeof(*change));
	struct err err = { .kind = ERR_OK };
	int status;

	apr_cpystrn(rec->author, op->name, sizeof(rec->author));
	if (*admin->config.stopping)
		err_set(&err, ERR_STOPPING, "this daemon is stopping");
	else
		read_change_id(admin, request, rec, &err);
	if (err.kind != ERR_OK) {
		record_clear(rec);
		refuse(admin, request, err.kind, err.text);
		return;
	}
	if (respond_duplicate(admin, request, rec)) {
		record_clear(rec);
		return;
	}
	change->admin = admin;
	change->request = request;
	memcpy(change->id, rec->id, sizeof(change->id));
	status = propose_submit(admin->config.propose, NULL, rec,
				LIMIT_CHANGE_TIMEOUT_MS, change_done, change);
	if (status < 0)
		refuse(admin, request, status, err_answer(status)->message);
}

/*
 * Parses a settings change: {"base": n, "settings": {...}}. If base is
 * optional and absent, *base keeps its value.
 *
 * Returns the settings, which the caller releases, or NULL with err filled in.
 */
static struct json_object *parse_settings_change(struct web_request *request,
						 bool needs_base, int64_t *base,
						 struct err *err)
{
	static const char *const keys[] = { "base", "settings", NULL };
	struct json_object *value =
		jcursor_parse(request->body, request->body_len, err);
	struct json_object *settings = NULL;
	struct jcursor root = jcursor_root(value, err);
	struct jcursor base_at = jcursor_member(&root, "base");
	struct jcursor settings_at = jcursor_member(&root, "settings");

	if (!value)
		return NULL;
	jcursor_check_keys(&root, keys);
	if (needs_base || base_at.value)
		*base = jcursor_int(&base_at, -1, INT64_MAX, INT64_MIN);
	if (jcursor_check_object(&settings_at))
		settings = json_object_get(settings_at.value);
	json_object_put(value);
	if (err->kind == ERR_OK)
		return settings;
	json_object_put(settings);
	return NULL;
}

/* Applies a change to a copy of the state, to see if it would be accepted. */
static int dry_run(struct admin *admin, const struct record *rec,
		   struct err *err)
{
	const struct fleet *fleet = replica_state(admin->config.replica);
	char *record = record_encode(rec);
	char *text;
	struct fleet *copy;
	size_t len = 0;
	int status = ERR_NO_MEMORY;

	if (record && strlen(record) + LIMIT_ID_BYTES > LIMIT_RECORD_BYTES)
		status = err_set(
			err, ERR_TOO_LARGE,
			"the change makes a record of more than %d bytes",
			LIMIT_RECORD_BYTES);
	else if (record && (text = fleet_text_encode(fleet, &len))) {
		copy = fleet_text_decode(text, len, err);
		free(text);
		status = copy ? fleet_apply(copy, copy->next, rec, err)
			      : err->kind;
		fleet_destroy(copy);
	}
	free(record);
	return status;
}

static void check_settings(struct admin *admin, struct web_request *request,
			   struct record *rec)
{
	static const char valid[] = "{\"result\":\"valid\"}";
	struct err err = { .kind = ERR_OK };

	/* The date decides whether a wave can end before support ends. */
	rec->at_ms = clk_wall_ms(admin->config.clk);
	if (dry_run(admin, rec, &err) == 0)
		web_respond(request, 200, json_headers, valid,
			    sizeof(valid) - 1);
	else
		refuse(admin, request, err.kind ? err.kind : ERR_NO_MEMORY,
		       err.text);
	record_clear(rec);
}

/* Checks a team's settings and, if publish is set, proposes them. */
static void post_settings(struct admin *admin, struct web_request *request,
			  const struct procconf_operator *op, const char *team,
			  bool publish)
{
	const struct fleet_team *current =
		fleet_team(replica_state(admin->config.replica), team);
	struct err err = { .kind = ERR_OK };
	struct record rec = { .type = RECORD_SETTINGS };
	struct json_object *settings;
	struct teamconf *teamconf;

	if (!may_change(op, team)) {
		refuse(admin, request, ERR_FORBIDDEN,
		       "the operator may not change this team's settings");
		return;
	}
	rec.base = current ? current->version : FLEET_NONE;
	settings = parse_settings_change(request, publish, &rec.base, &err);
	if (!settings) {
		refuse(admin, request, err.kind, err.text);
		return;
	}
	rec.settings = strdup(json_object_to_json_string_ext(
		settings, JSON_C_TO_STRING_PLAIN));
	json_object_put(settings);
	apr_cpystrn(rec.team, team, sizeof(rec.team));
	if (!rec.settings) {
		refuse(admin, request, ERR_NO_MEMORY, "out of memory");
		return;
	}
	if (!publish) {
		check_settings(admin, request, &rec);
		return;
	}
	teamconf = teamconf_parse(rec.settings, strlen(rec.settings), &err);
	if (teamconf) {
		teamconf_destroy(teamconf);
		propose_change(admin, request, op, &rec);
		return;
	}
	record_clear(&rec);
	refuse(admin, request, err.kind, err.text);
}

static void post_move(struct admin *admin, struct web_request *request,
		      const struct procconf_operator *op, const char *name,
		      const char *pool)
{
	const struct fleet_host *host =
		fleet_host(replica_state(admin->config.replica), name);
	struct record rec = { .type = RECORD_DRAIN };

	if (!host) {
		refuse(admin, request, ERR_NOT_FOUND, "no such host");
		return;
	}
	if (!may_change(op, host->team)) {
		refuse(admin, request, ERR_FORBIDDEN,
		       "the operator may not change this team's hosts");
		return;
	}
	memcpy(rec.host, host->name, sizeof(rec.host));
	rec.by_operator = true;
	apr_cpystrn(rec.move_to, pool, sizeof(rec.move_to));
	apr_snprintf(rec.reason, sizeof(rec.reason), "by operator %s",
		     op->name);
	propose_change(admin, request, op, &rec);
}

static void post_host(struct admin *admin, struct web_request *request,
		      const struct procconf_operator *op, const char *name,
		      const char *action)
{
	static const enum record_type types[] = { RECORD_DRAIN,	 RECORD_UNDRAIN,
						  RECORD_REBOOT, RECORD_RETURN,
						  RECORD_RETIRE, RECORD_FAIL };
	const struct fleet_host *host =
		fleet_host(replica_state(admin->config.replica), name);
	struct record rec = { .type = RECORD_TYPE_COUNT };

	for (size_t i = 0; i < sizeof(types) / sizeof(types[0]); i++)
		if (!strcmp(record_type_name(types[i]), action))
			rec.type = types[i];
	if (!host || rec.type == RECORD_TYPE_COUNT) {
		refuse(admin, request, ERR_NOT_FOUND, "no such host or action");
		return;
	}
	if (!may_change(op, host->team)) {
		refuse(admin, request, ERR_FORBIDDEN,
		       "the operator may not change this team's hosts");
		return;
	}
	rec.by_operator = true;
	memcpy(rec.host, host->name, sizeof(rec.host));
	rec.drain = host->drain_offset < 0 ? 0 : host->drain_offset;
	apr_snprintf(rec.reason, sizeof(rec.reason), "by operator %s",
		     op->name);
	propose_change(admin, request, op, &rec);
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
		respond_json(request, 200, value);
	else
		refuse(admin, request, ERR_NOT_FOUND, "no such resource");
}

static void get_audit(struct admin *admin, struct web_request *request)
{
	const char *from = web_query(request, "from");

	if (from && (!*from || strlen(from) > 18 ||
		     strspn(from, "0123456789") != strlen(from)))
		refuse(admin, request, ERR_INVALID, "from: must be an offset");
	else
		respond_json(request, 200,
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
			respond_json(request, 200, collections[i].view(fleet));
			return;
		}
	if (count == 2 && !strcmp(parts[1], "status"))
		get_status(admin, request);
	else if (count == 2 && !strcmp(parts[1], "audit"))
		get_audit(admin, request);
	else if (count == 2 && !strcmp(parts[1], "plan"))
		respond_json(request, 200,
			     view_plan(fleet, clk_wall_ms(admin->config.clk)));
	else if (count == 3 && !strcmp(parts[1], "teams"))
		respond_found(admin, request, view_team(fleet, parts[2]));
	else if (count == 3 && !strcmp(parts[1], "hosts"))
		respond_found(admin, request, view_host(fleet, parts[2]));
	else
		refuse(admin, request, ERR_NOT_FOUND, "no such resource");
}

static void post(struct admin *admin, struct web_request *request,
		 const struct procconf_operator *op, char **parts, int count)
{
	if (!replica_ready(admin->config.replica))
		refuse(admin, request, ERR_NOT_READY,
		       "fleet state not loaded yet");
	else if (count == 4 && !strcmp(parts[1], "teams") &&
		 !strcmp(parts[3], "settings"))
		post_settings(admin, request, op, parts[2], true);
	else if (count == 4 && !strcmp(parts[1], "teams") &&
		 !strcmp(parts[3], "check"))
		post_settings(admin, request, op, parts[2], false);
	else if (count == 4 && !strcmp(parts[1], "hosts"))
		post_host(admin, request, op, parts[2], parts[3]);
	else if (count == 5 && !strcmp(parts[1], "hosts") &&
		 !strcmp(parts[3], "move"))
		post_move(admin, request, op, parts[2], parts[4]);
	else
		refuse(admin, request, ERR_NOT_FOUND, "no such resource");
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
		refuse(admin, request, ERR_AUTH,
		       "operator token missing or not valid");
	else if (count < 2 || strcmp(parts[0], "v1"))
		refuse(admin, request, ERR_NOT_FOUND, "no such resource");
	else if (is_get)
		get(admin, request, parts, count);
	else if (!strcmp(request->method, "POST"))
		post(admin, request, op, parts, count);
	else
		refuse(admin, request, ERR_INVALID,
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
