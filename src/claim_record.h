/*
 * NAME
 *	claim_record - records of the claims stream: parse, encode
 *
 * Internal to module claim. A record carries one batch of a process.
 */
#ifndef CLAIM_RECORD_H
#define CLAIM_RECORD_H

#include <stddef.h>
#include <stdint.h>

#include "claim.h"

enum {
	/* Of claims, and of releases. A batch of this many has 22 KiB. */
	CLAIM_RECORD_KEYS = 600
};

struct claim_record {
	char process[LIMIT_ID_BYTES];
	char author[LIMIT_NAME_BYTES];
	int64_t incarnation;
	int64_t batch;
	int64_t at_ms;
	size_t claim_count;
	size_t release_count;
	/* Claims, then releases. */
	struct claim_key keys[2 * CLAIM_RECORD_KEYS];
};

/*
 * claim_record_parse - parse a record's text
 *
 * RETURN VALUE
 *	0, or ERR_INVALID.
 */
int claim_record_parse(struct claim_record *record, const char *data,
		       size_t len);

/* claim_record_encode - the text of a record; free with g_free */
char *claim_record_encode(const struct claim_record *record);

#endif
