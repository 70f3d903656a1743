#include "adq.h"

#include <stdlib.h>

#include <apr_hash.h>
#include <apr_pools.h>
#include <apr_strings.h>

enum {
	RESERVE_PART = 8,      /* one slot in so many is left to urgent */
	RESERVE_MIN_SLOTS = 4, /* with fewer slots nothing is reserved */
	LEARN_PART = 8	       /* weight of a new run time: one in so many */
};

struct queue {
	struct adq_entry *first;
	struct adq_entry *last;
	uint32_t count;
};

struct team {
	uint32_t quota; /* 0: no bound */
	uint32_t in_flight[ADQ_PRIORITIES];
};

struct adq_pool {
	struct adq_pool *next;
	struct team *team;
	const char *team_name;
	const char *name;
	uint32_t slots;
	uint32_t in_flight[ADQ_PRIORITIES];
	double run_ms[ADQ_PRIORITIES]; /* moving average; 0: not known */
	struct queue queues[ADQ_PRIORITIES];
	int64_t stalled_ms; /* the caller's */
	int last_turn;	    /* round robin: priority that started last */
};

struct adq {
	const struct adq_policy *policy;
	apr_pool_t *mem;
	apr_hash_t *pools; /* "team/pool" to struct adq_pool */
	apr_hash_t *teams; /* name to struct team */
	struct adq_pool *first;
	uint32_t queued[ADQ_PRIORITIES];
	uint32_t in_flight;
	size_t bytes; /* of queued requests */
};

static uint32_t sum(const uint32_t counts[ADQ_PRIORITIES])
{
	return counts[ADQ_URGENT] + counts[ADQ_NORMAL] + counts[ADQ_LONG];
}

static uint32_t reserve(uint32_t slots)
{
	if (slots < RESERVE_MIN_SLOTS)
		return 0;
	return slots < RESERVE_PART ? 1 : slots / RESERVE_PART;
}

static uint32_t long_limit(uint32_t slots)
{
	return slots < 2 ? slots : slots / 2;
}

/* Whether one more request may be in flight with what is in flight. */
static bool fits(uint32_t slots, const uint32_t in_flight[ADQ_PRIORITIES],
		 enum adq_priority priority)
{
	if (sum(in_flight) >= slots)
		return false;
	if (priority == ADQ_URGENT)
		return true;
	if (in_flight[ADQ_NORMAL] + in_flight[ADQ_LONG] >=
	    slots - reserve(slots))
		return false;
	return priority != ADQ_LONG || in_flight[ADQ_LONG] < long_limit(slots);
}

/* The quota has the same rules as a pool, for the same reason. */
static bool may_start(const struct adq_pool *pool, enum adq_priority priority)
{
	const struct team *team = pool->team;

	return fits(pool->slots, pool->in_flight, priority) &&
	       (!team->quota || fits(team->quota, team->in_flight, priority));
}

static int choose_standard(struct adq_pool *pool, int64_t now_ms)
{
	const struct adq_entry *first_long = pool->queues[ADQ_LONG].first;
	bool long_is_due = first_long &&
			   now_ms - first_long->queued_ms >= LIM_LONG_WAIT_MS;
	const enum adq_priority order[ADQ_PRIORITIES] = {
		ADQ_URGENT,
		long_is_due ? ADQ_LONG : ADQ_NORMAL,
		long_is_due ? ADQ_NORMAL : ADQ_LONG,
	};

	for (int i = 0; i < ADQ_PRIORITIES; i++)
		if (pool->queues[order[i]].first && may_start(pool, order[i]))
			return (int)order[i];
	return -1;
}

static int choose_in_turn(struct adq_pool *pool, int64_t now_ms)
{
	(void)now_ms;
	if (sum(pool->in_flight) >= pool->slots ||
	    (pool->team->quota &&
	     sum(pool->team->in_flight) >= pool->team->quota))
		return -1;
	for (int i = 1; i <= ADQ_PRIORITIES; i++) {
		int turn = (pool->last_turn + i) % ADQ_PRIORITIES;

		if (!pool->queues[turn].first)
			continue;
		pool->last_turn = turn;
		return turn;
	}
	return -1;
}

const struct adq_policy adq_standard = {
	.name = "standard",
	.sheds = true,
	.choose = choose_standard,
};

const struct adq_policy adq_round_robin = {
	.name = "round-robin",
	.sheds = false,
	.choose = choose_in_turn,
};

struct adq *adq_create(const struct adq_policy *policy)
{
	struct adq *adq = calloc(1, sizeof(*adq));

	if (!adq)
		return NULL;
	adq->policy = policy;
	apr_pool_create(&adq->mem, NULL);
	adq->pools = apr_hash_make(adq->mem);
	adq->teams = apr_hash_make(adq->mem);
	return adq;
}

