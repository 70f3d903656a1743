#include "hls.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "rnd.h"

struct hls {
	const struct clk *clk;
	struct plt *plt;
	bool asking;
	int64_t due_ms;
	int64_t answered_ms; /* -1: never */
	int64_t version;
	int64_t lists;	    /* that were read */
	int64_t asked_next; /* next offset of the state at the last question */
	int64_t next;	    /* the same for the list that was answered */
	uint32_t count;
	struct mbr_host *workers;
	prt_host *rows;
	/* What the rows and the version were made from. */
	int64_t rows_lists;
	int64_t rows_next;
	int64_t rows_fst_next;
};

struct hls *hls_create(struct evloop *evloop, struct plt *plt)
{
	struct hls *hls = calloc(1, sizeof(*hls));

	if (!hls)
		return NULL;
	hls->clk = evloop_clk(evloop);
	hls->plt = plt;
	hls->answered_ms = -1;
	return hls;
}

void hls_destroy(struct hls *hls)
{
	if (!hls)
		return;
	free(hls->workers);
	free(hls->rows);
	free(hls);
}

static void copy_worker(struct mbr_host *to, const struct plt_host *from)
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

bool hls_leaving(const struct mbr_host *listed, const struct fleet_host *host,
		 int64_t next)
{
	bool returned = host && host->state == FLEET_SERVING &&
			host->changed_offset >= next;

	return !listed->live && !returned;
}

static int64_t content_version(const struct hls *hls)
{
	uint64_t hash = RND_HASH_START;

	for (uint32_t i = 0; i < hls->count; i++) {
		const char *name = hls->rows[i].name;

		hash = rnd_hash(hash, name, strlen(name) + 1);
		hash = rnd_hash(hash, &hls->rows[i].leaving,
				sizeof(hls->rows[i].leaving));
	}
	return (int64_t)(hash >> 1) | 1;
}

/* Makes the rows anew if the list or the state has changed. */
static void make_rows(struct hls *hls, const struct fleet *fleet)
{
	if (!hls->lists ||
	    (hls->rows_lists == hls->lists && hls->rows_next == hls->next &&
	     hls->rows_fst_next == fleet->next))
		return;
	hls->rows_lists = hls->lists;
	hls->rows_next = hls->next;
	hls->rows_fst_next = fleet->next;
	for (uint32_t i = 0; i < hls->count; i++) {
		const struct mbr_host *listed = &hls->workers[i];

		hls->rows[i].name = hls->workers[i].name;
		hls->rows[i].leaving = hls_leaving(
			listed, fleet_host(fleet, listed->name), hls->next);
	}
	hls->version = content_version(hls);
}

static void list_read(void *arg, int status, const struct plt_host *hosts,
		      uint32_t count)
{
	struct hls *hls = arg;
	struct mbr_host *workers;
	prt_host *rows;

	hls->asking = false;
	if (status == PLT_UNCHANGED) {
		hls->answered_ms = clk_now_ms(hls->clk);
		hls->next = hls->asked_next;
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
	free(hls->workers);
	free(hls->rows);
	hls->workers = workers;
	hls->rows = rows;
	hls->count = 0;
	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(hosts[i].kind, "worker"))
			continue;
		copy_worker(&workers[hls->count++], &hosts[i]);
	}
	hls->next = hls->asked_next;
	hls->lists++;
	if (hls->answered_ms < 0)
		log_info("platform lists %u worker hosts", hls->count);
	hls->answered_ms = clk_now_ms(hls->clk);
}

void hls_tick(struct hls *hls, int64_t next)
{
	int64_t now_ms = clk_now_ms(hls->clk);

	if (hls->asking || now_ms < hls->due_ms)
		return;
	hls->asking = true;
	hls->asked_next = next;
	hls->due_ms = now_ms + LIM_HOST_LIST_MS;
	plt_hosts(hls->plt, list_read, hls);
}

int64_t hls_version(struct hls *hls, const struct fleet *fleet)
{
	make_rows(hls, fleet);
	return hls->version;
}

int64_t hls_lists(const struct hls *hls)
{
	return hls->lists;
}

int64_t hls_age_ms(const struct hls *hls)
{
	return hls->answered_ms < 0 ? -1
				    : clk_now_ms(hls->clk) - hls->answered_ms;
}

const struct mbr_host *hls_workers(const struct hls *hls, uint32_t *count)
{
	*count = hls->count;
	return hls->workers;
}

prt_host *hls_rows(struct hls *hls, const struct fleet *fleet, uint32_t *count)
{
	make_rows(hls, fleet);
	*count = hls->count;
	return hls->rows;
}
