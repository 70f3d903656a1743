#include "budget.h"

#include <stdlib.h>

#include <glib.h>

enum {
	/* Parts of a bound, in percent. */
	LARGE_PERCENT = 75,   /* up to which requests with large bodies */
	SMALL_PERCENT = 87,   /* and small ones are admitted */
	ADDRESS_PERCENT = 80, /* that one address may hold */
	SWEPT_BYTES_PERCENT = 50,
	SWEPT_CONNECTIONS_PERCENT = 60,
	NEAR_CONNECTIONS_PERCENT = 87,
	/* Of the memory for clients, and of that for open connections. */
	MEMORY_PERCENT = 50,
	CONNECTION_MEMORY_PERCENT = 75,
	/* Descriptors for all but clients; of the others, each client takes one,
	   and its request may take one more to a backend server. */
	OTHER_FDS = 128,
	MIN_CONNECTIONS = 16,
	PRESSED_SWEEPS = 1 + 2 * BUDGET_STALLED_MS / BUDGET_SWEEP_MS,
	CHECK_MS = 1000, /* between two looks at a new connection */
	/* Near a bound, a body has to reach the minimum rate after this. */
	PRESSED_GRACE_MS = 2000
};

/* What the clients of one address hold together. */
struct budget_address {
	uint32_t address;
	uint32_t connections;
	int64_t held;
};

struct budget {
	struct budget_config config;
	struct budget_stats stats;
	struct budget_client *first;
	GHashTable *addresses; /* by uint32_t */
	/* Sweeps for which a refusal counts: connections that had progress
	   shortly before it are stalled only later. */
	int pressed_sweeps;
	int64_t swept_ms;
	GPtrArray *candidates; /* scratch of the sweep */
};

static int64_t part(int64_t bound, int percent)
{
	return bound / 100 * percent + bound % 100 * percent / 100;
}

void budget_derive(struct budget_config *config, int64_t memory_bytes,
		   int64_t max_fds)
{
	int64_t by_memory;
	int64_t count = (max_fds - OTHER_FDS) / 2;

	if (!config->max_bytes)
		config->max_bytes = part(memory_bytes, MEMORY_PERCENT);
	if (config->max_connections)
		return;
	by_memory = part(config->max_bytes, CONNECTION_MEMORY_PERCENT) /
		    (config->connection_bytes ? config->connection_bytes : 1);
	if (count > by_memory)
		count = by_memory;
	if (count > BUDGET_MAX_CONNECTIONS)
		count = BUDGET_MAX_CONNECTIONS;
	if (count < MIN_CONNECTIONS)
		count = MIN_CONNECTIONS;
	config->max_connections = (uint32_t)count;
}

struct budget *budget_create(const struct budget_config *config)
{
	struct budget *budget = g_new0(struct budget, 1);

	budget->config = *config;
	budget->addresses =
		g_hash_table_new_full(g_int_hash, g_int_equal, NULL, g_free);
	budget->candidates = g_ptr_array_new();
	return budget;
}

void budget_destroy(struct budget *budget)
{
	if (!budget)
		return;
	g_hash_table_destroy(budget->addresses);
	g_ptr_array_free(budget->candidates, TRUE);
	g_free(budget);
}

void budget_set_times(struct budget *budget, int64_t head_ms, int64_t idle_ms)
{
	budget->config.head_ms = head_ms;
	budget->config.idle_ms = idle_ms;
}

const struct budget_config *budget_config(const struct budget *budget)
{
	return &budget->config;
}

const struct budget_stats *budget_stats(const struct budget *budget)
{
	return &budget->stats;
}

static void charge(struct budget *budget, struct budget_client *client,
		   int64_t bytes)
{
	client->held += bytes;
	client->address->held += bytes;
	budget->stats.held_bytes += bytes;
	if (budget->stats.held_bytes > budget->stats.most_held_bytes)
		budget->stats.most_held_bytes = budget->stats.held_bytes;
}

static void set_state(struct budget_client *client, enum budget_state state,
		      int64_t now_ms)
{
	client->state = state;
	client->transferred = 0;
	client->since_ms = now_ms;
	client->progress_ms = now_ms;
}

