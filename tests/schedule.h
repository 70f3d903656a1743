/*
 * NAME
 *	schedule - generates seeded random sessions and shrinks those that fail
 */
#ifndef SCHEDULE_H
#define SCHEDULE_H

#include <stdint.h>

#include "session.h"

enum { SCHEDULE_BYTES = 32 * 1024 };

/* schedule_make - generate the session of a seed */
void schedule_make(uint64_t seed, char text[SCHEDULE_BYTES]);

/*
 * schedule_shrink - drop lines while the session still breaks the promise
 *
 * guards_off is a mask of disabled guards, see session.h.
 *
 * RETURN VALUE
 *	Number of lines left.
 */
uint32_t schedule_shrink(char text[SCHEDULE_BYTES], uint32_t guards_off,
			 enum oracle_promise promise);

/* A promise, a guard that it depends on and a scenario that breaks it. */
struct schedule_case {
	enum session_guard guard;
	enum oracle_promise promise;
	const char *scenario;
};

extern const struct schedule_case schedule_cases[];
extern const uint32_t schedule_case_count;

/*
 * schedule_find - first seed whose session breaks the promise of a case
 *
 * Replays seeds 1 to seeds with the guard of the case disabled.
 *
 * RETURN VALUE
 *	The seed, with its session in text, or 0 if there is none.
 */
uint64_t schedule_find(const struct schedule_case *wanted, uint64_t seeds,
		       char text[SCHEDULE_BYTES]);

#endif
