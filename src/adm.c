#include "adm.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>
#include <json-c/json.h>

#include "fld.h"
#include "log.h"

struct adm {
	struct adm_config config;
	uint32_t pending;
};

static const struct web_header json_headers[] = {
	{ "Content-Type", "application/json" },
	{ NULL, NULL },
};

static const struct web_header text_headers[] = {
	{ "Content-Type", "text/plain; version=0.0.4" },
	{ NULL, NULL },
};

/* Answers with a JSON value and releases it. */
static void respond_json(struct web_request *request, int status,
			 struct json_object *value)
{
	size_t len;
	const char *text = json_object_to_json_string_length(
		value, JSON_C_TO_STRING_PLAIN, &len);

	web_respond(request, status, json_headers, text, len);
	json_object_put(value);
}

static void refuse(struct adm *adm, struct web_request *request, int kind,
		   const char *text)
{
	ctr_inc(adm->config.ctr, adm->config.refused_counter);
	web_respond_error(request, kind, text);
}

/* Takes as long for a wrong token as for a right one of the same length. */
static bool same_token(const char *a, const char *b)
{
	size_t len = strlen(a);
	unsigned char differ = len != strlen(b);

	for (size_t i = 0; i < len && b[i]; i++)
		differ |= (unsigned char)(a[i] ^ b[i]);
	return !differ;
}

static const struct cnf_operator *authenticate(struct adm *adm,
					       struct web_request *request)
{
	const char *header = web_header(request, "Authorization");
	const struct cnf_operator *found = NULL;

	if (!header || strncmp(header, "Bearer ", 7))
		return NULL;
	for (uint32_t i = 0; i < adm->config.cnf->operator_count; i++) {
		const struct cnf_operator *op = &adm->config.cnf->operators[i];

		if (same_token(op->token, header + 7))
			found = op;
	}
	return found;
}

static bool may_change(const struct cnf_operator *op, const char *team)
{
	return !strcmp(op->team, "*") || !strcmp(op->team, team);
}

static struct json_object *team_json(const struct fst_team *team,
				     bool with_settings)
{
	struct json_object *obj = json_object_new_object();

	jsn_put_string(obj, "team", team->name);
	jsn_put_int(obj, "version", team->version);
	if (with_settings)
		json_object_object_add(
			obj, "settings",
			json_tokener_parse(team->settings->text));
	return obj;
}

static void get_team(struct adm *adm, struct web_request *request,
		     const char *name)
{
	const struct fst_team *team =
		fst_team(rpl_state(adm->config.rpl), name);

	if (!team) {
		refuse(adm, request, ERR_NOT_FOUND, "no such team");
		return;
	}
	respond_json(request, 200, team_json(team, true));
}

static void get_teams(struct adm *adm, struct web_request *request)
{
	const struct fst *fst = rpl_state(adm->config.rpl);
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < tbl_count(fst->teams); i++)
		json_object_array_add(list,
				      team_json(tbl_at(fst->teams, i), false));
	respond_json(request, 200, list);
}

static void add_pools(const struct fst *fst, const struct fst_team *team,
		      struct json_object *list)
{
	for (uint32_t i = 0; i < team->settings->pool_count; i++) {
		const char *pool = team->settings->pools[i].name;
		struct fst_pool_use use = fst_pool_use(fst, team->name, pool);
		struct json_object *obj = json_object_new_object();

		jsn_put_string(obj, "team", team->name);
		jsn_put_string(obj, "pool", pool);
		jsn_put_int(obj, "hosts", use.hosts);
		jsn_put_int(obj, "available", use.available);
		jsn_put_int(obj, "min_available", use.min_available);
		jsn_put_int(obj, "planned_out", use.planned_out);
		jsn_put_int(obj, "failed", use.failed);
		json_object_array_add(list, obj);
	}
}

static void get_pools(struct adm *adm, struct web_request *request)
{
	const struct fst *fst = rpl_state(adm->config.rpl);
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < tbl_count(fst->teams); i++)
		add_pools(fst, tbl_at(fst->teams, i), list);
	respond_json(request, 200, list);
}

