#include "evloop.h"

#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/param.h>
#include <unistd.h>

#include "limit.h"
#include "log.h"

enum {
	MAX_SOURCES = 12,
	MAX_TIMERS = 16,
	MAX_SOURCE_FDS = 1024,
	MAX_EVENTS = 64,
	/* Longest time between two calls of a source, for its own timeouts. */
	SOURCE_IDLE_MS = 500,
	LANES = 32
};

struct timer {
	int64_t interval_ms;
	int64_t due_ms;
	void (*fn)(void *arg);
	void *arg;
};

/*
 * A part of the transfers. With the end of each, libcurl walks all connections of
 * its multi handle, and once a second it looks at each idle one, so that a single
 * handle makes a call the dearer, the more addresses there are. All transfers to
 * an address are in one lane and share its connections.
 */
struct lane {
	struct evloop *evloop;
	CURLM *multi;
	uint32_t index;
	int64_t due_ms; /* when libcurl's timeout is due; -1: none */
	bool active;	/* has run since its ended transfers were looked for */
};

struct transfer {
	CURLM *multi;
	void (*done)(void *arg, CURL *easy, CURLcode code);
	void *arg;
};

struct source {
	struct evloop_source config;
	unsigned int count;
	struct curl_waitfd fds[MAX_SOURCE_FDS];
	int64_t last_run_ms;
};

struct evloop {
	const struct clk *clk;
	struct lane lanes[LANES];
	int epoll;
	int pipe[2]; /* written by other threads and signal handlers */
	bool stopping;
	bool skip_wait;	   /* do not wait, and run all sources */
	int64_t start_ms;  /* of evloop_run */
	int64_t waited_ms; /* since then */
	unsigned int source_count;
	struct source sources[MAX_SOURCES];
	unsigned int timer_count;
	struct timer timers[MAX_TIMERS];
	void (*stop_fn)(void *arg);
	void *stop_arg;
	void (*reload_fn)(void *arg);
	void *reload_arg;
};

/* What a watched descriptor belongs to, stored with it in the kernel. */
enum watch_kind { WATCH_PIPE, WATCH_CURL, WATCH_SOURCE };

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;
static struct evloop *signal_evloop;

static struct epoll_event make_event(enum watch_kind kind, uint32_t index,
				     int fd, uint32_t events)
{
	return (struct epoll_event){
		.events = events,
		.data.u64 = (uint64_t)kind << 56 | (uint64_t)index << 32 |
			    (uint32_t)fd,
	};
}

/* Starts to watch a descriptor, or changes its events. */
static void watch_fd(struct evloop *evloop, int fd, struct epoll_event event)
{
	if (epoll_ctl(evloop->epoll, EPOLL_CTL_ADD, fd, &event) < 0 &&
	    errno == EEXIST)
		epoll_ctl(evloop->epoll, EPOLL_CTL_MOD, fd, &event);
}

