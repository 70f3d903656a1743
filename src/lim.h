/*
 * NAME
 *	lim - limits and tunables, each with its unit
 */
#ifndef LIM_H
#define LIM_H

#include <stdint.h>

/*
 * Largest offset, time or incarnation in a record or snapshot. Well below
 * INT64_MAX, so that adding to one cannot overflow.
 */
#define LIM_NUMBER_MAX ((int64_t)1 << 53)

enum {
	/* Names of teams, pools, hosts, members and the like. */
	LIM_NAME_BYTES = 64,
	LIM_ADDRESS_BYTES = 48,
	LIM_REASON_BYTES = 192,
	LIM_ID_BYTES = 33, /* 32 hexadecimal digits and the final zero */

	/* Input from outside. */
	LIM_HEAD_BYTES = 16 * 1024,
	/* A longer header is read up to here, so that its sender gets the
	   answer; closing with unread data would reset the connection. */
	LIM_HEAD_READ_BYTES = 96 * 1024,
	LIM_BODY_BYTES = 4 * 1024 * 1024,
	LIM_ANSWER_BYTES = 16 * 1024 * 1024,
	LIM_RECORD_BYTES = 48 * 1024,
	LIM_RPC_BYTES = 256 * 1024,
	LIM_SETTINGS_BYTES = 256 * 1024,
	LIM_JSON_DEPTH = 16,
	LIM_HALF_REQUEST_S = 10,

	/* Fleet state. */
	LIM_TEAMS = 1024,
	LIM_POOLS_PER_TEAM = 64,
	LIM_HOSTS = 20000,
	LIM_IDS = 2048,
	LIM_AUDIT_ENTRIES = 512,
	LIM_SNAPSHOT_BYTES = 32 * 1024 * 1024,
	LIM_SNAPSHOT_CHUNK_BYTES = 32 * 1024,

	/* Records kept in memory to answer peers without a snapshot. */
	LIM_TAIL_RECORDS = 8192,
	LIM_TAIL_BATCH = 256,

	/* Membership. The lease ends before another may propose its expiry. */
	LIM_HEARTBEAT_MS = 5000,
	LIM_LEASE_MS = 15000,
	LIM_EXPIRE_MS = 20000,

	/* Following. */
	LIM_TICK_MS = 50,
	LIM_LOG_WAIT_MS = 1000,
	LIM_FOLLOW_MS = 200,
	LIM_HOST_LIST_MS = 1000,
	LIM_APPEND_TIMEOUT_MS = 2000,
	LIM_READ_TIMEOUT_MS = 4000,
	LIM_CHANGE_TIMEOUT_MS = 10000,
	LIM_RPC_TIMEOUT_MS = 1000,
	LIM_RANK_DELAY_MS = 2000,

	/* Waves and moves. */
	LIM_REBOOT_TIMEOUT_MS = 10 * 60 * 1000,
	LIM_MOVE_HOLD_MS = 5 * 60 * 1000,
	LIM_SUPPORT_ALARM_DAYS = 14,
	LIM_HOST_DOWN_MS = 5000,

	/*
	 * Claims of keys. The appends are those of all members together. 2^20
	 * keys take 46 MiB; a window of an hour then holds 291 claims a second.
	 */
	LIM_CLAIM_WINDOW_MS = 3600 * 1000,
	LIM_CLAIM_SKEW_MS = 5 * 60 * 1000,
	LIM_CLAIM_KEYS = 1 << 20,
	LIM_CLAIMS_WAITING = 4096,
	LIM_CLAIM_APPENDS_S = 200,
	LIM_CLAIM_RELEASE_MS = 2000,
	/* After the deadline, for the answer that tells why it was missed. */
	LIM_CLAIM_GRACE_MS = 500,

	/* Requests. */
	LIM_DEADLINE_MS = 30000,
	LIM_DEADLINE_MAX_MS = 3600 * 1000,
	LIM_CONNECT_TIMEOUT_MS = 1000,
	LIM_ATTEMPTS = 3,
	/* Distinct workers after whose failures a request is not tried again. */
	LIM_FAILED_WORKERS = 2,
	LIM_DECLARED_SIZE = 1000 * 1000 * 1000,

	/* Queues of requests. */
	LIM_QUEUE_REQUESTS = 3072, /* below the server's 4,096 connections */
	LIM_QUEUE_BYTES = 64 * 1024 * 1024,
	LIM_QUEUE_ENTRY_BYTES = 16 * 1024, /* of a request without its body */
	LIM_LONG_WAIT_MS = 5000, /* then a long request precedes normal ones */
	LIM_NO_WORKER_WAIT_MS = 2000, /* for workers that are all avoided */
	LIM_CALLER_CHECKS = 256,      /* callers looked at on each tick */
	LIM_SLOTS = 8,
	LIM_CONNECTIONS = 64,
	LIM_STOP_GRACE_MS = 30000
};

#endif