static struct json_object *host_json(const struct fst *fst,
				     const struct fst_host *host)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *waits = json_object_new_array();

	jsn_put_string(obj, "host", host->name);
	jsn_put_string(obj, "team", host->team);
	jsn_put_string(obj, "pool", host->pool);
	jsn_put_string(obj, "state", fst_host_state_name(host->state));
	jsn_put_string(obj, "reason", host->reason);
	jsn_put_string(obj, "data_centre", host->data_centre);
	jsn_put_string(obj, "rack", host->rack);
	jsn_put_string(obj, "address", host->address);
	jsn_put_int(obj, "port", host->port);
	jsn_put_int(obj, "drain", host->drain_offset);
	jsn_put_int(obj, "changed", host->changed_offset);
	for (uint32_t i = 0; i < tbl_count(fst->members); i++) {
		const struct fst_member *member = tbl_at(fst->members, i);

		if (host->state == FST_DRAINING &&
		    fst_member_needed(host, member) &&
		    !fst_is_quiet(host, member))
			json_object_array_add(
				waits, json_object_new_string(member->name));
	}
	json_object_object_add(obj, "waits_for", waits);
	return obj;
}

static void get_hosts(struct adm *adm, struct web_request *request)
{
	const struct fst *fst = rpl_state(adm->config.rpl);
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++)
		json_object_array_add(list,
				      host_json(fst, tbl_at(fst->hosts, i)));
	respond_json(request, 200, list);
}

static void get_host(struct adm *adm, struct web_request *request,
		     const char *name)
{
	const struct fst *fst = rpl_state(adm->config.rpl);
	const struct fst_host *host = fst_host(fst, name);

	if (host)
		respond_json(request, 200, host_json(fst, host));
	else
		refuse(adm, request, ERR_NOT_FOUND, "no such host");
}

static void get_members(struct adm *adm, struct web_request *request)
{
	const struct fst *fst = rpl_state(adm->config.rpl);
	struct json_object *list = json_object_new_array();

	for (uint32_t i = 0; i < tbl_count(fst->members); i++) {
		const struct fst_member *member = tbl_at(fst->members, i);
		struct json_object *obj = json_object_new_object();

		jsn_put_string(obj, "member", member->name);
		jsn_put_string(obj, "data_centre", member->data_centre);
		jsn_put_string(obj, "state",
			       member->expired ? "expired" : "live");
		jsn_put_int(obj, "incarnation", member->incarnation);
		jsn_put_int(obj, "joined", member->join_offset);
		jsn_put_int(obj, "heartbeat", member->seen_offset);
		json_object_array_add(list, obj);
	}
	respond_json(request, 200, list);
}

static struct json_object *audit_json(const struct fst_audit *entry)
{
	struct json_object *obj = json_object_new_object();

	jsn_put_int(obj, "offset", entry->offset);
	jsn_put_int(obj, "at_ms", entry->at_ms);
	jsn_put_string(obj, "author", entry->author);
	jsn_put_string(obj, "action", entry->action);
	jsn_put_string(obj, "target", entry->target);
	jsn_put_string(obj, "before", entry->before);
	jsn_put_string(obj, "after", entry->after);
	jsn_put_string(obj, "result", err_name(entry->result));
	jsn_put_string(obj, "detail", entry->detail);
	return obj;
}

static void get_audit(struct adm *adm, struct web_request *request)
{
	const struct fst *fst = rpl_state(adm->config.rpl);
	const char *from_text = web_query(request, "from");
	int64_t from = from_text ? apr_atoi64(from_text) : 0;
	uint32_t kept = fst->audit_count < LIM_AUDIT_ENTRIES
				? fst->audit_count
				: LIM_AUDIT_ENTRIES;
	struct json_object *list = json_object_new_array();

	for (uint32_t i = fst->audit_count - kept; i < fst->audit_count; i++) {
		const struct fst_audit *entry =
			&fst->audit[i % LIM_AUDIT_ENTRIES];

		if (entry->offset >= from)
			json_object_array_add(list, audit_json(entry));
	}
	respond_json(request, 200, list);
}

static void get_status(struct adm *adm, struct web_request *request)
{
	const struct adm_config *config = &adm->config;
	struct json_object *obj = json_object_new_object();
	struct flw_status status;

	flw_get_status(config->flw, &status);
	jsn_put_string(obj, "name", config->cnf->name);
	jsn_put_string(obj, "data_centre", config->cnf->data_centre);
	json_object_object_add(obj, "ready",
			       json_object_new_boolean(rpl_ready(config->rpl)));
	jsn_put_int(obj, "next", rpl_next(config->rpl));
	json_object_object_add(obj, "platform_ok",
			       json_object_new_boolean(status.platform_ok));
	jsn_put_int(obj, "platform_age_ms", status.platform_age_ms);
	jsn_put_int(obj, "host_list_age_ms", hls_age_ms(config->hls));
	json_object_object_add(obj, "records_lost_to_retention",
			       json_object_new_boolean(status.gap));
	json_object_object_add(obj, "follows_peer",
			       json_object_new_boolean(status.from_peer));
	jsn_put_int(obj, "snapshot_next", status.snapshot_next);
	jsn_put_int(obj, "proposals", prp_count(config->prp));
	respond_json(request, 200, obj);
}