static struct budget_address *address_of(struct budget *budget,
					 uint32_t address)
{
	struct budget_address *found =
		g_hash_table_lookup(budget->addresses, &address);

	if (found)
		return found;
	found = g_new0(struct budget_address, 1);
	found->address = address;
	g_hash_table_insert(budget->addresses, &found->address, found);
	return found;
}

static enum budget_reason refuse(struct budget *budget,
				 enum budget_reason reason)
{
	budget->pressed_sweeps = PRESSED_SWEEPS;
	budget->stats.refused[reason]++;
	return reason;
}

void budget_open(struct budget *budget, struct budget_client *client,
		 uint32_t address, int64_t now_ms)
{
	*client = (struct budget_client){ .next = budget->first };
	if (budget->first)
		budget->first->prev = client;
	budget->first = client;
	client->address = address_of(budget, address);
	client->address->connections++;
	budget->stats.connections++;
	set_state(client, BUDGET_STATE_IDLE, now_ms);
	charge(budget, client, budget->config.connection_bytes);
	client->refused =
		budget->stats.connections > budget->config.max_connections ||
		client->address->connections >
			part(budget->config.max_connections, ADDRESS_PERCENT);
	if (client->refused)
		budget->pressed_sweeps = PRESSED_SWEEPS;
}

void budget_close(struct budget *budget, struct budget_client *client)
{
	if (!client->address)
		return;
	charge(budget, client, -client->held);
	budget->stats.connections--;
	if (!--client->address->connections)
		g_hash_table_remove(budget->addresses,
				    &client->address->address);
	client->address = NULL;
	if (client->prev)
		client->prev->next = client->next;
	else
		budget->first = client->next;
	if (client->next)
		client->next->prev = client->prev;
}

void budget_begin(struct budget *budget, struct budget_client *client,
		  int64_t now_ms)
{
	client->used = true;
	set_state(client, BUDGET_STATE_HEAD, now_ms);
	charge(budget, client, budget->config.request_bytes);
}

/* Whether more bytes would bring the process or the address over its part. */
static enum budget_reason check_bytes(const struct budget *budget,
				      const struct budget_client *client,
				      int64_t bytes, int percent)
{
	int64_t bound = part(budget->config.max_bytes, percent);

	if (budget->stats.held_bytes + bytes > bound)
		return BUDGET_BYTES;
	/* Another address has to be able to get the rest. */
	if (client->address->held + bytes > part(bound, ADDRESS_PERCENT))
		return BUDGET_ADDRESS;
	return BUDGET_OK;
}

enum budget_reason budget_admit(struct budget *budget,
				struct budget_client *client, int64_t announced,
				int64_t now_ms)
{
	bool small = announced >= 0 && announced <= BUDGET_SMALL_BYTES;
	enum budget_reason reason;

	set_state(client, BUDGET_STATE_BODY, now_ms);
	if (client->refused)
		return refuse(budget,
			      budget->stats.connections >
					      budget->config.max_connections
				      ? BUDGET_CONNECTIONS
				      : BUDGET_ADDRESS);
	reason = check_bytes(budget, client, announced > 0 ? announced : 0,
			     small ? SMALL_PERCENT : LARGE_PERCENT);
	return reason == BUDGET_OK ? reason : refuse(budget, reason);
}

enum budget_reason budget_grow(struct budget *budget,
			       struct budget_client *client, int64_t new_size)
{
	int64_t bytes = new_size - client->body_held;
	enum budget_reason reason = check_bytes(budget, client, bytes, 100);

	if (reason != BUDGET_OK)
		return refuse(budget, reason);
	charge(budget, client, bytes);
	client->body_held = new_size;
	return BUDGET_OK;
}

void budget_progress(struct budget_client *client, int64_t bytes,
		     int64_t now_ms)
{
	client->transferred += bytes;
	client->progress_ms = now_ms;
}

