/*
 * NAME
 *	hst - histogram of durations with a bounded relative error
 */
#ifndef HST_H
#define HST_H

#include <stdint.h>

enum {
	HST_SUB_BITS = 6, /* 64 buckets to a power of two: below 1.6% error */
	HST_BUCKETS = (64 - HST_SUB_BITS + 1) << HST_SUB_BITS
};

struct hst {
	uint64_t count;
	uint64_t max;
	uint64_t buckets[HST_BUCKETS];
};

/* hst_add - count a value; a negative one counts as 0 */
void hst_add(struct hst *hst, int64_t value);

/*
 * hst_percentile - smallest bucket bound that covers the share of values
 *
 * percent is above 0 and at most 100.
 *
 * RETURN VALUE
 *	The upper bound of the bucket, at most the largest value; 0 if empty.
 */
uint64_t hst_percentile(const struct hst *hst, double percent);

#endif
