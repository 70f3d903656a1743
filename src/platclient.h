/*
 * NAME
 *	platclient - client of the platform's log service and host list
 *
 * Calls return at once. The callback is called once, from the event loop.
 */
#ifndef PLATCLIENT_H
#define PLATCLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "evloop.h"
#include "limit.h"

struct platclient;

struct platclient_record {
	int64_t offset;
	const char *data;
	size_t len;
};

struct platclient_batch {
	int64_t first; /* oldest retained offset */
	int64_t next;  /* offset to continue reading at */
	uint32_t count;
	const struct platclient_record *records;
};

struct platclient_host {
	char name[LIMIT_NAME_BYTES];
	char kind[LIMIT_NAME_BYTES];  /* "worker" or "entry" */
	char state[LIMIT_NAME_BYTES]; /* "live", "leaving" or "down" */
	char address[LIMIT_ADDRESS_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	char rack[LIMIT_NAME_BYTES];
	int64_t port;
	int64_t cpu_milli;
	int64_t mem_mib;
	int64_t accelerators;
	int64_t slots;
	int64_t connections;
	int64_t boot_id; /* increases with each boot; 0: not reported */
};

/* platclient_create - client of the platform at a base URL */
struct platclient *platclient_create(struct evloop *evloop, const char *url);

/* platclient_destroy - cancel calls in progress without calling back */
void platclient_destroy(struct platclient *platclient);

/*
 * platclient_append - append a record to a stream
 *
 * ERRORS (to the callback)
 *	ERR_UNAVAILABLE	not appended: no connection
 *	ERR_UNKNOWN	no valid answer; the record may have been appended
 *	ERR_TOO_LARGE	the platform refused the size
 */
void platclient_append(struct platclient *platclient, const char *stream,
		       const char *data, size_t len,
		       void (*fn)(void *arg, int status, int64_t offset),
		       void *arg);

/*
 * platclient_read - read records from an offset on
 *
 * Waits up to wait_ms for a record if there is none yet. The batch is valid
 * during the callback. On an error it is NULL, except for ERR_GONE, where only
 * its `first` is set.
 *
 * ERRORS (to the callback)
 *	ERR_GONE	the offset is past retention
 *	ERR_UNAVAILABLE	no answer, or not a valid one
 */
void platclient_read(struct platclient *platclient, const char *stream,
		     int64_t from, uint32_t max, int64_t wait_ms,
		     void (*fn)(void *arg, int status,
				const struct platclient_batch *batch),
		     void *arg);

/*
 * platclient_reboot - reboot a host; idempotent for the same token
 *
 * ERRORS (to the callback)
 *	ERR_UNAVAILABLE	no answer, or refused; the caller has to retry
 */
void platclient_reboot(struct platclient *platclient, const char *host,
		       int64_t token, void (*fn)(void *arg, int status),
		       void *arg);

enum { PLATCLIENT_UNCHANGED = 1 };

/*
 * platclient_hosts - list of live and leaving hosts
 *
 * The request is conditional if the platform sent an ETag with the last list;
 * status is then PLATCLIENT_UNCHANGED if the list has not changed. At the
 * target size the list is most of what a node reads. Errors as for
 * platclient_read.
 */
void platclient_hosts(struct platclient *platclient,
		      void (*fn)(void *arg, int status,
				 const struct platclient_host *hosts,
				 uint32_t count),
		      void *arg);

#endif