static int on_curl_socket(CURL *easy, curl_socket_t fd, int action, void *arg,
			  void *data)
{
	const struct lane *lane = arg;
	struct evloop *evloop = lane->evloop;
	uint32_t events = 0;

	(void)easy;
	(void)data;
	if (action == CURL_POLL_REMOVE) {
		epoll_ctl(evloop->epoll, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (action & CURL_POLL_IN)
		events |= EPOLLIN;
	if (action & CURL_POLL_OUT)
		events |= EPOLLOUT;
	watch_fd(evloop, fd, make_event(WATCH_CURL, lane->index, fd, events));
	return 0;
}

static int on_curl_timeout(CURLM *multi, long timeout_ms, void *arg)
{
	struct lane *lane = arg;

	(void)multi;
	lane->due_ms = timeout_ms < 0
			       ? -1
			       : clk_now_ms(lane->evloop->clk) + timeout_ms;
	return 0;
}

static void init_lane(struct evloop *evloop, uint32_t index)
{
	struct lane *lane = &evloop->lanes[index];

	lane->evloop = evloop;
	lane->index = index;
	lane->due_ms = -1;
	lane->multi = curl_multi_init();
	curl_multi_setopt(lane->multi, CURLMOPT_MAXCONNECTS, 4096L);
	curl_multi_setopt(lane->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(lane->multi, CURLMOPT_SOCKETDATA, lane);
	curl_multi_setopt(lane->multi, CURLMOPT_TIMERFUNCTION, on_curl_timeout);
	curl_multi_setopt(lane->multi, CURLMOPT_TIMERDATA, lane);
}

struct evloop *evloop_create(const struct clk *clk)
{
	struct evloop *evloop = calloc(1, sizeof(*evloop));

	if (!evloop)
		return NULL;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	evloop->clk = clk;
	evloop->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (evloop->epoll < 0 ||
	    pipe2(evloop->pipe, O_NONBLOCK | O_CLOEXEC) < 0) {
		free(evloop);
		return NULL;
	}
	watch_fd(evloop, evloop->pipe[0],
		 make_event(WATCH_PIPE, 0, evloop->pipe[0], EPOLLIN));
	for (uint32_t i = 0; i < LANES; i++)
		init_lane(evloop, i);
	return evloop;
}

void evloop_destroy(struct evloop *evloop)
{
	if (!evloop)
		return;
	if (signal_evloop == evloop)
		signal_evloop = NULL;
	for (uint32_t i = 0; i < LANES; i++)
		curl_multi_cleanup(evloop->lanes[i].multi);
	close(evloop->epoll);
	close(evloop->pipe[0]);
	close(evloop->pipe[1]);
	free(evloop);
}

const struct clk *evloop_clk(const struct evloop *evloop)
{
	return evloop->clk;
}

void evloop_add_source(struct evloop *evloop,
		       const struct evloop_source *source)
{
	if (evloop->source_count < MAX_SOURCES)
		evloop->sources[evloop->source_count++].config = *source;
}

void evloop_add_timer(struct evloop *evloop, int64_t interval_ms,
		      void (*fn)(void *arg), void *arg)
{
	if (evloop->timer_count == MAX_TIMERS)
		return;
	evloop->timers[evloop->timer_count++] = (struct timer){
		.interval_ms = interval_ms,
		.due_ms = clk_now_ms(evloop->clk),
		.fn = fn,
		.arg = arg,
	};
}

/* The lane of an address: a hash of it (FNV-1a). */
static struct lane *find_lane(struct evloop *evloop, const char *address)
{
	uint32_t hash = 2166136261u;

	for (const char *at = address; *at; at++)
		hash = (hash ^ (unsigned char)*at) * 16777619u;
	return &evloop->lanes[hash % LANES];
}

void evloop_transfer(struct evloop *evloop, const char *address, CURL *easy,
		     void (*done)(void *arg, CURL *easy, CURLcode code),
		     void *arg)
{
	struct transfer *transfer = calloc(1, sizeof(*transfer));

	if (!transfer) {
		done(arg, easy, CURLE_OUT_OF_MEMORY);
		return;
	}
	transfer->multi = find_lane(evloop, address)->multi;
	transfer->done = done;
	transfer->arg = arg;
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_multi_add_handle(transfer->multi, easy);
}

void evloop_cancel(struct evloop *evloop, CURL *easy)
{
	struct transfer *transfer = NULL;

	(void)evloop;
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
	curl_multi_remove_handle(transfer->multi, easy);
	free(transfer);
}

void evloop_limit_connections(struct evloop *evloop, int32_t per_address)
{
	for (uint32_t i = 0; i < LANES; i++)
		curl_multi_setopt(evloop->lanes[i].multi,
				  CURLMOPT_MAX_HOST_CONNECTIONS,
				  (long)per_address);
}

static void finish_lane(struct lane *lane)
{
	int left;

	for (CURLMsg *msg; (msg = curl_multi_info_read(lane->multi, &left));) {
		struct transfer *transfer = NULL;
		CURL *easy = msg->easy_handle;
		CURLcode code = msg->data.result;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&transfer);
		curl_multi_remove_handle(lane->multi, easy);
		transfer->done(transfer->arg, easy, code);
		free(transfer);
	}
}

static void finish_transfers(struct evloop *evloop)
{
	for (uint32_t i = 0; i < LANES; i++) {
		struct lane *lane = &evloop->lanes[i];

		if (!lane->active)
			continue;
		lane->active = false;
		finish_lane(lane);
	}
}

/* Runs the timers that are due; returns the longest permissible wait. */
static int run_timers(struct evloop *evloop)
{
	int64_t now_ms = clk_now_ms(evloop->clk);
	int64_t wait_ms = LIMIT_LOG_WAIT_MS;

	for (unsigned int i = 0; i < evloop->timer_count; i++) {
		struct timer *timer = &evloop->timers[i];

		if (timer->due_ms <= now_ms) {
			timer->due_ms = now_ms + timer->interval_ms;
			timer->fn(timer->arg);
		}
		if (timer->due_ms - now_ms < wait_ms)
			wait_ms = timer->due_ms - now_ms;
	}
	return (int)wait_ms;
}

/* Whether a fixed source has the same descriptors as before the last wait. */
static bool unchanged_fds(const struct source *source,
			  const struct curl_waitfd *fds, unsigned int count)
{
	if (!source->config.fixed || count != source->count)
		return false;
	for (unsigned int i = 0; i < count; i++)
		if (fds[i].fd != source->fds[i].fd ||
		    fds[i].events != source->fds[i].events)
			return false;
	return true;
}

/*
 * Updates the descriptors that are watched for a source. A source whose
 * descriptors change may have closed one and opened another with the same
 * number, so all of them are registered again.
 */
static void watch_source(struct evloop *evloop, unsigned int index)
{
	struct source *source = &evloop->sources[index];
	struct curl_waitfd fds[MAX_SOURCE_FDS];
	unsigned int count =
		source->config.fill(source->config.arg, fds, MAX_SOURCE_FDS);

	if (unchanged_fds(source, fds, count))
		return;
	for (unsigned int i = 0; i < source->count; i++) {
		bool kept = false;

		for (unsigned int j = 0; j < count; j++)
			kept |= fds[j].fd == source->fds[i].fd;
		if (!kept)
			epoll_ctl(evloop->epoll, EPOLL_CTL_DEL,
				  source->fds[i].fd, NULL);
	}
	for (unsigned int i = 0; i < count; i++) {
		uint32_t events = 0;

		if (fds[i].events & CURL_WAIT_POLLIN)
			events |= EPOLLIN;
		if (fds[i].events & CURL_WAIT_POLLOUT)
			events |= EPOLLOUT;
		watch_fd(evloop, fds[i].fd,
			 make_event(WATCH_SOURCE, index, fds[i].fd, events));
		source->fds[i] = fds[i];
	}
	source->count = count;
}

static void mark_ready(struct source *source, int fd, uint32_t events)
{
	for (unsigned int i = 0; i < source->count; i++)
		if (source->fds[i].fd == fd) {
			if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
				source->fds[i].revents |= CURL_WAIT_POLLIN;
			if (events & EPOLLOUT)
				source->fds[i].revents |= CURL_WAIT_POLLOUT;
		}
}

static void drain_pipe(struct evloop *evloop)
{
	char bytes[64];

	while (read(evloop->pipe[0], bytes, sizeof(bytes)) > 0)
		;
	evloop->skip_wait = true;
}

static void run_lane(struct lane *lane, curl_socket_t fd, int action)
{
	int running;

	lane->active = true;
	curl_multi_socket_action(lane->multi, fd, action, &running);
}

static void handle_event(struct evloop *evloop, const struct epoll_event *event)
{
	int fd = (int)(uint32_t)event->data.u64;
	unsigned int index = event->data.u64 >> 32 & 0xffffff;
	int action = 0;

	switch ((enum watch_kind)(event->data.u64 >> 56)) {
	case WATCH_PIPE:
		drain_pipe(evloop);
		break;
	case WATCH_SOURCE:
		mark_ready(&evloop->sources[index], fd, event->events);
		break;
	case WATCH_CURL:
		if (event->events & (EPOLLIN | EPOLLHUP | EPOLLERR))
			action |= CURL_CSELECT_IN;
		if (event->events & EPOLLOUT)
			action |= CURL_CSELECT_OUT;
		run_lane(&evloop->lanes[index], fd, action);
		break;
	}
}

static void run_source(struct evloop *evloop, struct source *source,
		       bool skip_wait)
{
	int64_t now_ms = clk_now_ms(evloop->clk);
	bool due = !source->config.fixed ||
		   now_ms - source->last_run_ms >= SOURCE_IDLE_MS;

	for (unsigned int i = 0; i < source->count; i++)
		due |= source->fds[i].revents != 0;
	if (!due && !skip_wait)
		return;
	source->last_run_ms = now_ms;
	source->config.ready(source->config.arg, source->fds, source->count);
	for (unsigned int i = 0; i < source->count; i++)
		source->fds[i].revents = 0;
}

static void run_curl_timeouts(struct evloop *evloop)
{
	int64_t now_ms = clk_now_ms(evloop->clk);

	for (uint32_t i = 0; i < LANES; i++) {
		struct lane *lane = &evloop->lanes[i];

		if (lane->due_ms < 0 || now_ms < lane->due_ms)
			continue;
		lane->due_ms = -1;
		run_lane(lane, CURL_SOCKET_TIMEOUT, 0);
	}
}

/* Waits for events; counts the time. */
static int wait_events(struct evloop *evloop, struct epoll_event *events,
		       int wait_ms)
{
	int64_t from_ms = clk_now_ms(evloop->clk);
	int count = epoll_wait(evloop->epoll, events, MAX_EVENTS, wait_ms);

	evloop->waited_ms += clk_now_ms(evloop->clk) - from_ms;
	return count;
}

int64_t evloop_busy_ms(const struct evloop *evloop)
{
	return clk_now_ms(evloop->clk) - evloop->start_ms - evloop->waited_ms;
}

/* The time until the first of libcurl's timeouts, if that is less. */
static int limit_wait(struct evloop *evloop, int wait_ms)
{
	int64_t now_ms = clk_now_ms(evloop->clk);

	if (evloop->skip_wait)
		return 0;
	for (uint32_t i = 0; i < LANES; i++) {
		int64_t due_ms = evloop->lanes[i].due_ms;

		if (due_ms >= 0 && due_ms - now_ms < wait_ms)
			wait_ms = (int)MAX(due_ms - now_ms, 0);
	}
	return wait_ms;
}

static void handle_signals(struct evloop *evloop)
{
	if (stop_requested && evloop->stop_fn) {
		stop_requested = 0;
		evloop->stop_fn(evloop->stop_arg);
	}
	if (reload_requested && evloop->reload_fn) {
		reload_requested = 0;
		evloop->reload_fn(evloop->reload_arg);
	}
}

void evloop_run(struct evloop *evloop)
{
	struct epoll_event events[MAX_EVENTS];

	log_buffered(true);
	evloop->start_ms = clk_now_ms(evloop->clk);
	while (!evloop->stopping) {
		int wait_ms = run_timers(evloop);
		bool skip_wait;
		int count;

		if (evloop->stopping)
			break;
		log_flush();
		for (unsigned int i = 0; i < evloop->source_count; i++)
			watch_source(evloop, i);
		count = wait_events(evloop, events,
				    limit_wait(evloop, wait_ms));
		for (int i = 0; i < count; i++)
			handle_event(evloop, &events[i]);
		run_curl_timeouts(evloop);
		skip_wait = evloop->skip_wait;
		evloop->skip_wait = false;
		for (unsigned int i = 0; i < evloop->source_count; i++)
			run_source(evloop, &evloop->sources[i], skip_wait);
		finish_transfers(evloop);
		handle_signals(evloop);
	}
	log_buffered(false);
}

void evloop_stop(struct evloop *evloop)
{
	evloop->stopping = true;
}

/* If the pipe is full, the loop wakes up anyway. */
static void write_pipe(const struct evloop *evloop)
{
	ssize_t written = write(evloop->pipe[1], "", 1);

	(void)written;
}

void evloop_wake(struct evloop *evloop)
{
	write_pipe(evloop);
}

void evloop_skip_wait(struct evloop *evloop)
{
	evloop->skip_wait = true;
}

static void handle_signal(int number)
{
	if (number == SIGHUP)
		reload_requested = 1;
	else
		stop_requested = 1;
	if (signal_evloop)
		write_pipe(signal_evloop);
}

void evloop_on_stop_signal(struct evloop *evloop, void (*fn)(void *arg),
			   void *arg)
{
	struct sigaction action = { .sa_handler = handle_signal };

	evloop->stop_fn = fn;
	evloop->stop_arg = arg;
	signal_evloop = evloop;
	sigaction(SIGTERM, &action, NULL);
	sigaction(SIGINT, &action, NULL);
	action.sa_handler = SIG_IGN;
	sigaction(SIGPIPE, &action, NULL);
}

void evloop_on_reload_signal(struct evloop *evloop, void (*fn)(void *arg),
			     void *arg)
{
	struct sigaction action = { .sa_handler = handle_signal };

	evloop->reload_fn = fn;
	evloop->reload_arg = arg;
	signal_evloop = evloop;
	sigaction(SIGHUP, &action, NULL);
}
