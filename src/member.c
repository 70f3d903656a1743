#include "member.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rnd.h"

enum {
	KEY_BYTES = 3 * LIMIT_NAME_BYTES,
	/* An entry daemon silent for longer gets no heartbeat. */
	ENTRY_SILENT_MS = 2000,
	/* The list is read once a second. An older one is not used to detect
	   failures. */
	LIST_MAX_AGE_MS = 5000,
	CHECK_HOSTS_MS = 500
};

/* Condition of a member or host, and since when it holds. */
struct condition {
	char name[LIMIT_NAME_BYTES];
	int64_t since_ms;
	int64_t value; /* offset or incarnation that it applies to */
	int64_t proposed_ms;
};

/* Host as last listed by the platform. */
struct listed {
	char name[LIMIT_NAME_BYTES];
	int64_t check; /* last check that found it in the list */
	bool live;
	bool down;
};

struct member {
	struct member_config config;
	struct table *silent;	  /* members; value: offset of the heartbeat */
	struct table *differing;  /* hosts whose attributes differ */
	struct table *heartbeats; /* entry daemons; value: incarnation */
	struct table *listed;	  /* struct listed */
	struct table *down;	  /* hosts to fail */
	struct table *up;	  /* failed hosts to return */
	int64_t check;		  /* number of the last check of hosts */
	int64_t checked_ms;
	int64_t compared_lists;	   /* input of the last attribute comparison */
	uint64_t compared_changes; /* the same, see fleet.changes */
};

struct member *member_create(const struct member_config *config)
{
	struct member *self = calloc(1, sizeof(*self));

	if (!self)
		return NULL;
	self->config = *config;
	self->silent = table_create(sizeof(struct condition));
	self->differing = table_create(sizeof(struct condition));
	self->heartbeats = table_create(sizeof(struct condition));
	self->listed = table_create(sizeof(struct listed));
	self->down = table_create(sizeof(struct condition));
	self->up = table_create(sizeof(struct condition));
	return self;
}

void member_destroy(struct member *self)
{
	if (!self)
		return;
	table_destroy(self->silent);
	table_destroy(self->differing);
	table_destroy(self->heartbeats);
	table_destroy(self->listed);
	table_destroy(self->down);
	table_destroy(self->up);
	free(self);
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

static void propose(struct member *self, const char *kind, const char *subject,
		    struct record *rec)
{
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "%s/%s/%s", kind, subject, rec->member);
	self->config.propose(self->config.arg, key, rec);
}

static struct condition *find_or_add_condition(struct table *table,
					       const char *name, int64_t now_ms)
{
	struct condition *condition = table_find(table, name);

	if (condition)
		return condition;
	condition = table_add(table, name);
	condition->since_ms = now_ms;
	condition->value = FLEET_NONE;
	return condition;
}

/* Whether a condition has held for delay_ms plus the delay of the rank. */
static bool is_due(const struct member *self, const struct member_input *input,
		   const struct condition *condition, int64_t delay_ms)
{
	int64_t rank =
		member_rank(input->fleet, self->config.name, condition->name);

	return input->now_ms - condition->since_ms >=
	       delay_ms + rank * LIMIT_RANK_DELAY_MS;
}

static void send_heartbeat(struct member *self,
			   const struct member_input *input,
			   const struct member_entry *entry)
{
	const struct fleet_member *member =
		fleet_member(input->fleet, entry->name);
	struct condition *last = find_or_add_condition(
		self->heartbeats, entry->name, input->now_ms);
	bool joined = member && member->incarnation == entry->incarnation;
	struct record rec = { .type = RECORD_MEMBER };

	/* A newer incarnation exists; its heartbeats would be refused. */
	if (member && member->incarnation > entry->incarnation)
		return;
	if (joined && !member->expired && last->value == entry->incarnation &&
	    input->now_ms - last->proposed_ms < self->config.heartbeat_ms)
		return;
	last->proposed_ms = input->now_ms;
	last->value = entry->incarnation;
	memcpy(rec.member, entry->name, sizeof(rec.member));
	memcpy(rec.data_centre, entry->data_centre, sizeof(rec.data_centre));
	snprintf(rec.address, sizeof(rec.address), "%s", self->config.address);
	rec.port = self->config.rpc_port;
	rec.incarnation = entry->incarnation;
	rec.seq = joined ? member->seq + 1 : 1;
	propose(self, "member", "", &rec);
}

