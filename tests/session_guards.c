#include "session_int.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

static const char *const guard_names[GUARD_COUNT] = {
	[GUARD_BUDGET] = "budget",
	[GUARD_IN_FLIGHT] = "in-flight",
	[GUARD_DRAINING] = "draining",
	[GUARD_LEASE] = "lease",
	[GUARD_CAUGHT_UP] = "caught-up",
	[GUARD_ALL_QUIET] = "all-quiet",
	[GUARD_LOCAL] = "local",
	[GUARD_SEEN] = "seen",
	[GUARD_JOINED] = "joined",
	[GUARD_BASE] = "base",
	[GUARD_IDS] = "ids",
	[GUARD_TAIL] = "tail",
	[GUARD_MOVE] = "move",
	[GUARD_EVERY] = "every",
	[GUARD_RAISE] = "raise",
	[GUARD_SNAPSHOT] = "snapshot",
	[GUARD_CUT_OFF] = "cut-off",
};

const char *session_guard_name(int guard)
{
	return guard < GUARD_COUNT ? guard_names[guard] : NULL;
}

bool session_guard_is_off(const struct session *session,
			  enum session_guard guard)
{
	return session->guards_off & 1u << guard;
}

struct fleet *session_guard_mutable_state(const struct replica *replica)
{
	return (struct fleet *)replica_state(replica);
}

/* Moves hosts to their pools in the settings that are about to be applied. */
static void bypass_move_guard(struct fleet *fleet, const struct record *rec)
{
	struct teamconf *settings =
		teamconf_parse(rec->settings, strlen(rec->settings), NULL);

	for (uint32_t i = 0; settings && i < table_count(fleet->hosts); i++) {
		struct fleet_host *host = table_at(fleet->hosts, i);
		const struct teamconf_pool *pool =
			teamconf_pool_of(settings, host->name);

		if (pool && !strcmp(host->team, rec->team))
			snprintf(host->pool, sizeof(host->pool), "%s",
				 pool->name);
	}
	teamconf_destroy(settings);
}

/* Sets the budgets in force to the new ones, so that no raise is detected. */
static void bypass_raise_guard(const struct fleet_team *team,
			       const struct record *rec)
{
	struct teamconf *settings =
		teamconf_parse(rec->settings, strlen(rec->settings), NULL);

	for (uint32_t i = 0; settings && i < team->settings->pool_count; i++) {
		struct teamconf_pool *pool = &team->settings->pools[i];
		const struct teamconf_pool *next =
			teamconf_find_pool(settings, pool->name);

		if (next)
			pool->min_available = next->min_available;
	}
	teamconf_destroy(settings);
}

/* Changes a record so that a replica behaves as if it lacked the guards. */
static void bypass_record_guards(const struct session *session,
				 struct fleet *fleet, int64_t offset,
				 struct record *rec)
{
	const struct fleet_team *team = fleet_team(fleet, rec->team);
	const struct fleet_member *member = fleet_member(fleet, rec->member);

	if (session_guard_is_off(session, GUARD_BASE) &&
	    rec->type == RECORD_SETTINGS)
		rec->base = team ? team->version : FLEET_NONE;
	if (session_guard_is_off(session, GUARD_MOVE) &&
	    rec->type == RECORD_SETTINGS && team && rec->base == team->version)
		bypass_move_guard(fleet, rec);
	if (session_guard_is_off(session, GUARD_RAISE) &&
	    rec->type == RECORD_SETTINGS && team && rec->base == team->version)
		bypass_raise_guard(team, rec);
	if (session_guard_is_off(session, GUARD_SEEN) &&
	    rec->type == RECORD_MEMBER_EXPIRED && member)
		rec->seen = member->seen_offset;
	if (session_guard_is_off(session, GUARD_IDS))
		snprintf(rec->id, sizeof(rec->id), "%032" PRIx64, offset);
}

/* Ends drains that only disabled guards would still hold back. */
static void bypass_drain_guards(const struct session *session,
				struct fleet *fleet)
{
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		struct fleet_host *host = table_at(fleet->hosts, i);
		bool live_members_quiet = true;

		if (host->state != FLEET_DRAINING)
			continue;
		for (uint32_t k = 0; k < table_count(fleet->members); k++) {
			const struct fleet_member *member =
				table_at(fleet->members, k);

			live_members_quiet =
				live_members_quiet &&
				(member->expired ||
				 member->join_offset > host->drain_offset ||
				 fleet_drain_confirmed(host, member));
		}
		if ((session_guard_is_off(session, GUARD_ALL_QUIET) &&
		     host->quiet_count) ||
		    (session_guard_is_off(session, GUARD_LOCAL) &&
		     live_members_quiet))
			host->state = FLEET_DRAINED;
	}
}

int session_guard_apply(struct session *session, struct replica *replica,
			int64_t offset)
{
	const struct session_log_record *log_record = &session->log[offset];
	struct fleet *fleet = session_guard_mutable_state(replica);
	struct record rec;
	char *text;

	if (!session->guards_off) {
		replica_apply(replica, offset, log_record->text,
			      log_record->len);
		return session->apply_result.kind;
	}
	if (record_parse(&rec, log_record->text, log_record->len, NULL) < 0)
		abort();
	bypass_record_guards(session, fleet, offset, &rec);
	text = record_encode(&rec);
	replica_apply(replica, offset, text, strlen(text));
	free(text);
	if (session_guard_is_off(session, GUARD_BUDGET) &&
	    session->apply_result.kind == ERR_BUDGET &&
	    rec.type == RECORD_DRAIN) {
		struct fleet_host *host = fleet_host(fleet, rec.host);

		host->state = FLEET_DRAINING;
		host->drain_offset = offset;
		session->apply_result.kind = ERR_OK;
	}
	if (session_guard_is_off(session, GUARD_ALL_QUIET) ||
	    session_guard_is_off(session, GUARD_LOCAL))
		bypass_drain_guards(session, fleet);
	record_clear(&rec);
	return session->apply_result.kind;
}
