#include "fst_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[FST_HOST_STATE_COUNT] = {
	[FST_SERVING] = "serving", [FST_DRAINING] = "draining",
	[FST_DRAINED] = "drained", [FST_REBOOTING] = "rebooting",
	[FST_FAILED] = "failed",   [FST_RETIRED] = "retired",
};

const char *fst_host_state_name(enum fst_host_state state)
{
	return state < FST_HOST_STATE_COUNT ? state_names[state] : "unknown";
}

struct fst *fst_create(void)
{
	struct fst *fst = calloc(1, sizeof(*fst));

	if (!fst)
		return NULL;
	fst->teams = tbl_create(sizeof(struct fst_team));
	fst->hosts = tbl_create(sizeof(struct fst_host));
	fst->members = tbl_create(sizeof(struct fst_member));
	return fst;
}

void fst_destroy(struct fst *fst)
{
	if (!fst)
		return;
	for (uint32_t i = 0; i < tbl_count(fst->teams); i++)
		tms_destroy(
			((struct fst_team *)tbl_at(fst->teams, i))->settings);
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++)
		free(((struct fst_host *)tbl_at(fst->hosts, i))->quiet);
	tbl_destroy(fst->teams);
	tbl_destroy(fst->hosts);
	tbl_destroy(fst->members);
	free(fst);
}

struct fst_host *fst_host(const struct fst *fst, const char *name)
{
	return tbl_find(fst->hosts, name);
}

struct fst_team *fst_team(const struct fst *fst, const char *name)
{
	return tbl_find(fst->teams, name);
}

struct fst_member *fst_member(const struct fst *fst, const char *name)
{
	return tbl_find(fst->members, name);
}

bool fst_host_available(const struct fst_host *host)
{
	return host->state == FST_SERVING && host->known;
}

bool fst_visible(const struct fst *fst, const char *data_centre)
{
	bool expired = false;

	for (uint32_t i = 0; i < tbl_count(fst->members); i++) {
		const struct fst_member *member = tbl_at(fst->members, i);

		if (strcmp(member->data_centre, data_centre))
			continue;
		if (!member->expired)
			return true;
		expired = true;
	}
	return !expired;
}

bool fst_host_counts(const struct fst *fst, const struct fst_host *host)
{
	return fst_host_available(host) && fst_visible(fst, host->data_centre);
}

struct fst_pool_use fst_pool_use(const struct fst *fst, const char *team_name,
				 const char *pool_name)
{
	const struct fst_team *team = fst_team(fst, team_name);
	const struct tms_pool *pool =
		team ? tms_find_pool(team->settings, pool_name) : NULL;
	struct fst_pool_use use = { 0 };

	if (pool)
		use.min_available = pool->min_available;
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++) {
		const struct fst_host *host = tbl_at(fst->hosts, i);

		if (strcmp(host->team, team_name) ||
		    strcmp(host->pool, pool_name))
			continue;
		use.hosts++;
		use.available += fst_host_counts(fst, host);
		use.failed += host->state == FST_FAILED;
		use.planned_out += host->state == FST_DRAINING ||
				   host->state == FST_DRAINED ||
				   host->state == FST_REBOOTING;
	}
	return use;
}

bool fst_member_needed(const struct fst_host *host,
		       const struct fst_member *member)
{
	if (member->join_offset > host->drain_offset)
		return false;
	return !member->expired ||
	       !strcmp(member->data_centre, host->data_centre);
}

bool fst_is_quiet(const struct fst_host *host, const struct fst_member *member)
{
	for (uint32_t i = 0; i < host->quiet_count; i++)
		if (!strcmp(host->quiet[i].member, member->name) &&
		    host->quiet[i].incarnation == member->incarnation)
			return true;
	return false;
}