void member_repeat_heartbeat(struct member *self, const char *member)
{
	struct condition *last = table_find(self->heartbeats, member);

	if (last)
		last->value = FLEET_NONE;
}

static void confirm_drains(struct member *self,
			   const struct member_input *input,
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
		    !fleet_drain_needs_member(host, member) ||
		    fleet_drain_confirmed(host, member))
			continue;
		memcpy(rec.host, host->name, sizeof(rec.host));
		memcpy(rec.member, entry->name, sizeof(rec.member));
		rec.incarnation = entry->incarnation;
		rec.drain = host->drain_offset;
		propose(self, "quiet", host->name, &rec);
	}
}

static void process_entry(struct member *self, const struct member_input *input,
			  const struct member_entry *entry)
{
	const struct fleet_member *member =
		fleet_member(input->fleet, entry->name);
	struct record rec = { .type = RECORD_MEMBER_LEFT };

	if (input->now_ms - entry->last_call_ms > ENTRY_SILENT_MS)
		return;
	confirm_drains(self, input, entry);
	if (!entry->leaving) {
		send_heartbeat(self, input, entry);
		return;
	}
	if (!member || member->incarnation != entry->incarnation)
		return;
	memcpy(rec.member, entry->name, sizeof(rec.member));
	rec.incarnation = entry->incarnation;
	propose(self, "left", "", &rec);
}

static void expire_member(struct member *self, const struct member_input *input,
			  const struct fleet_member *member)
{
	struct condition *condition = find_or_add_condition(
		self->silent, member->name, input->now_ms);
	struct record rec = { .type = RECORD_MEMBER_EXPIRED };

	/* Silence can be measured only while the log is followed. After an
	   outage of the log or a pause of this process, the heartbeats of
	   other members have to be read first. */
	if (!input->log_followed || condition->value != member->seen_offset) {
		condition->value = member->seen_offset;
		condition->since_ms = input->now_ms;
	}
	if (member->expired ||
	    !is_due(self, input, condition, self->config.expire_ms))
		return;
	memcpy(rec.member, member->name, sizeof(rec.member));
	rec.incarnation = member->incarnation;
	rec.seen = member->seen_offset;
	propose(self, "expired", "", &rec);
}

