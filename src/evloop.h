/*
 * NAME
 *	evloop - event loop of a daemon: HTTP transfers of libcurl, file
 *	descriptors of other libraries, and timers
 *
 * One thread runs the loop; only evloop_wake may be called from another thread
 * or a signal handler.
 */
#ifndef EVLOOP_H
#define EVLOOP_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

#include "clk.h"

struct evloop;

/* A set of file descriptors that a library wants to be watched. */
struct evloop_source {
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

/* evloop_create - loop without sources; the clock stays in use */
struct evloop *evloop_create(const struct clk *clk);
void evloop_destroy(struct evloop *evloop);

/* evloop_clk - clock of the loop */
const struct clk *evloop_clk(const struct evloop *evloop);

/* evloop_add_source - watch a source until the loop is destroyed */
void evloop_add_source(struct evloop *evloop,
		       const struct evloop_source *source);

/* evloop_every - call fn about every interval; the first time at once */
void evloop_every(struct evloop *evloop, int64_t interval_ms,
		  void (*fn)(void *arg), void *arg);

/*
 * evloop_transfer - start an HTTP transfer
 *
 * The handle is set up by the caller. done is called once, when the transfer
 * has ended; the handle is removed from the loop before and is the caller's.
 */
void evloop_transfer(struct evloop *evloop, CURL *easy,
		     void (*done)(void *arg, CURL *easy, CURLcode code),
		     void *arg);

/* evloop_cancel - drop a transfer that has not ended; done is not called */
void evloop_cancel(struct evloop *evloop, CURL *easy);

/*
 * evloop_limit_connections - bound the connections to each address
 *
 * Transfers beyond the bound wait, and their own time-outs run meanwhile.
 */
void evloop_limit_connections(struct evloop *evloop, int32_t per_address);

/* evloop_run - run until evloop_stop */
void evloop_run(struct evloop *evloop);
void evloop_stop(struct evloop *evloop);

/* evloop_wake - end the present wait, from any thread or a signal handler */
void evloop_wake(struct evloop *evloop);

/* evloop_poke - from the loop's own thread: do not wait, and run all sources */
void evloop_poke(struct evloop *evloop);

/* evloop_on_stop_signal - call fn in the loop after SIGTERM or SIGINT */
void evloop_on_stop_signal(struct evloop *evloop, void (*fn)(void *arg),
			   void *arg);

/* evloop_on_reload_signal - call fn in the loop after SIGHUP */
void evloop_on_reload_signal(struct evloop *evloop, void (*fn)(void *arg),
			     void *arg);

#endif