enum budget_reason budget_handle(struct budget *budget,
				 struct budget_client *client,
				 int64_t passing_bytes, int64_t now_ms)
{
	int64_t copies =
		budget->config.body_copies ? budget->config.body_copies - 1 : 0;
	int64_t bytes = copies * client->transferred;
	enum budget_reason reason =
		check_bytes(budget, client, bytes + passing_bytes, 100);

	set_state(client, BUDGET_STATE_HANDLED, now_ms);
	if (reason != BUDGET_OK)
		return refuse(budget, reason);
	charge(budget, client, bytes);
	client->body_held += bytes;
	return BUDGET_OK;
}

void budget_refused(struct budget *budget, enum budget_reason reason)
{
	budget->stats.refused[reason]++;
}

void budget_answer(struct budget *budget, struct budget_client *client,
		   int64_t bytes, int64_t now_ms)
{
	charge(budget, client, bytes);
	set_state(client, BUDGET_STATE_ANSWER, now_ms);
	client->transferred = bytes;
}

void budget_end(struct budget *budget, struct budget_client *client,
		int64_t now_ms)
{
	charge(budget, client, budget->config.connection_bytes - client->held);
	client->body_held = 0;
	set_state(client, BUDGET_STATE_IDLE, now_ms);
}

/* Whether a transfer since since_ms is below the minimum rate. */
static bool too_slow(const struct budget_client *client, int64_t bytes,
		     int64_t now_ms)
{
	int64_t took_ms = now_ms - client->since_ms;

	return took_ms > BUDGET_MAX_TRANSFER_MS ||
	       took_ms > BUDGET_GRACE_MS + bytes * 1000 / BUDGET_MIN_RATE;
}

/* An idle connection that is new may have sent part of a header. */
static bool may_be_late(const struct budget *budget,
			const struct budget_client *client, int64_t now_ms)
{
	return !client->used &&
	       now_ms - client->since_ms > budget->config.head_ms &&
	       now_ms - client->checked_ms >= CHECK_MS;
}

static enum budget_reason exceeded_time(const struct budget *budget,
					const struct budget_client *client,
					int64_t now_ms)
{
	int64_t took_ms = now_ms - client->since_ms;

	switch (client->state) {
	case BUDGET_STATE_IDLE:
		if (took_ms > budget->config.idle_ms)
			return BUDGET_IDLE;
		return may_be_late(budget, client, now_ms) ? BUDGET_HEAD_LATE
							   : BUDGET_OK;
	case BUDGET_STATE_HEAD:
		return took_ms > budget->config.head_ms ? BUDGET_HEAD_LATE
							: BUDGET_OK;
	case BUDGET_STATE_BODY:
		/* The library may miss that a client has gone which it read
		   late: libmicrohttpd 0.9.75 asks for events by edge, and does
		   not read on after a short read. */
		return now_ms - client->progress_ms > BUDGET_GRACE_MS ||
				       too_slow(client, client->transferred,
						now_ms)
			       ? BUDGET_BODY_SLOW
			       : BUDGET_OK;
	case BUDGET_STATE_ANSWER:
		return too_slow(client, client->transferred, now_ms)
			       ? BUDGET_ANSWER_SLOW
			       : BUDGET_OK;
	case BUDGET_STATE_HANDLED:
		break;
	}
	return BUDGET_OK;
}

/* Time since which a connection has made no progress, or too little. */
static int64_t stalled_since_ms(const struct budget_client *client,
				int64_t now_ms)
{
	int64_t took_ms = now_ms - client->since_ms;

	if (client->state == BUDGET_STATE_BODY && took_ms > PRESSED_GRACE_MS &&
	    took_ms > client->transferred * 1000 / BUDGET_MIN_RATE)
		return client->since_ms;
	return client->progress_ms;
}

/* Those whose unfinished request is oldest first, then idle connections. */
static gint compare_progress(gconstpointer a, gconstpointer b)
{
	const struct budget_client *first = *(struct budget_client *const *)a;
	const struct budget_client *second = *(struct budget_client *const *)b;
	bool first_idle = first->state == BUDGET_STATE_IDLE && first->used;
	bool second_idle = second->state == BUDGET_STATE_IDLE && second->used;

	if (first_idle != second_idle)
		return first_idle - second_idle;
	return (first->stalled_ms > second->stalled_ms) -
	       (first->stalled_ms < second->stalled_ms);
}

