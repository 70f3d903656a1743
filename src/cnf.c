#include "cnf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <arpa/inet.h>

#include "file.h"
#include "field.h"

struct number {
	const char *key;
	size_t offset;
	int64_t min;
	int64_t max;
	int64_t fallback; /* below min: required */
	unsigned int roles;
};

enum { ENTRY = 1 << CNF_ENTRY, FLEET = 1 << CNF_FLEET, HOUR_MS = 3600 * 1000 };

static const struct number numbers[] = {
	{ "http_port", offsetof(struct cnf, http_port), 1, 65535, -1,
	  ENTRY | FLEET },
	{ "rpc_port", offsetof(struct cnf, rpc_port), 1, 65535, -1, FLEET },
	{ "heartbeat_ms", offsetof(struct cnf, heartbeat_ms), 100, HOUR_MS,
	  LIMIT_HEARTBEAT_MS, FLEET },
	{ "lease_ms", offsetof(struct cnf, lease_ms), 200, HOUR_MS,
	  LIMIT_LEASE_MS, FLEET },
	{ "expire_ms", offsetof(struct cnf, expire_ms), 300, HOUR_MS,
	  LIMIT_EXPIRE_MS, FLEET },
	{ "start_wait_ms", offsetof(struct cnf, start_wait_ms), 0, HOUR_MS,
	  3000, FLEET },
	{ "snapshot_records", offsetof(struct cnf, snapshot_records), 10,
	  1000000, 2000, FLEET },
	{ "stop_delay_ms", offsetof(struct cnf, stop_delay_ms), 0, HOUR_MS, 0,
	  ENTRY },
	{ "claim_window_ms", offsetof(struct cnf, claim_window_ms), 1000,
	  24 * HOUR_MS, LIMIT_CLAIM_WINDOW_MS, ENTRY },
	{ "stop_grace_ms", offsetof(struct cnf, stop_grace_ms), 0, HOUR_MS,
	  LIMIT_STOP_GRACE_MS, ENTRY | FLEET },
};

static const struct field operator_fields[] = {
	FIELD_ARRAY(cnf_operator, name, FIELD_NAME),
	FIELD_ARRAY(cnf_operator, team, FIELD_TEXT),
	FIELD_ARRAY(cnf_operator, token, FIELD_TEXT),
};

static const struct field peer_fields[] = {
	FIELD_ARRAY(cnf_peer, address, FIELD_TEXT),
	FIELD_NUMBER(cnf_peer, port, 1, 65535),
	FIELD_ARRAY(cnf_peer, data_centre, FIELD_NAME),
};

enum {
	NUMBER_COUNT = sizeof(numbers) / sizeof(numbers[0]),
	MAX_KEYS = NUMBER_COUNT + 8,
	MIN_TOKEN_BYTES = 8
};

static void read_address(const struct jsn *parent, char *out)
{
	struct jsn at = jsn_member(parent, "address");
	struct in_addr addr;

	jsn_string(&at, out, LIMIT_ADDRESS_BYTES, NULL);
	if (at.err->kind == ERR_OK && inet_pton(AF_INET, out, &addr) != 1)
		jsn_refuse(&at, "an IPv4 address");
}

static void read_peers(struct cnf *cnf, const struct jsn *root, const char *key)
{
	struct jsn list = jsn_member(root, key);
	size_t count = list.value ? jsn_array(&list, CNF_MAX_PEERS) : 0;

	cnf->peers = calloc(count + 1, sizeof(*cnf->peers));
	for (size_t i = 0; i < count; i++) {
		struct jsn at = jsn_item(&list, i);
		struct cnf_peer *peer = &cnf->peers[i];

		field_read_all(&at, peer_fields, 3, peer);
		read_address(&at, peer->address);
		for (uint32_t k = 0; k < cnf->peer_count; k++)
			if (!strcmp(cnf->peers[k].address, peer->address) &&
			    cnf->peers[k].port == peer->port)
				jsn_refuse(&at, "an address and port that are "
						"not listed yet");
		cnf->peer_count++;
	}
}

