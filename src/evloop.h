/*
 * NAME
 *	evloop - event loop of a daemon: HTTP transfers of libcurl, file
 *	descriptors of other libraries, and timers
 *
 * One thread runs the loop. Only evloop_wake may be called from another thread
 * or from a signal handler.
 */
#ifndef EVLOOP_H
#define EVLOOP_H

#include <stdbool.h>
#include <stdint.h>

#include <curl/curl.h>

#include "clk.h"

struct evloop;

/* File descriptors of a library that the loop has to watch. */
struct evloop_source {
	/* Fills in at most max entries and returns their number. */
	unsigned int (*fill)(void *arg, struct curl_waitfd *fds,
			     unsigned int max);
	/* Called after each wait with the same entries, revents filled in. */
	void (*ready)(void *arg, const struct curl_waitfd *fds,
		      unsigned int count);
	void *arg;
	/* The descriptors do not change, and ready may be skipped while there
	   is no input. */
	bool fixed;
};

/* evloop_create - loop without sources; the clock has to outlive it */
struct evloop *evloop_create(const struct clk *clk);
void evloop_destroy(struct evloop *evloop);

/*
 * evloop_busy_ms - time since the start of evloop_run that it has not waited
 *
 * By the loop's clock, so that time without a processor counts too.
 */
int64_t evloop_busy_ms(const struct evloop *evloop);

/* evloop_clk - clock of the loop */
const struct clk *evloop_clk(const struct evloop *evloop);

/* evloop_add_source - watch a source until the loop is destroyed */
void evloop_add_source(struct evloop *evloop,
		       const struct evloop_source *source);

/* evloop_add_timer - call fn at about this interval, the first time at once */
void evloop_add_timer(struct evloop *evloop, int64_t interval_ms,
		      void (*fn)(void *arg), void *arg);

/*
 * evloop_transfer - start an HTTP transfer
 *
 * The caller sets up the handle; address is of the host that it connects to.
 * Transfers with the same address share connections. done is called once, when the transfer has
 * ended; the handle has then been removed from the loop and belongs to the
 * caller.
 */
void evloop_transfer(struct evloop *evloop, const char *address, CURL *easy,
		     void (*done)(void *arg, CURL *easy, CURLcode code),
		     void *arg);

/* evloop_cancel - abort a transfer in progress; done is not called */
void evloop_cancel(struct evloop *evloop, CURL *easy);

/*
 * evloop_limit_connections - limit the connections to each address
 *
 * Transfers beyond the limit are queued; their timeouts run meanwhile.
 */
void evloop_limit_connections(struct evloop *evloop, int32_t per_address);

/*
 * evloop_run - run until evloop_stop
 *
 * After a stop by a timer no source is run again: a request that is read in the
 * last turn would get no answer.
 */
void evloop_run(struct evloop *evloop);
void evloop_stop(struct evloop *evloop);

/* evloop_wake - end the current wait, from any thread or a signal handler */
void evloop_wake(struct evloop *evloop);

/* evloop_skip_wait - skip the next wait and run all sources; loop's thread only */
void evloop_skip_wait(struct evloop *evloop);

/* evloop_on_stop_signal - call fn in the loop after SIGTERM or SIGINT */
void evloop_on_stop_signal(struct evloop *evloop, void (*fn)(void *arg),
			   void *arg);

/* evloop_on_reload_signal - call fn in the loop after SIGHUP */
void evloop_on_reload_signal(struct evloop *evloop, void (*fn)(void *arg),
			     void *arg);

#endif
