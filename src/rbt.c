#include "rbt.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "member.h"

enum { REPEAT_MS = 1000, SCAN_MS = 200 };

struct call {
	char name[LIMIT_NAME_BYTES];
	struct rbt *rbt;
	int64_t drain;
	int64_t due_ms;
	bool asking;
	bool answered;
};

struct rbt {
	struct platclient *platclient;
	const char *name;
	struct tbl *calls;
	int64_t scan_ms;
	int64_t now_ms;
};

struct rbt *rbt_create(struct platclient *platclient, const char *name)
{
	struct rbt *rbt = calloc(1, sizeof(*rbt));

	if (!rbt)
		return NULL;
	rbt->platclient = platclient;
	rbt->name = name;
	rbt->calls = tbl_create(sizeof(struct call));
	return rbt;
}

void rbt_destroy(struct rbt *rbt)
{
	if (!rbt)
		return;
	tbl_destroy(rbt->calls);
	free(rbt);
}

static void reboot_done(void *arg, int status)
{
	struct call *call = arg;

	call->asking = false;
	call->answered = status == 0;
	call->due_ms = call->rbt->now_ms + REPEAT_MS;
	if (status == 0)
		log_info("platform reboots %s for drain %lld", call->name,
			 (long long)call->drain);
}

static void ask(struct rbt *rbt, const struct fleet *fleet,
		const struct fleet_host *host)
{
	struct call *call = tbl_find(rbt->calls, host->name);

	if (!call) {
		call = tbl_add(rbt->calls, host->name);
		if (!call)
			return;
		call->rbt = rbt;
		call->drain = FLEET_NONE;
	}
	if (call->asking)
		return;
	if (call->drain != host->drain_offset) {
		call->drain = host->drain_offset;
		call->answered = false;
		call->due_ms =
			rbt->now_ms +
			(int64_t)member_rank(fleet, rbt->name, host->name) *
				LIMIT_RANK_DELAY_MS;
	}
	if (call->answered || rbt->now_ms < call->due_ms)
		return;
	call->asking = true;
	platclient_reboot(rbt->platclient, host->name, call->drain, reboot_done,
			  call);
}

void rbt_tick(struct rbt *rbt, const struct fleet *fleet, int64_t now_ms)
{
	rbt->now_ms = now_ms;
	if (now_ms < rbt->scan_ms)
		return;
	rbt->scan_ms = now_ms + SCAN_MS;
	for (uint32_t i = 0; i < tbl_count(fleet->hosts); i++) {
		const struct fleet_host *host = tbl_at(fleet->hosts, i);

		if (host->state == FLEET_REBOOTING)
			ask(rbt, fleet, host);
	}
}
