/*
 * NAME
 *	proxy_int - what the parts of proxy share: one request on its way
 *
 * proxy.c decides when a request is sent, again or not at all; proxy_read.c reads
 * its headers, proxy_claim.c claims its key, proxy_send.c makes one attempt.
 */
#ifndef PROXY_INT_H
#define PROXY_INT_H

#include <curl/curl.h>

#include "admit.h"
#include "proxy.h"

struct claim;

enum forward_stage {
	FORWARD_CLAIMING,
	FORWARD_QUEUED,
	FORWARD_SENDING,
	FORWARD_RELEASING
};

/* An answer that no worker gave. */
struct failure {
	int kind;
	const char *text;
};

/* One caller's request on its way, over all its attempts. */
struct forward {
	struct admit_entry entry; /* the first member */
	struct proxy *proxy;
	struct forward *prev;
	struct forward *next;
	struct web_request *request;
	apr_pool_t *pool; /* the request's */
	const char *team;
	const char *pool_name;
	const char *rest; /* what the worker gets as target */
	bool repeatable;
	enum forward_stage stage;
	struct claim *claim;	/* NULL: the request needs none */
	struct failure failure; /* of the last attempt, or while releasing */
	bool ran_maybe;		/* in any attempt so far */
	int64_t retry_ms;	/* for Retry-After */
	bool started;		/* once at least */
	uint32_t tried_count;
	const char *tried[LIMIT_ATTEMPTS];
	uint32_t failed_count; /* workers that had the request and failed */
	const char *failed[LIMIT_FAILED_WORKERS];
	int64_t cpu_milli; /* declared sizes; 0: not declared */
	int64_t mem_mib;
	int64_t accelerators;

	/* Of the present attempt. */
	struct route_worker *worker;
	CURL *easy;
	struct curl_slist *headers;
	char *answer;
	size_t answer_len;
	size_t answer_cap;
	bool answer_too_large;
	bool has_length; /* a content length, or chunked encoding */
	bool refused;	 /* Plank-Refused was seen */
	bool leaving;	 /* with the value "leaving" */
	bool sent;	 /* on any connection that the attempt used */
	uint32_t header_count;
	uint32_t header_cap;
	struct web_header *answer_headers;
};

/* How an attempt ended. */
struct attempt_end {
	enum route_result result;
	bool ran_maybe;
	bool truncated;
	struct failure failure; /* kind 0: the worker's whole answer */
	long status;		/* of that answer */
};

/*
 * proxy_read - read target and headers of the request into forward
 *
 * RETURN VALUE
 *	NULL, or what is wrong with them.
 */
const char *proxy_read(struct forward *forward, int64_t now_ms);

/* proxy_read_time - a time in ms from 1 to LIMIT_NUMBER_MAX; 0 if it is none */
int64_t proxy_read_time(const char *text);

/* proxy_claim_start - claim a key; proxy_enqueue follows when it is won */
void proxy_claim_start(struct forward *forward,
		       const struct proxy_claims *claims, const char *key,
		       int64_t key_time_ms);

/*
 * proxy_claim_release - release the key that was won for a request never run
 *
 * RETURN VALUE
 *	Whether there is one; proxy_fail is called when it has been released.
 */
bool proxy_claim_release(struct forward *forward);

/* proxy_claim_end - the request ends; a claim under way is released if won */
void proxy_claim_end(struct forward *forward);

/* proxy_enqueue - put a request into its pool's queue, or refuse it */
void proxy_enqueue(struct forward *forward);

/* proxy_end_failed - end a request, after the release of its key if need be */
void proxy_end_failed(struct forward *forward, int kind, const char *text);

/* proxy_fail - answer with forward->failure */
void proxy_fail(struct forward *forward);

/* proxy_send - start an attempt at forward->worker */
void proxy_send(struct forward *forward, struct evloop *evloop);

/* proxy_send_free - release what the present attempt holds */
void proxy_send_free(struct forward *forward);

/* proxy_attempt_done - called once for each attempt that was not cancelled */
void proxy_attempt_done(struct forward *forward, const struct attempt_end *end);

#endif
