#include "rpcfollow.h"

#include <stdlib.h>
#include <string.h>

#include <apr_network_io.h>
#include <apr_portable.h>
#include <apr_strings.h>
#include <apr_thread_cond.h>
#include <apr_thread_mutex.h>
#include <apr_thread_proc.h>

#include "limit.h"

enum {
	/* A target that did not answer is left alone for this long, and twice
	   as long each time. A hung one holds up a round for its timeout. */
	BACKOFF_MS = 2000,
	BACKOFF_MAX_MS = 32000,
	/* Targets asked in a round once there is a state to serve. */
	ASKED_PER_ROUND = 4
};

struct target {
	const char *address;
	uint16_t port;
	apr_pool_t *pool; /* of the connection */
	CLIENT *client;
	int64_t retry_ms;
	int64_t backoff_ms;
	bool answered; /* at least once */
};

struct rpcfollow {
	struct rpcfollow_config config;
	apr_pool_t *pool;
	apr_thread_t *thread;
	apr_thread_mutex_t *mutex;
	apr_thread_cond_t *cond;
	struct target *targets;

	/* Under the mutex. */
	bool stopping;
	struct rpcfollow_hello hello;
	char name[LIMIT_NAME_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	uint32_t quiet_count;
	proto_quiet *quiet;
	bool news_full;
	struct rpcfollow_news news;

	uint32_t rounds;
	uint32_t start; /* target to begin the next round with */
};

static void free_quiet(proto_quiet *quiet, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++)
		free(quiet[i].host);
	free(quiet);
}

static proto_quiet *copy_quiet(const proto_quiet *quiet, uint32_t count)
{
	proto_quiet *copy = calloc(count + 1, sizeof(*copy));

	for (uint32_t i = 0; copy && i < count; i++) {
		copy[i].host = strdup(quiet[i].host);
		copy[i].drain = quiet[i].drain;
	}
	return copy;
}

static void disconnect(struct target *target)
{
	if (target->client)
		clnt_destroy(target->client);
	if (target->pool)
		apr_pool_destroy(target->pool);
	target->client = NULL;
	target->pool = NULL;
}

/* Connects with a time limit, which the RPC library does not offer. */
static bool connect_target(struct target *target)
{
	struct timeval timeout = { .tv_sec = LIMIT_RPC_TIMEOUT_MS / 1000,
				   .tv_usec =
					   LIMIT_RPC_TIMEOUT_MS % 1000 * 1000 };
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct netbuf netbuf = { .maxlen = sizeof(addr),
				 .len = sizeof(addr),
				 .buf = &addr };
	apr_sockaddr_t *where;
	apr_socket_t *socket;
	apr_os_sock_t fd;

	apr_pool_create(&target->pool, NULL);
	if (apr_sockaddr_info_get(&where, target->address, APR_INET,
				  target->port, 0, target->pool) ||
	    apr_socket_create(&socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
			      target->pool))
		return false;
	apr_socket_timeout_set(socket,
			       apr_time_from_msec(LIMIT_RPC_TIMEOUT_MS));
	if (apr_socket_connect(socket, where))
		return false;
	apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
	apr_socket_timeout_set(socket, -1);
	apr_os_sock_get(&fd, socket);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	memcpy(&addr, &where->sa.sin, sizeof(addr));
	target->client = clnt_vc_create(fd, &netbuf, PROTO_FLEET, PROTO_V1,
					LIMIT_RPC_BYTES, LIMIT_RPC_BYTES);
	if (!target->client)
		return false;
	clnt_control(target->client, CLSET_TIMEOUT, (char *)&timeout);
	return true;
}

