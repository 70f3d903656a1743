/*
 * NAME
 *	admin - operators' HTTP interface of the fleet daemon
 *
 * Reads are answered from the state. A change becomes a proposal and is
 * answered when its record has been read back, or when that takes too long.
 */
#ifndef ADMIN_H
#define ADMIN_H

#include "procconf.h"
#include "counters.h"
#include "follow.h"
#include "hostlist.h"
#include "propose.h"
#include "replica.h"
#include "web.h"

struct admin;

struct admin_config {
	const struct procconf *procconf;
	const struct clk *clk;
	struct replica *replica;
	struct follow *follow;
	struct hostlist *hostlist;
	struct propose *propose;
	struct counters *counters;
	const bool *stopping;
	size_t refused_counter; /* index of "requests refused" in counters */
};

struct admin *admin_create(const struct admin_config *config);
void admin_destroy(struct admin *admin);

/* admin_handle - answer a request, now or later; arg is the struct admin */
void admin_handle(void *arg, struct web_request *request);

/*
 * admin_observe - a record was read and applied with this result
 *
 * Kept, so that a client that repeats a change with the same id is told the
 * result of the first copy, whichever daemon it asked then. To be called
 * before propose_observe.
 */
void admin_observe(struct admin *admin, int64_t offset,
		   const struct record *rec, const struct err *result);

/* admin_pending - changes that wait for their record */
uint32_t admin_pending(const struct admin *admin);

#endif
