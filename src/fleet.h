/*
 * NAME
 *	fleet - fleet state: tables of teams, hosts and members, built from the
 *	records of the fleet stream
 *
 * fleet_apply is a pure function of the state, the offset and the record:
 * every process that applies the same records has a byte-identical state. A
 * record is a proposal; it takes effect only if it is accepted at its offset.
 *
 * Other modules may read the tables; only fleet and fleet_text write them.
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
	FLEET_DRAINING, /* no new requests; some may still be in progress */
	FLEET_DRAINED,	/* all members confirmed that none is in progress */
	FLEET_REBOOTING,
	FLEET_FAILED,
	FLEET_RETIRED,
	FLEET_HOST_STATE_COUNT
};

/* A member's confirmation that it has no request in progress at a host. */
struct fleet_quiet {
	char member[LIMIT_NAME_BYTES];
	int64_t incarnation;
};

struct fleet_host {
	char name[LIMIT_NAME_BYTES];
	char team[LIMIT_NAME_BYTES];	  /* empty: in no pool */
	char pool[LIMIT_NAME_BYTES];	  /* where it serves now */
	char home_pool[LIMIT_NAME_BYTES]; /* pool in the team's settings */
	enum fleet_host_state state;
	int64_t drain_offset;	/* of the current drain, or FLEET_NONE */
	int64_t changed_offset; /* of the last change of state */
	char reason[LIMIT_REASON_BYTES];
	bool keep_in_pool; /* moved by an operator; not returned automatically */
	bool failed_by_operator; /* only an operator returns it to service */
	/* boot_id before a reboot that is not completed, or FLEET_NONE. */
	int64_t reboot_boot_id;
	/* Wave of the current drain, or of a reboot that is not completed. */
	char wave[LIMIT_NAME_BYTES];
	char move_to[LIMIT_NAME_BYTES];	  /* target pool of the drain */
	char wave_done[LIMIT_NAME_BYTES]; /* wave completed last */
	/* Wave in which it failed: it did not come back from its reboot, or
	   failed after its return while the wave was still in progress. */
	char wave_failed[LIMIT_NAME_BYTES];

	bool known; /* the platform has listed it, with the values below */
	char data_centre[LIMIT_NAME_BYTES];
	char rack[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES];
	int64_t port;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	int64_t slots;
	int64_t connections;
	int64_t boot_id; /* rises with each boot; 0: not given */

	uint32_t quiet_count;
	struct fleet_quiet *quiet; /* confirmations for drain_offset */
};

struct fleet_team {
	char name[LIMIT_NAME_BYTES];
	int64_t version; /* offset of the current settings */
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
	/* Counts changes other than heartbeats of live members and
	   confirmations; not part of the snapshot. */
	uint64_t changes;
	struct table *teams;
	struct table *hosts;
	struct table *members;
	uint32_t id_count; /* ids stored so far; the ring holds the last ones */
	char ids[LIMIT_RECORD_IDS][LIMIT_ID_BYTES];
	uint32_t audit_count;
	struct fleet_audit audit[LIMIT_AUDIT_ENTRIES];
};

/* fleet_create - empty state at offset 0; released by fleet_destroy */
struct fleet *fleet_create(void);
void fleet_destroy(struct fleet *fleet);

/*
 * fleet_apply - apply the record at an offset
 *
 * Offsets may have gaps but must increase. rec is NULL for a record that could
 * not be parsed: only the offset advances.
 *
 * The texts of refusals and of states become part of the state (audit trail,
 * reasons). They must be the same in all processes of a deployment, because
 * these compare hashes of the state.
 *
 * RETURN VALUE
 *	0 if the record was accepted, else the error code of the refusal, with
 *	its text in err.
 *
 * ERRORS
 *	ERR_DUPLICATE	the id was applied before, or the heartbeat is outdated
 *	ERR_CONFLICT	the team's settings changed since `base`, or a host
 *			belongs to another team
 *	ERR_INVALID	the settings are not valid
 *	ERR_NOT_FOUND	unknown host or member
 *	ERR_BUDGET	fewer hosts than the pool's min_available would serve
 *	ERR_STATE	not allowed in the host's or member's state
 *	ERR_GONE	the offset was applied before
 */
int fleet_apply(struct fleet *fleet, int64_t offset, const struct record *rec,
		struct err *err);

/* fleet_host, fleet_team, fleet_member - entity by name, or NULL */
struct fleet_host *fleet_host(const struct fleet *fleet, const char *name);
struct fleet_team *fleet_team(const struct fleet *fleet, const char *name);
struct fleet_member *fleet_member(const struct fleet *fleet, const char *name);

const char *fleet_host_state_name(enum fleet_host_state state);

/* fleet_host_available - whether a host is serving and its address is known */
bool fleet_host_available(const struct fleet_host *host);

/*
 * fleet_data_centre_reachable - whether a data centre is reachable: it has a member that is
 * not expired, or no members at all
 */
bool fleet_data_centre_reachable(const struct fleet *fleet,
				 const char *data_centre);

/*
 * fleet_host_counts_available - whether a host counts as available for its pool's budget
 *
 * True if the host is available and its data centre is reachable.
 */
bool fleet_host_counts_available(const struct fleet *fleet,
				 const struct fleet_host *host);

struct fleet_pool_use {
	uint32_t hosts;
	uint32_t available;
	uint32_t planned_out; /* draining, drained or rebooting */
	uint32_t failed;
	uint32_t min_available;
};

/* fleet_pool_use - count the hosts of a pool by state */
struct fleet_pool_use fleet_pool_use(const struct fleet *fleet,
				     const char *team, const char *pool);

/*
 * fleet_drain_needs_member - whether a drain waits for a member's confirmation
 *
 * A member that joined after the drain never sent requests to the host. An
 * expired member of another data centre may no longer send there; one of the
 * same data centre keeps serving while it is partitioned, so it is needed.
 */
bool fleet_drain_needs_member(const struct fleet_host *host,
			      const struct fleet_member *member);

/* fleet_drain_confirmed - whether the member confirmed the host's current drain */
bool fleet_drain_confirmed(const struct fleet_host *host,
			   const struct fleet_member *member);

#endif
