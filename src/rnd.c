#include "rnd.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/random.h>

#include "limit.h"

void rnd_init(struct rnd *rnd, uint64_t seed)
{
	rnd->state = seed;
}

uint64_t rnd_system_seed(void)
{
	uint64_t seed = 0;

	if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
		seed = 0;
	return seed;
}

/* splitmix64 */
uint64_t rnd_next(struct rnd *rnd)
{
	uint64_t z = (rnd->state += 0x9e3779b97f4a7c15ull);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ull;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebull;
	return z ^ (z >> 31);
}

uint32_t rnd_below(struct rnd *rnd, uint32_t limit)
{
	return (uint32_t)(((rnd_next(rnd) >> 32) * limit) >> 32);
}

void rnd_make_id(struct rnd *rnd, char *id)
{
	uint64_t hi = rnd_next(rnd);
	uint64_t lo = rnd_next(rnd);

	snprintf(id, LIMIT_ID_BYTES, "%016" PRIx64 "%016" PRIx64, hi, lo);
}

uint64_t rnd_hash(uint64_t start, const void *data, uint64_t len_bytes)
{
	const unsigned char *p = data;
	uint64_t hash = start;

	for (uint64_t i = 0; i < len_bytes; i++)
		hash = (hash ^ p[i]) * 1099511628211ull;
	return hash;
}

uint32_t rnd_hash_name(const char *text)
{
	struct rnd mixer;

	/* FNV-1a alone leaves the upper bits of similar names alike. */
	rnd_init(&mixer, rnd_hash(RND_HASH_START, text, strlen(text)));
	return (uint32_t)(rnd_next(&mixer) >> 32);
}
