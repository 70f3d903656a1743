#include "fst.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const char *const state_names[FST_HOST_STATE_COUNT] = {
	[FST_SERVING] = "serving", [FST_DRAINING] = "draining",
	[FST_DRAINED] = "drained", [FST_REBOOTING] = "rebooting",
	[FST_FAILED] = "failed",   [FST_RETIRED] = "retired",
};

/* What a handler tells about an accepted record, for the audit trail. */
struct change {
	const char *target;
	char before[LIM_NAME_BYTES];
	char after[LIM_NAME_BYTES];
	const char *detail;
	bool silent; /* heartbeats and confirmations are not audited */
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
		use.available += fst_host_available(host);
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

static void set_state(struct fst_host *host, enum fst_host_state state,
		      int64_t offset, const char *reason)
{
	host->state = state;
	host->changed_offset = offset;
	snprintf(host->reason, sizeof(host->reason), "%s", reason);
	if (state == FST_DRAINING || state == FST_DRAINED)
		return;
	free(host->quiet);
	host->quiet = NULL;
	host->quiet_count = 0;
	if (state != FST_REBOOTING && state != FST_RETIRED)
		host->drain_offset = FST_NONE;
}

static void add_audit(struct fst *fst, int64_t offset, const struct rec *rec,
		      const char *action, const struct change *change,
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
	snprintf(entry->detail, sizeof(entry->detail), "%.*s",
		 LIM_REASON_BYTES - 1, detail);
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
		struct change change = { .target = host->name };

		if (host->state != FST_DRAINING || !all_quiet(fst, host))
			continue;
		set_state(host, FST_DRAINED, offset, "no requests in progress");
		fst->changes++;
		snprintf(change.before, sizeof(change.before), "draining");
		snprintf(change.after, sizeof(change.after), "drained");
		add_audit(fst, offset, rec, "drained", &change, ERR_OK,
			  host->reason);
	}
}

static bool in_settings(const struct tms *settings, const char *host)
{
	return tms_pool_of(settings, host) != NULL;
}

/* A listed host must be free, or already in that pool of this team. */
static int check_listed(const struct fst *fst, const char *team,
			const struct tms_pool *pool, struct err *err)
{
	for (uint32_t i = 0; i < pool->hosts.count; i++) {
		const struct fst_host *host =
			fst_host(fst, pool->hosts.names[i]);

		if (!host)
			continue;
		if (host->state == FST_RETIRED && !host->team[0])
			return err_set(err, ERR_STATE, "host %s is retired",
				       host->name);
		if (!host->team[0])
			continue;
		if (strcmp(host->team, team))
			return err_set(err, ERR_CONFLICT,
				       "host %s belongs to team %s", host->name,
				       host->team);
		if (strcmp(host->pool, pool->name))
			return err_set(err, ERR_STATE,
				       "host %s is in pool %s; settings do not "
				       "move a host to pool %s",
				       host->name, host->pool, pool->name);
	}
	return 0;
}

/* A host may be left out only once it serves no more. */
static int check_removed(const struct fst *fst, const char *team,
			 const struct tms *settings, struct err *err)
{
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++) {
		const struct fst_host *host = tbl_at(fst->hosts, i);

		if (strcmp(host->team, team) ||
		    in_settings(settings, host->name) ||
		    host->state == FST_DRAINED || host->state == FST_RETIRED)
			continue;
		return err_set(err, ERR_STATE,
			       "host %s is %s; drain or retire it before it is "
			       "left out",
			       host->name, fst_host_state_name(host->state));
	}
	return 0;
}

/* A budget may not be raised above what a drain under way leaves. */
static int check_budgets(const struct fst *fst, const char *team,
			 const struct tms *settings, struct err *err)
{
	for (uint32_t i = 0; i < settings->pool_count; i++) {
		const struct tms_pool *pool = &settings->pools[i];
		struct fst_pool_use use = fst_pool_use(fst, team, pool->name);

		if (use.planned_out && pool->min_available > use.available &&
		    pool->min_available > use.min_available)
			return err_set(err, ERR_BUDGET,
				       "pools.%s.min_available: %u given, but "
				       "%u hosts are available and %u are out "
				       "for maintenance",
				       pool->name, pool->min_available,
				       use.available, use.planned_out);
	}
	return 0;
}

