/*
 * NAME
 *	ownership - the right of one node to decide for a pool, or for the hosts
 *
 * The group gives a part to one member in each generation. The member takes
 * it over in two steps: an append under its new fence, after which nobody
 * with a lower one can append, and reading the stream up to there.
 */
#ifndef OWNERSHIP_H
#define OWNERSHIP_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "stream.h"
#include "tail.h"
#include "writer.h"

enum ownership_state {
	OWNERSHIP_NONE,	       /* another node's, or nobody's */
	OWNERSHIP_FENCING,     /* the first append is under way */
	OWNERSHIP_CATCHING_UP, /* reads the stream up to that append */
	OWNERSHIP_HELD
};

struct ownership_config {
	const struct clk *clk;
	const struct stream_io *stream;
	struct stream_id id;
	struct tail *tail;
	const char *what; /* name for the producer and for logs; copied */
	void (*taken)(void *arg); /* all that was stored before is known */
	void (*lost)(void *arg);  /* what was not stored is to be undone */
	void *arg;
};

struct ownership {
	struct ownership_config config;
	char *what;
	enum ownership_state state;
	int64_t generation; /* in which it was taken over last */
	int64_t tries;	    /* to take it over in that generation */
	int64_t retry_ms;   /* not taken over in it again before */
	int64_t fence;
	int64_t fence_end;	  /* the stream must be read up to here */
	int64_t authority_end_ms; /* then others may have been given it */
	int64_t taken_ms;
	uint32_t number; /* rises with each change, to tell late answers */
	bool syncing;
	struct writer *writer; /* NULL: not held */
};

void ownership_init(struct ownership *tenure,
		    const struct ownership_config *config);
void ownership_clear(struct ownership *tenure);

enum { OWNERSHIP_PARTS = 32 };

/*
 * ownership_give - the group says that this node holds the part
 *
 * The part, below OWNERSHIP_PARTS, is in the fence: two nodes that for a moment
 * find the same thing at different parts never use one fence.
 */
void ownership_give(struct ownership *tenure, int32_t part, int64_t generation,
		    int64_t authority_end_ms);

/* ownership_lose - stop acting; safe to call in any state */
void ownership_lose(struct ownership *tenure, const char *why);

/* ownership_tick - go on with a takeover, and write what is due */
void ownership_tick(struct ownership *tenure);

static inline bool ownership_held(const struct ownership *tenure)
{
	return tenure->state == OWNERSHIP_HELD;
}

#endif
