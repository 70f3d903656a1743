/*
 * NAME
 *	record - records of the fleet stream
 *
 * A record is one JSON object. Every record has a type, an id that is set
 * before the first append, its author, and the author's wall clock, which is
 * for display only. The other fields depend on the type.
 */
#ifndef RECORD_H
#define RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "limit.h"

enum record_type {
	RECORD_SETTINGS,       /* an operator publishes a team's settings */
	RECORD_HOST,	       /* host attributes from the platform's list */
	RECORD_MEMBER,	       /* an entry host joins, or its heartbeat */
	RECORD_MEMBER_LEFT,    /* an entry host has stopped gracefully */
	RECORD_MEMBER_EXPIRED, /* no heartbeat since the offset `seen` */
	RECORD_DRAIN,	       /* take a host out of service */
	RECORD_QUIET,	       /* a member confirms a drain: none in progress */
	RECORD_UNDRAIN,	       /* cancel a drain before the reboot */
	RECORD_REBOOT,	       /* a drained host is being rebooted */
	RECORD_RETURN,	       /* a rebooting or failed host is back */
	RECORD_FAIL,	       /* a host has failed */
	RECORD_RETIRE,	       /* a drained host leaves service permanently */
	RECORD_ASSIGN,	       /* a drained host moves to a pool of its team */
	RECORD_TYPE_COUNT
};

struct record {
	enum record_type type;
	char id[LIMIT_ID_BYTES];
	char author[LIMIT_NAME_BYTES];
	int64_t at_ms;

	char team[LIMIT_NAME_BYTES];
	int64_t base;	/* version of the replaced settings; -1: none */
	char *settings; /* JSON text, owned by the record */

	char host[LIMIT_NAME_BYTES];
	char reason[LIMIT_REASON_BYTES];
	int64_t drain; /* offset of the drain that the record refers to */
	char wave[LIMIT_NAME_BYTES];	/* reason for a drain; empty: none */
	char move_to[LIMIT_NAME_BYTES]; /* target pool of a drain, or empty */
	char pool[LIMIT_NAME_BYTES];
	int64_t boot_id;  /* rises with each boot; 0: not given */
	bool by_operator; /* drain, return or failure set by an operator */

	char member[LIMIT_NAME_BYTES];
	int64_t incarnation;
	int64_t seq;  /* rises with each heartbeat of an incarnation */
	int64_t seen; /* offset of the last heartbeat that the author saw */

	char data_centre[LIMIT_NAME_BYTES];
	char rack[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES];
	int64_t port;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	int64_t slots;
	int64_t connections;
};

/* record_type_name - name of a type in the JSON text */
const char *record_type_name(enum record_type type);

/*
 * record_parse - parse the JSON text of a record
 *
 * On success the caller frees the record's contents with record_clear.
 *
 * ERRORS
 *	ERR_INVALID	not JSON, unknown type or field, wrong type of a field
 *	ERR_TOO_LARGE	longer than LIMIT_RECORD_BYTES
 */
int record_parse(struct record *rec, const char *text, size_t len,
		 struct err *err);

/*
 * record_encode - JSON text of a record
 *
 * RETURN VALUE
 *	A string that the caller frees with free, or NULL if out of memory.
 *	Equal records give equal texts.
 */
char *record_encode(const struct record *rec);

/* record_clear - free the memory that the record owns */
void record_clear(struct record *rec);

#endif
