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
	/* Delay until a target that did not answer is tried again; with
	   RPCFOLLOW_NEWEST it doubles each time. A hung target delays a round
	   by its timeout. */
	BACKOFF_MS = 2000,
	BACKOFF_MAX_MS = 32000,
	/* Answers wanted in a round once there is a state to serve. */
	ANSWERS_PER_ROUND = 4
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

	/* Protected by mutex. */
	bool stopping;
	struct rpcfollow_hello hello;
	char name[LIMIT_NAME_BYTES];
	char data_centre[LIMIT_NAME_BYTES];
	uint32_t quiet_count;
	proto_quiet *quiet;
	bool has_result;
	struct rpcfollow_result result;

	uint32_t rounds;
	uint32_t start; /* target at which the next round begins */
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

/* Connects with a timeout, which the RPC library does not offer. */
static bool connect_target(struct target *target)
{
	struct timeval timeout = { .tv_sec = LIMIT_RPC_TIMEOUT_MS / 1000,
				   .tv_usec =
					   LIMIT_RPC_TIMEOUT_MS % 1000 * 1000 };
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct netbuf netbuf = { .maxlen = sizeof(addr),
				 .len = sizeof(addr),
				 .buf = &addr };
	apr_sockaddr_t *sockaddr;
	apr_socket_t *socket;
	apr_os_sock_t fd;

	apr_pool_create(&target->pool, NULL);
	if (apr_sockaddr_info_get(&sockaddr, target->address, APR_INET,
				  target->port, 0, target->pool) ||
	    apr_socket_create(&socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
			      target->pool))
		return false;
	apr_socket_timeout_set(socket,
			       apr_time_from_msec(LIMIT_RPC_TIMEOUT_MS));
	if (apr_socket_connect(socket, sockaddr))
		return false;
	apr_socket_opt_set(socket, APR_TCP_NODELAY, 1);
	apr_socket_timeout_set(socket, -1);
	apr_os_sock_get(&fd, socket);
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
	memcpy(&addr, &sockaddr->sa.sin, sizeof(addr));
	target->client = clnt_vc_create(fd, &netbuf, PROTO_FLEET, PROTO_V1,
					LIMIT_RPC_BYTES, LIMIT_RPC_BYTES);
	if (!target->client)
		return false;
	clnt_control(target->client, CLSET_TIMEOUT, (char *)&timeout);
	return true;
}

