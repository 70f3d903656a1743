#include "hst.h"

static unsigned int bucket_of(uint64_t value)
{
	unsigned int shift;

	if (value < 1u << HST_SUB_BITS)
		return (unsigned int)value;
	shift = 63u - (unsigned int)__builtin_clzll(value) - HST_SUB_BITS;
	/* The leading bit of value >> shift selects the next group. */
	return (shift << HST_SUB_BITS) + (unsigned int)(value >> shift);
}

static uint64_t upper_bound(unsigned int bucket)
{
	unsigned int shift;

	if (bucket < 2u << HST_SUB_BITS)
		return bucket;
	shift = (bucket >> HST_SUB_BITS) - 1;
	return (((uint64_t)bucket - (shift << HST_SUB_BITS) + 1) << shift) - 1;
}

void hst_add(struct hst *hst, int64_t value)
{
	uint64_t known = value > 0 ? (uint64_t)value : 0;

	hst->count++;
	hst->buckets[bucket_of(known)]++;
	if (known > hst->max)
		hst->max = known;
}

uint64_t hst_percentile(const struct hst *hst, double percent)
{
	double wanted = (double)hst->count * percent / 100;
	uint64_t seen = 0;

	for (unsigned int i = 0; i < HST_BUCKETS; i++) {
		uint64_t bound;

		seen += hst->buckets[i];
		if (!hst->buckets[i] || (double)seen < wanted)
			continue;
		bound = upper_bound(i);
		return bound < hst->max ? bound : hst->max;
	}
	return hst->max;
}