/* A request that waits for its proposal. */
struct waiting {
	struct adm *adm;
	struct web_request *request;
};

static void change_done(void *arg, const struct err *result, int64_t offset,
			int64_t created_ms)
{
	struct waiting *waiting = arg;
	struct web_request *request = waiting->request;
	struct json_object *obj;

	(void)created_ms;
	waiting->adm->pending--;
	if (result->kind != ERR_OK) {
		refuse(waiting->adm, request, result->kind, result->text);
		return;
	}
	obj = json_object_new_object();
	jsn_put_string(obj, "result", "accepted");
	jsn_put_int(obj, "offset", offset);
	respond_json(request, 200, obj);
}

static void propose(struct adm *adm, struct web_request *request,
		    const struct cnf_operator *op, struct rec *rec)
{
	struct waiting *waiting = apr_palloc(request->pool, sizeof(*waiting));
	int status;

	if (*adm->config.stopping) {
		rec_clear(rec);
		refuse(adm, request, ERR_STOPPING, "this daemon is stopping");
		return;
	}
	waiting->adm = adm;
	waiting->request = request;
	apr_cpystrn(rec->author, op->name, sizeof(rec->author));
	adm->pending++;
	status = prp_propose(adm->config.prp, NULL, rec, LIM_CHANGE_TIMEOUT_MS,
			     change_done, waiting);
	if (status < 0) {
		adm->pending--;
		refuse(adm, request, status, "the change was not proposed");
	}
}

/* Body of a settings change: {"base": n, "settings": {...}} */
static struct json_object *parse_change(struct web_request *request,
					int64_t *base, struct err *fault)
{
	static const char *const keys[] = { "base", "settings", NULL };
	struct json_object *value =
		jsn_parse(request->body, request->body_len, fault);
	struct json_object *settings = NULL;
	struct jsn root = jsn_root(value, fault);
	struct jsn base_at = jsn_member(&root, "base");
	struct jsn settings_at = jsn_member(&root, "settings");

	if (!value)
		return NULL;
	jsn_keys(&root, keys);
	*base = jsn_int(&base_at, -1, INT64_MAX, INT64_MIN);
	if (jsn_object(&settings_at))
		settings = json_object_get(settings_at.value);
	json_object_put(value);
	if (fault->kind == ERR_OK)
		return settings;
	json_object_put(settings);
	return NULL;
}

/* Checks a team's settings; publish proposes them as well. */
static void post_settings(struct adm *adm, struct web_request *request,
			  const struct cnf_operator *op, const char *team,
			  bool publish)
{
	struct err fault = { .kind = ERR_OK };
	struct rec rec = { .type = REC_SETTINGS };
	struct json_object *settings;
	struct tms *tms;

	if (!may_change(op, team)) {
		refuse(adm, request, ERR_FORBIDDEN,
		       "the operator may not change this team's settings");
		return;
	}
	settings = parse_change(request, &rec.base, &fault);
	if (!settings) {
		refuse(adm, request, fault.kind, fault.text);
		return;
	}
	rec.settings = strdup(json_object_to_json_string_ext(
		settings, JSON_C_TO_STRING_PLAIN));
	json_object_put(settings);
	tms = tms_parse(rec.settings, strlen(rec.settings), &fault);
	if (!tms || !publish) {
		rec_clear(&rec);
		if (tms)
			web_respond(request, 200, json_headers,
				    "{\"result\":\"valid\"}", 18);
		else
			refuse(adm, request, fault.kind, fault.text);
		tms_destroy(tms);
		return;
	}
	tms_destroy(tms);
	apr_cpystrn(rec.team, team, sizeof(rec.team));
	propose(adm, request, op, &rec);
}

static void post_host(struct adm *adm, struct web_request *request,
		      const struct cnf_operator *op, const char *name,
		      const char *action)
{
	static const enum rec_type types[] = { REC_DRAIN,  REC_UNDRAIN,
					       REC_REBOOT, REC_RETURN,
					       REC_RETIRE, REC_FAIL };
	const struct fst_host *host =
		fst_host(rpl_state(adm->config.rpl), name);
	struct rec rec = { .type = REC_TYPE_COUNT };

	for (size_t i = 0; i < sizeof(types) / sizeof(types[0]); i++)
		if (!strcmp(rec_type_name(types[i]), action))
			rec.type = types[i];
	if (!host || rec.type == REC_TYPE_COUNT) {
		refuse(adm, request, ERR_NOT_FOUND, "no such host or action");
		return;
	}
	if (!may_change(op, host->team)) {
		refuse(adm, request, ERR_FORBIDDEN,
		       "the operator may not change this team's hosts");
		return;
	}
	memcpy(rec.host, host->name, sizeof(rec.host));
	rec.drain = host->drain_offset < 0 ? 0 : host->drain_offset;
	apr_snprintf(rec.reason, sizeof(rec.reason), "by operator %s",
		     op->name);
	propose(adm, request, op, &rec);
}

