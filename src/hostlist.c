#include "hostlist.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "rnd.h"

struct hostlist {
	const struct clk *clk;
	struct platclient *platclient;
	bool requested;
	int64_t due_ms;
	int64_t answered_ms; /* -1: never */
	int64_t version;
	int64_t read_count;	/* number of lists read */
	int64_t requested_next; /* state's next offset at the last request */
	int64_t next;		/* the same at the request for this list */
	uint32_t count;
	struct member_host *workers;
	proto_host *rows;
	/* What the rows and the version were computed from. */
	int64_t rows_read_count;
	int64_t rows_next;
	int64_t rows_state_next;
};

struct hostlist *hostlist_create(struct evloop *evloop,
				 struct platclient *platclient)
{
	struct hostlist *hostlist = calloc(1, sizeof(*hostlist));

	if (!hostlist)
		return NULL;
	hostlist->clk = evloop_clk(evloop);
	hostlist->platclient = platclient;
	hostlist->answered_ms = -1;
	return hostlist;
}

void hostlist_destroy(struct hostlist *hostlist)
{
	if (!hostlist)
		return;
	free(hostlist->workers);
	free(hostlist->rows);
	free(hostlist);
}

static void copy_worker(struct member_host *to,
			const struct platclient_host *from)
{
	memset(to, 0, sizeof(*to));
	memcpy(to->name, from->name, sizeof(to->name));
	memcpy(to->address, from->address, sizeof(to->address));
	memcpy(to->data_centre, from->data_centre, sizeof(to->data_centre));
	memcpy(to->rack, from->rack, sizeof(to->rack));
	to->port = from->port;
	to->cpu_milli = from->cpu_milli;
	to->mem_mib = from->mem_mib;
	to->accelerators = from->accelerators;
	to->slots = from->slots;
	to->connections = from->connections;
	to->boot_id = from->boot_id;
	to->live = !strcmp(from->state, "live");
	to->down = !strcmp(from->state, "down");
}

bool hostlist_leaving(const struct member_host *listed,
		      const struct fleet_host *host, int64_t next)
{
	bool returned = host && host->state == FLEET_SERVING &&
			host->changed_offset >= next;

	return !listed->live && !returned;
}

static int64_t content_version(const struct hostlist *hostlist)
{
	uint64_t hash = RND_HASH_START;

	for (uint32_t i = 0; i < hostlist->count; i++) {
		const char *name = hostlist->rows[i].name;

		hash = rnd_hash(hash, name, strlen(name) + 1);
		hash = rnd_hash(hash, &hostlist->rows[i].leaving,
				sizeof(hostlist->rows[i].leaving));
	}
	return (int64_t)(hash >> 1) | 1;
}

/* Rebuilds the rows if the list or the state has changed. */
static void update_rows(struct hostlist *hostlist, const struct fleet *fleet)
{
	if (!hostlist->read_count ||
	    (hostlist->rows_read_count == hostlist->read_count &&
	     hostlist->rows_next == hostlist->next &&
	     hostlist->rows_state_next == fleet->next))
		return;
	hostlist->rows_read_count = hostlist->read_count;
	hostlist->rows_next = hostlist->next;
	hostlist->rows_state_next = fleet->next;
	for (uint32_t i = 0; i < hostlist->count; i++) {
		const struct member_host *listed = &hostlist->workers[i];

		hostlist->rows[i].name = hostlist->workers[i].name;
		hostlist->rows[i].leaving = hostlist_leaving(
			listed, fleet_host(fleet, listed->name),
			hostlist->next);
	}
	hostlist->version = content_version(hostlist);
}

static void on_list(void *arg, int status, const struct platclient_host *hosts,
		    uint32_t count)
{
	struct hostlist *hostlist = arg;
	struct member_host *workers;
	proto_host *rows;

	hostlist->requested = false;
	if (status == PLATCLIENT_UNCHANGED) {
		hostlist->answered_ms = clk_now_ms(hostlist->clk);
		hostlist->next = hostlist->requested_next;
	}
	if (status)
		return;
	workers = calloc(count + 1, sizeof(*workers));
	rows = calloc(count + 1, sizeof(*rows));
	if (!workers || !rows) {
		free(workers);
		free(rows);
		return;
	}
	free(hostlist->workers);
	free(hostlist->rows);
	hostlist->workers = workers;
	hostlist->rows = rows;
	hostlist->count = 0;
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(hosts[i].kind, "worker"))
			continue;
		copy_worker(&workers[hostlist->count++], &hosts[i]);
	}
	hostlist->next = hostlist->requested_next;
	hostlist->read_count++;
	if (hostlist->answered_ms < 0)
		log_info("platform lists %u worker hosts", hostlist->count);
	hostlist->answered_ms = clk_now_ms(hostlist->clk);
}

void hostlist_tick(struct hostlist *hostlist, int64_t next)
{
	int64_t now_ms = clk_now_ms(hostlist->clk);

	if (hostlist->requested || now_ms < hostlist->due_ms)
		return;
	hostlist->requested = true;
	hostlist->requested_next = next;
	hostlist->due_ms = now_ms + LIMIT_HOST_LIST_INTERVAL_MS;
	platclient_hosts(hostlist->platclient, on_list, hostlist);
}

int64_t hostlist_version(struct hostlist *hostlist, const struct fleet *fleet)
{
	update_rows(hostlist, fleet);
	return hostlist->version;
}

int64_t hostlist_read_count(const struct hostlist *hostlist)
{
	return hostlist->read_count;
}

int64_t hostlist_age_ms(const struct hostlist *hostlist)
{
	return hostlist->answered_ms < 0
		       ? -1
		       : clk_now_ms(hostlist->clk) - hostlist->answered_ms;
}

const struct member_host *hostlist_workers(const struct hostlist *hostlist,
					   uint32_t *count)
{
	*count = hostlist->count;
	return hostlist->workers;
}

proto_host *hostlist_rows(struct hostlist *hostlist, const struct fleet *fleet,
			  uint32_t *count)
{
	update_rows(hostlist, fleet);
	*count = hostlist->count;
	return hostlist->rows;
}
