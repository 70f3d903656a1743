#include "reboot.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "member.h"

enum { RETRY_MS = 1000, SCAN_MS = 200 };

struct call {
	char name[LIMIT_NAME_BYTES];
	struct reboot *reboot;
	int64_t drain;
	int64_t due_ms;
	bool in_progress;
	bool succeeded;
};

struct reboot {
	struct platclient *platclient;
	const char *name;
	struct table *calls;
	int64_t scan_ms;
	int64_t now_ms;
};

struct reboot *reboot_create(struct platclient *platclient, const char *name)
{
	struct reboot *reboot = calloc(1, sizeof(*reboot));

	if (!reboot)
		return NULL;
	reboot->platclient = platclient;
	reboot->name = name;
	reboot->calls = table_create(sizeof(struct call));
	return reboot;
}

void reboot_destroy(struct reboot *reboot)
{
	if (!reboot)
		return;
	table_destroy(reboot->calls);
	free(reboot);
}

static void reboot_done(void *arg, int status)
{
	struct call *call = arg;

	call->in_progress = false;
	call->succeeded = status == 0;
	call->due_ms = call->reboot->now_ms + RETRY_MS;
	if (status == 0)
		log_info("platform reboots %s for drain %lld", call->name,
			 (long long)call->drain);
}

static void request_reboot(struct reboot *reboot, const struct fleet *fleet,
			   const struct fleet_host *host)
{
	struct call *call = table_find(reboot->calls, host->name);

	if (!call) {
		call = table_add(reboot->calls, host->name);
		if (!call)
			return;
		call->reboot = reboot;
		call->drain = FLEET_NONE;
	}
	if (call->in_progress)
		return;
	if (call->drain != host->drain_offset) {
		call->drain = host->drain_offset;
		call->succeeded = false;
		call->due_ms =
			reboot->now_ms +
			(int64_t)member_rank(fleet, reboot->name, host->name) *
				LIMIT_RANK_DELAY_MS;
	}
	if (call->succeeded || reboot->now_ms < call->due_ms)
		return;
	call->in_progress = true;
	platclient_reboot(reboot->platclient, host->name, call->drain,
			  reboot_done, call);
}

void reboot_tick(struct reboot *reboot, const struct fleet *fleet,
		 int64_t now_ms)
{
	reboot->now_ms = now_ms;
	if (now_ms < reboot->scan_ms)
		return;
	reboot->scan_ms = now_ms + SCAN_MS;
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);

		if (host->state == FLEET_REBOOTING)
			request_reboot(reboot, fleet, host);
	}
}
