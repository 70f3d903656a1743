/*
 * NAME
 *	histo - histogram with bounded relative error, for durations
 */
#ifndef HISTO_H
#define HISTO_H

#include <stdint.h>

enum {
	HISTO_SUB_BITS = 6, /* 64 buckets per power of two: error below 1.6% */
	HISTO_BUCKETS = (64 - HISTO_SUB_BITS + 1) << HISTO_SUB_BITS
};

struct histo {
	uint64_t count;
	uint64_t max;
	uint64_t buckets[HISTO_BUCKETS];
};

/* histo_add - add a value; a negative one is added as 0 */
void histo_add(struct histo *histo, int64_t value);

/*
 * histo_percentile - estimate a percentile; percent is above 0, at most 100
 *
 * RETURN VALUE
 *	The upper bound of the bucket that holds the percentile, but at most
 *	the largest value added; 0 if the histogram is empty.
 */
uint64_t histo_percentile(const struct histo *histo, double percent);

#endif
