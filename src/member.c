#include "member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rnd.h"

enum {
	KEY_BYTES = 3 * LIMIT_NAME_BYTES,
	/* An entry daemon that has not asked for so long gets no heartbeat. */
	ENTRY_SILENT_MS = 2000,
	/* The list is read once a second; an older one shows no failures. */
	LIST_OLD_MS = 5000,
	CHECK_HOSTS_MS = 500
};

/* Since when something holds, by the name of a member or host. */
struct notice {
	char name[LIMIT_NAME_BYTES];
	int64_t since_ms;
	int64_t value;
	int64_t proposed_ms;
};

/* What the list last said of a host. */
struct listed {
	char name[LIMIT_NAME_BYTES];
	int64_t check; /* that saw it */
	bool live;
	bool down;
};

struct member {
	struct member_config config;
	struct table *silent;	  /* members, value: offset of the heartbeat */
	struct table *facts;	  /* hosts whose facts differ */
	struct table *heartbeats; /* entry daemons */
	struct table *listed;
	struct table *down; /* hosts to fail */
	struct table *up;   /* failed hosts to return */
	int64_t check;
	int64_t checked_ms;
	int64_t facts_lists;
	uint64_t facts_changes;
};

struct member *member_create(const struct member_config *config)
{
	struct member *mbr = calloc(1, sizeof(*mbr));

	if (!mbr)
		return NULL;
	mbr->config = *config;
	mbr->silent = table_create(sizeof(struct notice));
	mbr->facts = table_create(sizeof(struct notice));
	mbr->heartbeats = table_create(sizeof(struct notice));
	mbr->listed = table_create(sizeof(struct listed));
	mbr->down = table_create(sizeof(struct notice));
	mbr->up = table_create(sizeof(struct notice));
	return mbr;
}

void member_destroy(struct member *mbr)
{
	if (!mbr)
		return;
	table_destroy(mbr->silent);
	table_destroy(mbr->facts);
	table_destroy(mbr->heartbeats);
	table_destroy(mbr->listed);
	table_destroy(mbr->down);
	table_destroy(mbr->up);
	free(mbr);
}

static uint64_t weight(const char *name, const char *subject)
{
	uint64_t hash = rnd_hash(RND_HASH_START, name, strlen(name) + 1);

	return rnd_hash(hash, subject, strlen(subject));
}

uint32_t member_rank(const struct fleet *fleet, const char *name,
		     const char *subject)
{
	uint64_t own = weight(name, subject);
	uint32_t rank = 0;

	if (!fleet_member(fleet, name))
		return table_count(fleet->members);
	for (uint32_t i = 0; i < table_count(fleet->members); i++) {
		const struct fleet_member *member = table_at(fleet->members, i);

		rank += !member->expired && strcmp(member->name, name) &&
			weight(member->name, subject) < own;
	}
	return rank;
}

static void propose(struct member *mbr, const char *what, const char *subject,
		    struct record *rec)
{
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "%s/%s/%s", what, subject, rec->member);
	mbr->config.propose(mbr->config.arg, key, rec);
}

static struct notice *notice_of(struct table *table, const char *name,
				int64_t now_ms)
{
	struct notice *notice = table_find(table, name);

	if (notice)
		return notice;
	notice = table_add(table, name);
	notice->since_ms = now_ms;
	notice->value = FLEET_NONE;
	return notice;
}

/* Whether this daemon's turn has come for what holds since the notice. */
static bool is_turn(const struct member *mbr, const struct member_input *input,
		    const struct notice *notice, int64_t delay_ms)
{
	int64_t rank =
		member_rank(input->fleet, mbr->config.name, notice->name);

	return input->now_ms - notice->since_ms >=
	       delay_ms + rank * LIMIT_RANK_DELAY_MS;
}

static void send_heartbeat(struct member *mbr, const struct member_input *input,
			   const struct member_entry *entry)
{
	const struct fleet_member *member =
		fleet_member(input->fleet, entry->name);
	struct notice *last =
		notice_of(mbr->heartbeats, entry->name, input->now_ms);
	bool joined = member && member->incarnation == entry->incarnation;
	struct record rec = { .type = RECORD_MEMBER };

	/* It was replaced; each of its heartbeats would be refused. */
	if (member && member->incarnation > entry->incarnation)
		return;
	if (joined && !member->expired && last->value == entry->incarnation &&
	    input->now_ms - last->proposed_ms < mbr->config.heartbeat_ms)
		return;
	last->proposed_ms = input->now_ms;
	last->value = entry->incarnation;
	memcpy(rec.member, entry->name, sizeof(rec.member));
	memcpy(rec.data_centre, entry->data_centre, sizeof(rec.data_centre));
	snprintf(rec.address, sizeof(rec.address), "%s", mbr->config.address);
	rec.port = mbr->config.rpc_port;
	rec.incarnation = entry->incarnation;
	rec.seq = joined ? member->seq + 1 : 1;
	propose(mbr, "member", "", &rec);
}

