/*
 * NAME
 *	fleet - fleet state: tables of teams, hosts and members, built from the
 *	records of the fleet stream
 *
 * fleet_apply is a pure function of the state, the offset and the record:
 * every process that applies the same records holds the same bytes. A record
 * is a proposal; it takes effect only if it is accepted at its offset.
 *
 * The tables are open for reading. Only fleet and fleet_text write them.
 */
#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "limit.h"
#include "record.h"
#include "table.h"
#include "teamconf.h"

#define FLEET_NONE ((int64_t)-1) /* no offset, no version */

enum fleet_host_state {
	FLEET_SERVING,
	FLEET_DRAINING, /* gets nothing new; requests may be in progress */
	FLEET_DRAINED,	/* every member confirmed that none is in progress */
	FLEET_REBOOTING,
	FLEET_FAILED,
	FLEET_RETIRED,
	FLEET_HOST_STATE_COUNT
};

struct fleet_quiet {
	char member[LIMIT_NAME_BYTES];
	int64_t incarnation;
};

struct fleet_host {
	char name[LIMIT_NAME_BYTES];
	char team[LIMIT_NAME_BYTES];	  /* empty: in no pool */
	char pool[LIMIT_NAME_BYTES];	  /* where it serves at present */
	char home_pool[LIMIT_NAME_BYTES]; /* that the settings list it under */
	enum fleet_host_state state;
	int64_t drain_offset;	/* of the drain in force, or FLEET_NONE */
	int64_t changed_offset; /* of the last change of state */
	char reason[LIMIT_REASON_BYTES];
	bool stays; /* an operator moved it; it does not go home by itself */
	bool failed_by_operator; /* an operator says when it returns */
	int64_t reboot_boot_id;	 /* boot_id at the reboot from which it has not
				   returned, or FLEET_NONE */
	char wave[LIMIT_NAME_BYTES]; /* of the drain in force, or of the reboot
				      from which it has not returned */
	char move_to[LIMIT_NAME_BYTES];	  /* pool that this drain is for */
	char wave_done[LIMIT_NAME_BYTES]; /* completed last */
	/* The wave in which it failed: it did not come back, or it failed
	   after its return while the wave went on. */
	char wave_failed[LIMIT_NAME_BYTES];

	bool known; /* the platform told the facts below */
	char data_centre[LIMIT_NAME_BYTES];
	char rack[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES];
	int64_t port;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	int64_t slots;
	int64_t connections;
	int64_t boot_id; /* 0: not given */

	uint32_t quiet_count;
	struct fleet_quiet *quiet; /* confirmations for drain_offset */
};

struct fleet_team {
	char name[LIMIT_NAME_BYTES];
	int64_t version; /* offset of the settings in force */
	struct teamconf *settings;
};

struct fleet_member {
	char name[LIMIT_NAME_BYTES];
	int64_t incarnation;
	int64_t seq;
	int64_t join_offset;
	int64_t seen_offset; /* of its last heartbeat */
	bool expired;
	char data_centre[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES]; /* of its fleet daemon's RPC */
	int64_t port;
};

struct fleet_audit {
	int64_t offset;
	int64_t at_ms;
	char author[LIMIT_NAME_BYTES];
	char action[LIMIT_NAME_BYTES];
	char target[LIMIT_NAME_BYTES];
	char before[LIMIT_NAME_BYTES];
	char after[LIMIT_NAME_BYTES];
	int result; /* ERR_OK, or why it was refused */
	char detail[LIMIT_REASON_BYTES];
};

struct fleet {
	int64_t next; /* offset of the next record to apply */
	/* Rises with each change of a host or a team's settings; not part of
	   the snapshot. */
	uint64_t changes;
	struct table *teams;
	struct table *hosts;
	struct table *members;
	uint32_t id_count; /* ids ever kept; the ring holds the last ones */
	char ids[LIMIT_IDS][LIMIT_ID_BYTES];
	uint32_t audit_count;
	struct fleet_audit audit[LIMIT_AUDIT_ENTRIES];
};

/* fleet_create - empty state at offset 0; released by fleet_destroy */
struct fleet *fleet_create(void);
void fleet_destroy(struct fleet *fleet);

/*
 * fleet_apply - apply the record at an offset
 *
 * Offsets may have gaps but never go back. record may be NULL for a record that
 * could not be parsed: only the offset advances.
 *
 * RETURN VALUE
 *	0 if the record was accepted, else why it was refused, with the text
 *	in err.
 *
 * ERRORS
 *	ERR_DUPLICATE	the id was applied before, or a heartbeat is old
 *	ERR_CONFLICT	the team's settings changed since `base`, or a host
 *			belongs to another team
 *	ERR_INVALID	the settings are not valid
 *	ERR_NOT_FOUND	unknown host or member
 *	ERR_BUDGET	fewer hosts than the pool's min_available would serve
 *	ERR_STATE	not possible in the host's or member's state
 *	ERR_GONE	the offset was applied before
 */
int fleet_apply(struct fleet *fleet, int64_t offset, const struct record *rec,
		struct err *err);

/* fleet_host, fleet_team, fleet_member - entity by name, or NULL */
struct fleet_host *fleet_host(const struct fleet *fleet, const char *name);
struct fleet_team *fleet_team(const struct fleet *fleet, const char *name);
struct fleet_member *fleet_member(const struct fleet *fleet, const char *name);

const char *fleet_host_state_name(enum fleet_host_state state);

/* fleet_host_available - whether a host serves and its address is known */
bool fleet_host_available(const struct fleet_host *host);

/*
 * fleet_visible - whether a data centre can be seen: one of its members is not
 * expired, or it has none
 */
bool fleet_visible(const struct fleet *fleet, const char *data_centre);

/*
 * fleet_host_counts - whether a host counts as available for its pool's budget
 *
 * It is available and its data centre can be seen: at least one member there
 * is live, or the data centre has no members.
 */
bool fleet_host_counts(const struct fleet *fleet,
		       const struct fleet_host *host);

struct fleet_pool_use {
	uint32_t hosts;
	uint32_t available;
	uint32_t planned_out; /* draining, drained or rebooting */
	uint32_t failed;
	uint32_t min_available;
};

/* fleet_pool_use - count the hosts of a pool by what they do */
struct fleet_pool_use fleet_pool_use(const struct fleet *fleet,
				     const char *team, const char *pool);

/*
 * fleet_member_needed - whether a drain waits for a member's confirmation
 *
 * Members that joined after the drain never sent to the host. An expired
 * member of another data centre has lost its right to send there; one of the
 * same data centre goes on serving while it is cut off, so it is needed.
 */
bool fleet_member_needed(const struct fleet_host *host,
			 const struct fleet_member *member);

/* fleet_is_quiet - whether the member confirmed the host's present drain */
bool fleet_is_quiet(const struct fleet_host *host,
		    const struct fleet_member *member);

#endif
