/*
 * NAME
 *	hls - the platform's list of live and leaving hosts, as last answered
 */
#ifndef HLS_H
#define HLS_H

#include <stdbool.h>
#include <stdint.h>

#include "evloop.h"
#include "fleet.h"
#include "mbr.h"
#include "plt.h"
#include "prt.h"

struct hls;

struct hls *hls_create(struct evloop *evloop, struct plt *plt);
void hls_destroy(struct hls *hls);

/* hls_tick - ask again when it is time; next is that of the fleet state */
void hls_tick(struct hls *hls, int64_t next);

/*
 * hls_leaving - whether a listed host may get no requests
 *
 * next is that of the fleet state when the list was asked for. A host whose
 * return to service is recorded from there on was seen live in a newer list
 * than this one, of another fleet daemon. host may be NULL.
 */
bool hls_leaving(const struct mbr_host *listed, const struct fleet_host *host,
		 int64_t next);

/*
 * hls_version - identifies the rows of hls_rows; 0: no list yet
 *
 * Made from the content, so that two fleet daemons with the same list agree.
 */
int64_t hls_version(struct hls *hls, const struct fleet *fleet);

/* hls_lists - lists read so far; an unchanged one is not read again */
int64_t hls_lists(const struct hls *hls);

/* hls_age_ms - since the platform last answered; -1: never */
int64_t hls_age_ms(const struct hls *hls);

/* hls_workers - the worker hosts of the list; valid until the next hls_tick */
const struct mbr_host *hls_workers(const struct hls *hls, uint32_t *count);

/*
 * hls_rows - the worker hosts for the RPC protocol; valid as above
 *
 * Leaving ones are marked as by hls_leaving.
 */
prt_host *hls_rows(struct hls *hls, const struct fleet *fleet, uint32_t *count);

#endif
