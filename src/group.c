#include "group.h"

#include "log.h"

struct group {
	struct group_config config;
	char *member;
	bool join_pending;
	bool leaving;
	bool unwanted;
	bool destroyed;
	bool failing;
	int64_t sent_ms;
	int64_t next_join_ms;
	int64_t renewed_ms; /* when the last successful renewal was sent */
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
	if (!group->join_pending)
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

static void on_joined(void *arg, const struct stream_membership *membership)
{
	struct group *group = arg;

	group->join_pending = false;
	if (group->destroyed) {
		free_group(group);
		return;
	}
	log_outcome(group, membership->outcome);
	if (membership->outcome != STREAM_OK || group->leaving ||
	    group->unwanted)
		return;
	if (membership->generation != group->generation)
		log_info("group-changed generation=%" G_GINT64_FORMAT
			 " parts=%u",
			 membership->generation, membership->part_count);
	group->renewed_ms = group->sent_ms;
	group->generation = membership->generation;
	g_array_set_size(group->parts, 0);
	g_array_append_vals(group->parts, membership->parts,
			    membership->part_count);
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

void group_tick(struct group *group)
{
	int64_t now_ms = clk_now_ms(group->config.clk);
	struct stream_join join = join_request(group);

	if (group->unwanted) {
		/* A join in flight would make it a member again. */
		if (group->renewed_ms && !group->join_pending &&
		    !group->leaving)
			leave_group(group);
		return;
	}
	if (group->join_pending || group->leaving ||
	    now_ms < group->next_join_ms)
		return;
	group->join_pending = true;
	group->sent_ms = now_ms;
	group->next_join_ms = now_ms + group->config.renew_ms;
	group->config.io->join(group->config.io->io, &join, on_joined, group);
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
