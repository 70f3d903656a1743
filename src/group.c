#include "group.h"

#include "log.h"
#include "rtt.h"

enum {
	/* Between two joins without an answer: the membership must outlast
	   several of them. A join counts as a tenth of a call. */
	GROUP_MISSED_MAX_MS = 150,
	/* After an outage in which calls get no answer, the connections must
	   not be occupied long after its end. */
	GROUP_GIVE_UP_MAX_MS = 700,
	GROUP_MAX_CALLS = 3, /* in flight; each occupies a connection */
	/* After so many attempts without an answer the log is away, and one
	   join is in flight at a time. */
	GROUP_QUICK_ATTEMPTS = 10
};

/* A join in flight; its argument. */
struct attempt {
	struct group *group;
	int64_t sent_ms;
	uint32_t number; /* since the last answer, from 1 on */
};

struct group {
	struct group_config config;
	char *member;
	uint32_t calls;	   /* joins in flight */
	uint32_t attempts; /* since the last answer */
	struct rtt rtt;
	bool leaving;
	bool unwanted;
	bool destroyed;
	bool failing;
	int64_t next_join_ms;
	int64_t renewed_ms; /* when the latest answered join was sent */
	int64_t generation;
	GArray *parts;
};

struct group *group_create(const struct group_config *config)
{
	struct group *group = g_new0(struct group, 1);

	group->config = *config;
	group->member = g_strdup(config->member);
	group->parts = g_array_new(FALSE, FALSE, sizeof(int32_t));
	return group;
}

static void free_group(struct group *group)
{
	g_array_free(group->parts, TRUE);
	g_free(group->member);
	g_free(group);
}

void group_destroy(struct group *group)
{
	if (!group)
		return;
	group->destroyed = true;
	if (!group->calls)
		free_group(group);
}

static struct stream_join join_request(const struct group *group)
{
	return (struct stream_join){
		.group = group->config.name,
		.member = group->member,
		.topic = group->config.topic,
		.ttl_ms = group->config.ttl_ms,
		.generation = group->generation,
	};
}

static void log_outcome(struct group *group, enum stream_outcome outcome)
{
	bool failing = outcome != STREAM_OK;

	if (failing != group->failing)
		log_info("group-%s group=%s outcome=%d",
			 failing ? "unreachable" : "reached",
			 group->config.name, outcome);
	group->failing = failing;
}

/*
 * Answers may overtake each other. The log's generations only increase, so an
 * answer of an older one says nothing about what is held now.
 */
static void apply_membership(struct group *group,
			     const struct stream_membership *membership,
			     int64_t sent_ms)
{
	if (membership->generation < group->generation)
		return;
	if (membership->generation != group->generation)
		log_info("group-changed generation=%" G_GINT64_FORMAT
			 " parts=%u",
			 membership->generation, membership->part_count);
	group->renewed_ms = MAX(group->renewed_ms, sent_ms);
	group->generation = membership->generation;
	g_array_set_size(group->parts, 0);
	g_array_append_vals(group->parts, membership->parts,
			    membership->part_count);
}

/* Schedules the next renewal after the answer to a join. */
static void note_answer(struct group *group, const struct attempt *attempt)
{
	int64_t renew_ms = attempt->sent_ms + group->config.renew_ms;

	rtt_add(&group->rtt, clk_now_ms(group->config.clk) - attempt->sent_ms);
	if (attempt->sent_ms < group->renewed_ms)
		return;
	/* 0: an earlier attempt has been answered. */
	if (group->attempts)
		rtt_count_attempts(&group->rtt, attempt->number);
	group->attempts = 0;
	group->next_join_ms = renew_ms;
}

static void on_joined(void *arg, const struct stream_membership *membership)
{
	struct attempt attempt = *(struct attempt *)arg;
	struct group *group = attempt.group;
	bool answered = membership->outcome == STREAM_OK;

	g_free(arg);
	group->calls--;
	if (group->destroyed) {
		if (!group->calls)
			free_group(group);
		return;
	}
	/* Without an answer, a later join may have been answered since. */
	if (answered || attempt.sent_ms >= group->renewed_ms)
		log_outcome(group, membership->outcome);
	if (answered)
		note_answer(group, &attempt);
	else if (membership->outcome == STREAM_REFUSED)
		group->next_join_ms = MAX(group->next_join_ms,
					  clk_now_ms(group->config.clk) +
						  group->config.renew_ms / 2);
	if (answered && !group->leaving && !group->unwanted)
		apply_membership(group, membership, attempt.sent_ms);
}

static void leave_group(struct group *group)
{
	struct stream_join join = join_request(group);

	g_array_set_size(group->parts, 0);
	group->config.io->leave(group->config.io->io, &join);
	group->generation = 0;
	group->renewed_ms = 0;
}

void group_set_wanted(struct group *group, bool wanted)
{
	group->unwanted = !wanted;
}

static void send_join(struct group *group, int64_t now_ms)
{
	struct stream_join join = join_request(group);
	struct attempt *attempt = g_new0(struct attempt, 1);
	int64_t missed_ms, missed_max_ms;

	attempt->group = group;
	attempt->sent_ms = now_ms;
	attempt->number = ++group->attempts;
	missed_ms = rtt_missed_ms(&group->rtt, attempt->number);
	missed_max_ms = MAX(rtt_missed_ms(&group->rtt, 1), GROUP_MISSED_MAX_MS);
	join.timeout_ms = MIN(rtt_give_up_ms(&group->rtt, attempt->number),
			      GROUP_GIVE_UP_MAX_MS);
	group->calls++;
	group->next_join_ms = now_ms + MIN(missed_ms, missed_max_ms);
	group->config.io->join(group->config.io->io, &join, on_joined, attempt);
}

void group_tick(struct group *group)
{
	int64_t now_ms = clk_now_ms(group->config.clk);
	uint32_t max_calls;

	if (group->unwanted) {
		/* A join in flight would make it a member again. */
		if (group->renewed_ms && !group->calls && !group->leaving)
			leave_group(group);
		return;
	}
	max_calls =
		group->attempts < GROUP_QUICK_ATTEMPTS ? GROUP_MAX_CALLS : 1;
	if (group->calls < max_calls && !group->leaving &&
	    now_ms >= group->next_join_ms)
		send_join(group, now_ms);
}

void group_leave(struct group *group)
{
	struct stream_join join = join_request(group);

	if (group->leaving)
		return;
	group->leaving = true;
	g_array_set_size(group->parts, 0);
	group->config.io->leave(group->config.io->io, &join);
}

bool group_has_part(const struct group *group, int32_t part)
{
	for (guint i = 0; i < group->parts->len; i++)
		if (g_array_index(group->parts, int32_t, i) == part)
			return true;
	return false;
}

int64_t group_generation(const struct group *group)
{
	return group->generation;
}

int64_t group_authority_end_ms(const struct group *group)
{
	return group->renewed_ms + group->config.ttl_ms;
}
