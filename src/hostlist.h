/*
 * NAME
 *	hostlist - the platform's list of live and leaving hosts, as last answered
 */
#ifndef HOSTLIST_H
#define HOSTLIST_H

#include <stdbool.h>
#include <stdint.h>

#include "evloop.h"
#include "fleet.h"
#include "member.h"
#include "platclient.h"
#include "proto.h"

struct hostlist;

struct hostlist *hostlist_create(struct evloop *evloop,
				 struct platclient *platclient);
void hostlist_destroy(struct hostlist *hostlist);

/* hostlist_tick - ask again when it is time; next is that of the fleet state */
void hostlist_tick(struct hostlist *hostlist, int64_t next);

/*
 * hostlist_leaving - whether a listed host may get no requests
 *
 * next is that of the fleet state when the list was asked for. A host whose
 * return to service is recorded from there on was seen live in a newer list
 * than this one, of another fleet daemon. host may be NULL.
 */
bool hostlist_leaving(const struct member_host *listed,
		      const struct fleet_host *host, int64_t next);

/*
 * hostlist_version - identifies the rows of hostlist_rows; 0: no list yet
 *
 * Made from the content, so that two fleet daemons with the same list agree.
 */
int64_t hostlist_version(struct hostlist *hostlist, const struct fleet *fleet);

/* hostlist_lists - lists read so far; an unchanged one is not read again */
int64_t hostlist_lists(const struct hostlist *hostlist);

/* hostlist_age_ms - since the platform last answered; -1: never */
int64_t hostlist_age_ms(const struct hostlist *hostlist);

/* hostlist_workers - the worker hosts of the list; valid until the next hostlist_tick */
const struct member_host *hostlist_workers(const struct hostlist *hostlist,
					   uint32_t *count);

/*
 * hostlist_rows - the worker hosts for the RPC protocol; valid as above
 *
 * Leaving ones are marked as by hostlist_leaving.
 */
proto_host *hostlist_rows(struct hostlist *hostlist, const struct fleet *fleet,
			  uint32_t *count);

#endif