void member_repeat_heartbeat(struct member *mbr, const char *member)
{
	struct notice *last = table_find(mbr->heartbeats, member);

	if (last)
		last->value = FLEET_NONE;
}

static void confirm_quiet(struct member *mbr, const struct member_input *input,
			  const struct member_entry *entry)
{
	const struct fleet_member *member =
		fleet_member(input->fleet, entry->name);

	if (!member || member->incarnation != entry->incarnation)
		return;
	for (uint32_t i = 0; i < entry->quiet_count; i++) {
		const struct fleet_host *host =
			fleet_host(input->fleet, entry->quiet[i].host);
		struct record rec = { .type = RECORD_QUIET };

		if (!host || host->state != FLEET_DRAINING ||
		    host->drain_offset != entry->quiet[i].drain ||
		    !fleet_member_needed(host, member) ||
		    fleet_is_quiet(host, member))
			continue;
		memcpy(rec.host, host->name, sizeof(rec.host));
		memcpy(rec.member, entry->name, sizeof(rec.member));
		rec.incarnation = entry->incarnation;
		rec.drain = host->drain_offset;
		propose(mbr, "quiet", host->name, &rec);
	}
}

static void serve_entry(struct member *mbr, const struct member_input *input,
			const struct member_entry *entry)
{
	const struct fleet_member *member =
		fleet_member(input->fleet, entry->name);
	struct record rec = { .type = RECORD_MEMBER_LEFT };

	if (input->now_ms - entry->heard_ms > ENTRY_SILENT_MS)
		return;
	confirm_quiet(mbr, input, entry);
	if (!entry->leaving) {
		send_heartbeat(mbr, input, entry);
		return;
	}
	if (!member || member->incarnation != entry->incarnation)
		return;
	memcpy(rec.member, entry->name, sizeof(rec.member));
	rec.incarnation = entry->incarnation;
	propose(mbr, "left", "", &rec);
}

static void expire_member(struct member *mbr, const struct member_input *input,
			  const struct fleet_member *member)
{
	struct notice *notice =
		notice_of(mbr->silent, member->name, input->now_ms);
	struct record rec = { .type = RECORD_MEMBER_EXPIRED };

	/* Silence is known only while the log is followed: after an outage or
	   a pause of this process, the others' heartbeats come first. */
	if (!input->log_followed || notice->value != member->seen_offset) {
		notice->value = member->seen_offset;
		notice->since_ms = input->now_ms;
	}
	if (member->expired ||
	    !is_turn(mbr, input, notice, mbr->config.expire_ms))
		return;
	memcpy(rec.member, member->name, sizeof(rec.member));
	rec.incarnation = member->incarnation;
	rec.seen = member->seen_offset;
	propose(mbr, "expired", "", &rec);
}

static bool facts_match(const struct fleet_host *host,
			const struct member_host *listed)
{
	return host && host->known && host->port == listed->port &&
	       !strcmp(host->address, listed->address) &&
	       !strcmp(host->data_centre, listed->data_centre) &&
	       !strcmp(host->rack, listed->rack) &&
	       host->cpu_milli == listed->cpu_milli &&
	       host->mem_mib == listed->mem_mib &&
	       host->accelerators == listed->accelerators &&
	       host->slots == listed->slots &&
	       host->boot_id == listed->boot_id &&
	       host->connections == listed->connections;
}

static void report_facts(struct member *mbr, const struct member_input *input,
			 const struct member_host *listed)
{
	const struct fleet_host *host = fleet_host(input->fleet, listed->name);
	struct record rec = { .type = RECORD_HOST };
	struct notice *notice;

	/* A boot_id counts once the host is live again: a planner takes it for
	   the host's return. */
	if (facts_match(host, listed) ||
	    (host && host->known && !listed->live)) {
		table_remove(mbr->facts, listed->name);
		return;
	}
	notice = notice_of(mbr->facts, listed->name, input->now_ms);
	if (!is_turn(mbr, input, notice, 0))
		return;
	memcpy(rec.host, listed->name, sizeof(rec.host));
	memcpy(rec.address, listed->address, sizeof(rec.address));
	memcpy(rec.data_centre, listed->data_centre, sizeof(rec.data_centre));
	memcpy(rec.rack, listed->rack, sizeof(rec.rack));
	rec.port = listed->port;
	rec.cpu_milli = listed->cpu_milli;
	rec.mem_mib = listed->mem_mib;
	rec.accelerators = listed->accelerators;
	rec.slots = listed->slots;
	rec.connections = listed->connections;
	rec.boot_id = listed->boot_id;
	propose(mbr, "host", listed->name, &rec);
}

