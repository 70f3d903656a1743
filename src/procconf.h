/*
 * NAME
 *	procconf - settings of a process: its addresses, data centre and peers
 *
 * JSON with comments, read once at start. Every key is checked; an error names
 * the file, the path, the value found and the value expected.
 */
#ifndef PROCCONF_H
#define PROCCONF_H

#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "limit.h"

enum {
	PROCCONF_MAX_PEERS = 512,
	PROCCONF_MAX_OPERATORS = 512,
	PROCCONF_TOKEN_BYTES = 128,
	PROCCONF_URL_BYTES = 128,
	/* Enough for 4,096 connections of callers. */
	PROCCONF_MEMORY_MB = 4096
};

struct procconf_peer {
	char address[LIMIT_ADDRESS_BYTES];
	int64_t port;
	char data_centre[LIMIT_NAME_BYTES];
};

struct procconf_operator {
	char name[LIMIT_NAME_BYTES];
	char team[LIMIT_NAME_BYTES]; /* "*": all teams */
	char token[PROCCONF_TOKEN_BYTES];
};

struct procconf {
	char name[LIMIT_NAME_BYTES]; /* of this entry host */
	char data_centre[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES];
	int64_t http_port;
	int64_t rpc_port; /* fleet daemon only */
	/* Entry daemon: if empty, idempotency keys are not claimed. */
	char platform_url[PROCCONF_URL_BYTES];
	int64_t claim_window_ms; /* entry daemon only */
	int64_t heartbeat_ms;
	int64_t lease_ms;
	int64_t expire_ms;
	int64_t start_wait_ms;
	int64_t snapshot_records;
	int64_t stop_delay_ms;
	int64_t stop_grace_ms;
	/* Entry daemon: memory and descriptors of the host for it, and what its
	   clients may hold; 0: by the limit at the start, and by these two. */
	int64_t memory_mb;
	int64_t max_fds;
	int64_t max_connections;
	int64_t max_request_bytes;
	int64_t max_body_bytes;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;

	/*
	 * Fleet daemon: its peers. Entry daemon: the fleet daemons to follow,
	 * beginning with that of its own entry host.
	 */
	uint32_t peer_count;
	struct procconf_peer *peers;
	uint32_t operator_count; /* fleet daemon only */
	struct procconf_operator *operators;
};

/* The program that reads the settings; keys that it does not use are refused. */
enum procconf_role { PROCCONF_ENTRY, PROCCONF_FLEET };

/*
 * procconf_load - read and check a settings file
 *
 * RETURN VALUE
 *	The settings, which the caller releases with procconf_destroy, or NULL
 *	with err filled in.
 *
 * ERRORS
 *	ERR_IO		the file cannot be read
 *	ERR_INVALID	not valid JSON, or a key or value is wrong
 *	ERR_TOO_LARGE	longer than LIMIT_SETTINGS_BYTES
 */
struct procconf *procconf_load(const char *path, enum procconf_role role,
			       struct err *err);

/* procconf_parse - like procconf_load, for a text in memory */
struct procconf *procconf_parse(const char *text, size_t len,
				enum procconf_role role, struct err *err);
void procconf_destroy(struct procconf *procconf);

#endif
