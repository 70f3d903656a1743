/*
 * NAME
 *	rpcserver - RPC server of the fleet daemon
 *
 * Binds a TCP address itself and registers with no port mapper. A process has
 * at most one, because the RPC library keeps its services in globals.
 */
#ifndef RPCSERVER_H
#define RPCSERVER_H

#include <stdint.h>

#include "err.h"
#include "evloop.h"
#include "proto.h"
#include "replica.h"

struct rpcserver_config {
	const char *address;
	uint16_t port;
	struct replica *replica;
	/* Fills in the status for a caller; strings stay the handler's. */
	void (*status)(void *arg, const proto_hello *hello,
		       proto_status *status);
	/* The host list and its version; rows stay the handler's. */
	void (*hosts)(void *arg, proto_hosts *hosts);
	/* A request that could not be decoded, or names no procedure. */
	void (*refused)(void *arg);
	void *arg;
};

/*
 * rpcserver_create - listen, with the loop serving the calls
 *
 * ERRORS
 *	ERR_IO	the address is not free
 */
struct rpcserver *rpcserver_create(struct evloop *evloop,
				   const struct rpcserver_config *config,
				   struct err *err);
void rpcserver_destroy(struct rpcserver *rpcserver);

#endif