void adq_destroy(struct adq *adq)
{
	if (!adq)
		return;
	apr_pool_destroy(adq->mem);
	free(adq);
}

struct adq_pool *adq_pool(struct adq *adq, const char *team, const char *name)
{
	char key[2 * LIM_NAME_BYTES + 1];
	struct adq_pool *pool;

	apr_snprintf(key, sizeof(key), "%s/%s", team, name);
	pool = apr_hash_get(adq->pools, key, APR_HASH_KEY_STRING);
	if (pool)
		return pool;
	pool = apr_pcalloc(adq->mem, sizeof(*pool));
	pool->team_name = apr_pstrdup(adq->mem, team);
	pool->name = apr_pstrdup(adq->mem, name);
	pool->team = apr_hash_get(adq->teams, team, APR_HASH_KEY_STRING);
	if (!pool->team) {
		pool->team = apr_pcalloc(adq->mem, sizeof(*pool->team));
		apr_hash_set(adq->teams, pool->team_name, APR_HASH_KEY_STRING,
			     pool->team);
	}
	pool->next = adq->first;
	adq->first = pool;
	apr_hash_set(adq->pools, apr_pstrdup(adq->mem, key),
		     APR_HASH_KEY_STRING, pool);
	return pool;
}

struct adq_pool *adq_next_pool(struct adq *adq, struct adq_pool *pool)
{
	return pool ? pool->next : adq->first;
}

const char *adq_pool_team(const struct adq_pool *pool)
{
	return pool->team_name;
}

const char *adq_pool_name(const struct adq_pool *pool)
{
	return pool->name;
}

void adq_set_slots(struct adq_pool *pool, uint32_t slots, uint32_t in_flight)
{
	uint32_t total = sum(pool->in_flight);

	pool->slots = slots + (total > in_flight ? total - in_flight : 0);
}

void adq_set_quota(struct adq_pool *pool, uint32_t slots)
{
	pool->team->quota = slots;
}

/* The slots that requests of a priority can expect to have among them. */
static uint32_t expected_slots(const struct adq_pool *pool,
			       enum adq_priority priority)
{
	const uint32_t *in_flight = pool->in_flight;
	uint32_t quota = pool->team->quota;
	uint32_t slots = quota && quota < pool->slots ? quota : pool->slots;
	uint32_t taken = 0;

	if (priority == ADQ_LONG)
		return long_limit(slots) ? long_limit(slots) : 1;
	taken = in_flight[ADQ_LONG];
	if (priority == ADQ_NORMAL) {
		/* Long ones that are queued will go first after a while. */
		taken += pool->queues[ADQ_LONG].count;
		if (taken > long_limit(slots))
			taken = long_limit(slots);
		taken += reserve(slots);
	}
	return taken < slots ? slots - taken : 1;
}

/* Time until any request in flight ends. */
static double first_end_ms(const struct adq_pool *pool)
{
	double ends_per_ms = 0;

	for (int i = 0; i < ADQ_PRIORITIES; i++)
		if (pool->run_ms[i] > 0)
			ends_per_ms += pool->in_flight[i] / pool->run_ms[i];
	return ends_per_ms > 0 ? 1 / ends_per_ms : 0;
}

int64_t adq_run_ms(const struct adq_pool *pool, enum adq_priority priority)
{
	return (int64_t)pool->run_ms[priority];
}

int64_t adq_expected_wait(const struct adq_pool *pool,
			  enum adq_priority priority)
{
	const struct queue *queues = pool->queues;
	double slots = expected_slots(pool, priority);
	double ahead_ms = queues[priority].count * pool->run_ms[priority];
	double first_ms = pool->run_ms[priority] / slots;

	if (priority == ADQ_URGENT)
		first_ms = first_end_ms(pool);
	/* A crowd of urgent ones passes: it is work, not a loss of slots. */
	if (priority == ADQ_NORMAL)
		ahead_ms += (queues[ADQ_URGENT].count +
			     pool->in_flight[ADQ_URGENT]) *
			    pool->run_ms[ADQ_URGENT];
	if (!queues[priority].count && may_start(pool, priority))
		return 0;
	return (int64_t)(first_ms + ahead_ms / slots);
}

/* Long and normal requests cannot fill the memory that urgent ones need. */
static bool has_room(const struct adq *adq, const struct adq_entry *entry)
{
	static const uint32_t eighths[ADQ_PRIORITIES] = { 8, 7, 4 };
	uint64_t part = eighths[entry->priority];

	return sum(adq->queued) < part * LIM_QUEUE_REQUESTS / 8 &&
	       adq->bytes + entry->bytes <= part * LIM_QUEUE_BYTES / 8;
}

