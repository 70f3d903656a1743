#include "admin_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "fleet_text.h"
#include "jcursor.h"

static bool may_change(const struct procconf_operator *op, const char *team)
{
	return !strcmp(op->team, "*") || !strcmp(op->team, team);
}

static const char *change_target(const struct record *rec)
{
	return rec->type == RECORD_SETTINGS ? rec->team : rec->host;
}

static const struct admin_outcome *find_outcome(const struct admin *admin,
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
	struct admin_outcome *outcome;

	/* Operators only change settings and hosts. */
	if (result->kind == ERR_DUPLICATE ||
	    (!rec->host[0] && rec->type != RECORD_SETTINGS) || rec->member[0])
		return;
	outcome = &admin->outcomes[admin->outcome_count++ % LIMIT_RECORD_IDS];
	*outcome = (struct admin_outcome){
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
		admin_refuse(admin, request, result->kind, result->text);
		return;
	}
	obj = json_object_new_object();
	jcursor_put_string(obj, "result", "accepted");
	jcursor_put_int(obj, "offset", offset);
	admin_respond_json(request, 200, obj);
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
	const struct admin_outcome *first = NULL;

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
	const struct admin_outcome *first =
		rec->id[0] ? find_outcome(admin, rec->id) : NULL;

	if (!first)
		return false;
	if (first->type != rec->type || strcmp(first->author, rec->author) ||
	    strcmp(first->target, change_target(rec)))
		admin_refuse(
			admin, request, ERR_DUPLICATE,
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
		admin_refuse(admin, request, err.kind, err.text);
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
		admin_refuse(admin, request, status,
			     err_answer(status)->message);
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
		web_respond(request, 200, admin_json_headers, valid,
			    sizeof(valid) - 1);
	else
		admin_refuse(admin, request,
			     err.kind ? err.kind : ERR_NO_MEMORY, err.text);
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
		admin_refuse(
			admin, request, ERR_FORBIDDEN,
			"the operator may not change this team's settings");
		return;
	}
	rec.base = current ? current->version : FLEET_NONE;
	settings = parse_settings_change(request, publish, &rec.base, &err);
	if (!settings) {
		admin_refuse(admin, request, err.kind, err.text);
		return;
	}
	rec.settings = strdup(json_object_to_json_string_ext(
		settings, JSON_C_TO_STRING_PLAIN));
	json_object_put(settings);
	apr_cpystrn(rec.team, team, sizeof(rec.team));
	if (!rec.settings) {
		admin_refuse(admin, request, ERR_NO_MEMORY, "out of memory");
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
	admin_refuse(admin, request, err.kind, err.text);
}

static void post_move(struct admin *admin, struct web_request *request,
		      const struct procconf_operator *op, const char *name,
		      const char *pool)
{
	const struct fleet_host *host =
		fleet_host(replica_state(admin->config.replica), name);
	struct record rec = { .type = RECORD_DRAIN };

	if (!host) {
		admin_refuse(admin, request, ERR_NOT_FOUND, "no such host");
		return;
	}
	if (!may_change(op, host->team)) {
		admin_refuse(admin, request, ERR_FORBIDDEN,
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
		admin_refuse(admin, request, ERR_NOT_FOUND,
			     "no such host or action");
		return;
	}
	if (!may_change(op, host->team)) {
		admin_refuse(admin, request, ERR_FORBIDDEN,
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

void admin_change_handle(struct admin *admin, struct web_request *request,
			 const struct procconf_operator *op, char **parts,
			 int count)
{
	if (!replica_ready(admin->config.replica))
		admin_refuse(admin, request, ERR_NOT_READY,
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
		admin_refuse(admin, request, ERR_NOT_FOUND, "no such resource");
}
