/*
 * NAME
 *	proxy_int - internal declarations of the proxy_*.c files: an active
 *	request
 *
 * proxy.c answers, retries or refuses a request, proxy_read.c parses its
 * headers, proxy_claim.c claims its key, proxy_queue.c decides when it is sent,
 * and proxy_send.c makes one attempt.
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

struct proxy {
	struct proxy_config config;
	struct admit *admit;
	uint32_t active;
	/* All active requests, least recently checked caller first. */
	struct forward *first;
	struct forward *last;
	bool dispatching;
	bool dispatch_again;
};

/* An error that is answered in place of a worker's answer. */
struct failure {
	int kind;
	const char *text;
};

/* An active request of a caller, over all its attempts. */
struct forward {
	struct admit_entry entry; /* must be first: entries are cast back */
	struct proxy *proxy;
	struct forward *prev;
	struct forward *next;
	struct web_request *request;
	apr_pool_t *pool; /* the request's */
	const char *team;
	const char *pool_name;
	const char
		*worker_target; /* request target at the worker, without "/" */
	bool repeatable;
	enum forward_stage stage;
	struct claim *claim;	/* NULL: the request needs none */
	struct failure failure; /* of the last attempt, or to be answered */
	bool may_have_run;	/* an attempt may have run the request */
	int64_t retry_ms;	/* for Retry-After */
	bool started;		/* at least one attempt was made */
	uint32_t tried_count;
	const char *tried[LIMIT_ATTEMPTS];
	uint32_t failed_count; /* workers that got the request and failed */
	const char *failed[LIMIT_FAILED_WORKERS];
	int64_t cpu_milli; /* declared sizes; 0: not declared */
	int64_t mem_mib;
	int64_t accelerators;

	/* The current attempt. */
	struct route_worker *worker;
	CURL *easy;
	struct curl_slist *headers;
	char *answer;
	size_t answer_len;
	size_t answer_cap;
	bool answer_too_large;
	bool has_length; /* the answer has a content length or is chunked */
	bool refused;	 /* the answer has the header Plank-Refused */
	bool leaving;	 /* that header has the value "leaving" */
	bool sent;	 /* written to any connection */
	uint32_t header_count;
	uint32_t header_cap;
	struct web_header *answer_headers;
};

/* How an attempt ended. */
struct attempt_end {
	enum route_result result;
	bool may_have_run; /* the worker may have run the request */
	bool truncated;
	struct failure failure; /* kind 0: the worker's answer is complete */
	long status;		/* HTTP status of that answer */
};

/*
 * proxy_read - parse target and headers of the request into forward
 *
 * RETURN VALUE
 *	NULL, or an error message.
 */
const char *proxy_read(struct forward *forward, int64_t now_ms);

/* proxy_read_time - parse a time in ms, 1 to LIMIT_NUMBER_MAX; 0 if invalid */
int64_t proxy_read_time(const char *text);

/* proxy_claim_start - claim a key; calls proxy_enqueue when it is won */
void proxy_claim_start(struct forward *forward,
		       const struct proxy_claim_ops *claims, const char *key,
		       int64_t key_time_ms);

/*
 * proxy_claim_release - release the key of a request that was not run
 *
 * RETURN VALUE
 *	true if a key is being released; proxy_answer_failure is called afterwards.
 *	false if the request has not won a key, or may have run.
 */
bool proxy_claim_release(struct forward *forward);

/*
 * proxy_claim_end - detach the claim of a request that ends
 *
 * A pending claim is released if it is won later.
 */
void proxy_claim_end(struct forward *forward);

/* proxy_count - add one to a counter, see enum proxy_counter */
void proxy_count(struct proxy *proxy, size_t counter);
int64_t proxy_now_ms(const struct proxy *proxy);

/*
 * proxy_pick_worker - choose the worker of the next attempt
 *
 * RETURN VALUE
 *	0, or an error of module route.
 */
int proxy_pick_worker(struct forward *forward);

/*
 * proxy_failure_text - message for an error of module route
 *
 * For ERR_NO_FIT it names the sizes of the largest worker.
 */
const char *proxy_failure_text(struct forward *forward, int status);

/* proxy_enqueue - queue a request in its pool, or refuse it */
void proxy_enqueue(struct forward *forward);

/* proxy_queue_expire - end a request whose deadline passed; arg is the proxy */
void proxy_queue_expire(void *arg, struct admit_entry *entry);

/* proxy_queue_shed - refuse a request that would wait for too long */
void proxy_queue_shed(struct forward *forward);

/* proxy_end_failed - end a request with an error, after releasing its key */
void proxy_end_failed(struct forward *forward, int kind, const char *text);

/* proxy_answer_failure - answer a request with its failure and free it */
void proxy_answer_failure(struct forward *forward);

/* proxy_send - start an attempt at the chosen worker */
void proxy_send(struct forward *forward, struct evloop *evloop);

/* proxy_send_free - free the resources of the current attempt */
void proxy_send_free(struct forward *forward);

/* proxy_attempt_done - end of an attempt; not called for cancelled ones */
void proxy_attempt_done(struct forward *forward, const struct attempt_end *end);

#endif