static void assign_hosts(struct fst *fst, int64_t offset, const char *team,
			 const struct tms *settings)
{
	for (uint32_t i = 0; i < tbl_count(fst->hosts); i++) {
		struct fst_host *host = tbl_at(fst->hosts, i);

		if (strcmp(host->team, team) ||
		    in_settings(settings, host->name))
			continue;
		host->team[0] = 0;
		host->pool[0] = 0;
	}
	for (uint32_t i = 0; i < settings->pool_count; i++) {
		const struct tms_pool *pool = &settings->pools[i];

		for (uint32_t k = 0; k < pool->hosts.count; k++) {
			const char *name = pool->hosts.names[k];
			struct fst_host *host = fst_host(fst, name);

			if (!host) {
				host = tbl_add(fst->hosts, name);
				set_state(host, FST_SERVING, offset,
					  "assigned");
			}
			if (host->team[0])
				continue;
			if (host->state == FST_DRAINED)
				set_state(host, FST_SERVING, offset,
					  "assigned");
			snprintf(host->team, sizeof(host->team), "%s", team);
			snprintf(host->pool, sizeof(host->pool), "%s",
				 pool->name);
		}
	}
}

static int apply_settings(struct fst *fst, int64_t offset,
			  const struct rec *rec, struct change *change,
			  struct err *err)
{
	struct fst_team *team = fst_team(fst, rec->team);
	int64_t version = team ? team->version : FST_NONE;
	struct tms *settings;
	int status = 0;

	change->target = rec->team;
	snprintf(change->before, sizeof(change->before), "%" PRId64, version);
	snprintf(change->after, sizeof(change->after), "%" PRId64, offset);
	if (rec->base != version)
		return err_set(err, ERR_CONFLICT,
			       "based on version %" PRId64
			       ", but version %" PRId64 " is in force",
			       rec->base, version);
	if (!team && tbl_count(fst->teams) >= LIM_TEAMS)
		return err_set(err, ERR_TOO_LARGE, "more than %d teams",
			       LIM_TEAMS);
	settings = tms_parse(rec->settings, strlen(rec->settings), err);
	if (!settings)
		return err->kind;
	for (uint32_t i = 0; i < settings->pool_count && status == 0; i++)
		status = check_listed(fst, rec->team, &settings->pools[i], err);
	if (status == 0)
		status = check_removed(fst, rec->team, settings, err);
	if (status == 0)
		status = check_budgets(fst, rec->team, settings, err);
	if (status < 0) {
		tms_destroy(settings);
		return status;
	}
	if (!team)
		team = tbl_add(fst->teams, rec->team);
	tms_destroy(team->settings);
	team->settings = settings;
	team->version = offset;
	assign_hosts(fst, offset, rec->team, settings);
	return 0;
}

static int apply_host(struct fst *fst, int64_t offset, const struct rec *rec,
		      struct change *change, struct err *err)
{
	struct fst_host *host = fst_host(fst, rec->host);

	change->target = rec->host;
	snprintf(change->after, sizeof(change->after), "%s:%" PRId64,
		 rec->address, rec->port);
	if (host && host->known)
		snprintf(change->before, sizeof(change->before), "%s:%" PRId64,
			 host->address, host->port);
	if (!host) {
		if (tbl_count(fst->hosts) >= LIM_HOSTS)
			return err_set(err, ERR_TOO_LARGE, "more than %d hosts",
				       LIM_HOSTS);
		host = tbl_add(fst->hosts, rec->host);
		set_state(host, FST_SERVING, offset, "listed");
	}
	host->known = true;
	memcpy(host->data_centre, rec->data_centre, sizeof(host->data_centre));
	memcpy(host->rack, rec->rack, sizeof(host->rack));
	memcpy(host->address, rec->address, sizeof(host->address));
	host->port = rec->port;
	host->cpu_milli = rec->cpu_milli;
	host->mem_mib = rec->mem_mib;
	host->accelerators = rec->accelerators;
	host->slots = rec->slots;
	host->connections = rec->connections;
	return 0;
}

static int apply_member(struct fst *fst, int64_t offset, const struct rec *rec,
			struct change *change, struct err *err)
{
	struct fst_member *member = fst_member(fst, rec->member);

