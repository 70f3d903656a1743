/*
 * NAME
 *	quota_use - what a share's tasks use of the limits of organisations
 *
 * Made anew for each pass of the scheduler by the share's owner: first all that
 * may be running is added, then each placement asks. Pure functions.
 */
#ifndef QUOTA_USE_H
#define QUOTA_USE_H

#include "cfg.h"
#include "job.h"
#include "quota.h"

struct quota_use;

struct quota_use *quota_use_create(void);
void quota_use_destroy(struct quota_use *use);

/* quota_use_reset - forget what others were told, as a tenure begins */
void quota_use_reset(struct quota_use *use);

/*
 * quota_use_begin - begin a pass
 *
 * share has the grants; it may be NULL. confirmed: the log has confirmed the
 * configuration recently; if not, nothing that is limited may be placed.
 *
 * RETURN VALUE
 *	Whether any organisation of the configuration has a limit.
 */
bool quota_use_begin(struct quota_use *use, const struct cfg *cfg,
		     const struct quota_share *share, bool confirmed);

/* quota_use_add - count a task of the step that may be running */
void quota_use_add(struct quota_use *use, const char *tenant,
		   const struct job_step *step);

/* quota_use_remove - count tasks of the step no more */
void quota_use_remove(struct quota_use *use, const char *tenant,
		      const struct job_step *step, int32_t count);

/*
 * quota_use_any_lowered, quota_use_is_lowered - whether the configuration of this pass has
 * a lower limit, of any organisation or of this one, than that of the last pass
 *
 * Not in the first pass of a tenure.
 */
bool quota_use_any_lowered(const struct quota_use *use);
bool quota_use_is_lowered(const struct quota_use *use, const char *tenant);

/* quota_use_fits - whether what is used is within the grant */
bool quota_use_fits(const struct quota_use *use, const char *tenant);

/* quota_use_allows - whether count more tasks of the step may be placed */
bool quota_use_allows(const struct quota_use *use, const char *tenant,
		      const struct job_step *step, int32_t count);

/* quota_use_want - count tasks that wait for nothing but a larger grant */
void quota_use_want(struct quota_use *use, const char *tenant,
		    const struct job_step *step, int32_t count);

/*
 * quota_use_wants - whether an organisation's tasks have waited so in this pass
 */
bool quota_use_wants(const struct quota_use *use, const char *tenant);

/*
 * quota_use_is_news - whether others are to be told, as compared to the last record
 *
 * If the share holds less than others have to assume, or is short of something;
 * with minor, also if it uses much more or less. Never by a configuration that the
 * log has not confirmed.
 */
bool quota_use_is_news(struct quota_use *use, bool minor);

/* quota_use_record - the record of the share's owner; free with g_free */
char *quota_use_record(struct quota_use *use);

#endif
