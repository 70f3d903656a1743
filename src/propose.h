/*
 * NAME
 *	propose - proposer: appends records to the fleet stream
 *
 * Each record has a unique id and is appended again with this id if the answer
 * was lost. It is done when it has been read back and applied. The fleet state
 * stores recent ids, so a second copy has no effect. A record is not appended
 * again once the log has advanced so far that its id may have been dropped.
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
 * Outcome of a proposal: the result of fleet_apply and the offset, or
 *	ERR_UNAVAILABLE	never appended
 *	ERR_UNKNOWN	may have been appended
 * with offset -1.
 */
typedef void propose_done(void *arg, const struct err *result, int64_t offset,
			  int64_t created_ms);

/* propose_create - proposer for an author; rnd generates the ids */
struct propose *propose_create(const struct clk *clk,
			       struct platclient *platclient, struct rnd *rnd,
			       const char *author);

/* propose_destroy - drop all proposals without calling done */
void propose_destroy(struct propose *propose);

/*
 * propose_submit - propose a record
 *
 * Fills in at_ms and, if they are empty, id and author. A caller that sets the
 * id can propose the same change again after an unknown outcome; a second copy
 * has no effect. Only one proposal with the same key is in progress at a time;
 * a key of NULL is not compared. done may be NULL. Takes ownership of the
 * record's contents, also on failure.
 *
 * ERRORS
 *	ERR_DUPLICATE	a proposal with the same key is in progress
 *	ERR_TOO_LARGE	the record is longer than LIMIT_RECORD_BYTES
 */
int propose_submit(struct propose *propose, const char *key, struct record *rec,
		   int64_t timeout_ms, propose_done *done, void *arg);

/* propose_observe - report a record that was read and its result */
void propose_observe(struct propose *propose, int64_t offset,
		     const struct record *rec, const struct err *result);

/* propose_tick - start appends that are due; end timed-out proposals */
void propose_tick(struct propose *propose);

/* propose_count - number of proposals in progress */
uint32_t propose_count(const struct propose *propose);

#endif
