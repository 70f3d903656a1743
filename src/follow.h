/*
 * NAME
 *	follow - keeps the fleet daemon's replica up to date
 *
 * Starts from the newest snapshot and the tail of the fleet stream, then
 * follows the stream. While the platform does not answer, or the records that
 * are needed have passed retention, it follows the peer with the newest
 * state. Writes snapshots when it is this member's turn.
 */
#ifndef FOLLOW_H
#define FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "procconf.h"
#include "evloop.h"
#include "platclient.h"
#include "rnd.h"
#include "replica.h"

struct follow;

struct follow_status {
	bool platform_ok;	   /* the log has answered recently */
	int64_t platform_age_ms;   /* since it last answered; -1: never */
	bool gap;		   /* records needed have passed retention */
	bool from_peer;		   /* the state comes from a peer */
	int64_t snapshot_next;	   /* next offset of the newest; -1: none */
	int64_t snapshots_invalid; /* parts and complete ones */
	int64_t bytes_read;	   /* of records, from log and peers */
};

/* follow_create - start to follow; the arguments stay in use */
struct follow *follow_create(struct evloop *evloop,
			     struct platclient *platclient,
			     struct replica *replica, struct rnd *rnd,
			     const struct procconf *procconf);
void follow_destroy(struct follow *follow);

/* follow_tick - read, query peers and write snapshots as they fall due */
void follow_tick(struct follow *follow);

void follow_get_status(const struct follow *follow,
		       struct follow_status *status);

#endif
