/*
 * NAME
 *	ownership - exclusive right of a node to manage a pool or the hosts
 *
 * The members of a group share out numbered parts; each pool, and the hosts as
 * a whole, map to a part. In each generation the group assigns a part to one
 * member. The member takes it over in two steps: it appends under its new
 * fencing token, after which nobody with a lower one can append, then reads the
 * stream up to that append. An owner that writes to several streams does so for
 * each of them.
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
	OWNERSHIP_FENCING,     /* the first appends are in flight */
	OWNERSHIP_CATCHING_UP, /* reading the streams up to them */
	OWNERSHIP_HELD
};

enum { OWNERSHIP_MAX_STREAMS = 4 };

/* A stream that the owner writes to. */
struct ownership_stream {
	struct stream_id id;
	struct tail *tail; /* follows it */
};

struct ownership_config {
	const struct clk *clk;
	const struct stream_io *stream;
	uint32_t stream_count;
	struct ownership_stream streams[OWNERSHIP_MAX_STREAMS];
	const char *name;      /* name as producer and in log lines; copied */
	int64_t membership_ms; /* how long a renewal of the membership holds */
	void (*acquired)(void *arg); /* all earlier records have been applied */
	void (*lost)(void *arg);     /* must undo what was not stored */
	void *arg;
};

/* Takeover of one of the streams. */
struct ownership_slot {
	struct ownership *ownership;
	struct writer *writer;	  /* NULL: not held */
	bool fenced;		  /* the first append is stored */
	bool syncing;		  /* a read of the stream's end is in flight */
	int64_t fence_end_offset; /* offset up to which the stream must be read */
};

struct ownership {
	struct ownership_config config;
	char *name;
	enum ownership_state state;
	int64_t generation; /* of the last takeover */
	int64_t retries;    /* fences used before in that generation */
	int64_t retry_ms;   /* no repeated takeover in it before */
	int64_t fence;
	uint32_t raises; /* most that any fence was raised in this tenure */
	/* From then on another node may be the owner. */
	int64_t authority_end_ms;
	/* The membership had run out before it was renewed: until the log has
	   confirmed the epoch of so many streams, another node may have been
	   the owner, and authority_end_ms stays. The membership's end then is: */
	uint32_t unconfirmed;
	int64_t membership_end_ms;
	int64_t assigned_ms; /* start of the takeover */
	int64_t acquired_ms; /* end of the takeover */
	uint32_t
		change_count; /* counts takeovers and losses; detects late answers */
	struct ownership_slot slots[OWNERSHIP_MAX_STREAMS];
};

void ownership_init(struct ownership *ownership,
		    const struct ownership_config *config);
void ownership_clear(struct ownership *ownership);

/* ownership_set_streams - replace the streams; ends a tenure */
void ownership_set_streams(struct ownership *ownership,
			   const struct ownership_stream *streams,
			   uint32_t count);

enum { OWNERSHIP_PARTS = 128 };

/*
 * ownership_assign - start a takeover of the part, unless owned already
 *
 * The part, below OWNERSHIP_PARTS, is included in the fence: two nodes that
 * briefly map the same pool to different parts never use the same fence.
 */
void ownership_assign(struct ownership *ownership, int32_t part,
		      int64_t generation, int64_t authority_end_ms);

/*
 * ownership_raise - reserve the fences of a tenure up to raises above its own
 *
 * Later tenures have higher ones. RETURN VALUE: false if there are none left.
 */
bool ownership_raise(struct ownership *ownership, uint32_t raises);

/* ownership_raises_left - how often a fence raised so many times may be yet */
int64_t ownership_raises_left(const struct ownership *ownership,
			      uint32_t raises);

/* ownership_raised_fence - the tenure's fence, raised so many times */
static inline int64_t ownership_raised_fence(const struct ownership *ownership,
					     uint32_t raises)
{
	return ownership->fence + (int64_t)raises * OWNERSHIP_PARTS;
}

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

/* ownership_writer - appends to a stream under the fence; NULL: not held */
static inline struct writer *ownership_writer(const struct ownership *ownership,
					      uint32_t stream)
{
	return ownership->slots[stream].writer;
}

static inline bool ownership_held(const struct ownership *ownership)
{
	return ownership->state == OWNERSHIP_HELD;
}

#endif
