/*
 * NAME
 *	hls - the platform's list of live and leaving hosts, as last answered
 */
#ifndef HLS_H
#define HLS_H

#include <stdbool.h>
#include <stdint.h>

#include "evl.h"
#include "mbr.h"
#include "plt.h"
#include "prt.h"

struct hls;

struct hls *hls_create(struct evl *evl, struct plt *plt);
void hls_destroy(struct hls *hls);

/* hls_tick - ask again when it is time */
void hls_tick(struct hls *hls);

/*
 * hls_version - identifies the content of the list; 0: no list yet
 *
 * Made from the content, so that two fleet daemons with the same list agree.
 */
int64_t hls_version(const struct hls *hls);

/* hls_lists - lists read so far; an unchanged one is not read again */
int64_t hls_lists(const struct hls *hls);

/* hls_age_ms - since the platform last answered; -1: never */
int64_t hls_age_ms(const struct hls *hls);

/* hls_workers - the worker hosts of the list; valid until the next hls_tick */
const struct mbr_host *hls_workers(const struct hls *hls, uint32_t *count);

/* hls_rows - the worker hosts for the RPC protocol; valid as above */
prt_host *hls_rows(const struct hls *hls, uint32_t *count);

#endif
