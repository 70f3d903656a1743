#include "admit.h"

#include <stdlib.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>

enum {
	URGENT_RESERVE_DIVISOR = 8,   /* 1/8 of the slots is for urgent only */
	URGENT_RESERVE_MIN_SLOTS = 4, /* with fewer slots, none is reserved */
	RUN_TIME_WEIGHT_DIVISOR = 8   /* a new run time has a weight of 1/8 */
};

struct queue {
	struct admit_entry *first;
	struct admit_entry *last;
	uint32_t count;
};

struct team {
	uint32_t quota; /* 0: no bound */
	uint32_t in_flight[ADMIT_PRIORITIES];
};

struct admit_pool {
	struct admit_pool *next;
	struct team *team;
	const char *team_name;
	const char *name;
	uint32_t slots;
	uint32_t in_flight[ADMIT_PRIORITIES];
	double average_run_ms[ADMIT_PRIORITIES]; /* 0: not known */
	struct queue queues[ADMIT_PRIORITIES];
	int64_t stalled_since_ms; /* set by the caller; 0: not stalled */
	int last_priority;	  /* round robin: priority that started last */
};

struct admit {
	const struct admit_policy *policy;
	apr_pool_t *mem;
	apr_hash_t *pools; /* "team/pool" to struct admit_pool */
	apr_hash_t *teams; /* name to struct team */
	struct admit_pool *first;
	uint32_t queued[ADMIT_PRIORITIES];
	uint32_t in_flight;
	size_t bytes; /* of queued requests */
};

static uint32_t sum(const uint32_t counts[ADMIT_PRIORITIES])
{
	return counts[ADMIT_URGENT] + counts[ADMIT_NORMAL] + counts[ADMIT_LONG];
}

static uint32_t urgent_reserve(uint32_t slots)
{
	if (slots < URGENT_RESERVE_MIN_SLOTS)
		return 0;
	return slots < URGENT_RESERVE_DIVISOR ? 1
					      : slots / URGENT_RESERVE_DIVISOR;
}

static uint32_t long_limit(uint32_t slots)
{
	return slots < 2 ? slots : slots / 2;
}

/* Whether one more request of the priority may be in flight. */
static bool has_free_slot(uint32_t slots,
			  const uint32_t in_flight[ADMIT_PRIORITIES],
			  enum admit_priority priority)
{
	if (sum(in_flight) >= slots)
		return false;
	if (priority == ADMIT_URGENT)
		return true;
	if (in_flight[ADMIT_NORMAL] + in_flight[ADMIT_LONG] >=
	    slots - urgent_reserve(slots))
		return false;
	return priority != ADMIT_LONG ||
	       in_flight[ADMIT_LONG] < long_limit(slots);
}

/* The rules apply to the team's quota as well as to the pool's slots. */
static bool may_start(const struct admit_pool *pool,
		      enum admit_priority priority)
{
	const struct team *team = pool->team;

	return has_free_slot(pool->slots, pool->in_flight, priority) &&
	       (!team->quota ||
		has_free_slot(team->quota, team->in_flight, priority));
}

static int choose_by_priority(struct admit_pool *pool, int64_t now_ms)
{
	const struct admit_entry *first_long = pool->queues[ADMIT_LONG].first;
	bool long_is_due = first_long &&
			   now_ms - first_long->queued_ms >= LIMIT_LONG_WAIT_MS;
	const enum admit_priority order[ADMIT_PRIORITIES] = {
		ADMIT_URGENT,
		long_is_due ? ADMIT_LONG : ADMIT_NORMAL,
		long_is_due ? ADMIT_NORMAL : ADMIT_LONG,
	};

	for (int i = 0; i < ADMIT_PRIORITIES; i++)
		if (pool->queues[order[i]].first && may_start(pool, order[i]))
			return (int)order[i];
	return -1;
}

static int choose_round_robin(struct admit_pool *pool, int64_t now_ms)
{
	(void)now_ms;
	if (sum(pool->in_flight) >= pool->slots ||
	    (pool->team->quota &&
	     sum(pool->team->in_flight) >= pool->team->quota))
		return -1;
	for (int i = 1; i <= ADMIT_PRIORITIES; i++) {
		int priority = (pool->last_priority + i) % ADMIT_PRIORITIES;

		if (!pool->queues[priority].first)
			continue;
		pool->last_priority = priority;
		return priority;
	}
	return -1;
}

const struct admit_policy admit_standard = {
	.name = "standard",
	.sheds = true,
	.choose = choose_by_priority,
};

const struct admit_policy admit_round_robin = {
	.name = "round-robin",
	.sheds = false,
	.choose = choose_round_robin,
};

struct admit *admit_create(const struct admit_policy *policy)
{
	struct admit *admit = calloc(1, sizeof(*admit));

	if (!admit)
		return NULL;
	admit->policy = policy;
	apr_pool_create(&admit->mem, NULL);
	admit->pools = apr_hash_make(admit->mem);
	admit->teams = apr_hash_make(admit->mem);
	return admit;
}

void admit_destroy(struct admit *admit)
{
	if (!admit)
		return;
	apr_pool_destroy(admit->mem);
	free(admit);
}