static void get_open(struct adm *adm, struct web_request *request)
{
	bool ready = rpl_ready(adm->config.rpl) && !*adm->config.stopping;
	const char *text;

	if (!strcmp(request->path, "/healthz")) {
		web_respond(request, 200, text_headers, "live\n", 5);
	} else if (!strcmp(request->path, "/readyz")) {
		if (ready)
			web_respond(request, 200, text_headers, "ready\n", 6);
		else
			web_respond_error(request, ERR_NOT_READY,
					  *adm->config.stopping
						  ? "stopping"
						  : "no fleet state yet");
	} else {
		text = ctr_text(adm->config.ctr, request->pool);
		web_respond(request, 200, text_headers, text, strlen(text));
	}
}

struct route {
	const char *path;
	void (*get)(struct adm *adm, struct web_request *request);
};

static const struct route routes[] = {
	{ "/v1/status", get_status },	{ "/v1/teams", get_teams },
	{ "/v1/pools", get_pools },	{ "/v1/hosts", get_hosts },
	{ "/v1/members", get_members }, { "/v1/audit", get_audit },
};

static void get(struct adm *adm, struct web_request *request, char **parts,
		int count)
{
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++)
		if (!strcmp(routes[i].path, request->path)) {
			routes[i].get(adm, request);
			return;
		}
	if (count == 3 && !strcmp(parts[1], "teams"))
		get_team(adm, request, parts[2]);
	else if (count == 3 && !strcmp(parts[1], "hosts"))
		get_host(adm, request, parts[2]);
	else
		refuse(adm, request, ERR_NOT_FOUND, "no such resource");
}

static void post(struct adm *adm, struct web_request *request,
		 const struct cnf_operator *op, char **parts, int count)
{
	if (!rpl_ready(adm->config.rpl))
		refuse(adm, request, ERR_NOT_READY, "no fleet state yet");
	else if (count == 4 && !strcmp(parts[1], "teams") &&
		 !strcmp(parts[3], "settings"))
		post_settings(adm, request, op, parts[2], true);
	else if (count == 4 && !strcmp(parts[1], "teams") &&
		 !strcmp(parts[3], "check"))
		post_settings(adm, request, op, parts[2], false);
	else if (count == 4 && !strcmp(parts[1], "hosts"))
		post_host(adm, request, op, parts[2], parts[3]);
	else
		refuse(adm, request, ERR_NOT_FOUND, "no such resource");
}

enum { MAX_PARTS = 5 };

/* Parts of the path that are valid names; fewer than 1 if one is not. */
static int split_path(struct web_request *request, char **parts)
{
	char *state, *part;
	int count = 0;

	part = apr_strtok(apr_pstrdup(request->pool, request->path), "/",
			  &state);
	while (part) {
		if (count == MAX_PARTS || !jsn_valid_name(part))
			return 0;
		parts[count++] = part;
		part = apr_strtok(NULL, "/", &state);
	}
	return count;
}

void adm_handle(void *arg, struct web_request *request)
{
	const struct cnf_operator *op;
	struct adm *adm = arg;
	char *parts[MAX_PARTS];
	int count = split_path(request, parts);
	bool is_get = !strcmp(request->method, "GET");

	if (is_get && count == 1 &&
	    (!strcmp(parts[0], "healthz") || !strcmp(parts[0], "readyz") ||
	     !strcmp(parts[0], "metrics"))) {
		get_open(adm, request);
		return;
	}
	op = authenticate(adm, request);
	if (!op)
		refuse(adm, request, ERR_AUTH, "a valid token is needed");
	else if (count < 2 || strcmp(parts[0], "v1"))
		refuse(adm, request, ERR_NOT_FOUND, "no such resource");
	else if (is_get)
		get(adm, request, parts, count);
	else if (!strcmp(request->method, "POST"))
		post(adm, request, op, parts, count);
	else
		refuse(adm, request, ERR_INVALID, "GET or POST is wanted");
}

struct adm *adm_create(const struct adm_config *config)
{
	struct adm *adm = calloc(1, sizeof(*adm));

	if (adm)
		adm->config = *config;
	return adm;
}

void adm_destroy(struct adm *adm)
{
	free(adm);
}

uint32_t adm_pending(const struct adm *adm)
{
	return adm->pending;
}
