#include "histo.h"

static unsigned int bucket_of(uint64_t value)
{
	unsigned int shift;

	if (value < 1u << HISTO_SUB_BITS)
		return (unsigned int)value;
	shift = 63u - (unsigned int)__builtin_clzll(value) - HISTO_SUB_BITS;
	/* The leading bit of value >> shift carries into the group number. */
	return (shift << HISTO_SUB_BITS) + (unsigned int)(value >> shift);
}

static uint64_t upper_bound(unsigned int bucket)
{
	unsigned int shift;

	if (bucket < 2u << HISTO_SUB_BITS)
		return bucket;
	shift = (bucket >> HISTO_SUB_BITS) - 1;
	return (((uint64_t)bucket - (shift << HISTO_SUB_BITS) + 1) << shift) -
	       1;
}

void histo_add(struct histo *histo, int64_t value)
{
	uint64_t clamped = value > 0 ? (uint64_t)value : 0;

	histo->count++;
	histo->buckets[bucket_of(clamped)]++;
	if (clamped > histo->max)
		histo->max = clamped;
}

uint64_t histo_percentile(const struct histo *histo, double percent)
{
	double rank = (double)histo->count * percent / 100;
	uint64_t seen = 0;

	for (unsigned int i = 0; i < HISTO_BUCKETS; i++) {
		uint64_t bound;

		seen += histo->buckets[i];
		if (!histo->buckets[i] || (double)seen < rank)
			continue;
		bound = upper_bound(i);
		return bound < histo->max ? bound : histo->max;
	}
	return histo->max;
}
