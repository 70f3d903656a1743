/*
 * NAME
 *	rpcfollow - follows fleet daemons by RPC, on a separate thread
 *
 * The RPC library's calls block, so a thread makes them and hands the results
 * to the event loop. An entry daemon follows the first ready target of its
 * list. A fleet daemon queries its peers, a few in each round, and follows the
 * one with the newest state.
 */
#ifndef RPCFOLLOW_H
#define RPCFOLLOW_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "proto.h"

struct rpcfollow;

struct rpcfollow_target {
	const char *address;
	uint16_t port;
};

enum rpcfollow_policy {
	/* the first ready target in order that is not behind the caller, or
	   the newest of those that are */
	RPCFOLLOW_FIRST,
	RPCFOLLOW_NEWEST /* the ready target with the highest offset */
};

struct rpcfollow_config {
	const struct clk *clk;
	enum rpcfollow_policy policy;
	const struct rpcfollow_target *targets;
	uint32_t target_count;
	int64_t interval_ms;
	/* Called on the thread when a result is available. */
	void (*wake)(void *arg);
	void *arg;
};

/* What the thread reports about its process in each round. */
struct rpcfollow_hello {
	bool enabled;	/* false: make no calls */
	bool query_all; /* with RPCFOLLOW_NEWEST, query all targets each round */
	const char *name;
	const char *data_centre;
	int64_t incarnation;
	bool leaving;
	int64_t next;	       /* offset of the next record to apply */
	int64_t hosts_version; /* -1: do not fetch the host list */
	uint32_t quiet_count;
	/* Draining hosts with no requests of this process in flight. */
	const proto_quiet *quiet;
};

/* Result of one round. */
struct rpcfollow_result {
	uint32_t rounds;   /* rounds made since the start */
	uint32_t answered; /* targets that have answered at least once */
	bool has_status;
	proto_status status;
	int64_t requested_ms; /* time before the status was requested */
	bool has_tail;
	proto_tail tail;
	bool has_hosts;
	proto_hosts hosts;
	char *snapshot;
	size_t snapshot_len;
};

/* rpcfollow_create - start the thread; NULL if that fails */
struct rpcfollow *rpcfollow_create(const struct rpcfollow_config *config);

/* rpcfollow_destroy - stop the thread after the call in progress */
void rpcfollow_destroy(struct rpcfollow *rpcfollow);

/* rpcfollow_set_hello - set what the next rounds report; hello is copied */
void rpcfollow_set_hello(struct rpcfollow *rpcfollow,
			 const struct rpcfollow_hello *hello);

/*
 * rpcfollow_take_result - get the result of the last round
 *
 * RETURN VALUE
 *	true if there is one; the caller releases it with rpcfollow_result_clear.
 */
bool rpcfollow_take_result(struct rpcfollow *rpcfollow,
			   struct rpcfollow_result *result);
void rpcfollow_result_clear(struct rpcfollow_result *result);

#endif
