/*
 * NAME
 *	pool_reading - leases of workers whose reports take long to arrive
 *
 * A report lists what each task has saved, which may be of any length. While one is
 * being read its worker is up, so that no repeat is sent; and its lease is extended
 * by renewals of which only the beginning of the answer is read.
 */
#ifndef POOL_READING_H
#define POOL_READING_H

#include "pool_int.h"

/* pool_reading_part - note that a part of a report has arrived; arg: pool_sent */
void pool_reading_part(void *arg);

/* pool_is_reading - whether a report of the worker is arriving */
bool pool_is_reading(const struct worker *worker, int64_t now_ms);

/* pool_reading_keep_lease - extend the lease unless that was done just before */
void pool_reading_keep_lease(struct pool *pool, struct worker *worker,
			     int64_t now_ms);

#endif