static bool attributes_match(const struct fleet_host *host,
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

static void report_host(struct member *self, const struct member_input *input,
			const struct member_host *listed)
{
	const struct fleet_host *host = fleet_host(input->fleet, listed->name);
	struct record rec = { .type = RECORD_HOST };
	struct condition *condition;

	/* Report a known host only while it is live: a planner takes a higher
	   boot_id for the host's return from its reboot. */
	if (attributes_match(host, listed) ||
	    (host && host->known && !listed->live)) {
		table_remove(self->differing, listed->name);
		return;
	}
	condition = find_or_add_condition(self->differing, listed->name,
					  input->now_ms);
	if (!is_due(self, input, condition, 0))
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
	propose(self, "host", listed->name, &rec);
}

/* Compares the hosts with the state after a change of either. */
static void report_hosts(struct member *self, const struct member_input *input)
{
	if (self->compared_lists == input->list_count &&
	    self->compared_changes == input->fleet->changes &&
	    !table_count(self->differing))
		return;
	self->compared_lists = input->list_count;
	self->compared_changes = input->fleet->changes;
	for (uint32_t i = 0; i < input->host_count; i++)
		report_host(self, input, &input->hosts[i]);
}

/* Stores the list; returns the number of known hosts that it lacks. */
static uint32_t store_list(struct member *self,
			   const struct member_input *input)
{
	uint32_t missing = 0;

	self->check++;
	for (uint32_t i = 0; i < input->host_count; i++) {
		const struct member_host *host = &input->hosts[i];
		struct listed *listed = table_find(self->listed, host->name);

		if (!listed)
			listed = table_add(self->listed, host->name);
		if (!listed)
			continue;
		listed->check = self->check;
		listed->live = host->live;
		listed->down = host->down;
	}
	for (uint32_t i = 0; i < table_count(input->fleet->hosts); i++) {
		const struct fleet_host *host =
			table_at(input->fleet->hosts, i);
		const struct listed *listed =
			table_find(self->listed, host->name);

		missing += host->known && host->state != FLEET_RETIRED &&
			   (!listed || listed->check != self->check);
	}
	return missing;
}

static void propose_host(struct member *self, const struct member_input *input,
			 struct table *conditions, const char *name, bool holds,
			 enum record_type type, const char *reason)
{
	struct record rec = { .type = type };
	struct condition *condition;

	if (!holds) {
		table_remove(conditions, name);
		return;
	}
	condition = find_or_add_condition(conditions, name, input->now_ms);
	if (!is_due(self, input, condition, LIMIT_HOST_DOWN_MS))
		return;
	snprintf(rec.host, sizeof(rec.host), "%s", name);
	snprintf(rec.reason, sizeof(rec.reason), "%s", reason);
	propose(self, record_type_name(type), name, &rec);
}

static void check_host(struct member *self, const struct member_input *input,
		       const struct fleet_host *host, bool missing_means_down)
{
	const struct listed *listed = table_find(self->listed, host->name);
	bool present = listed && listed->check == self->check;
	bool can_fail = host->known && (host->state == FLEET_SERVING ||
					host->state == FLEET_DRAINING ||
					host->state == FLEET_DRAINED);
	/* A host that failed in its reboot has to boot first. */
	bool can_return = host->state == FLEET_FAILED &&
			  !host->failed_by_operator &&
			  (host->reboot_boot_id == FLEET_NONE ||
			   host->boot_id > host->reboot_boot_id);

	propose_host(self, input, self->down, host->name,
		     can_fail && (present ? listed->down : missing_means_down),
		     RECORD_FAIL,
		     present ? "down in the platform's list"
			     : "not in the platform's list");
	propose_host(self, input, self->up, host->name,
		     can_return && present && listed->live, RECORD_RETURN,
		     "live in the platform's list");
}

/* Proposes the failures and returns that the platform's list shows. */
static void check_hosts(struct member *self, const struct member_input *input)
{
	uint32_t missing;

	if (input->now_ms - self->checked_ms < CHECK_HOSTS_MS ||
	    !input->host_count || input->hosts_age_ms < 0 ||
	    input->hosts_age_ms > LIST_MAX_AGE_MS)
		return;
	self->checked_ms = input->now_ms;
	missing = store_list(self, input);
	/* A list that lacks more hosts than it has is considered faulty. */
	for (uint32_t i = 0; i < table_count(input->fleet->hosts); i++)
		check_host(self, input, table_at(input->fleet->hosts, i),
			   missing <= input->host_count);
}

/* Drops the conditions of members that have left. */
static void drop_conditions(struct table *table, const struct fleet *fleet)
{
	for (uint32_t i = table_count(table); i-- > 0;) {
		const struct condition *condition = table_at(table, i);

		if (!fleet_member(fleet, condition->name))
			table_remove(table, condition->name);
	}
}

void member_tick(struct member *self, const struct member_input *input)
{
	for (uint32_t i = 0; i < table_count(input->entries); i++)
		process_entry(self, input, table_at(input->entries, i));
	for (uint32_t i = 0; i < table_count(input->fleet->members); i++)
		expire_member(self, input, table_at(input->fleet->members, i));
	report_hosts(self, input);
	check_hosts(self, input);
	drop_conditions(self->silent, input->fleet);
}