static bool request_status(struct rpcfollow *rpcfollow, struct target *target,
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

/*
 * Keeps the status if its target is ready and has a newer state than those
 * before.
 */
static bool keep_if_newer(struct rpcfollow_result *result, proto_status *status,
			  int64_t asked_ms)
{
	if (!status->ready ||
	    (result->has_status && status->next <= result->status.next)) {
		xdr_free((xdrproc_t)xdr_proto_status, (char *)status);
		return false;
	}
	if (result->has_status)
		xdr_free((xdrproc_t)xdr_proto_status, (char *)&result->status);
	result->status = *status;
	result->has_status = true;
	result->requested_ms = asked_ms;
	return true;
}

/* Requests the status of targets and chooses one by the policy. */
static struct target *choose_target(struct rpcfollow *rpcfollow,
				    proto_hello *hello, bool ask_all,
				    struct rpcfollow_result *result)
{
	uint32_t count = rpcfollow->config.target_count;
	struct target *chosen = NULL;
	uint32_t answers = 0;

	for (uint32_t i = 0; i < count; i++) {
		struct target *target =
			&rpcfollow->targets[(rpcfollow->start + i) % count];
		int64_t asked_ms = clk_now_ms(rpcfollow->config.clk);
		proto_status status;

		if (!request_status(rpcfollow, target, hello, &status))
			continue;
		answers++;
		if (keep_if_newer(result, &status, asked_ms))
			chosen = target;
		/* A target that is behind the caller has no new changes; the
		   next one may have some. */
		if (rpcfollow->config.policy == RPCFOLLOW_FIRST &&
		    chosen == target && result->status.next >= hello->next)
			break;
		if (rpcfollow->config.policy == RPCFOLLOW_NEWEST && !ask_all &&
		    answers == ANSWERS_PER_ROUND)
			break;
	}
	if (rpcfollow->config.policy == RPCFOLLOW_NEWEST && count)
		rpcfollow->start = (rpcfollow->start + answers) % count;
	for (uint32_t i = 0; i < count; i++)
		result->answered += rpcfollow->targets[i].answered;
	return chosen;
}

/* Copies a chunk into the snapshot; the first chunk gives the total length. */
static bool copy_chunk(struct rpcfollow_result *result,
		       const proto_chunk *chunk, int64_t position)
{
	if (chunk->gone || chunk->data.data_len == 0 ||
	    chunk->length > LIMIT_SNAPSHOT_BYTES ||
	    position + chunk->data.data_len > chunk->length)
		return false;
	if (position == 0) {
		free(result->snapshot);
		result->snapshot = malloc((size_t)chunk->length + 1);
		result->snapshot_len = (size_t)chunk->length;
	}
	if (!result->snapshot || result->snapshot_len != (size_t)chunk->length)
		return false;
	memcpy(result->snapshot + position, chunk->data.data_val,
	       chunk->data.data_len);
	return true;
}

static void fetch_snapshot(struct target *target,
			   struct rpcfollow_result *result)
{
	proto_chunk_arg arg = { 0 };
	bool ok;

	do {
		proto_chunk chunk = { 0 };

		ok = proto_snapshot_1(arg, &chunk, target->client) ==
			     RPC_SUCCESS &&
		     copy_chunk(result, &chunk, arg.position);
		arg.next = chunk.next;
		arg.position += chunk.data.data_len;
		xdr_free((xdrproc_t)xdr_proto_chunk, (char *)&chunk);
	} while (ok && arg.position < (int64_t)result->snapshot_len);
	if (ok)
		return;
	free(result->snapshot);
	result->snapshot = NULL;
}

/*
 * The records may be newer than the status. The host list has to be as new as
 * the records, so it is then requested again.
 */
static void fetch_hosts(struct target *target,
			const struct rpcfollow_hello *hello,
			struct rpcfollow_result *result)
{
	proto_hosts_arg arg = { .list_version = hello->hosts_version };
	bool newer =
		result->snapshot ||
		(result->has_tail && result->tail.next > result->status.next);

	if (hello->hosts_version < 0 ||
	    (!newer && result->status.hosts_version == hello->hosts_version))
		return;
	result->has_hosts = proto_hosts_1(arg, &result->hosts,
					  target->client) == RPC_SUCCESS &&
			    result->hosts.list_version != hello->hosts_version;
	if (!result->has_hosts)
		xdr_free((xdrproc_t)xdr_proto_hosts, (char *)&result->hosts);
}

static void fetch(struct target *target, const struct rpcfollow_hello *hello,
		  struct rpcfollow_result *result)
{
	if (result->status.next > hello->next) {
		proto_tail_arg arg = { .from = hello->next,
				       .max = PROTO_TAIL_MAX };

		result->has_tail = proto_tail_1(arg, &result->tail,
						target->client) == RPC_SUCCESS;
		if (!result->has_tail || result->tail.gone)
			xdr_free((xdrproc_t)xdr_proto_tail,
				 (char *)&result->tail);
		if (result->has_tail && result->tail.gone) {
			result->has_tail = false;
			fetch_snapshot(target, result);
		}
	}
	fetch_hosts(target, hello, result);
}

static void run_round(struct rpcfollow *rpcfollow,
		      const struct rpcfollow_hello *hello,
		      struct rpcfollow_result *result)
{
	proto_hello rpc_hello = {
		.name = (char *)hello->name,
		.data_centre = (char *)hello->data_centre,
		.incarnation = hello->incarnation,
		.leaving = hello->leaving,
		.next = hello->next,
		.quiet = { .quiet_len = hello->quiet_count,
			   .quiet_val = (proto_quiet *)hello->quiet },
	};
	struct target *target =
		choose_target(rpcfollow, &rpc_hello, hello->query_all, result);

	if (target)
		fetch(target, hello, result);
	result->rounds = ++rpcfollow->rounds;
}

/* Copies the hello, so that the round runs without the mutex. */
static bool begin_round(struct rpcfollow *rpcfollow,
			struct rpcfollow_hello *hello, char *name,
			char *data_centre)
{
	bool start_round;

	apr_thread_mutex_lock(rpcfollow->mutex);
	start_round = rpcfollow->hello.enabled && !rpcfollow->has_result &&
		      !rpcfollow->stopping;
	if (start_round) {
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
	return start_round;
}

static void *APR_THREAD_FUNC thread_main(apr_thread_t *thread, void *arg)
{
	char name[LIMIT_NAME_BYTES], data_centre[LIMIT_NAME_BYTES];
	struct rpcfollow *rpcfollow = arg;
	bool stopping = false;

	(void)thread;
	while (!stopping) {
		struct rpcfollow_hello hello;
		struct rpcfollow_result result;

		if (begin_round(rpcfollow, &hello, name, data_centre)) {
			memset(&result, 0, sizeof(result));
			run_round(rpcfollow, &hello, &result);
			free_quiet((proto_quiet *)hello.quiet,
				   hello.quiet_count);
			apr_thread_mutex_lock(rpcfollow->mutex);
			rpcfollow->result = result;
			rpcfollow->has_result = true;
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
	    apr_thread_create(&rpcfollow->thread, NULL, thread_main, rpcfollow,
			      pool)) {
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
	if (rpcfollow->has_result)
		rpcfollow_result_clear(&rpcfollow->result);
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

bool rpcfollow_take_result(struct rpcfollow *rpcfollow,
			   struct rpcfollow_result *result)
{
	bool available;

	apr_thread_mutex_lock(rpcfollow->mutex);
	available = rpcfollow->has_result;
	if (available)
		*result = rpcfollow->result;
	rpcfollow->has_result = false;
	apr_thread_mutex_unlock(rpcfollow->mutex);
	return available;
}

void rpcfollow_result_clear(struct rpcfollow_result *result)
{
	if (result->has_status)
		xdr_free((xdrproc_t)xdr_proto_status, (char *)&result->status);
	if (result->has_tail)
		xdr_free((xdrproc_t)xdr_proto_tail, (char *)&result->tail);
	if (result->has_hosts)
		xdr_free((xdrproc_t)xdr_proto_hosts, (char *)&result->hosts);
	free(result->snapshot);
	memset(result, 0, sizeof(*result));
}
