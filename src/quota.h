/*
 * NAME
 *	quota - limits of what an organisation has running, divided among the
 *	shares of all pools
 *
 * The owners of the shares start tasks at the same time, so that each may use
 * only its part of an organisation's limit. Parts are in 1/QUOTA_WHOLE of the
 * limit, whatever that is in the configuration which an owner has read: their sum
 * is at most the whole, so that what runs is at most the highest limit in force.
 *
 * The owner of the hosts stores the grants of a share, and the share's owner
 * stores what it holds: the larger of what it is granted and of what it uses. A
 * grant belongs to the share and not to its owner, and has no end. It is lowered
 * first, and raised elsewhere once the owner has stored that it holds no more.
 *
 * struct quota_table has the newest records of each share, as read from the log.
 * docs/design/quota.md says what was weighed.
 */
#ifndef QUOTA_H
#define QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "err.h"

enum {
	QUOTA_WHOLE = 10000,
	QUOTA_MAX_TENANTS = 4096 /* in a record */
};

/* What a share has of one organisation's limit, in 1/QUOTA_WHOLE. */
struct quota_part {
	int32_t granted;
	/* Highest grant since the last one that the owner is known to follow. */
	int32_t peak;
	bool reported; /* by the owner's newest record, which has the rest */
	int32_t held;
	int32_t used;
	int32_t wanted; /* used, and what it could start beyond its grant */
	int32_t unit;	/* of that, the largest task; 0: none */
	int32_t least;	/* and the smallest one */
};

struct quota_share {
	char *key;	/* "POOL/INDEX" */
	int64_t number; /* of the newest grants; 0: none */
	int64_t applied; /* of the grants that the owner's newest record follows */
	bool reported; /* there is such a record */
	int64_t grants_offset;
	int64_t use_offset;
	GHashTable *parts; /* organisation -> struct quota_part */
};

struct quota_table {
	GHashTable *shares; /* key -> struct quota_share */
};

void quota_table_init(struct quota_table *table);
void quota_table_clear(struct quota_table *table);

/* quota_find - what is known of a share, or NULL */
const struct quota_share *quota_find(const struct quota_table *table,
				     const char *key);

/* quota_part_find - what a share has of a limit, or NULL; share may be NULL */
const struct quota_part *quota_part_find(const struct quota_share *share,
					 const char *tenant);

/* quota_granted - a share's grant; share may be NULL */
int32_t quota_granted(const struct quota_share *share, const char *tenant);

/*
 * quota_may_use - the most that a share may have running, now or by what its
 * owner has not read yet
 */
int32_t quota_may_use(const struct quota_share *share, const char *tenant);

/*
 * quota_apply_grants, quota_apply_use - apply a record of the owner of the hosts
 * or of the share's owner
 *
 * One at or before the offset of the last one applied is ignored.
 *
 * RETURN VALUE
 *	0 or ERR_INVALID; nothing is changed then.
 */
int quota_apply_grants(struct quota_table *table, const char *key,
		       int64_t offset, const char *value, size_t len,
		       struct err *err);
int quota_apply_use(struct quota_table *table, const char *key, int64_t offset,
		    const char *value, size_t len, struct err *err);

/*
 * quota_grants_record - grants of a share, raised or lowered
 *
 * changes maps organisations to their new grants (GINT_TO_POINTER); others stay.
 *
 * RETURN VALUE
 *	The record, to be freed with g_free.
 */
char *quota_grants_record(const struct quota_share *share, int64_t number,
			  GHashTable *changes);

#endif