static bool ask_status(struct rpcfollow *rpcfollow, struct target *target,
		       proto_hello *hello, proto_status *status)
{
	int64_t now_ms = clk_now_ms(rpcfollow->config.clk);

	if (now_ms < target->retry_ms)
		return false;
	memset(status, 0, sizeof(*status));
	if ((target->client || connect_target(target)) &&
	    proto_status_1(*hello, status, target->client) == RPC_SUCCESS) {
		target->answered = true;
		target->backoff_ms = BACKOFF_MS;
		return true;
	}
	xdr_free((xdrproc_t)xdr_proto_status, (char *)status);
	disconnect(target);
	if (target->backoff_ms < BACKOFF_MS)
		target->backoff_ms = BACKOFF_MS;
	target->retry_ms = now_ms + target->backoff_ms;
	if (rpcfollow->config.policy == RPCFOLLOW_NEWEST &&
	    target->backoff_ms < BACKOFF_MAX_MS)
		target->backoff_ms *= 2;
	return false;
}

/* Keeps the status if its target is a better one to follow. */
static bool take_status(struct rpcfollow_news *news, proto_status *status,
			int64_t asked_ms)
{
	if (!status->ready ||
	    (news->has_status && status->next <= news->status.next)) {
		xdr_free((xdrproc_t)xdr_proto_status, (char *)status);
		return false;
	}
	if (news->has_status)
		xdr_free((xdrproc_t)xdr_proto_status, (char *)&news->status);
	news->status = *status;
	news->has_status = true;
	news->asked_ms = asked_ms;
	return true;
}

/* Asks targets for their status and chooses one by the policy. */
static struct target *choose(struct rpcfollow *rpcfollow, proto_hello *hello,
			     bool ask_all, struct rpcfollow_news *news)
{
	uint32_t count = rpcfollow->config.target_count;
	struct target *chosen = NULL;
	uint32_t asked = 0;

	for (uint32_t i = 0; i < count; i++) {
		struct target *target =
			&rpcfollow->targets[(rpcfollow->start + i) % count];
		int64_t asked_ms = clk_now_ms(rpcfollow->config.clk);
		proto_status status;

		if (!ask_status(rpcfollow, target, hello, &status))
			continue;
		asked++;
		if (take_status(news, &status, asked_ms))
			chosen = target;
		/* One that is behind cannot tell of newer changes. */
		if (rpcfollow->config.policy == RPCFOLLOW_FIRST &&
		    chosen == target && news->status.next >= hello->next)
			break;
		if (rpcfollow->config.policy == RPCFOLLOW_NEWEST && !ask_all &&
		    asked == ASKED_PER_ROUND)
			break;
	}
	if (rpcfollow->config.policy == RPCFOLLOW_NEWEST && count)
		rpcfollow->start = (rpcfollow->start + asked) % count;
	for (uint32_t i = 0; i < count; i++)
		news->answered += rpcfollow->targets[i].answered;
	return chosen;
}

/* Adds a chunk to the snapshot, whose length the first chunk gives. */
static bool take_chunk(struct rpcfollow_news *news, const proto_chunk *chunk,
		       int64_t position)
{
	if (chunk->gone || chunk->data.data_len == 0 ||
	    chunk->length > LIMIT_SNAPSHOT_BYTES ||
	    position + chunk->data.data_len > chunk->length)
		return false;
	if (position == 0) {
		free(news->snapshot);
		news->snapshot = malloc((size_t)chunk->length + 1);
		news->snapshot_len = (size_t)chunk->length;
	}
	if (!news->snapshot || news->snapshot_len != (size_t)chunk->length)
		return false;
	memcpy(news->snapshot + position, chunk->data.data_val,
	       chunk->data.data_len);
	return true;
}

static void fetch_snapshot(struct target *target, struct rpcfollow_news *news)
{
	proto_chunk_arg arg = { 0 };
	bool ok;

	do {
		proto_chunk chunk = { 0 };

		ok = proto_snapshot_1(arg, &chunk, target->client) ==
			     RPC_SUCCESS &&
		     take_chunk(news, &chunk, arg.position);
		arg.next = chunk.next;
		arg.position += chunk.data.data_len;
		xdr_free((xdrproc_t)xdr_proto_chunk, (char *)&chunk);
	} while (ok && arg.position < (int64_t)news->snapshot_len);
	if (ok)
		return;
	free(news->snapshot);
	news->snapshot = NULL;
}

/*
 * The records may go past those that the status was made with; the list has to
 * be as new as they are.
 */
