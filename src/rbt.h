/*
 * NAME
 *	rbt - asks the platform to reboot the hosts that are in state rebooting
 *
 * Every fleet daemon does so, delayed by its rank; the drain's offset is the
 * token with which the platform knows a repeated call.
 */
#ifndef RBT_H
#define RBT_H

#include <stdint.h>

#include "fleet.h"
#include "platclient.h"

struct rbt;

/* rbt_create - name is that of this fleet daemon's host */
struct rbt *rbt_create(struct platclient *platclient, const char *name);
void rbt_destroy(struct rbt *rbt);

/* rbt_tick - make the calls that are due, until each is answered */
void rbt_tick(struct rbt *rbt, const struct fleet *fleet, int64_t now_ms);

#endif
