/*
 * NAME
 *	nodeconf - settings of a node, JSON with comments
 *
 * Unknown fields are ignored, so that settings of newer versions load. The
 * error of an invalid value names the file, the field's path, the value and
 * what is expected.
 */
#ifndef NODECONF_H
#define NODECONF_H

#include <stdbool.h>
#include <stdint.h>

#include "err.h"
#include "limit.h"

enum {
	NODECONF_SHARE_HOSTS = 150,
	NODECONF_MAX_SHARE_HOSTS = 100000,
	NODECONF_RECORD_BYTES = 256 * 1024,
	NODECONF_MIN_RECORD_BYTES = 16 * 1024,
	NODECONF_GROUP_PARTS = 24, /* if the settings do not say */
	NODECONF_MIN_GROUP_PARTS = 8,
	NODECONF_MAX_GROUP_PARTS = 128, /* see OWNERSHIP_PARTS */
	NODECONF_MEMORY_MB = 1024,
	/* Of the memory, for tasks and for jobs. */
	NODECONF_TASKS_PERCENT = 40,
	NODECONF_JOBS_PERCENT = 20,
	/* For checkpoints in reports that are being read, and for those kept. */
	NODECONF_REPORTS_PERCENT = 5,
	NODECONF_CHECKPOINTS_PERCENT = 10,
	/* Of a task that is placed: itself, its place among the tasks of its
	   worker, and its rows in stored records. */
	NODECONF_TASK_BYTES = 512,
	/* An owner goes through the tasks of its pools each tick. */
	NODECONF_TASKS_PER_CORE = 240000
};

struct nodeconf_address {
	char host[LIMIT_ADDRESS_BYTES];
	uint16_t port;
};

struct nodeconf {
	char name[LIMIT_NAME_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	/* Addresses to listen on. */
	struct nodeconf_address callers;
	struct nodeconf_address readiness;
	struct nodeconf_address metrics;	/* port 0: not served */
	char log_service[LIMIT_ADDRESS_BYTES];	/* address:port */
	char host_service[LIMIT_ADDRESS_BYTES]; /* address:port; empty: none */
	int64_t lease_max_ms;	/* longest lease that workers grant */
	int64_t stop_grace_ms;	/* from the stop signal to the kill signal */
	int64_t order_lease_ms; /* between orders of two owners of the hosts */
	int64_t job_keep_ms;	/* for which ended jobs can be queried */
	/* Parts of the topic that the log's group divides among the nodes; the
	   same at all nodes of a deployment. */
	uint32_t group_parts;
	uint32_t log_record_bytes; /* most that a record of the log may have */
	/* Window in which jobs of an organisation are counted against its rate,
	   0: rates are not limited; the part of the rate and the jobs in a window
	   that are tolerated beyond. */
	int64_t rate_window_ms;
	double rate_overage;
	double rate_slack_jobs;
	int64_t memory_bytes;	   /* of the host, for this process */
	int64_t max_fds;	   /* descriptors; 0: the limit at the start */
	uint32_t max_connections;  /* of callers; 0: by the two above */
	int64_t max_request_bytes; /* held for callers; 0: likewise */
	/* Of jobs, see job_room.h; by the memory and the processor unless the
	   settings say. */
	int64_t max_tasks;
	int64_t max_job_bytes;
	/* Of checkpoints: in workers' reports that are being read, and kept. */
	int64_t max_report_bytes;
	int64_t max_checkpoint_bytes;
	uint32_t share_hosts; /* hosts that a slice of the fleet is meant for */
	/* Whether free capacity is reserved for large tasks that wait. */
	bool reserve_room;
	double core_share; /* processor time of this node, in cores */
	double link_mbps;  /* bandwidth of its network link */
	/* A node with less of either decides only if no larger node does. */
	double decider_core_share;
	double decider_link_mbps;
};

/*
 * nodeconf_load - read and check a file
 *
 * ERRORS
 *	ERR_IO		the file cannot be read
 *	ERR_INVALID	not JSON, or a value is invalid
 *
 * Settings are unchanged after an error.
 */
int nodeconf_load(const char *path, struct nodeconf *settings, struct err *err);

/* nodeconf_parse - the same, from text; errors do not name the file */
int nodeconf_parse(const char *text, size_t len, struct nodeconf *settings,
		   struct err *err);

#endif