static void fetch_hosts(struct target *target,
			const struct rpcfollow_hello *hello,
			struct rpcfollow_news *news)
{
	proto_hosts_arg arg = { .list_version = hello->hosts_version };
	bool newer = news->snapshot ||
		     (news->has_tail && news->tail.next > news->status.next);

	if (hello->hosts_version < 0 ||
	    (!newer && news->status.hosts_version == hello->hosts_version))
		return;
	news->has_hosts = proto_hosts_1(arg, &news->hosts, target->client) ==
				  RPC_SUCCESS &&
			  news->hosts.list_version != hello->hosts_version;
	if (!news->has_hosts)
		xdr_free((xdrproc_t)xdr_proto_hosts, (char *)&news->hosts);
}

static void fetch(struct target *target, const struct rpcfollow_hello *hello,
		  struct rpcfollow_news *news)
{
	if (news->status.next > hello->next) {
		proto_tail_arg arg = { .from = hello->next,
				       .max = PROTO_TAIL_MAX };

		news->has_tail = proto_tail_1(arg, &news->tail,
					      target->client) == RPC_SUCCESS;
		if (!news->has_tail || news->tail.gone)
			xdr_free((xdrproc_t)xdr_proto_tail,
				 (char *)&news->tail);
		if (news->has_tail && news->tail.gone) {
			news->has_tail = false;
			fetch_snapshot(target, news);
		}
	}
	fetch_hosts(target, hello, news);
}

static void run_round(struct rpcfollow *rpcfollow,
		      const struct rpcfollow_hello *hello,
		      struct rpcfollow_news *news)
{
	proto_hello wire = {
		.name = (char *)hello->name,
		.data_centre = (char *)hello->data_centre,
		.incarnation = hello->incarnation,
		.leaving = hello->leaving,
		.next = hello->next,
		.quiet = { .quiet_len = hello->quiet_count,
			   .quiet_val = (proto_quiet *)hello->quiet },
	};
	struct target *target = choose(rpcfollow, &wire, hello->ask_all, news);

	if (target)
		fetch(target, hello, news);
	news->rounds = ++rpcfollow->rounds;
}

/* Copies the hello for a round; the thread then owns the strings. */
static bool begin_round(struct rpcfollow *rpcfollow,
			struct rpcfollow_hello *hello, char *name,
			char *data_centre)
{
	bool go;

	apr_thread_mutex_lock(rpcfollow->mutex);
	go = rpcfollow->hello.enabled && !rpcfollow->news_full &&
	     !rpcfollow->stopping;
	if (go) {
		*hello = rpcfollow->hello;
		memcpy(name, rpcfollow->name, LIMIT_NAME_BYTES);
		memcpy(data_centre, rpcfollow->data_centre, LIMIT_NAME_BYTES);
		hello->name = name;
		hello->data_centre = data_centre;
		hello->quiet =
			copy_quiet(rpcfollow->quiet, rpcfollow->quiet_count);
		hello->quiet_count = rpcfollow->quiet_count;
	}
	apr_thread_mutex_unlock(rpcfollow->mutex);
	return go;
}

static void *APR_THREAD_FUNC run(apr_thread_t *thread, void *arg)
{
	char name[LIMIT_NAME_BYTES], data_centre[LIMIT_NAME_BYTES];
	struct rpcfollow *rpcfollow = arg;
	bool stopping = false;

	(void)thread;
	while (!stopping) {
		struct rpcfollow_hello hello;
		struct rpcfollow_news news;

		if (begin_round(rpcfollow, &hello, name, data_centre)) {
			memset(&news, 0, sizeof(news));
			run_round(rpcfollow, &hello, &news);
			free_quiet((proto_quiet *)hello.quiet,
				   hello.quiet_count);
			apr_thread_mutex_lock(rpcfollow->mutex);
			rpcfollow->news = news;
			rpcfollow->news_full = true;
			apr_thread_mutex_unlock(rpcfollow->mutex);
			rpcfollow->config.wake(rpcfollow->config.arg);
		}
		apr_thread_mutex_lock(rpcfollow->mutex);
		if (!rpcfollow->stopping)
			apr_thread_cond_timedwait(
				rpcfollow->cond, rpcfollow->mutex,
				apr_time_from_msec(
					rpcfollow->config.interval_ms));
		stopping = rpcfollow->stopping;
		apr_thread_mutex_unlock(rpcfollow->mutex);
	}
	return NULL;
}

