/*
 * NAME
 *	rps - RPC server of the fleet daemon
 *
 * Binds a TCP address itself and registers with no port mapper. A process has
 * at most one, because the RPC library keeps its services in globals.
 */
#ifndef RPS_H
#define RPS_H

#include <stdint.h>

#include "err.h"
#include "evloop.h"
#include "prt.h"
#include "replica.h"

struct rps_config {
	const char *address;
	uint16_t port;
	struct replica *replica;
	/* Fills in the status for a caller; strings stay the handler's. */
	void (*status)(void *arg, const prt_hello *hello, prt_status *status);
	/* The host list and its version; rows stay the handler's. */
	void (*hosts)(void *arg, prt_hosts *hosts);
	/* A request that could not be decoded, or names no procedure. */
	void (*refused)(void *arg);
	void *arg;
};

/*
 * rps_create - listen, with the loop serving the calls
 *
 * ERRORS
 *	ERR_IO	the address is not free
 */
struct rps *rps_create(struct evloop *evloop, const struct rps_config *config,
		       struct err *err);
void rps_destroy(struct rps *rps);

#endif
