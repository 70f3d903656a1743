/*
 * NAME
 *	rpcserver - RPC server of the fleet daemon
 *
 * Listens on a TCP port of its own and does not register with a port mapper. A
 * process has at most one server, because the RPC library keeps its services in
 * global variables.
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
	/* Fills in the status for a caller; the handler owns the strings. */
	void (*status)(void *arg, const proto_hello *hello,
		       proto_status *status);
	/* Fills in the host list and its version; the handler owns the rows. */
	void (*hosts)(void *arg, proto_hosts *hosts);
	/* Called for a call that could not be decoded, or that names no known
	   program or procedure. */
	void (*refused)(void *arg);
	void *arg;
};

/*
 * rpcserver_create - listen, and serve calls from the event loop
 *
 * ERRORS
 *	ERR_IO	cannot listen on the address, or cannot register the program
 */
struct rpcserver *rpcserver_create(struct evloop *evloop,
				   const struct rpcserver_config *config,
				   struct err *err);
void rpcserver_destroy(struct rpcserver *rpcserver);

#endif