struct rpcfollow *rpcfollow_create(const struct rpcfollow_config *config)
{
	apr_pool_t *pool;
	struct rpcfollow *rpcfollow;

	apr_pool_create(&pool, NULL);
	rpcfollow = apr_pcalloc(pool, sizeof(*rpcfollow));
	rpcfollow->pool = pool;
	rpcfollow->config = *config;
	rpcfollow->targets = apr_pcalloc(
		pool, (config->target_count + 1) * sizeof(*rpcfollow->targets));
	for (uint32_t i = 0; i < config->target_count; i++) {
		rpcfollow->targets[i].address =
			apr_pstrdup(pool, config->targets[i].address);
		rpcfollow->targets[i].port = config->targets[i].port;
	}
	if (apr_thread_mutex_create(&rpcfollow->mutex, APR_THREAD_MUTEX_DEFAULT,
				    pool) ||
	    apr_thread_cond_create(&rpcfollow->cond, pool) ||
	    apr_thread_create(&rpcfollow->thread, NULL, run, rpcfollow, pool)) {
		apr_pool_destroy(pool);
		return NULL;
	}
	return rpcfollow;
}

void rpcfollow_destroy(struct rpcfollow *rpcfollow)
{
	apr_status_t ignored;

	if (!rpcfollow)
		return;
	apr_thread_mutex_lock(rpcfollow->mutex);
	rpcfollow->stopping = true;
	apr_thread_cond_signal(rpcfollow->cond);
	apr_thread_mutex_unlock(rpcfollow->mutex);
	apr_thread_join(&ignored, rpcfollow->thread);
	if (rpcfollow->news_full)
		rpcfollow_news_clear(&rpcfollow->news);
	for (uint32_t i = 0; i < rpcfollow->config.target_count; i++)
		disconnect(&rpcfollow->targets[i]);
	free_quiet(rpcfollow->quiet, rpcfollow->quiet_count);
	apr_pool_destroy(rpcfollow->pool);
}

void rpcfollow_set_hello(struct rpcfollow *rpcfollow,
			 const struct rpcfollow_hello *hello)
{
	apr_thread_mutex_lock(rpcfollow->mutex);
	free_quiet(rpcfollow->quiet, rpcfollow->quiet_count);
	rpcfollow->hello = *hello;
	apr_cpystrn(rpcfollow->name, hello->name, sizeof(rpcfollow->name));
	apr_cpystrn(rpcfollow->data_centre, hello->data_centre,
		    sizeof(rpcfollow->data_centre));
	rpcfollow->quiet = copy_quiet(hello->quiet, hello->quiet_count);
	rpcfollow->quiet_count = hello->quiet_count;
	apr_thread_mutex_unlock(rpcfollow->mutex);
}

bool rpcfollow_take(struct rpcfollow *rpcfollow, struct rpcfollow_news *news)
{
	bool full;

	apr_thread_mutex_lock(rpcfollow->mutex);
	full = rpcfollow->news_full;
	if (full)
		*news = rpcfollow->news;
	rpcfollow->news_full = false;
	apr_thread_mutex_unlock(rpcfollow->mutex);
	return full;
}

void rpcfollow_news_clear(struct rpcfollow_news *news)
{
	if (news->has_status)
		xdr_free((xdrproc_t)xdr_proto_status, (char *)&news->status);
	if (news->has_tail)
		xdr_free((xdrproc_t)xdr_proto_tail, (char *)&news->tail);
	if (news->has_hosts)
		xdr_free((xdrproc_t)xdr_proto_hosts, (char *)&news->hosts);
	free(news->snapshot);
	memset(news, 0, sizeof(*news));
}
