#include "session_int.h"

#include <stdlib.h>
#include <string.h>

enum { STEP_MS = 1000 };

static void expire_leases(struct session *session)
{
	for (uint32_t i = 0; i < session->entry_count; i++) {
		struct session_entry *entry = &session->entries[i];

		if (session->now_ms < entry->lease_until_ms ||
		    entry->lease_expired || !entry->lease_until_ms)
			continue;
		entry->lease_expired = true;
		if (!session_guard_is_off(session, GUARD_CUT_OFF))
			oracle_cut_off(session->oracle, entry->name,
				       entry->data_centre);
	}
}

/* Reports to the oracle where each entry host would send at this instant. */
static void check_instant(struct session *session)
{
	expire_leases(session);
	session->state_changed = false;
	oracle_views_begin(session->oracle);
	for (uint32_t i = 0; i < session->entry_count; i++) {
		struct session_entry *entry = &session->entries[i];
		const struct fleet *fleet = replica_state(entry->replica);

		for (uint32_t k = 0; k < table_count(fleet->hosts); k++) {
			const struct fleet_host *host =
				table_at(fleet->hosts, k);
			char pool[2 * LIMIT_NAME_BYTES];

			if (!session_entry_may_send(entry, host))
				continue;
			snprintf(pool, sizeof(pool), "%s/%s", host->team,
				 host->pool);
			oracle_view(session->oracle, entry->name, host->name,
				    pool);
		}
	}
	oracle_check_in_flight(session->oracle);
}

static bool violated(struct session *session)
{
	struct session_result *result = session->result;

	for (int i = 0; i < ORACLE_PROMISE_COUNT && !result->violation; i++) {
		if (!(session->promises & 1u << i))
			continue;
		result->promise = (enum oracle_promise)i;
		result->violation =
			oracle_violation(session->oracle, result->promise);
	}
	return result->violation != NULL;
}

static void run_for(struct session *session, int64_t duration_ms)
{
	int64_t until_ms = session->now_ms + duration_ms;

	while (session->now_ms < until_ms && !violated(session)) {
		session->now_ms += STEP_MS;
		expire_leases(session);
		for (uint32_t i = 0; i < session->entry_count; i++) {
			struct session_entry *entry = &session->entries[i];

			if (!entry->up || entry->paused)
				continue;
			if (session_entry_reaches_log(entry))
				session_entry_follow(entry);
			session_entry_tick(entry);
			if (session->state_changed)
				check_instant(session);
		}
	}
}

static void run_entry_event(struct session_entry *entry, const char *what,
			    char **args)
{
	if (!strcmp(what, "place"))
		session_log_publish_placement(entry, args[2], args[3], args[4],
					      atoi(args[5]));
	else if (!strcmp(what, "lose"))
		entry->lose_response = true;
	else if (!strcmp(what, "hold"))
		entry->hold_appends = true;
	else if (!strcmp(what, "release"))
		session_entry_release_appends(entry);
	else if (!strcmp(what, "lag"))
		entry->max_step_records =
			args[2][0] == '-' ? -1 : atoi(args[2]);
	else if (!strcmp(what, "pause") || !strcmp(what, "resume"))
		entry->paused = what[0] == 'p';
	else if (!strcmp(what, "send"))
		session_entry_send(entry, args[2], args[3], args[4]);
	else if (!strcmp(what, "done"))
		session_entry_end_request(entry, args[2]);
	else if (!strcmp(what, "snapshot"))
		session_entry_take_snapshot(entry);
	else if (!strcmp(what, "restore"))
		session_entry_restore(entry);
	else if (!strcmp(what, "adopt"))
		session_entry_adopt(entry);
	else if (!strcmp(what, "restart"))
		session_entry_restart(entry);
	else if (!strcmp(what, "leave"))
		entry->leaving = true;
}

