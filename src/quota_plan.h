/*
 * NAME
 *	quota_plan - how the limits of organisations are divided among the shares
 *
 * Decided by the owner of the hosts from what the owners of the shares have stored.
 * Grants follow what is used and wanted; a grant is lowered only if another share
 * is short, and what is not granted is kept for the next one that is. Pure functions.
 */
#ifndef QUOTA_PLAN_H
#define QUOTA_PLAN_H

#include "cfg.h"
#include "quota.h"

struct quota_plan;

struct quota_plan *quota_plan_create(void);
void quota_plan_destroy(struct quota_plan *plan);

/* quota_plan_reset - begin a tenure */
void quota_plan_reset(struct quota_plan *plan);

/*
 * quota_plan_decide - decide which grants to raise and to lower
 *
 * keys are those of the configured shares, "POOL/INDEX", in any order. All grants
 * decided before must have been applied to the table, which is the same one since
 * quota_plan_reset. fn is called for each share
 * whose grants change, with a table from organisations to their new grants.
 */
void quota_plan_decide(
	struct quota_plan *plan, const struct quota_table *table,
	const struct cfg *cfg, const GPtrArray *keys, int64_t now_ms,
	void (*fn)(void *arg, const char *key, GHashTable *changes), void *arg);

#endif
