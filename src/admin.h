/*
 * NAME
 *	admin - operators' HTTP interface of the fleet daemon
 *
 * GET requests are answered from the replica of the fleet state. A change is
 * proposed as a record and answered when that record has been read back and
 * applied, or after a timeout.
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
	size_t refused_counter; /* counts refused requests in counters */
};

struct admin *admin_create(const struct admin_config *config);
void admin_destroy(struct admin *admin);

/* admin_handle - handle a web request; arg is the struct admin */
void admin_handle(void *arg, struct web_request *request);

/*
 * admin_observe - remember the result of a record that was applied
 *
 * A client that retries a change with the same id gets the result of the first
 * copy, even if another daemon handled that one. Must be called before
 * propose_observe.
 */
void admin_observe(struct admin *admin, int64_t offset,
		   const struct record *rec, const struct err *result);

#endif
