#include "procconf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>

#include "budget.h"
#include "file.h"
#include "field.h"

struct number_setting {
	const char *key;
	size_t offset;
	int64_t min;
	int64_t max;
	int64_t fallback;   /* below min: required */
	unsigned int roles; /* bit set of ENTRY and FLEET */
};

enum {
	ENTRY = 1 << PROCCONF_ENTRY,
	FLEET = 1 << PROCCONF_FLEET,
	HOUR_MS = 3600 * 1000
};

static const struct number_setting numbers[] = {
	{ "http_port", offsetof(struct procconf, http_port), 1, 65535, -1,
	  ENTRY | FLEET },
	{ "rpc_port", offsetof(struct procconf, rpc_port), 1, 65535, -1,
	  FLEET },
	{ "heartbeat_ms", offsetof(struct procconf, heartbeat_ms), 100, HOUR_MS,
	  LIMIT_HEARTBEAT_MS, FLEET },
	{ "lease_ms", offsetof(struct procconf, lease_ms), 200, HOUR_MS,
	  LIMIT_LEASE_MS, FLEET },
	{ "expire_ms", offsetof(struct procconf, expire_ms), 300, HOUR_MS,
	  LIMIT_EXPIRE_MS, FLEET },
	{ "start_wait_ms", offsetof(struct procconf, start_wait_ms), 0, HOUR_MS,
	  3000, FLEET },
	{ "snapshot_records", offsetof(struct procconf, snapshot_records), 10,
	  1000000, 2000, FLEET },
	{ "stop_delay_ms", offsetof(struct procconf, stop_delay_ms), 0, HOUR_MS,
	  0, ENTRY },
	{ "claim_window_ms", offsetof(struct procconf, claim_window_ms), 1000,
	  24 * HOUR_MS, LIMIT_CLAIM_WINDOW_MS, ENTRY },
	{ "memory_mb", offsetof(struct procconf, memory_mb), 32, 1 << 20,
	  PROCCONF_MEMORY_MB, ENTRY },
	{ "max_fds", offsetof(struct procconf, max_fds), 0, INT32_MAX, 0,
	  ENTRY },
	{ "max_connections", offsetof(struct procconf, max_connections), 0,
	  BUDGET_MAX_CONNECTIONS, 0, ENTRY },
	{ "max_request_bytes", offsetof(struct procconf, max_request_bytes), 0,
	  LIMIT_NUMBER_MAX, 0, ENTRY },
	{ "max_body_bytes", offsetof(struct procconf, max_body_bytes), 0,
	  LIMIT_BODY_BYTES, LIMIT_BODY_BYTES, ENTRY },
	{ "header_timeout_ms", offsetof(struct procconf, header_timeout_ms),
	  100, HOUR_MS, LIMIT_PARTIAL_REQUEST_S * 1000, ENTRY },
	{ "idle_timeout_ms", offsetof(struct procconf, idle_timeout_ms), 100,
	  HOUR_MS, LIMIT_PARTIAL_REQUEST_S * 1000, ENTRY },
	{ "stop_grace_ms", offsetof(struct procconf, stop_grace_ms), 0, HOUR_MS,
	  LIMIT_STOP_GRACE_MS, ENTRY | FLEET },
};

static const struct field operator_fields[] = {
	FIELD_ARRAY(procconf_operator, name, FIELD_NAME),
	FIELD_ARRAY(procconf_operator, team, FIELD_TEXT),
	FIELD_ARRAY(procconf_operator, token, FIELD_TEXT),
};

static const struct field peer_fields[] = {
	FIELD_ARRAY(procconf_peer, address, FIELD_TEXT),
	FIELD_NUMBER(procconf_peer, port, 1, 65535),
	FIELD_ARRAY(procconf_peer, data_centre, FIELD_NAME),
};

enum {
	NUMBER_COUNT = sizeof(numbers) / sizeof(numbers[0]),
	MAX_KEYS = NUMBER_COUNT + 8,
	MIN_TOKEN_BYTES = 8
};

static void read_address(const struct jcursor *parent, char *out)
{
	struct jcursor at = jcursor_member(parent, "address");
	struct in_addr addr;

	jcursor_string(&at, out, LIMIT_ADDRESS_BYTES, NULL);
	if (at.err->kind == ERR_OK && inet_pton(AF_INET, out, &addr) != 1)
		jcursor_refuse(&at, "an IPv4 address");
}

static void read_peers(struct procconf *procconf, const struct jcursor *root,
		       const char *key)
{
	struct jcursor list = jcursor_member(root, key);
	size_t count =
		list.value ? jcursor_check_array(&list, PROCCONF_MAX_PEERS) : 0;

	procconf->peers = calloc(count + 1, sizeof(*procconf->peers));
	for (size_t i = 0; i < count; i++) {
		struct jcursor at = jcursor_item(&list, i);
		struct procconf_peer *peer = &procconf->peers[i];

		field_read_all(&at, peer_fields, 3, peer);
		read_address(&at, peer->address);
		for (uint32_t k = 0; k < procconf->peer_count; k++)
			if (!strcmp(procconf->peers[k].address,
				    peer->address) &&
			    procconf->peers[k].port == peer->port)
				jcursor_refuse(&at,
					       "an address and port that are "
					       "not listed yet");
		procconf->peer_count++;
	}
}

