/*
 * NAME
 *	fleet_text - JSON text of the fleet state, as in snapshots
 *
 * Equal states give equal texts, so that processes can compare hashes.
 */
#ifndef FLEET_TEXT_H
#define FLEET_TEXT_H

#include <stddef.h>
#include <stdint.h>

#include "err.h"
#include "fleet.h"

/*
 * fleet_text_encode - text of a fleet state
 *
 * RETURN VALUE
 *	A string that the caller frees with free, its length in *len; NULL if
 *	out of memory.
 */
char *fleet_text_encode(const struct fleet *fleet, size_t *len);

/*
 * fleet_text_decode - fleet state from its text
 *
 * RETURN VALUE
 *	The state, or NULL with err filled in (ERR_INVALID, ERR_TOO_LARGE).
 */
struct fleet *fleet_text_decode(const char *text, size_t len, struct err *err);

/* fleet_text_hash - 64-bit hash of the state's text */
uint64_t fleet_text_hash(const struct fleet *fleet);

#endif
