/*
 * NAME
 *	ownership - exclusive right of a node to manage a pool or the hosts
 *
 * The members of a group share out numbered parts; each pool, and the hosts as
 * a whole, map to a part. In each generation the group assigns a part to one
 * member. The member takes it over in two steps: it appends under its new
 * fencing token, after which nobody with a lower one can append, then reads the
 * stream up to that append.
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
	OWNERSHIP_NONE,	       /* not assigned to this node */
	OWNERSHIP_FENCING,     /* the first append is in flight */
	OWNERSHIP_CATCHING_UP, /* reading the stream up to that append */
	OWNERSHIP_HELD
};

struct ownership_config {
	const struct clk *clk;
	const struct stream_io *stream;
	struct stream_id id;
	struct tail *tail;
	const char *name;      /* name as producer and in log lines; copied */
	int64_t membership_ms; /* how long a renewal of the membership holds */
	void (*acquired)(void *arg); /* all earlier records have been applied */
	void (*lost)(void *arg);     /* must undo what was not stored */
	void *arg;
};

struct ownership {
	struct ownership_config config;
	char *name;
	enum ownership_state state;
	int64_t generation; /* of the last takeover */
	int64_t retries;    /* repeated takeovers in that generation */
	int64_t retry_ms;   /* no repeated takeover in it before */
	int64_t fence;
	int64_t fence_end_offset; /* offset up to which the stream must be read */
	/* From then on another node may be the owner. */
	int64_t authority_end_ms;
	int64_t assigned_ms; /* start of the takeover */
	int64_t acquired_ms; /* end of the takeover */
	uint32_t
		change_count; /* counts takeovers and losses; detects late answers */
	bool syncing;	      /* a read of the stream's end is in flight */
	struct writer *writer; /* NULL: not held */
};

void ownership_init(struct ownership *ownership,
		    const struct ownership_config *config);
void ownership_clear(struct ownership *ownership);

enum { OWNERSHIP_PARTS = 128 };

/*
 * ownership_assign - start a takeover of the part, unless owned already
 *
 * The part, below OWNERSHIP_PARTS, is included in the fence: two nodes that
 * briefly map the same pool to different parts never use the same fence.
 */
void ownership_assign(struct ownership *ownership, int32_t part,
		      int64_t generation, int64_t authority_end_ms);

/* ownership_lose - stop acting as owner; may be called in any state */
void ownership_lose(struct ownership *ownership, const char *why);

/* ownership_tick - continue a takeover and append what is due */
void ownership_tick(struct ownership *ownership);

/*
 * ownership_earlier_end_ms - upper bound of the end of an earlier owner's authority
 *
 * A part may be assigned to another member while the membership of its holder
 * is valid; a holder that cannot reach the log does not learn of it. Its last
 * renewal came before the part was assigned to this node.
 */
static inline int64_t
ownership_earlier_end_ms(const struct ownership *ownership)
{
	return ownership->assigned_ms + ownership->config.membership_ms;
}

static inline bool ownership_held(const struct ownership *ownership)
{
	return ownership->state == OWNERSHIP_HELD;
}

#endif