	change->target = rec->member;
	snprintf(change->after, sizeof(change->after), "live");
	if (member && rec->incarnation < member->incarnation)
		return err_set(err, ERR_STATE,
			       "incarnation %" PRId64
			       " was replaced by %" PRId64,
			       rec->incarnation, member->incarnation);
	if (member && rec->incarnation == member->incarnation) {
		if (rec->seq <= member->seq)
			return err_set(err, ERR_DUPLICATE, "old heartbeat");
		change->silent = !member->expired;
		snprintf(change->before, sizeof(change->before), "%s",
			 member->expired ? "expired" : "live");
	} else {
		if (!member)
			member = tbl_add(fst->members, rec->member);
		else
			snprintf(change->before, sizeof(change->before),
				 "replaced");
		member->incarnation = rec->incarnation;
		member->join_offset = offset;
	}
	member->seq = rec->seq;
	member->seen_offset = offset;
	member->expired = false;
	member->port = rec->port;
	memcpy(member->data_centre, rec->data_centre,
	       sizeof(member->data_centre));
	memcpy(member->address, rec->address, sizeof(member->address));
	return 0;
}

static struct fst_member *
same_incarnation(const struct fst *fst, const struct rec *rec, struct err *err)
{
	struct fst_member *member = fst_member(fst, rec->member);

	if (!member)
		err_set(err, ERR_NOT_FOUND, "no member %s", rec->member);
	else if (member->incarnation != rec->incarnation)
		err_set(err, ERR_STATE, "incarnation %" PRId64 " is not %s's",
			rec->incarnation, rec->member);
	else
		return member;
	return NULL;
}

static int apply_member_left(struct fst *fst, int64_t offset,
			     const struct rec *rec, struct change *change,
			     struct err *err)
{
	(void)offset;
	change->target = rec->member;
	snprintf(change->after, sizeof(change->after), "left");
	if (!same_incarnation(fst, rec, err))
		return err->kind;
	tbl_remove(fst->members, rec->member);
	return 0;
}

static int apply_member_expired(struct fst *fst, int64_t offset,
				const struct rec *rec, struct change *change,
				struct err *err)
{
	struct fst_member *member = same_incarnation(fst, rec, err);

	(void)offset;
	change->target = rec->member;
	snprintf(change->before, sizeof(change->before), "live");
	snprintf(change->after, sizeof(change->after), "expired");
	if (!member)
		return err->kind;
	if (member->expired)
		return err_set(err, ERR_DUPLICATE, "already expired");
	if (member->seen_offset != rec->seen)
		return err_set(err, ERR_STATE,
			       "heartbeat at offset %" PRId64 " is newer",
			       member->seen_offset);
	member->expired = true;
	return 0;
}

static struct fst_host *host_in(const struct fst *fst, const struct rec *rec,
				uint32_t states, struct change *change,
				struct err *err)
{
	struct fst_host *host = fst_host(fst, rec->host);

	change->target = rec->host;
	if (!host) {
		err_set(err, ERR_NOT_FOUND, "no host %s", rec->host);
		return NULL;
	}
	snprintf(change->before, sizeof(change->before), "%s",
		 fst_host_state_name(host->state));
	if (states & (1u << host->state))
		return host;
	err_set(err, ERR_STATE, "host %s is %s", host->name,
		fst_host_state_name(host->state));
	return NULL;
}

static int apply_drain(struct fst *fst, int64_t offset, const struct rec *rec,
		       struct change *change, struct err *err)
{
	struct fst_host *host =
		host_in(fst, rec, 1u << FST_SERVING, change, err);
	struct fst_pool_use use;

	if (!host)
		return err->kind;
	if (host->team[0]) {
		use = fst_pool_use(fst, host->team, host->pool);
		if (use.available <
		    use.min_available + fst_host_available(host))
			return err_set(err, ERR_BUDGET,
				       "pool %s/%s has %u of %u hosts "
				       "available and needs %u",
				       host->team, host->pool, use.available,
				       use.hosts, use.min_available);
	}
	set_state(host, FST_DRAINING, offset, rec->reason);
	host->drain_offset = offset;
	change->detail = host->reason;
	return 0;
}