/* Compares all hosts only after a change of the list or of the state. */
static void report_all_facts(struct member *mbr,
			     const struct member_input *input)
{
	if (mbr->facts_lists == input->lists &&
	    mbr->facts_changes == input->fleet->changes &&
	    !table_count(mbr->facts))
		return;
	mbr->facts_lists = input->lists;
	mbr->facts_changes = input->fleet->changes;
	for (uint32_t i = 0; i < input->host_count; i++)
		report_facts(mbr, input, &input->hosts[i]);
}

/* Takes over the list; counts the known hosts that it does not have. */
static uint32_t take_list(struct member *mbr, const struct member_input *input)
{
	uint32_t missing = 0;

	mbr->check++;
	for (uint32_t i = 0; i < input->host_count; i++) {
		const struct member_host *host = &input->hosts[i];
		struct listed *listed = table_find(mbr->listed, host->name);

		if (!listed)
			listed = table_add(mbr->listed, host->name);
		if (!listed)
			continue;
		listed->check = mbr->check;
		listed->live = host->live;
		listed->down = host->down;
	}
	for (uint32_t i = 0; i < table_count(input->fleet->hosts); i++) {
		const struct fleet_host *host =
			table_at(input->fleet->hosts, i);
		const struct listed *listed =
			table_find(mbr->listed, host->name);

		missing += host->known && host->state != FLEET_RETIRED &&
			   (!listed || listed->check != mbr->check);
	}
	return missing;
}

static void propose_host(struct member *mbr, const struct member_input *input,
			 struct table *notices, const char *name, bool holds,
			 enum record_type type, const char *reason)
{
	struct record rec = { .type = type };
	struct notice *notice;

	if (!holds) {
		table_remove(notices, name);
		return;
	}
	notice = notice_of(notices, name, input->now_ms);
	if (!is_turn(mbr, input, notice, LIMIT_HOST_DOWN_MS))
		return;
	snprintf(rec.host, sizeof(rec.host), "%s", name);
	snprintf(rec.reason, sizeof(rec.reason), "%s", reason);
	propose(mbr, record_type_name(type), name, &rec);
}

static void watch_host(struct member *mbr, const struct member_input *input,
		       const struct fleet_host *host, bool missing_counts)
{
	const struct listed *listed = table_find(mbr->listed, host->name);
	bool present = listed && listed->check == mbr->check;
	bool can_fail = host->known && (host->state == FLEET_SERVING ||
					host->state == FLEET_DRAINING ||
					host->state == FLEET_DRAINED);
	/* One that did not come back from its reboot has to boot first. */
	bool can_return = host->state == FLEET_FAILED &&
			  !host->failed_by_operator &&
			  (host->reboot_boot_id == FLEET_NONE ||
			   host->boot_id > host->reboot_boot_id);

	propose_host(mbr, input, mbr->down, host->name,
		     can_fail && (present ? listed->down : missing_counts),
		     RECORD_FAIL,
		     present ? "down in the platform's list"
			     : "not in the platform's list");
	propose_host(mbr, input, mbr->up, host->name,
		     can_return && present && listed->live, RECORD_RETURN,
		     "live in the platform's list");
}

/* Failures and returns that the platform's list shows. */
static void watch_hosts(struct member *mbr, const struct member_input *input)
{
	uint32_t missing;

	if (input->now_ms - mbr->checked_ms < CHECK_HOSTS_MS ||
	    !input->host_count || input->hosts_age_ms < 0 ||
	    input->hosts_age_ms > LIST_OLD_MS)
		return;
	mbr->checked_ms = input->now_ms;
	missing = take_list(mbr, input);
	/* A list without most of the hosts is taken for a fault of the list. */
	for (uint32_t i = 0; i < table_count(input->fleet->hosts); i++)
		watch_host(mbr, input, table_at(input->fleet->hosts, i),
			   missing <= input->host_count);
}

/* Forgets notices of members that have left. */
static void drop_notices(struct table *table, const struct fleet *fleet)
{
	for (uint32_t i = table_count(table); i-- > 0;) {
		const struct notice *notice = table_at(table, i);

		if (!fleet_member(fleet, notice->name))
			table_remove(table, notice->name);
	}
}

void member_tick(struct member *mbr, const struct member_input *input)
{
	for (uint32_t i = 0; i < table_count(input->entries); i++)
		serve_entry(mbr, input, table_at(input->entries, i));
	for (uint32_t i = 0; i < table_count(input->fleet->members); i++)
		expire_member(mbr, input, table_at(input->fleet->members, i));
	report_all_facts(mbr, input);
	watch_hosts(mbr, input);
	drop_notices(mbr->silent, input->fleet);
}
