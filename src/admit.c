#include "admit.h"

#include <stdlib.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>

enum {
	STANDBY_PART = 8,      /* one slot in so many is left to urgent */
	STANDBY_MIN_SLOTS = 4, /* with fewer slots nothing is reserved */
	LEARN_PART = 8	       /* weight of a new run time: one in so many */
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
	double run_ms[ADMIT_PRIORITIES]; /* moving average; 0: not known */
	struct queue queues[ADMIT_PRIORITIES];
	int64_t stalled_ms; /* the caller's */
	int last_turn;	    /* round robin: priority that started last */
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

static uint32_t reserve(uint32_t slots)
{
	if (slots < STANDBY_MIN_SLOTS)
		return 0;
	return slots < STANDBY_PART ? 1 : slots / STANDBY_PART;
}

static uint32_t long_limit(uint32_t slots)
{
	return slots < 2 ? slots : slots / 2;
}

/* Whether one more request may be in flight with what is in flight. */
static bool fits(uint32_t slots, const uint32_t in_flight[ADMIT_PRIORITIES],
		 enum admit_priority priority)
{
	if (sum(in_flight) >= slots)
		return false;
	if (priority == ADMIT_URGENT)
		return true;
	if (in_flight[ADMIT_NORMAL] + in_flight[ADMIT_LONG] >=
	    slots - reserve(slots))
		return false;
	return priority != ADMIT_LONG ||
	       in_flight[ADMIT_LONG] < long_limit(slots);
}

/* The quota has the same rules as a pool, for the same reason. */
static bool may_start(const struct admit_pool *pool,
		      enum admit_priority priority)
{
	const struct team *team = pool->team;

	return fits(pool->slots, pool->in_flight, priority) &&
	       (!team->quota || fits(team->quota, team->in_flight, priority));
}

static int choose_standard(struct admit_pool *pool, int64_t now_ms)
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

static int choose_in_turn(struct admit_pool *pool, int64_t now_ms)
{
	(void)now_ms;
	if (sum(pool->in_flight) >= pool->slots ||
	    (pool->team->quota &&
	     sum(pool->team->in_flight) >= pool->team->quota))
		return -1;
	for (int i = 1; i <= ADMIT_PRIORITIES; i++) {
		int turn = (pool->last_turn + i) % ADMIT_PRIORITIES;

		if (!pool->queues[turn].first)
			continue;
		pool->last_turn = turn;
		return turn;
	}
	return -1;
}

const struct admit_policy admit_standard = {
	.name = "standard",
	.sheds = true,
	.choose = choose_standard,
};

const struct admit_policy admit_round_robin = {
	.name = "round-robin",
	.sheds = false,
	.choose = choose_in_turn,
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

/* The slots that requests of a priority can expect to have among them. */
static uint32_t expected_slots(const struct admit_pool *pool,
			       enum admit_priority priority)
{
	const uint32_t *in_flight = pool->in_flight;
	uint32_t quota = pool->team->quota;
	uint32_t slots = quota && quota < pool->slots ? quota : pool->slots;
	uint32_t taken = 0;

	if (priority == ADMIT_LONG)
		return long_limit(slots) ? long_limit(slots) : 1;
	taken = in_flight[ADMIT_LONG];
	if (priority == ADMIT_NORMAL) {
		/* Long ones that are queued will go first after a while. */
		taken += pool->queues[ADMIT_LONG].count;
		if (taken > long_limit(slots))
			taken = long_limit(slots);
		taken += reserve(slots);
	}
	return taken < slots ? slots - taken : 1;
}

/* Time until any request in flight ends. */
static double first_end_ms(const struct admit_pool *pool)
{
	double ends_per_ms = 0;

	for (int i = 0; i < ADMIT_PRIORITIES; i++)
		if (pool->run_ms[i] > 0)
			ends_per_ms += pool->in_flight[i] / pool->run_ms[i];
	return ends_per_ms > 0 ? 1 / ends_per_ms : 0;
}

int64_t admit_run_ms(const struct admit_pool *pool,
		     enum admit_priority priority)
{
	return (int64_t)pool->run_ms[priority];
}

int64_t admit_expected_wait(const struct admit_pool *pool,
			    enum admit_priority priority)
{
	const struct queue *queues = pool->queues;
	double slots = expected_slots(pool, priority);
	double ahead_ms = queues[priority].count * pool->run_ms[priority];
	double first_ms = pool->run_ms[priority] / slots;

	if (priority == ADMIT_URGENT)
		first_ms = first_end_ms(pool);
	/* A crowd of urgent ones passes: it is work, not a loss of slots. */
	if (priority == ADMIT_NORMAL)
		ahead_ms += (queues[ADMIT_URGENT].count +
			     pool->in_flight[ADMIT_URGENT]) *
			    pool->run_ms[ADMIT_URGENT];
	if (!queues[priority].count && may_start(pool, priority))
		return 0;
	return (int64_t)(first_ms + ahead_ms / slots);
}

/* Long and normal requests cannot fill the memory that urgent ones need. */
static bool has_room(const struct admit *admit, const struct admit_entry *entry)
{
	static const uint32_t eighths[ADMIT_PRIORITIES] = { 8, 7, 4 };
	uint64_t part = eighths[entry->priority];

	return sum(admit->queued) < part * LIMIT_QUEUE_REQUESTS / 8 &&
	       admit->bytes + entry->bytes <= part * LIMIT_QUEUE_BYTES / 8;
}

int admit_check(const struct admit *admit, const struct admit_entry *entry,
		int64_t now_ms, int64_t *retry_ms)
{
	*retry_ms = admit_expected_wait(entry->pool, entry->priority);
	if (!admit->policy->sheds)
		return 0;
	if (now_ms + *retry_ms > entry->deadline_ms || !has_room(admit, entry))
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

static void leave_flight(struct admit *admit, struct admit_entry *entry)
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
	leave_flight(admit, entry);
	link_entry(admit, entry, true);
}

void admit_push_back(struct admit *admit, struct admit_entry *entry)
{
	leave_flight(admit, entry);
	link_entry(admit, entry, false);
}

void admit_end(struct admit *admit, struct admit_entry *entry, bool answered,
	       int64_t now_ms)
{
	double *run_ms = &entry->pool->run_ms[entry->priority];
	/* 0 stands for "not known". */
	double ran_ms = now_ms > entry->started_ms
				? (double)(now_ms - entry->started_ms)
				: 0.5;

	if (entry->state != ADMIT_IN_FLIGHT)
		return;
	leave_flight(admit, entry);
	if (!answered && ran_ms <= *run_ms)
		return;
	if (*run_ms > 0)
		*run_ms += (ran_ms - *run_ms) / LEARN_PART;
	else if (answered)
		*run_ms = ran_ms;
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

int64_t *admit_pool_stalled_ms(struct admit_pool *pool)
{
	return &pool->stalled_ms;
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
