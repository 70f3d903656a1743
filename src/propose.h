/*
 * NAME
 *	propose - proposer: gets records into the fleet stream once
 *
 * A record is appended with an id of its own, again with the same id if the
 * answer was lost, and is done when it has been read back and applied. Ids
 * are remembered by the fleet state, so a second copy has no effect. An id is
 * not appended again once the log has advanced so far that it may be forgotten.
 */
#ifndef PROPOSE_H
#define PROPOSE_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "err.h"
#include "platclient.h"
#include "record.h"
#include "rnd.h"

struct propose;

/*
 * Outcome of a proposal: that of fleet_apply with the offset, or
 *	ERR_UNAVAILABLE	never appended
 *	ERR_UNKNOWN	may have been appended
 * with offset -1.
 */
typedef void propose_done(void *arg, const struct err *result, int64_t offset,
			  int64_t created_ms);

/* propose_create - proposer under an author's name; rnd gives the ids */
struct propose *propose_create(const struct clk *clk,
			       struct platclient *platclient, struct rnd *rnd,
			       const char *author);

/* propose_destroy - drop all proposals without calling back */
void propose_destroy(struct propose *propose);

/*
 * propose_propose - propose a record
 *
 * Fills in at_ms and, if they are empty, id and author. An id that the author
 * chose lets it propose the same change again after an unknown outcome; the
 * copy has no effect. key names the matter: while
 * a proposal with the same key is under way, nothing is done. It may be NULL.
 * done may be NULL. Takes over what the record owns.
 *
 * ERRORS
 *	ERR_DUPLICATE	one with the same key is under way
 *	ERR_TOO_LARGE	the record is longer than LIMIT_RECORD_BYTES
 */
int propose_propose(struct propose *propose, const char *key,
		    struct record *rec, int64_t timeout_ms, propose_done *done,
		    void *arg);

/* propose_observe - a record was read and applied with this result */
void propose_observe(struct propose *propose, int64_t offset,
		     const struct record *rec, const struct err *result);

/* propose_tick - start appends that are due; end proposals that timed out */
void propose_tick(struct propose *propose);

/* propose_count - proposals under way */
uint32_t propose_count(const struct propose *propose);

#endif
