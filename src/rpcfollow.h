/*
 * NAME
 *	rpcfollow - follower of fleet daemons by RPC, on a thread of its own
 *
 * The RPC library's calls block, so a thread makes them and leaves what it
 * fetched for the event loop to take. The entry daemon follows the first
 * target that answers; a fleet daemon asks its peers, a few in each round, and
 * follows the one with the newest state.
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
	/* Called by the thread when there is something to take. */
	void (*wake)(void *arg);
	void *arg;
};

/* What the thread tells of the process that it works for. */
struct rpcfollow_hello {
	bool enabled; /* false: make no calls */
	bool ask_all; /* RPCFOLLOW_NEWEST: every target in each round, not a few */
	const char *name;
	const char *data_centre;
	int64_t incarnation;
	bool leaving;
	int64_t next;
	int64_t hosts_version; /* -1: the host list is not wanted */
	uint32_t quiet_count;
	const proto_quiet *quiet;
};

/* What was fetched in one round. */
struct rpcfollow_news {
	uint32_t rounds;   /* rounds made since the start */
	uint32_t answered; /* targets that have answered at least once */
	bool has_status;
	proto_status status;
	int64_t asked_ms; /* before the status was asked for */
	bool has_tail;
	proto_tail tail;
	bool has_hosts;
	proto_hosts hosts;
	char *snapshot;
	size_t snapshot_len;
};

/* rpcfollow_create - start the thread; NULL if that fails */
struct rpcfollow *rpcfollow_create(const struct rpcfollow_config *config);

/* rpcfollow_destroy - end the thread, after the call under way */
void rpcfollow_destroy(struct rpcfollow *rpcfollow);

/* rpcfollow_set_hello - what the next rounds tell; copied */
void rpcfollow_set_hello(struct rpcfollow *rpcfollow,
			 const struct rpcfollow_hello *hello);

/*
 * rpcfollow_take - take what was fetched
 *
 * RETURN VALUE
 *	true if there is something; released by rpcfollow_news_clear.
 */
bool rpcfollow_take(struct rpcfollow *rpcfollow, struct rpcfollow_news *news);
void rpcfollow_news_clear(struct rpcfollow_news *news);

#endif