struct admit_pool *admit_pool(struct admit *admit, const char *team,
			      const char *name)
{
	char key[2 * LIMIT_NAME_BYTES + 1];
	struct admit_pool *pool;

	apr_snprintf(key, sizeof(key), "%s/%s", team, name);
	pool = apr_hash_get(admit->pools, key, APR_HASH_KEY_STRING);
	if (pool)
		return pool;
	pool = apr_pcalloc(admit->mem, sizeof(*pool));
	pool->team_name = apr_pstrdup(admit->mem, team);
	pool->name = apr_pstrdup(admit->mem, name);
	pool->team = apr_hash_get(admit->teams, team, APR_HASH_KEY_STRING);
	if (!pool->team) {
		pool->team = apr_pcalloc(admit->mem, sizeof(*pool->team));
		apr_hash_set(admit->teams, pool->team_name, APR_HASH_KEY_STRING,
			     pool->team);
	}
	pool->next = admit->first;
	admit->first = pool;
	apr_hash_set(admit->pools, apr_pstrdup(admit->mem, key),
		     APR_HASH_KEY_STRING, pool);
	return pool;
}

struct admit_pool *admit_next_pool(struct admit *admit, struct admit_pool *pool)
{
	return pool ? pool->next : admit->first;
}

const char *admit_pool_team(const struct admit_pool *pool)
{
	return pool->team_name;
}

const char *admit_pool_name(const struct admit_pool *pool)
{
	return pool->name;
}

void admit_set_slots(struct admit_pool *pool, uint32_t slots,
		     uint32_t in_flight)
{
	uint32_t total = sum(pool->in_flight);

	pool->slots = slots + (total > in_flight ? total - in_flight : 0);
}

void admit_set_quota(struct admit_pool *pool, uint32_t slots)
{
	pool->team->quota = slots;
}

/* Slots that the requests of a priority can expect to share. */
static uint32_t expected_slots(const struct admit_pool *pool,
			       enum admit_priority priority)
{
	const uint32_t *in_flight = pool->in_flight;
	uint32_t quota = pool->team->quota;
	uint32_t slots = quota && quota < pool->slots ? quota : pool->slots;
	uint32_t unavailable = 0;

	if (priority == ADMIT_LONG)
		return long_limit(slots) ? long_limit(slots) : 1;
	unavailable = in_flight[ADMIT_LONG];
	if (priority == ADMIT_NORMAL) {
		/* Queued long requests take precedence once they are due. */
		unavailable += pool->queues[ADMIT_LONG].count;
		if (unavailable > long_limit(slots))
			unavailable = long_limit(slots);
		unavailable += urgent_reserve(slots);
	}
	return unavailable < slots ? slots - unavailable : 1;
}

/* Expected time until any request in flight ends; 0 if not known. */
static double time_to_first_end_ms(const struct admit_pool *pool)
{
	double completions_per_ms = 0;

	for (int i = 0; i < ADMIT_PRIORITIES; i++)
		if (pool->average_run_ms[i] > 0)
			completions_per_ms +=
				pool->in_flight[i] / pool->average_run_ms[i];
	return completions_per_ms > 0 ? 1 / completions_per_ms : 0;
}

int64_t admit_average_run_ms(const struct admit_pool *pool,
			     enum admit_priority priority)
{
	return (int64_t)pool->average_run_ms[priority];
}

int64_t admit_expected_wait(const struct admit_pool *pool,
			    enum admit_priority priority)
{
	const struct queue *queues = pool->queues;
	double slots = expected_slots(pool, priority);
	double queued_work_ms =
		queues[priority].count * pool->average_run_ms[priority];
	double first_slot_ms = pool->average_run_ms[priority] / slots;

	if (priority == ADMIT_URGENT)
		first_slot_ms = time_to_first_end_ms(pool);
	/* Urgent requests occupy slots only for a while, so they count as
	   queued work rather than as unavailable slots. */
	if (priority == ADMIT_NORMAL)
		queued_work_ms += (queues[ADMIT_URGENT].count +
				   pool->in_flight[ADMIT_URGENT]) *
				  pool->average_run_ms[ADMIT_URGENT];
	if (!queues[priority].count && may_start(pool, priority))
		return 0;
	return (int64_t)(first_slot_ms + queued_work_ms / slots);
}

/* The limits of long and normal requests keep memory free for urgent ones. */
static bool fits_queue_limits(const struct admit *admit,
			      const struct admit_entry *entry)
{
	static const uint32_t eighths[ADMIT_PRIORITIES] = { 8, 7, 4 };
	uint64_t eighths_allowed = eighths[entry->priority];

	return sum(admit->queued) <
		       eighths_allowed * LIMIT_QUEUE_REQUESTS / 8 &&
	       admit->bytes + entry->bytes <=
		       eighths_allowed * LIMIT_QUEUE_BYTES / 8;
}

int admit_check(const struct admit *admit, const struct admit_entry *entry,
		int64_t now_ms, int64_t *retry_ms)
{
	*retry_ms = admit_expected_wait(entry->pool, entry->priority);
	if (!admit->policy->sheds)
		return 0;
	if (now_ms + *retry_ms > entry->deadline_ms ||
	    !fits_queue_limits(admit, entry))
		return ERR_OVERLOAD;
	return 0;
}

