#include "web_budget.h"

#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "limit.h"
#include "log.h"
#include "tcp.h"
#include "web_int.h"

enum {
	LOG_MS = 1000,	/* between two log lines */
	TRIM_MS = 5000, /* between two returns of memory to the system */
	RETRY_AFTER_S = 1,
	RETRY_AFTER_SPREAD_S = 3,
	CONNECTION_BYTES = 2048 /* structures of a connection */
};

int64_t web_connection_bytes(const struct web_sizes *sizes)
{
	int64_t pool =
		sizes->pool_bytes ? sizes->pool_bytes : LIMIT_HEAD_READ_BYTES;

	return CONNECTION_BYTES + pool +
	       2 * ((int64_t)sizes->receive_bytes + sizes->send_bytes);
}

int64_t web_max_fds(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur > INT32_MAX)
		return INT32_MAX;
	return (int64_t)limit.rlim_cur;
}

static void note_held(struct web *web, int64_t bytes)
{
	if (bytes > web->peak_bytes)
		web->peak_bytes = bytes;
}

struct budget *web_budget_of(const struct web_exchange *ex)
{
	return ex->connection ? ex->web->config.budget : NULL;
}

enum budget_reason web_budget_handle(struct web_exchange *ex)
{
	struct web *web = ex->web;
	struct budget *budget = web->config.budget;
	int64_t decoded = 0;
	enum budget_reason reason;

	if (web->config.decoded_bytes && ex->request.body_len)
		decoded = web->config.decoded_bytes(ex->request.body,
						    ex->request.body_len);
	reason = budget_handle(budget, &ex->connection->client, decoded,
			       web_now_ms(web));
	if (reason == BUDGET_OK)
		note_held(web, budget_stats(budget)->held_bytes + decoded);
	return reason;
}

static int64_t sum(const int64_t counts[BUDGET_REASON_COUNT])
{
	int64_t total = 0;

	for (int i = 0; i < BUDGET_REASON_COUNT; i++)
		total += counts[i];
	return total;
}

void web_retry_after(const struct web *web, char *text, size_t size)
{
	int64_t refused =
		web->config.budget
			? sum(budget_stats(web->config.budget)->refused)
			: 0;

	snprintf(text, size, "%d",
		 RETRY_AFTER_S + (int)(refused % RETRY_AFTER_SPREAD_S));
}

/* The library closes a connection that is shut down. */
static bool shut_down(void *arg, struct budget_client *client,
		      enum budget_reason reason)
{
	struct web_connection *connection = (struct web_connection *)client;

	(void)arg;
	if (connection->fd < 0)
		return false;
	if (reason == BUDGET_HEAD_LATE && !client->used &&
	    !tcp_bytes(connection->fd).received)
		return false;
	shutdown(connection->fd, SHUT_RDWR);
	return true;
}

/* Idle connections are closed in calm too, and tell nothing. */
static void log_changes(struct web *web, const struct budget_stats *stats)
{
	int64_t count = sum(stats->refused) + sum(stats->closed) -
			stats->closed[BUDGET_IDLE];
	int64_t now_ms = web_now_ms(web);

	if (count == web->logged_count || now_ms - web->logged_ms < LOG_MS)
		return;
	log_warn("clients-refused refused=%lld closed=%lld stalled=%lld "
		 "connections=%lld held_bytes=%lld max_bytes=%lld",
		 (long long)sum(stats->refused), (long long)sum(stats->closed),
		 (long long)stats->closed[BUDGET_STALLED],
		 (long long)stats->connections, (long long)stats->held_bytes,
		 (long long)budget_config(web->config.budget)->max_bytes);
	web->logged_count = count;
	web->logged_ms = now_ms;
}

/*
 * Returns freed memory to the system once much less is held than before. The
 * allocator keeps it otherwise, as some block at its end is in use.
 */
static void trim_memory(struct web *web, const struct budget_stats *stats)
{
	int64_t now_ms = web_now_ms(web);

	note_held(web, stats->held_bytes);
	if (web->peak_bytes <
		    budget_config(web->config.budget)->max_bytes / 4 ||
	    stats->held_bytes > web->peak_bytes / 2 ||
	    now_ms - web->trim_ms < TRIM_MS)
		return;
	malloc_trim(0);
	web->trim_ms = now_ms;
	web->peak_bytes = stats->held_bytes;
}

void web_tick(struct web *web)
{
	struct budget *budget = web->config.budget;

	if (!budget)
		return;
	budget_sweep(budget, web_now_ms(web), shut_down, web);
	log_changes(web, budget_stats(budget));
	trim_memory(web, budget_stats(budget));
}
