/*
 * NAME
 *	hostlist - the platform's list of live and leaving hosts
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

/*
 * hostlist_tick - request the list again when due
 *
 * next is the offset of the next record that the fleet state will apply.
 */
void hostlist_tick(struct hostlist *hostlist, int64_t next);

/*
 * hostlist_leaving - whether a listed host must not get requests
 *
 * next is the next offset of the fleet state at the time the list was
 * requested. A return to service that is recorded at or after that offset
 * overrides the list: another fleet daemon has seen the host live in a newer
 * list. host may be NULL.
 */
bool hostlist_leaving(const struct member_host *listed,
		      const struct fleet_host *host, int64_t next);

/*
 * hostlist_version - version of the rows of hostlist_rows; 0: no list yet
 *
 * A hash of the contents, so that fleet daemons with the same list agree.
 */
int64_t hostlist_version(struct hostlist *hostlist, const struct fleet *fleet);

/* hostlist_read_count - number of lists read; unchanged ones are not counted */
int64_t hostlist_read_count(const struct hostlist *hostlist);

/* hostlist_age_ms - time since the platform last answered; -1: never */
int64_t hostlist_age_ms(const struct hostlist *hostlist);

/*
 * hostlist_workers - worker hosts of the list; valid until the next list is
 * read
 */
const struct member_host *hostlist_workers(const struct hostlist *hostlist,
					   uint32_t *count);

/*
 * hostlist_rows - worker hosts for the RPC protocol
 *
 * Hosts are marked as by hostlist_leaving. Valid until the next list is read or
 * the next call.
 */
proto_host *hostlist_rows(struct hostlist *hostlist, const struct fleet *fleet,
			  uint32_t *count);

#endif
