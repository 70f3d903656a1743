/*
 * NAME
 *	group - consumer group membership of this node
 *
 * The log service divides the parts of a topic among the members, and so the
 * pools; each member renews its membership before it expires. A join whose
 * answer is missed (module rtt) is repeated while earlier ones may still be
 * answered; the authority counts from the sending of the latest one answered.
 */
#ifndef GROUP_H
#define GROUP_H

#include <stdbool.h>
#include <stdint.h>

#include "clk.h"
#include "stream.h"

struct group;

struct group_config {
	const struct stream_io *io;
	const struct clk *clk;
	const char *name;
	const char *member;
	const char *topic;
	int64_t ttl_ms;
	int64_t renew_ms; /* interval of renewals */
};

struct group *group_create(const struct group_config *config);
void group_destroy(struct group *group);
void group_tick(struct group *group);

/*
 * group_set_wanted - set whether this node is to be a member; initially true
 *
 * With false, the next tick leaves the group and releases its parts; a later
 * call with true joins it again.
 */
void group_set_wanted(struct group *group, bool wanted);

/* group_leave - leave finally, so that others can take over immediately */
void group_leave(struct group *group);

/* group_has_part - whether the last answer assigned the part to this member */
bool group_has_part(const struct group *group, int32_t part);
int64_t group_generation(const struct group *group);

/*
 * group_authority_end_ms - when the membership expires
 *
 * From then on the parts may be assigned to others, unless a renewal succeeds
 * before. On this node's monotonic clock.
 */
int64_t group_authority_end_ms(const struct group *group);

#endif
