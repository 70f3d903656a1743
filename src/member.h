/*
 * NAME
 *	member - a fleet daemon's proposals other than plans: heartbeats and
 *	drain confirmations of its entry daemons, expiry of silent members, and
 *	attributes, failures and returns of hosts on the platform's list
 *
 * Decides from the fleet state, the time and its input only; does no I/O.
 * Daemons that may propose the same record delay it by their rank, so that
 * usually only one does.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

struct member;

/* An entry daemon that has called this fleet daemon recently. */
struct member_entry {
	char name[LIMIT_NAME_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	int64_t incarnation;
	bool leaving;
	int64_t last_call_ms; /* last call */
	/* Drains that it confirms: it has no request in progress at the host. */
	uint32_t quiet_count;
	struct {
		char host[LIMIT_NAME_BYTES];
		int64_t drain;
	} * quiet;
};

/* A worker host on the platform's list. */
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
	/* key identifies the action. Takes ownership of rec's contents. */
	void (*propose)(void *arg, const char *key, struct record *rec);
	void *arg;
};

struct member_input {
	const struct fleet *fleet;
	int64_t now_ms;
	bool log_followed;     /* the platform log is answering */
	struct table *entries; /* of struct member_entry */
	const struct member_host *hosts;
	uint32_t host_count;
	int64_t list_count;   /* number of lists read so far */
	int64_t hosts_age_ms; /* age of the list; -1: none read */
};

struct member *member_create(const struct member_config *config);
void member_destroy(struct member *self);

/* member_tick - propose the records that are due */
void member_tick(struct member *self, const struct member_input *input);

/*
 * member_repeat_heartbeat - propose a member's next heartbeat at the next tick
 *
 * For a heartbeat that was refused as outdated because another fleet daemon's
 * was accepted first. A lease starts only with a heartbeat of this daemon.
 */
void member_repeat_heartbeat(struct member *self, const char *member);

/*
 * member_rank - rank of a member among the live members for a subject
 *
 * Members are ordered by a hash of their name and the subject, which spreads
 * the work.
 *
 * RETURN VALUE
 *	Rank from 0; the number of members if name is not a member.
 */
uint32_t member_rank(const struct fleet *fleet, const char *name,
		     const char *subject);

#endif
