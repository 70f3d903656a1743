/*
 * NAME
 *	rnd - seeded pseudo-random numbers, unique ids and hashes
 *
 * Not cryptographically secure. Equal seeds give equal sequences.
 */
#ifndef RND_H
#define RND_H

#include <stdint.h>

struct rnd {
	uint64_t state;
};

/* rnd_init - start the sequence of a seed */
void rnd_init(struct rnd *rnd, uint64_t seed);

/* rnd_system_seed - seed from the kernel's random source */
uint64_t rnd_system_seed(void);

/* rnd_next - next number, uniform over all 64 bits */
uint64_t rnd_next(struct rnd *rnd);

/* rnd_below - random number from 0 to limit - 1; 0 if limit is 0 */
uint32_t rnd_below(struct rnd *rnd, uint32_t limit);

/* rnd_make_id - random id: 32 hexadecimal digits and a zero, LIMIT_ID_BYTES */
void rnd_make_id(struct rnd *rnd, char *id);

/*
 * rnd_hash - 64-bit FNV-1a hash of bytes
 *
 * start is RND_HASH_START, or an earlier hash to continue from.
 */
uint64_t rnd_hash(uint64_t start, const void *data, uint64_t len_bytes);

/*
 * rnd_hash_name - 32-bit hash of a text, for dividing names evenly
 */
uint32_t rnd_hash_name(const char *text);

#define RND_HASH_START 14695981039346656037ull

#endif
