/*
 * NAME
 *	cnf - settings of a process: its addresses, data centre and peers
 *
 * JSON with comments, read once at start. Every key is checked; a wrong one
 * is refused with the file, the path, the value seen and the value wanted.
 */
#ifndef CNF_H
#define CNF_H

#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "limit.h"

enum {
	CNF_MAX_PEERS = 512,
	CNF_MAX_OPERATORS = 512,
	CNF_TOKEN_BYTES = 128,
	CNF_URL_BYTES = 128
};

struct cnf_peer {
	char address[LIMIT_ADDRESS_BYTES];
	int64_t port;
	char data_centre[LIMIT_NAME_BYTES];
};

struct cnf_operator {
	char name[LIMIT_NAME_BYTES];
	char team[LIMIT_NAME_BYTES]; /* "*": all teams */
	char token[CNF_TOKEN_BYTES];
};

struct cnf {
	char name[LIMIT_NAME_BYTES]; /* of the entry host */
	char data_centre[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES];
	int64_t http_port;
	int64_t rpc_port; /* fleet daemon only */
	/* Entry daemon: empty if there is none; keys are then not claimed. */
	char platform_url[CNF_URL_BYTES];
	int64_t claim_window_ms; /* entry daemon only */
	int64_t heartbeat_ms;
	int64_t lease_ms;
	int64_t expire_ms;
	int64_t start_wait_ms;
	int64_t snapshot_records;
	int64_t stop_delay_ms;
	int64_t stop_grace_ms;

	/* Fleet daemons: peers. For the entry daemon: its own comes first. */
	uint32_t peer_count;
	struct cnf_peer *peers;
	uint32_t operator_count; /* fleet daemon only */
	struct cnf_operator *operators;
};

/* Which program reads the settings; each takes only the keys that it uses. */
enum cnf_role { CNF_ENTRY, CNF_FLEET };

/*
 * cnf_load - read and check a settings file
 *
 * RETURN VALUE
 *	The settings, released by cnf_destroy, or NULL with err filled in.
 *
 * ERRORS
 *	ERR_IO		the file cannot be read
 *	ERR_INVALID	a value is wrong
 *	ERR_TOO_LARGE	longer than LIMIT_SETTINGS_BYTES
 */
struct cnf *cnf_load(const char *path, enum cnf_role role, struct err *err);

/* cnf_parse - as cnf_load, from a text */
struct cnf *cnf_parse(const char *text, size_t len, enum cnf_role role,
		      struct err *err);
void cnf_destroy(struct cnf *cnf);

#endif