int adq_check(const struct adq *adq, const struct adq_entry *entry,
	      int64_t now_ms, int64_t *retry_ms)
{
	*retry_ms = adq_expected_wait(entry->pool, entry->priority);
	if (!adq->policy->sheds)
		return 0;
	if (now_ms + *retry_ms > entry->deadline_ms || !has_room(adq, entry))
		return ERR_OVERLOAD;
	return 0;
}

static void link_entry(struct adq *adq, struct adq_entry *entry, bool front)
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
	entry->state = ADQ_QUEUED;
	queue->count++;
	adq->queued[entry->priority]++;
	adq->bytes += entry->bytes;
}

static void unlink_entry(struct adq *adq, struct adq_entry *entry)
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
	entry->state = ADQ_IDLE;
	queue->count--;
	adq->queued[entry->priority]--;
	adq->bytes -= entry->bytes;
}

static void leave_flight(struct adq *adq, struct adq_entry *entry)
{
	if (entry->state != ADQ_IN_FLIGHT)
		return;
	entry->pool->in_flight[entry->priority]--;
	entry->pool->team->in_flight[entry->priority]--;
	adq->in_flight--;
	entry->state = ADQ_IDLE;
}

int adq_push(struct adq *adq, struct adq_entry *entry, int64_t now_ms,
	     int64_t *retry_ms)
{
	int status = adq_check(adq, entry, now_ms, retry_ms);

	if (status < 0)
		return status;
	entry->queued_ms = now_ms;
	link_entry(adq, entry, false);
	return 0;
}

struct adq_entry *adq_take(struct adq *adq, struct adq_pool *pool,
			   int64_t now_ms)
{
	int priority = adq->policy->choose(pool, now_ms);
	struct adq_entry *entry;

	if (priority < 0)
		return NULL;
	entry = pool->queues[priority].first;
	unlink_entry(adq, entry);
	entry->state = ADQ_IN_FLIGHT;
	entry->started_ms = now_ms;
	pool->in_flight[priority]++;
	pool->team->in_flight[priority]++;
	adq->in_flight++;
	return entry;
}

void adq_push_front(struct adq *adq, struct adq_entry *entry)
{
	leave_flight(adq, entry);
	link_entry(adq, entry, true);
}

void adq_push_back(struct adq *adq, struct adq_entry *entry)
{
	leave_flight(adq, entry);
	link_entry(adq, entry, false);
}

void adq_end(struct adq *adq, struct adq_entry *entry, bool answered,
	     int64_t now_ms)
{
	double *run_ms = &entry->pool->run_ms[entry->priority];
	/* 0 stands for "not known". */
	double ran_ms = now_ms > entry->started_ms
				? (double)(now_ms - entry->started_ms)
				: 0.5;

	if (entry->state != ADQ_IN_FLIGHT)
		return;
	leave_flight(adq, entry);
	if (!answered && ran_ms <= *run_ms)
		return;
	if (*run_ms > 0)
		*run_ms += (ran_ms - *run_ms) / LEARN_PART;
	else if (answered)
		*run_ms = ran_ms;
}

void adq_remove(struct adq *adq, struct adq_entry *entry)
{
	if (entry->state == ADQ_QUEUED)
		unlink_entry(adq, entry);
}

void adq_expire(struct adq *adq, int64_t now_ms,
		void (*fn)(void *arg, struct adq_entry *entry), void *arg)
{
	for (struct adq_pool *pool = adq->first; pool; pool = pool->next) {
		for (int i = 0; i < ADQ_PRIORITIES; i++) {
			struct adq_entry *entry = pool->queues[i].first;

			while (entry) {
				struct adq_entry *next = entry->next;

				if (now_ms >= entry->deadline_ms) {
					unlink_entry(adq, entry);
					fn(arg, entry);
				}
				entry = next;
			}
		}
	}
}

struct adq_entry *adq_first(const struct adq_pool *pool)
{
	for (int i = 0; i < ADQ_PRIORITIES; i++)
		if (pool->queues[i].first)
			return pool->queues[i].first;
	return NULL;
}

int64_t *adq_pool_stalled_ms(struct adq_pool *pool)
{
	return &pool->stalled_ms;
}

uint32_t adq_pool_queued(const struct adq_pool *pool)
{
	return pool->queues[ADQ_URGENT].count + pool->queues[ADQ_NORMAL].count +
	       pool->queues[ADQ_LONG].count;
}

uint32_t adq_queued(const struct adq *adq, enum adq_priority priority)
{
	return adq->queued[priority];
}

uint32_t adq_in_flight(const struct adq *adq)
{
	return adq->in_flight;
}
