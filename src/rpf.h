/*
 * NAME
 *	rpf - follower of fleet daemons by RPC, on a thread of its own
 *
 * The RPC library's calls block, so a thread makes them and leaves what it
 * fetched for the event loop to take. The entry daemon follows the first
 * target that answers; a fleet daemon asks its peers, a few in each round, and
 * follows the one with the newest state.
 */
#ifndef RPF_H
#define RPF_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "prt.h"

struct rpf;

struct rpf_target {
	const char *address;
	uint16_t port;
};

enum rpf_policy {
	/* the first ready target in order that is not behind the caller, or
	   the newest of those that are */
	RPF_FIRST,
	RPF_NEWEST /* the ready target with the highest offset */
};

struct rpf_config {
	const struct clk *clk;
	enum rpf_policy policy;
	const struct rpf_target *targets;
	uint32_t target_count;
	int64_t interval_ms;
	/* Called by the thread when there is something to take. */
	void (*wake)(void *arg);
	void *arg;
};

/* What the thread tells of the process that it works for. */
struct rpf_hello {
	bool enabled; /* false: make no calls */
	bool ask_all; /* RPF_NEWEST: every target in each round, not a few */
	const char *name;
	const char *data_centre;
	int64_t incarnation;
	bool leaving;
	int64_t next;
	int64_t hosts_version; /* -1: the host list is not wanted */
	uint32_t quiet_count;
	const prt_quiet *quiet;
};

/* What was fetched in one round. */
struct rpf_news {
	uint32_t rounds;   /* rounds made since the start */
	uint32_t answered; /* targets that have answered at least once */
	bool has_status;
	prt_status status;
	int64_t asked_ms; /* before the status was asked for */
	bool has_tail;
	prt_tail tail;
	bool has_hosts;
	prt_hosts hosts;
	char *snapshot;
	size_t snapshot_len;
};

/* rpf_create - start the thread; NULL if that fails */
struct rpf *rpf_create(const struct rpf_config *config);

/* rpf_destroy - end the thread, after the call under way */
void rpf_destroy(struct rpf *rpf);

/* rpf_set_hello - what the next rounds tell; copied */
void rpf_set_hello(struct rpf *rpf, const struct rpf_hello *hello);

/*
 * rpf_take - take what was fetched
 *
 * RETURN VALUE
 *	true if there is something; released by rpf_news_clear.
 */
bool rpf_take(struct rpf *rpf, struct rpf_news *news);
void rpf_news_clear(struct rpf_news *news);

#endif