/* Whether the process, or any address, is near a bound. */
static bool is_near(const struct budget *budget)
{
	return budget->pressed_sweeps > 0 ||
	       budget->stats.held_bytes >
		       part(budget->config.max_bytes, LARGE_PERCENT) ||
	       budget->stats.connections > part(budget->config.max_connections,
						NEAR_CONNECTIONS_PERCENT);
}

bool budget_pressed(const struct budget *budget)
{
	return budget->pressed_sweeps > 0;
}

/* Whether what a client's address or the process holds has to shrink. */
static bool has_to_shrink(const struct budget *budget, int64_t bytes,
			  int64_t connections)
{
	return bytes > part(budget->config.max_bytes, SWEPT_BYTES_PERCENT) ||
	       connections > part(budget->config.max_connections,
				  SWEPT_CONNECTIONS_PERCENT);
}

/* Connections being closed still count until budget_close. */
static void shed_stalled(struct budget *budget, int64_t now_ms,
			 bool (*fn)(void *arg, struct budget_client *client,
				    enum budget_reason reason),
			 void *arg)
{
	int64_t bytes = budget->stats.held_bytes;
	int64_t connections = budget->stats.connections;

	g_ptr_array_set_size(budget->candidates, 0);
	for (struct budget_client *client = budget->first; client;
	     client = client->next) {
		client->stalled_ms = stalled_since_ms(client, now_ms);
		if (client->closing != BUDGET_OK) {
			bytes -= client->held;
			connections--;
		} else if (client->state != BUDGET_STATE_HANDLED &&
			   now_ms - client->stalled_ms >= BUDGET_STALLED_MS) {
			g_ptr_array_add(budget->candidates, client);
		}
	}
	g_ptr_array_sort(budget->candidates, compare_progress);
	for (guint i = 0; i < budget->candidates->len; i++) {
		struct budget_client *client =
			g_ptr_array_index(budget->candidates, i);

		if (!has_to_shrink(budget, bytes, connections))
			return;
		if (!fn(arg, client, BUDGET_STALLED))
			continue;
		client->closing = BUDGET_STALLED;
		budget->stats.closed[BUDGET_STALLED]++;
		bytes -= client->held;
		connections--;
	}
}

void budget_sweep(struct budget *budget, int64_t now_ms,
		  bool (*fn)(void *arg, struct budget_client *client,
			     enum budget_reason reason),
		  void *arg)
{
	if (now_ms - budget->swept_ms < BUDGET_SWEEP_MS)
		return;
	budget->swept_ms = now_ms;
	for (struct budget_client *client = budget->first; client;
	     client = client->next) {
		enum budget_reason reason =
			exceeded_time(budget, client, now_ms);

		if (reason == BUDGET_OK || client->closing != BUDGET_OK)
			continue;
		client->checked_ms = now_ms;
		if (!fn(arg, client, reason))
			continue;
		client->closing = reason;
		budget->stats.closed[reason]++;
	}
	if (is_near(budget))
		shed_stalled(budget, now_ms, fn, arg);
	if (budget->pressed_sweeps)
		budget->pressed_sweeps--;
}

const char *budget_reason_name(enum budget_reason reason)
{
	static const char *const names[BUDGET_REASON_COUNT] = {
		[BUDGET_OK] = "none",
		[BUDGET_CONNECTIONS] = "connections",
		[BUDGET_BYTES] = "bytes",
		[BUDGET_ADDRESS] = "address",
		[BUDGET_TOO_LARGE] = "too_large",
		[BUDGET_HEAD_LATE] = "header_late",
		[BUDGET_IDLE] = "idle",
		[BUDGET_BODY_SLOW] = "body_slow",
		[BUDGET_ANSWER_SLOW] = "answer_slow",
		[BUDGET_STALLED] = "stalled",
	};

	return names[reason];
}