static void read_operators(struct procconf *procconf,
			   const struct jcursor *root)
{
	struct jcursor list = jcursor_member(root, "operators");
	size_t count =
		list.value ? jcursor_check_array(&list, PROCCONF_MAX_OPERATORS)
			   : 0;

	procconf->operators = calloc(count + 1, sizeof(*procconf->operators));
	for (size_t i = 0; i < count; i++) {
		struct jcursor at = jcursor_item(&list, i);
		struct jcursor name_at = jcursor_member(&at, "name");
		struct jcursor team_at = jcursor_member(&at, "team");
		struct jcursor token_at = jcursor_member(&at, "token");
		struct procconf_operator *op = &procconf->operators[i];

		field_read_all(&at, operator_fields, 3, op);
		if (at.err->kind == ERR_OK &&
		    strlen(op->token) < MIN_TOKEN_BYTES)
			jcursor_refuse_secret(&token_at,
					      "a token of %d bytes or more",
					      MIN_TOKEN_BYTES);
		if (strcmp(op->team, "*") && !jcursor_valid_name(op->team))
			jcursor_refuse(&team_at, "a team or \"*\"");
		for (uint32_t k = 0; k < procconf->operator_count; k++) {
			if (!strcmp(procconf->operators[k].name, op->name))
				jcursor_refuse(&name_at,
					       "a name that is not listed yet");
			if (!strcmp(procconf->operators[k].token, op->token))
				jcursor_refuse_secret(
					&token_at, "a token that is not listed "
						   "yet");
		}
		procconf->operator_count++;
	}
}

static void read_platform_url(struct procconf *procconf,
			      const struct jcursor *root,
			      enum procconf_role role)
{
	struct jcursor at = jcursor_member(root, "platform_url");

	if (role == PROCCONF_ENTRY && !at.value)
		return;
	jcursor_string(&at, procconf->platform_url,
		       sizeof(procconf->platform_url), NULL);
	if (at.err->kind == ERR_OK &&
	    strncmp(procconf->platform_url, "http://", 7))
		jcursor_refuse(&at, "a URL that begins with http://");
	if (procconf->platform_url[strcspn(procconf->platform_url,
					   " \t\r\n\"?#")])
		jcursor_refuse(&at, "a URL without spaces, query or fragment");
}

static void read_root(struct procconf *procconf, const struct jcursor *root,
		      enum procconf_role role)
{
	const char *keys[MAX_KEYS] = { "name", "data_centre", "address" };
	const char *peers_key = role == PROCCONF_FLEET ? "peers" : "fleet";
	struct jcursor name_at = jcursor_member(root, "name");
	struct jcursor data_centre_at = jcursor_member(root, "data_centre");
	struct jcursor expire_at = jcursor_member(root, "expire_ms");
	struct jcursor peers_at = jcursor_member(root, peers_key);
	size_t count = 3;

	for (size_t i = 0; i < NUMBER_COUNT; i++)
		if (numbers[i].roles & 1u << role)
			keys[count++] = numbers[i].key;
	keys[count++] = peers_key;
	keys[count++] = "platform_url";
	if (role == PROCCONF_FLEET)
		keys[count++] = "operators";
	jcursor_check_keys(root, keys);
	jcursor_name(&name_at, procconf->name, sizeof(procconf->name));
	jcursor_name(&data_centre_at, procconf->data_centre,
		     sizeof(procconf->data_centre));
	read_address(root, procconf->address);
	for (size_t i = 0; i < NUMBER_COUNT; i++) {
		struct jcursor at = jcursor_member(root, numbers[i].key);

		if (numbers[i].roles & 1u << role)
			*(int64_t *)((char *)procconf + numbers[i].offset) =
				jcursor_int(&at, numbers[i].min, numbers[i].max,
					    numbers[i].fallback);
	}
	read_peers(procconf, root, peers_key);
	read_platform_url(procconf, root, role);
	if (role == PROCCONF_ENTRY) {
		if (!procconf->peer_count)
			jcursor_refuse(&peers_at, "one fleet daemon or more");
		return;
	}
	/* A member's lease must end before others may propose its expiry. */
	if (procconf->expire_ms <= procconf->lease_ms ||
	    procconf->lease_ms <= procconf->heartbeat_ms)
		jcursor_refuse(&expire_at,
			       "heartbeat_ms < lease_ms < expire_ms");
	read_operators(procconf, root);
}

struct procconf *procconf_parse(const char *text, size_t len,
				enum procconf_role role, struct err *err)
{
	struct err parse_err = { .kind = ERR_OK };
	struct procconf *procconf = calloc(1, sizeof(*procconf));
	struct json_object *value = jcursor_parse(text, len, &parse_err);
	struct jcursor root = jcursor_root(value, &parse_err);

	if (value && procconf)
		read_root(procconf, &root, role);
	json_object_put(value);
	if (parse_err.kind == ERR_OK)
		return procconf;
	procconf_destroy(procconf);
	if (err)
		*err = parse_err;
	return NULL;
}

struct procconf *procconf_load(const char *path, enum procconf_role role,
			       struct err *err)
{
	struct err parse_err = { .kind = ERR_OK };
	struct procconf *procconf;
	char *text;
	size_t len;

	text = file_read(path, LIMIT_SETTINGS_BYTES, &len, err);
	if (!text)
		return NULL;
	procconf = procconf_parse(text, len, role, &parse_err);
	free(text);
	if (!procconf)
		err_set(err, parse_err.kind, "%.100s: %.400s", path,
			parse_err.text);
	return procconf;
}

void procconf_destroy(struct procconf *procconf)
{
	if (!procconf)
		return;
	free(procconf->peers);
	free(procconf->operators);
	free(procconf);
}