static int apply_quiet(struct fst *fst, int64_t offset, const struct rec *rec,
		       struct change *change, struct err *err)
{
	struct fst_host *host =
		host_in(fst, rec, 1u << FST_DRAINING, change, err);
	struct fst_member *member;
	struct fst_quiet *quiet;

	(void)offset;
	change->silent = true;
	if (!host)
		return err->kind;
	member = same_incarnation(fst, rec, err);
	if (!member)
		return err->kind;
	if (host->drain_offset != rec->drain)
		return err_set(err, ERR_STATE,
			       "drain at offset %" PRId64 " is in force",
			       host->drain_offset);
	if (fst_is_quiet(host, member))
		return err_set(err, ERR_DUPLICATE, "already confirmed");
	quiet = realloc(host->quiet,
			(host->quiet_count + 1) * sizeof(*host->quiet));
	if (!quiet)
		return err_set(err, ERR_NO_MEMORY, "out of memory");
	host->quiet = quiet;
	quiet = &host->quiet[host->quiet_count++];
	memcpy(quiet->member, member->name, sizeof(quiet->member));
	quiet->incarnation = member->incarnation;
	return 0;
}

static int apply_undrain(struct fst *fst, int64_t offset, const struct rec *rec,
			 struct change *change, struct err *err)
{
	struct fst_host *host = host_in(
		fst, rec, 1u << FST_DRAINING | 1u << FST_DRAINED, change, err);

	if (!host)
		return err->kind;
	set_state(host, FST_SERVING, offset, rec->reason);
	change->detail = host->reason;
	return 0;
}

/* Reboot and retirement need the drain that the author saw to be in force. */
static struct fst_host *drained_host(const struct fst *fst,
				     const struct rec *rec,
				     struct change *change, struct err *err)
{
	struct fst_host *host =
		host_in(fst, rec, 1u << FST_DRAINED, change, err);

	if (host && host->drain_offset != rec->drain) {
		err_set(err, ERR_STATE,
			"drain at offset %" PRId64 " is in force",
			host->drain_offset);
		return NULL;
	}
	return host;
}

static int apply_reboot(struct fst *fst, int64_t offset, const struct rec *rec,
			struct change *change, struct err *err)
{
	struct fst_host *host = drained_host(fst, rec, change, err);

	if (!host)
		return err->kind;
	set_state(host, FST_REBOOTING, offset, "reboot");
	return 0;
}

static int apply_retire(struct fst *fst, int64_t offset, const struct rec *rec,
			struct change *change, struct err *err)
{
	struct fst_host *host = drained_host(fst, rec, change, err);

	if (!host)
		return err->kind;
	set_state(host, FST_RETIRED, offset, "retired");
	return 0;
}

static int apply_return(struct fst *fst, int64_t offset, const struct rec *rec,
			struct change *change, struct err *err)
{
	struct fst_host *host = host_in(
		fst, rec, 1u << FST_REBOOTING | 1u << FST_FAILED, change, err);

	if (!host)
		return err->kind;
	set_state(host, FST_SERVING, offset, rec->reason);
	change->detail = host->reason;
	return 0;
}

static int apply_fail(struct fst *fst, int64_t offset, const struct rec *rec,
		      struct change *change, struct err *err)
{
	struct fst_host *host = host_in(
		fst, rec, 1u << FST_SERVING | 1u << FST_DRAINING, change, err);

	if (!host)
		return err->kind;
	set_state(host, FST_FAILED, offset, rec->reason);
	change->detail = host->reason;
	return 0;
}

typedef int apply_fn(struct fst *fst, int64_t offset, const struct rec *rec,
		     struct change *change, struct err *err);

static apply_fn *const handlers[REC_TYPE_COUNT] = {
	[REC_SETTINGS] = apply_settings,
	[REC_HOST] = apply_host,
	[REC_MEMBER] = apply_member,
	[REC_MEMBER_LEFT] = apply_member_left,
	[REC_MEMBER_EXPIRED] = apply_member_expired,
	[REC_DRAIN] = apply_drain,
	[REC_QUIET] = apply_quiet,
	[REC_UNDRAIN] = apply_undrain,
	[REC_REBOOT] = apply_reboot,
	[REC_RETURN] = apply_return,
	[REC_FAIL] = apply_fail,
	[REC_RETIRE] = apply_retire,
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
	struct change change = { .detail = "" };
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
