/*
 * NAME
 *	histo - histogram of durations with a bounded relative error
 */
#ifndef HISTO_H
#define HISTO_H

#include <stdint.h>

enum {
	HISTO_SUB_BITS = 6, /* 64 buckets to a power of two: below 1.6% error */
	HISTO_BUCKETS = (64 - HISTO_SUB_BITS + 1) << HISTO_SUB_BITS
};

struct histo {
	uint64_t count;
	uint64_t max;
	uint64_t buckets[HISTO_BUCKETS];
};

/* histo_add - count a value; a negative one counts as 0 */
void histo_add(struct histo *histo, int64_t value);

/*
 * histo_percentile - smallest bucket bound that covers the share of values
 *
 * percent is above 0 and at most 100.
 *
 * RETURN VALUE
 *	The upper bound of the bucket, at most the largest value; 0 if empty.
 */
uint64_t histo_percentile(const struct histo *histo, double percent);

#endif
