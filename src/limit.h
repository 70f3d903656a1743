/*
 * NAME
 *	limit - limits and tunables, each with its unit
 */
#ifndef LIMIT_H
#define LIMIT_H

#include <stdint.h>

/*
 * Largest offset, time or incarnation in a record or snapshot. Well below
 * INT64_MAX, so that additions cannot overflow.
 */
#define LIMIT_NUMBER_MAX ((int64_t)1 << 53)

enum {
	/* Names of teams, pools, hosts, members and similar. */
	LIMIT_NAME_BYTES = 64,
	LIMIT_ADDRESS_BYTES = 48,
	LIMIT_REASON_BYTES = 192,
	LIMIT_ID_BYTES = 33, /* 32 hexadecimal digits and the final zero */

	/* External input. */
	LIMIT_HEAD_BYTES = 16 * 1024,
	/* A header that exceeds LIMIT_HEAD_BYTES is read up to here, so that
	   its sender receives the answer: closing with unread data would reset
	   the connection. */
	LIMIT_HEAD_READ_BYTES = 96 * 1024,
	LIMIT_BODY_BYTES = 4 * 1024 * 1024,
	/* Of a job while no configuration is known. */
	LIMIT_JOB_BODY_BYTES = 256 * 1024,
	LIMIT_ANSWER_BYTES = 16 * 1024 * 1024,
	LIMIT_RECORD_BYTES = 48 * 1024,
	LIMIT_RPC_BYTES = 256 * 1024,
	LIMIT_SETTINGS_BYTES = 256 * 1024,
	LIMIT_JSON_DEPTH = 16,
	LIMIT_PARTIAL_REQUEST_S = 10,

	/* Fleet state. */
	LIMIT_TEAMS = 1024,
	LIMIT_POOLS_PER_TEAM = 64,
	LIMIT_HOSTS = 20000,
	LIMIT_RECORD_IDS = 2048,
	LIMIT_AUDIT_ENTRIES = 512,
	LIMIT_SNAPSHOT_BYTES = 32 * 1024 * 1024,

	/* Latest records, kept in memory to answer peers without a snapshot. */
	LIMIT_TAIL_RECORDS = 8192,
	LIMIT_TAIL_BATCH = 256,

	/* Membership. The lease expires before another member may propose the
	   expiry of its holder. */
	LIMIT_HEARTBEAT_MS = 5000,
	LIMIT_LEASE_MS = 15000,
	LIMIT_EXPIRE_MS = 20000,

	/* Following the log and the fleet daemons. */
	LIMIT_TICK_MS = 50,
	LIMIT_LOG_WAIT_MS = 1000,
	LIMIT_FOLLOW_INTERVAL_MS = 200,
	LIMIT_HOST_LIST_INTERVAL_MS = 1000,
	LIMIT_APPEND_TIMEOUT_MS = 2000,
	LIMIT_READ_TIMEOUT_MS = 4000,
	LIMIT_CHANGE_TIMEOUT_MS = 10000,
	LIMIT_RPC_TIMEOUT_MS = 1000,
	/* Per rank: a daemon of rank n waits n times this long before it acts,
	   so that usually only one acts. */
	LIMIT_RANK_DELAY_MS = 2000,

	/* Waves and moves. */
	LIMIT_REBOOT_TIMEOUT_MS = 10 * 60 * 1000,
	/* How long a reason to move a host must last before it is moved. */
	LIMIT_MOVE_HOLD_MS = 5 * 60 * 1000,
	LIMIT_SUPPORT_ALARM_DAYS = 14,
	LIMIT_HOST_DOWN_MS = 5000,

	/*
	 * Claims of keys. LIMIT_CLAIM_APPENDS_PER_S is the total of all members.
	 * 2^20 keys take 46 MiB, which allows 291 claims a second over a window
	 * of one hour.
	 */
	LIMIT_CLAIM_WINDOW_MS = 3600 * 1000,
	LIMIT_CLAIM_SKEW_MS = 5 * 60 * 1000,
	LIMIT_CLAIM_KEYS = 1 << 20,
	LIMIT_CLAIMS_WAITING = 4096,
	LIMIT_CLAIM_APPENDS_PER_S = 200,
	LIMIT_CLAIM_RELEASE_MS = 2000,
	/* After the deadline, to send the answer that says why it was
	   missed. */
	LIMIT_CLAIM_GRACE_MS = 500,

	/* Requests. */
	LIMIT_DEADLINE_MS = 30000,
	LIMIT_DEADLINE_MAX_MS = 3600 * 1000,
	LIMIT_CONNECT_TIMEOUT_MS = 1000,
	LIMIT_ATTEMPTS = 3,
	/* A request is not retried after failures at this many distinct
	   workers. */
	LIMIT_FAILED_WORKERS = 2,
	/* Bound on each size that a request declares (processor, memory,
	   accelerators). */
	LIMIT_DECLARED_SIZE = 1000 * 1000 * 1000,

	/* Queues of requests. */
	LIMIT_QUEUE_REQUESTS = 3072, /* below the server's 4,096 connections */
	LIMIT_QUEUE_BYTES = 64 * 1024 * 1024,
	LIMIT_QUEUE_ENTRY_BYTES = 16 * 1024, /* per request, without its body */
	/* After this wait a long request precedes normal ones. */
	LIMIT_LONG_WAIT_MS = 5000,
	LIMIT_NO_WORKER_WAIT_MS = 2000, /* while all workers are avoided */
	LIMIT_CALLER_CHECKS = 256, /* connections of callers checked per tick */
	LIMIT_STOP_GRACE_MS = 30000
};

#endif