static void link_entry(struct admit *admit, struct admit_entry *entry,
		       bool front)
{
	struct queue *queue = &entry->pool->queues[entry->priority];

	entry->prev = front ? NULL : queue->last;
	entry->next = front ? queue->first : NULL;
	if (entry->prev)
		entry->prev->next = entry;
	else
		queue->first = entry;
	if (entry->next)
		entry->next->prev = entry;
	else
		queue->last = entry;
	entry->state = ADMIT_QUEUED;
	queue->count++;
	admit->queued[entry->priority]++;
	admit->bytes += entry->bytes;
}

static void unlink_entry(struct admit *admit, struct admit_entry *entry)
{
	struct queue *queue = &entry->pool->queues[entry->priority];

	if (entry->prev)
		entry->prev->next = entry->next;
	else
		queue->first = entry->next;
	if (entry->next)
		entry->next->prev = entry->prev;
	else
		queue->last = entry->prev;
	entry->state = ADMIT_IDLE;
	queue->count--;
	admit->queued[entry->priority]--;
	admit->bytes -= entry->bytes;
}

static void remove_in_flight(struct admit *admit, struct admit_entry *entry)
{
	if (entry->state != ADMIT_IN_FLIGHT)
		return;
	entry->pool->in_flight[entry->priority]--;
	entry->pool->team->in_flight[entry->priority]--;
	admit->in_flight--;
	entry->state = ADMIT_IDLE;
}

int admit_push(struct admit *admit, struct admit_entry *entry, int64_t now_ms,
	       int64_t *retry_ms)
{
	int status = admit_check(admit, entry, now_ms, retry_ms);

	if (status < 0)
		return status;
	entry->queued_ms = now_ms;
	link_entry(admit, entry, false);
	return 0;
}

struct admit_entry *admit_take(struct admit *admit, struct admit_pool *pool,
			       int64_t now_ms)
{
	int priority = admit->policy->choose(pool, now_ms);
	struct admit_entry *entry;

	if (priority < 0)
		return NULL;
	entry = pool->queues[priority].first;
	unlink_entry(admit, entry);
	entry->state = ADMIT_IN_FLIGHT;
	entry->started_ms = now_ms;
	pool->in_flight[priority]++;
	pool->team->in_flight[priority]++;
	admit->in_flight++;
	return entry;
}

void admit_push_front(struct admit *admit, struct admit_entry *entry)
{
	remove_in_flight(admit, entry);
	link_entry(admit, entry, true);
}

void admit_push_back(struct admit *admit, struct admit_entry *entry)
{
	remove_in_flight(admit, entry);
	link_entry(admit, entry, false);
}

void admit_end(struct admit *admit, struct admit_entry *entry, bool answered,
	       int64_t now_ms)
{
	double *average_run_ms = &entry->pool->average_run_ms[entry->priority];
	/* Never 0, which stands for "not known". */
	double ran_ms = now_ms > entry->started_ms
				? (double)(now_ms - entry->started_ms)
				: 0.5;

	if (entry->state != ADMIT_IN_FLIGHT)
		return;
	remove_in_flight(admit, entry);
	if (!answered && ran_ms <= *average_run_ms)
		return;
	if (*average_run_ms > 0)
		*average_run_ms +=
			(ran_ms - *average_run_ms) / RUN_TIME_WEIGHT_DIVISOR;
	else if (answered)
		*average_run_ms = ran_ms;
}

void admit_remove(struct admit *admit, struct admit_entry *entry)
{
	if (entry->state == ADMIT_QUEUED)
		unlink_entry(admit, entry);
}

void admit_expire(struct admit *admit, int64_t now_ms,
		  void (*fn)(void *arg, struct admit_entry *entry), void *arg)
{
	for (struct admit_pool *pool = admit->first; pool; pool = pool->next) {
		for (int i = 0; i < ADMIT_PRIORITIES; i++) {
			struct admit_entry *entry = pool->queues[i].first;

			while (entry) {
				struct admit_entry *next = entry->next;

				if (now_ms >= entry->deadline_ms) {
					unlink_entry(admit, entry);
					fn(arg, entry);
				}
				entry = next;
			}
		}
	}
}

struct admit_entry *admit_first(const struct admit_pool *pool)
{
	for (int i = 0; i < ADMIT_PRIORITIES; i++)
		if (pool->queues[i].first)
			return pool->queues[i].first;
	return NULL;
}

int64_t *admit_pool_stalled_since_ms(struct admit_pool *pool)
{
	return &pool->stalled_since_ms;
}

uint32_t admit_pool_queued(const struct admit_pool *pool)
{
	return pool->queues[ADMIT_URGENT].count +
	       pool->queues[ADMIT_NORMAL].count +
	       pool->queues[ADMIT_LONG].count;
}

uint32_t admit_queued(const struct admit *admit, enum admit_priority priority)
{
	return admit->queued[priority];
}

uint32_t admit_in_flight(const struct admit *admit)
{
	return admit->in_flight;
}
