/*
 * NAME
 *	evl - event loop of a daemon: HTTP transfers of libcurl, file
 *	descriptors of other libraries, and timers
 *
 * One thread runs the loop; only evl_wake may be called from another thread
 * or a signal handler.
 */
#ifndef EVL_H
#define EVL_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

#include "clk.h"

struct evl;

/* A set of file descriptors that a library wants to be watched. */
struct evl_source {
	/* Fills in at most max entries; returns how many. */
	unsigned int (*fill)(void *arg, struct curl_waitfd *fds,
			     unsigned int max);
	/* Called after each wait with the same entries, revents filled in. */
	void (*ready)(void *arg, const struct curl_waitfd *fds,
		      unsigned int count);
	void *arg;
	/* Its descriptors stay the same; ready need not run without input. */
	bool fixed;
};

/* evl_create - loop without sources; the clock stays in use */
struct evl *evl_create(const struct clk *clk);
void evl_destroy(struct evl *evl);

/* evl_clk - clock of the loop */
const struct clk *evl_clk(const struct evl *evl);

/* evl_add_source - watch a source until the loop is destroyed */
void evl_add_source(struct evl *evl, const struct evl_source *source);

/* evl_every - call fn about every interval; the first time at once */
void evl_every(struct evl *evl, int64_t interval_ms, void (*fn)(void *arg),
	       void *arg);

/*
 * evl_transfer - start an HTTP transfer
 *
 * The handle is set up by the caller. done is called once, when the transfer
 * has ended; the handle is removed from the loop before and is the caller's.
 */
void evl_transfer(struct evl *evl, CURL *easy,
		  void (*done)(void *arg, CURL *easy, CURLcode code),
		  void *arg);

/* evl_cancel - drop a transfer that has not ended; done is not called */
void evl_cancel(struct evl *evl, CURL *easy);

/*
 * evl_limit_connections - bound the connections to each address
 *
 * Transfers beyond the bound wait, and their own time-outs run meanwhile.
 */
void evl_limit_connections(struct evl *evl, int32_t per_address);

/* evl_run - run until evl_stop */
void evl_run(struct evl *evl);
void evl_stop(struct evl *evl);

/* evl_wake - end the present wait, from any thread or a signal handler */
void evl_wake(struct evl *evl);

/* evl_poke - from the loop's own thread: do not wait, and run all sources */
void evl_poke(struct evl *evl);

/* evl_on_stop_signal - call fn in the loop after SIGTERM or SIGINT */
void evl_on_stop_signal(struct evl *evl, void (*fn)(void *arg), void *arg);

/* evl_on_reload_signal - call fn in the loop after SIGHUP */
void evl_on_reload_signal(struct evl *evl, void (*fn)(void *arg), void *arg);

#endif
