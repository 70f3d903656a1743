/*
 * NAME
 *	group - membership of this node in the group that shares the pools
 *
 * The log service divides the parts of a topic among the members; each member
 * renews its membership before it runs out.
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
	int64_t renew_ms; /* between two renewals */
};

struct group *group_create(const struct group_config *config);
void group_destroy(struct group *group);
void group_tick(struct group *group);

/*
 * group_want - whether this node is to be a member; at first it is
 *
 * One that is not any more gives its parts up at once, and may join again.
 */
void group_want(struct group *group, bool wanted);

/* group_leave - give up the membership, so that others take over at once */
void group_leave(struct group *group);

/* group_holds - whether the newest answer gave the part to this member */
bool group_holds(const struct group *group, int32_t part);
int64_t group_generation(const struct group *group);

/* group_joined - whether the log service has taken this member */
bool group_joined(const struct group *group);

/*
 * group_authority_end_ms - when the parts may have been given to others
 *
 * On this node's clock, unless a renewal succeeds before.
 */
int64_t group_authority_end_ms(const struct group *group);

#endif
