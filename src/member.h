/*
 * NAME
 *	member - what a fleet daemon proposes of itself: heartbeats and
 *	confirmations of its entry daemons, expiry of silent members, and what
 *	the platform tells of hosts
 *
 * Decides from the state, the time and what was observed; makes no calls.
 * Proposers of the same matter wait by rank, so that mostly one proposes.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

struct member;

/* An entry daemon that has asked this fleet daemon lately. */
struct member_entry {
	char name[LIMIT_NAME_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	int64_t incarnation;
	bool leaving;
	int64_t heard_ms;
	uint32_t quiet_count;
	struct {
		char host[LIMIT_NAME_BYTES];
		int64_t drain;
	} * quiet;
};

/* A worker host as the platform's list has it. */
struct member_host {
	char name[LIMIT_NAME_BYTES];
	char address[LIMIT_ADDRESS_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	char rack[LIMIT_NAME_BYTES];
	int64_t port;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	int64_t slots;
	int64_t connections;
	int64_t boot_id;
	bool live;
	bool down;
};

struct member_config {
	const char *name; /* of this fleet daemon's host */
	const char *address;
	int64_t rpc_port;
	int64_t heartbeat_ms;
	int64_t expire_ms;
	/* key names the matter; the record's contents are taken over. */
	void (*propose)(void *arg, const char *key, struct record *rec);
	void *arg;
};

struct member_input {
	const struct fleet *fleet;
	int64_t now_ms;
	bool log_followed;     /* the platform log answers at present */
	struct table *entries; /* of struct member_entry */
	const struct member_host *hosts;
	uint32_t host_count;
	int64_t lists;	      /* lists read so far */
	int64_t hosts_age_ms; /* since the platform told them; -1: never */
};

struct member *member_create(const struct member_config *config);
void member_destroy(struct member *mbr);

/* member_tick - propose what is due */
void member_tick(struct member *mbr, const struct member_input *input);

/*
 * member_repeat_heartbeat - propose a member's next heartbeat at the next tick
 *
 * For one that was refused as old, as another fleet daemon's was accepted
 * before it: a lease counts only from a heartbeat of one's own.
 */
void member_repeat_heartbeat(struct member *mbr, const char *member);

/*
 * member_rank - place of a member among the live ones for a subject
 *
 * 0 for the first. Members are ordered by a hash of their name and the
 * subject, so that the work spreads. A name that is no member comes last.
 */
uint32_t member_rank(const struct fleet *fleet, const char *name,
		     const char *subject);

#endif