static void read_operators(struct cnf *cnf, const struct jsn *root)
{
	struct jsn list = jsn_member(root, "operators");
	size_t count = list.value ? jsn_array(&list, CNF_MAX_OPERATORS) : 0;

	cnf->operators = calloc(count + 1, sizeof(*cnf->operators));
	for (size_t i = 0; i < count; i++) {
		struct jsn at = jsn_item(&list, i);
		struct jsn name_at = jsn_member(&at, "name");
		struct jsn team_at = jsn_member(&at, "team");
		struct jsn token_at = jsn_member(&at, "token");
		struct cnf_operator *op = &cnf->operators[i];

		field_read_all(&at, operator_fields, 3, op);
		if (at.err->kind == ERR_OK &&
		    strlen(op->token) < MIN_TOKEN_BYTES)
			jsn_refuse_secret(&token_at,
					  "a token of %d bytes or more",
					  MIN_TOKEN_BYTES);
		if (strcmp(op->team, "*") && !jsn_valid_name(op->team))
			jsn_refuse(&team_at, "a team or \"*\"");
		for (uint32_t k = 0; k < cnf->operator_count; k++) {
			if (!strcmp(cnf->operators[k].name, op->name))
				jsn_refuse(&name_at,
					   "a name that is not listed yet");
			if (!strcmp(cnf->operators[k].token, op->token))
				jsn_refuse_secret(&token_at,
						  "a token that is not listed "
						  "yet");
		}
		cnf->operator_count++;
	}
}

static void read_platform_url(struct cnf *cnf, const struct jsn *root,
			      enum cnf_role role)
{
	struct jsn at = jsn_member(root, "platform_url");

	if (role == CNF_ENTRY && !at.value)
		return;
	jsn_string(&at, cnf->platform_url, sizeof(cnf->platform_url), NULL);
	if (at.err->kind == ERR_OK && strncmp(cnf->platform_url, "http://", 7))
		jsn_refuse(&at, "a URL that begins with http://");
	if (cnf->platform_url[strcspn(cnf->platform_url, " \t\r\n\"?#")])
		jsn_refuse(&at, "a URL without spaces, query or fragment");
}

static void read_root(struct cnf *cnf, const struct jsn *root,
		      enum cnf_role role)
{
	const char *keys[MAX_KEYS] = { "name", "data_centre", "address" };
	const char *peers_key = role == CNF_FLEET ? "peers" : "fleet";
	struct jsn name_at = jsn_member(root, "name");
	struct jsn data_centre_at = jsn_member(root, "data_centre");
	struct jsn expire_at = jsn_member(root, "expire_ms");
	struct jsn peers_at = jsn_member(root, peers_key);
	size_t count = 3;

	for (size_t i = 0; i < NUMBER_COUNT; i++)
		if (numbers[i].roles & 1u << role)
			keys[count++] = numbers[i].key;
	keys[count++] = peers_key;
	keys[count++] = "platform_url";
	if (role == CNF_FLEET)
		keys[count++] = "operators";
	jsn_keys(root, keys);
	jsn_name(&name_at, cnf->name, sizeof(cnf->name));
	jsn_name(&data_centre_at, cnf->data_centre, sizeof(cnf->data_centre));
	read_address(root, cnf->address);
	for (size_t i = 0; i < NUMBER_COUNT; i++) {
		struct jsn at = jsn_member(root, numbers[i].key);

		if (numbers[i].roles & 1u << role)
			*(int64_t *)((char *)cnf + numbers[i].offset) =
				jsn_int(&at, numbers[i].min, numbers[i].max,
					numbers[i].fallback);
	}
	read_peers(cnf, root, peers_key);
	read_platform_url(cnf, root, role);
	if (role == CNF_ENTRY) {
		if (!cnf->peer_count)
			jsn_refuse(&peers_at, "one fleet daemon or more");
		return;
	}
	/* A member must stop before others may propose its expiry. */
	if (cnf->expire_ms <= cnf->lease_ms ||
	    cnf->lease_ms <= cnf->heartbeat_ms)
		jsn_refuse(&expire_at, "heartbeat_ms < lease_ms < expire_ms");
	read_operators(cnf, root);
}

struct cnf *cnf_parse(const char *text, size_t len, enum cnf_role role,
		      struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct cnf *cnf = calloc(1, sizeof(*cnf));
	struct json_object *value = jsn_parse(text, len, &fault);
	struct jsn root = jsn_root(value, &fault);

	if (value && cnf)
		read_root(cnf, &root, role);
	json_object_put(value);
	if (fault.kind == ERR_OK)
		return cnf;
	cnf_destroy(cnf);
	if (err)
		*err = fault;
	return NULL;
}

struct cnf *cnf_load(const char *path, enum cnf_role role, struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct cnf *cnf;
	char *text;
	size_t len;

	text = file_read(path, LIMIT_SETTINGS_BYTES, &len, err);
	if (!text)
		return NULL;
	cnf = cnf_parse(text, len, role, &fault);
	free(text);
	if (!cnf)
		err_set(err, fault.kind, "%.100s: %.400s", path, fault.text);
	return cnf;
}

void cnf_destroy(struct cnf *cnf)
{
	if (!cnf)
		return;
	free(cnf->peers);
	free(cnf->operators);
	free(cnf);
}
