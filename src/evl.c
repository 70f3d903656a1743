#include "evl.h"

#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>

#include "lim.h"

enum { MAX_SOURCES = 4, MAX_TIMERS = 16, MAX_FDS = 1024 };

struct timer {
	int64_t interval_ms;
	int64_t due_ms;
	void (*fn)(void *arg);
	void *arg;
};

struct transfer {
	void (*done)(void *arg, CURL *easy, CURLcode code);
	void *arg;
};

struct evl {
	const struct clk *clk;
	CURLM *multi;
	bool stopping;
	unsigned int source_count;
	struct evl_source sources[MAX_SOURCES];
	unsigned int timer_count;
	struct timer timers[MAX_TIMERS];
	void (*stop_fn)(void *arg);
	void *stop_arg;
	void (*reload_fn)(void *arg);
	void *reload_arg;
	struct curl_waitfd fds[MAX_FDS];
};

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;
static struct evl *signal_evl;

struct evl *evl_create(const struct clk *clk)
{
	struct evl *evl = calloc(1, sizeof(*evl));

	if (!evl)
		return NULL;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	evl->clk = clk;
	evl->multi = curl_multi_init();
	curl_multi_setopt(evl->multi, CURLMOPT_MAXCONNECTS, 4096L);
	return evl;
}

void evl_destroy(struct evl *evl)
{
	if (!evl)
		return;
	if (signal_evl == evl)
		signal_evl = NULL;
	curl_multi_cleanup(evl->multi);
	free(evl);
}

const struct clk *evl_clk(const struct evl *evl)
{
	return evl->clk;
}

void evl_add_source(struct evl *evl, const struct evl_source *source)
{
	if (evl->source_count < MAX_SOURCES)
		evl->sources[evl->source_count++] = *source;
}

void evl_every(struct evl *evl, int64_t interval_ms, void (*fn)(void *arg),
	       void *arg)
{
	if (evl->timer_count == MAX_TIMERS)
		return;
	evl->timers[evl->timer_count++] = (struct timer){
		.interval_ms = interval_ms,
		.due_ms = clk_now_ms(evl->clk),
		.fn = fn,
		.arg = arg,
	};
}

void evl_transfer(struct evl *evl, CURL *easy,
		  void (*done)(void *arg, CURL *easy, CURLcode code), void *arg)
{
	struct transfer *transfer = calloc(1, sizeof(*transfer));

	if (!transfer) {
		done(arg, easy, CURLE_OUT_OF_MEMORY);
		return;
	}
	transfer->done = done;
	transfer->arg = arg;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_multi_add_handle(evl->multi, easy);
}

void evl_cancel(struct evl *evl, CURL *easy)
{
	struct transfer *transfer = NULL;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
	curl_multi_remove_handle(evl->multi, easy);
	free(transfer);
}

static void finish_transfers(struct evl *evl)
{
	int left;

	for (CURLMsg *msg; (msg = curl_multi_info_read(evl->multi, &left));) {
		struct transfer *transfer = NULL;
		CURL *easy = msg->easy_handle;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
		curl_multi_remove_handle(evl->multi, easy);
		transfer->done(transfer->arg, easy, code);
		free(transfer);
	}
}

/* Runs the timers that are due; returns how long the next wait may be. */
static int run_timers(struct evl *evl)
{
	int64_t now_ms = clk_now_ms(evl->clk);
	int64_t wait_ms = LIM_LOG_WAIT_MS;

	for (unsigned int i = 0; i < evl->timer_count; i++) {
		struct timer *timer = &evl->timers[i];

		if (timer->due_ms <= now_ms) {
			timer->due_ms = now_ms + timer->interval_ms;
			timer->fn(timer->arg);
		}
		if (timer->due_ms - now_ms < wait_ms)
			wait_ms = timer->due_ms - now_ms;
	}
	return (int)wait_ms;
}

void evl_run(struct evl *evl)
{
	while (!evl->stopping) {
		unsigned int starts[MAX_SOURCES + 1] = { 0 };
		int wait_ms = run_timers(evl);
		int running;

		for (unsigned int i = 0; i < evl->source_count; i++) {
			struct evl_source *source = &evl->sources[i];
			unsigned int start = starts[i];

			starts[i + 1] = start + source->fill(source->arg,
							     &evl->fds[start],
							     MAX_FDS - start);
		}
		curl_multi_perform(evl->multi, &running);
		finish_transfers(evl);
		curl_multi_poll(evl->multi, evl->fds, starts[evl->source_count],
				wait_ms, NULL);
		for (unsigned int i = 0; i < evl->source_count; i++)
			evl->sources[i].ready(evl->sources[i].arg,
					      &evl->fds[starts[i]],
					      starts[i + 1] - starts[i]);
		curl_multi_perform(evl->multi, &running);
		finish_transfers(evl);
		if (stop_requested && evl->stop_fn) {
			stop_requested = 0;
			evl->stop_fn(evl->stop_arg);
		}
		if (reload_requested && evl->reload_fn) {
			reload_requested = 0;
			evl->reload_fn(evl->reload_arg);
		}
	}
}

void evl_stop(struct evl *evl)
{
	evl->stopping = true;
}

void evl_wake(struct evl *evl)
{
	curl_multi_wakeup(evl->multi);
}

static void handle_signal(int number)
{
	if (number == SIGHUP)
		reload_requested = 1;
	else
		stop_requested = 1;
	/* curl_multi_wakeup only writes to a socket pair. */
	if (signal_evl)
		curl_multi_wakeup(signal_evl->multi);
}

void evl_on_stop_signal(struct evl *evl, void (*fn)(void *arg), void *arg)
{
	struct sigaction action = { .sa_handler = handle_signal };

	evl->stop_fn = fn;
	evl->stop_arg = arg;
	signal_evl = evl;
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	action.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &action, NULL);
}

void evl_on_reload_signal(struct evl *evl, void (*fn)(void *arg), void *arg)
{
	struct sigaction action = { .sa_handler = handle_signal };

	evl->reload_fn = fn;
	evl->reload_arg = arg;
	signal_evl = evl;
	sigaction(SIGHUP, &action, NULL);
}
