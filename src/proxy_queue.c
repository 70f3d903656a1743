#include "proxy_int.h"

static void record_first_start(struct forward *forward)
{
	struct proxy *proxy = forward->proxy;
	size_t first = proxy->config.first_counter;
	int64_t wait_ms = proxy_now_ms(proxy) - forward->entry.queued_ms;

	proxy_count(proxy, PROXY_STARTED + forward->entry.priority);
	if (forward->entry.priority != ADMIT_URGENT)
		return;
	counters_add(proxy->config.counters, first + PROXY_URGENT_WAIT_SUM_MS,
		     wait_ms);
	if (wait_ms > counters_get(proxy->config.counters,
				   first + PROXY_URGENT_WAIT_MAX_MS))
		counters_set(proxy->config.counters,
			     first + PROXY_URGENT_WAIT_MAX_MS, wait_ms);
}

/* Handles a request that got no worker; false if the pool must wait. */
static bool handle_start_failure(struct forward *forward, int status,
				 bool has_slots)
{
	struct proxy *proxy = forward->proxy;
	int64_t *stalled_since =
		admit_pool_stalled_since_ms(forward->entry.pool);

	if (status == ERR_OVERLOAD) {
		/* Other requests may still use the workers that this one has
		   tried, so they go first. */
		if (forward->tried_count)
			admit_push_back(proxy->admit, &forward->entry);
		else
			admit_push_front(proxy->admit, &forward->entry);
		return forward->tried_count > 0;
	}
	if (forward->tried_count) {
		admit_end(proxy->admit, &forward->entry, false,
			  proxy_now_ms(proxy));
		proxy_end_failed(forward, forward->failure.kind,
				 forward->failure.text);
		return true;
	}
	if (status == ERR_NO_WORKER && has_slots) {
		/* All workers are avoided for a while, after refusals or
		   failures. */
		if (!*stalled_since)
			*stalled_since = proxy_now_ms(proxy);
		if (proxy_now_ms(proxy) - *stalled_since <
		    LIMIT_NO_WORKER_WAIT_MS) {
			admit_push_front(proxy->admit, &forward->entry);
			return false;
		}
	}
	admit_end(proxy->admit, &forward->entry, false, proxy_now_ms(proxy));
	proxy_end_failed(forward, status, proxy_failure_text(forward, status));
	return true;
}

void proxy_queue_expire(void *arg, struct admit_entry *entry)
{
	struct forward *forward = (struct forward *)entry;
	struct proxy *proxy = arg;

	proxy_count(proxy, PROXY_EXPIRED + entry->priority);
	forward->retry_ms = admit_expected_wait(entry->pool, entry->priority);
	if (forward->may_have_run)
		proxy_end_failed(forward, forward->failure.kind,
				 forward->failure.text);
	else
		proxy_end_failed(forward, ERR_EXPIRED,
				 err_answer(ERR_EXPIRED)->message);
}

/* Starts a request taken from its queue; false if the pool must wait. */
static bool start_request(struct forward *forward, bool has_slots)
{
	struct proxy *proxy = forward->proxy;
	int status;

	/* After a pause of the process, this may run before the tick that
	   expires queued requests. */
	if (proxy_now_ms(proxy) >= forward->entry.deadline_ms) {
		admit_end(proxy->admit, &forward->entry, false,
			  proxy_now_ms(proxy));
		proxy_queue_expire(proxy, &forward->entry);
		return true;
	}
	status = proxy_pick_worker(forward);
	if (status < 0)
		return handle_start_failure(forward, status, has_slots);
	*admit_pool_stalled_since_ms(forward->entry.pool) = 0;
	if (!forward->started)
		record_first_start(forward);
	forward->started = true;
	forward->stage = FORWARD_SENDING;
	proxy_send(forward, proxy->config.evloop);
	return true;
}

/* Updates the pool's slots from its capacity; false if it has none. */
static bool update_slots(struct proxy *proxy, struct admit_pool *pool)
{
	struct route_capacity capacity;

	route_pool_capacity(proxy->config.route, admit_pool_team(pool),
			    admit_pool_name(pool), &capacity);
	admit_set_slots(pool, capacity.slots, capacity.in_flight);
	return capacity.slots > 0;
}

static void fail_all_queued(struct proxy *proxy, struct admit_pool *pool)
{
	struct admit_entry *entry;

	while ((entry = admit_first(pool))) {
		admit_remove(proxy->admit, entry);
		proxy_end_failed((struct forward *)entry, ERR_NO_WORKER,
				 "the pool has no serving worker");
	}
}

static void dispatch_pool(struct proxy *proxy, struct admit_pool *pool)
{
	/* The initial count keeps requeued requests from being tried twice. */
	uint32_t remaining = admit_pool_queued(pool);
	struct admit_entry *entry;
	bool has_slots;

	if (!remaining)
		return;
	has_slots = update_slots(proxy, pool);
	if (!has_slots)
		fail_all_queued(proxy, pool);
	while (remaining-- > 0 &&
	       (entry = admit_take(proxy->admit, pool, proxy_now_ms(proxy))))
		if (!start_request((struct forward *)entry, has_slots))
			break;
}

void proxy_dispatch(struct proxy *proxy)
{
	/* A transfer that cannot be set up ends inside the loop below, which
	   calls this function again. */
	proxy->dispatch_again = true;
	if (proxy->dispatching)
		return;
	proxy->dispatching = true;
	while (proxy->dispatch_again) {
		struct admit_pool *pool = NULL;

		proxy->dispatch_again = false;
		while ((pool = admit_next_pool(proxy->admit, pool)))
			dispatch_pool(proxy, pool);
	}
	proxy->dispatching = false;
}

void proxy_queue_shed(struct forward *forward)
{
	proxy_count(forward->proxy, PROXY_SHED + forward->entry.priority);
	proxy_end_failed(
		forward, ERR_OVERLOAD,
		"the expected wait exceeds the deadline, or the queue is "
		"full");
}

void proxy_enqueue(struct forward *forward)
{
	struct proxy *proxy = forward->proxy;

	forward->stage = FORWARD_QUEUED;
	if (proxy_now_ms(proxy) >= forward->entry.deadline_ms)
		proxy_queue_expire(proxy, &forward->entry);
	else if (admit_push(proxy->admit, &forward->entry, proxy_now_ms(proxy),
			    &forward->retry_ms) < 0)
		proxy_queue_shed(forward);
	else
		proxy_dispatch(proxy);
}