static void add_audit(struct fst *fst, int64_t offset, const struct rec *rec,
		      const char *action, const struct fst_change *change,
		      int result, const char *detail)
{
	struct fst_audit *entry =
		&fst->audit[fst->audit_count++ % LIM_AUDIT_ENTRIES];

	*entry = (struct fst_audit){
		.offset = offset,
		.at_ms = rec->at_ms,
		.result = result,
	};
	snprintf(entry->author, sizeof(entry->author), "%s", rec->author);
	snprintf(entry->action, sizeof(entry->action), "%s", action);
	snprintf(entry->target, sizeof(entry->target), "%s", change->target);
	snprintf(entry->before, sizeof(entry->before), "%s", change->before);
	snprintf(entry->after, sizeof(entry->after), "%s", change->after);
	/* A character cut in two would make every snapshot unreadable. */
	err_copy_text(entry->detail, sizeof(entry->detail), detail);
}

static bool all_quiet(const struct fst *fst, const struct fst_host *host)
{
	for (uint32_t i = 0; i < tbl_count(fst->members); i++) {
		const struct fst_member *member = tbl_at(fst->members, i);

		if (fst_member_needed(host, member) &&
		    !fst_is_quiet(host, member))
			return false;
	}
	return true;
}

/* Ends every drain for which all needed members have confirmed. */
static void finish_drains(struct fst *fst, int64_t offset,
			  const struct rec *rec)
{
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++) {
		struct fst_host *host = tbl_at(fst->hosts, i);
		struct fst_change change = { .target = host->name };

		if (host->state != FST_DRAINING || !all_quiet(fst, host))
			continue;
		fst_set_state(host, FST_DRAINED, offset,
			      "no requests in progress");
		fst->changes++;
		snprintf(change.before, sizeof(change.before), "draining");
		snprintf(change.after, sizeof(change.after), "drained");
		add_audit(fst, offset, rec, "drained", &change, ERR_OK,
			  host->reason);
	}
}

static fst_apply_fn *const handlers[REC_TYPE_COUNT] = {
	[REC_SETTINGS] = fst_apply_settings,
	[REC_HOST] = fst_apply_host,
	[REC_MEMBER] = fst_apply_member,
	[REC_MEMBER_LEFT] = fst_apply_member_left,
	[REC_MEMBER_EXPIRED] = fst_apply_member_expired,
	[REC_DRAIN] = fst_apply_drain,
	[REC_QUIET] = fst_apply_quiet,
	[REC_UNDRAIN] = fst_apply_undrain,
	[REC_REBOOT] = fst_apply_reboot,
	[REC_RETURN] = fst_apply_return,
	[REC_FAIL] = fst_apply_fail,
	[REC_RETIRE] = fst_apply_retire,
	[REC_ASSIGN] = fst_apply_assign,
};

static bool id_seen(const struct fst *fst, const char *id)
{
	uint32_t kept = fst->id_count < LIM_IDS ? fst->id_count : LIM_IDS;

	for (uint32_t i = 0; i < kept; i++)
		if (!strcmp(fst->ids[i], id))
			return true;
	return false;
}

static void keep_id(struct fst *fst, const char *id)
{
	memcpy(fst->ids[fst->id_count++ % LIM_IDS], id, LIM_ID_BYTES);
}

int fst_apply(struct fst *fst, int64_t offset, const struct rec *rec,
	      struct err *err)
{
	struct fst_change change = { .detail = "" };
	struct err fault = { .kind = ERR_OK };
	int status;

	if (offset < fst->next)
		return err_set(err, ERR_GONE,
			       "offset %" PRId64 " was applied before", offset);
	fst->next = offset + 1;
	if (!rec)
		return err_set(err, ERR_INVALID, "record not valid");
	/* Heartbeats are ordered by seq, so they need no place in the ring. */
	if (rec->type != REC_MEMBER) {
		if (id_seen(fst, rec->id))
			return err_set(err, ERR_DUPLICATE,
				       "id was applied before");
		keep_id(fst, rec->id);
	}
	status = handlers[rec->type](fst, offset, rec, &change, &fault);
	/* Renewals of live members end no drain; the scan of all hosts was most
	   of the cost of these records. */
	if (status == 0 && !(rec->type == REC_MEMBER && change.silent))
		finish_drains(fst, offset, rec);
	if (status == 0 && !change.silent)
		fst->changes++;
	if (status != ERR_DUPLICATE && !change.silent)
		add_audit(fst, offset, rec, rec_type_name(rec->type), &change,
			  status, status ? fault.text : change.detail);
	if (status && err)
		*err = fault;
	return status;
}