static void run_event(struct session *session, char **args)
{
	const char *what = args[0];

	if (!strcmp(what, "entry")) {
		session_entry_start(session, args[1], args[2]);
		return;
	}
	for (uint32_t i = 0; i < session->entry_count; i++)
		if (!strcmp(session->entries[i].name, args[1])) {
			run_entry_event(&session->entries[i], what, args);
			return;
		}
	if (!strcmp(what, "run"))
		run_for(session, atoll(args[1]));
	else if (!strcmp(what, "host"))
		session_log_list_host(session, args[1], args[2]);
	else if (!strcmp(what, "cut"))
		table_add(session->partitions, args[1]);
	else if (!strcmp(what, "heal"))
		table_remove(session->partitions, args[1]);
	else if (!strcmp(what, "again") && atoll(args[1]) < session->count &&
		 atoll(args[1]) >= 0)
		session_log_append(
			session,
			session->log[session->count - 1 - atoll(args[1])].text);
	else if (!strcmp(what, "record"))
		session_log_append_fields(session, args[1], args[2]);
	for (int i = RECORD_DRAIN; i < RECORD_TYPE_COUNT; i++)
		if (i != RECORD_QUIET && !strcmp(what, record_type_name(i)))
			session_log_append_host_event(
				session, (enum record_type)i, args[1]);
}

static void run_line(struct session *session, char *line)
{
	char *args[7] = { "", "", "", "", "", "", "" };
	char *save = NULL;

	line[strcspn(line, "#")] = 0;
	if (session->out && line[0])
		fprintf(session->out, "%s\n", line);
	/* The fields of a record are the rest of its line. */
	for (int i = 0; i < 6; i++) {
		bool rest = i == 2 && !strcmp(args[0], "record");
		char *arg = strtok_r(i ? NULL : line, rest ? "\n" : " ", &save);

		if (!arg)
			break;
		args[i] = arg;
	}
	if (args[0][0])
		run_event(session, args);
	check_instant(session);
}

/* All replicas must have the same state at the end of the log. */
static void compare_replicas(struct session *session)
{
	const struct fleet *fleet = replica_state(session->head);

	session_log_report_hash(session, session->head, "log");
	for (uint32_t i = 0; i < session->entry_count; i++) {
		struct session_entry *entry = &session->entries[i];

		entry->max_step_records = -1;
		session_entry_follow(entry);
		session_log_report_hash(session, entry->replica, entry->name);
	}
	for (uint32_t i = 0; session->out && i < table_count(fleet->hosts);
	     i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);

		fprintf(session->out, "%s %s %s/%s\n", host->name,
			fleet_host_state_name(host->state), host->team,
			host->pool);
	}
}

static void finish(struct session *session)
{
	const struct fleet *fleet = replica_state(session->head);
	uint32_t audit_count = fleet->audit_count;

	for (uint32_t i = 0; i < audit_count && i < LIMIT_AUDIT_ENTRIES; i++)
		session->result->drained +=
			!strcmp(fleet->audit[i].action, "drained");
	session->result->cut_off = oracle_cut_off_count(session->oracle);
	for (uint32_t i = 0; i < session->entry_count; i++)
		session_entry_end(&session->entries[i]);
	for (int64_t i = 0; i < session->count; i++)
		free(session->log[i].text);
	replica_destroy(session->head);
	table_destroy(session->partitions);
	free(session->snapshot);
	free(session);
}

void session_run(const char *text, uint32_t guards_off, uint32_t promises,
		 FILE *out, struct session_result *result)
{
	static char violation[512];
	struct session *session = calloc(1, sizeof(*session));
	struct oracle *oracle = oracle_create();
	char line[SESSION_LINE_BYTES];

	*result = (struct session_result){ 0 };
	session->guards_off = guards_off;
	session->promises = promises;
	session->out = out;
	session->result = result;
	session->oracle = oracle;
	session->partitions = table_create(sizeof(struct session_partition));
	session->head = session_log_create_replica(session);
	while (*text && !violated(session)) {
		size_t len = strcspn(text, "\n");

		snprintf(line, sizeof(line), "%.*s", (int)len, text);
		text += len + (text[len] == '\n');
		run_line(session, line);
	}
	if (!violated(session))
		compare_replicas(session);
	if (violated(session)) {
		snprintf(violation, sizeof(violation), "%s", result->violation);
		result->violation = violation;
	}
	if (out)
		fprintf(out, "%s\n",
			result->violation ? result->violation : "no violation");
	finish(session);
	oracle_destroy(oracle);
}
