#include "fair.h"

/* Shares differ by a task or two at any time; beyond this they are not fair. */
#define FAIR_EXCESS 1.25

struct part {
	double weight;
	struct cfg_room used;
	struct cfg_room ready;
};

struct fair {
	struct cfg_room room;
	bool full; /* not all that is ready has room */
	double weights;
	GHashTable *parts; /* organisation, "" for none -> struct part */
};

struct fair *fair_create(void)
{
	struct fair *fair = g_new0(struct fair, 1);

	fair->parts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return fair;
}

void fair_destroy(struct fair *fair)
{
	if (!fair)
		return;
	g_hash_table_destroy(fair->parts);
	g_free(fair);
}

void fair_begin(struct fair *fair, const struct cfg_room *room)
{
	fair->room = *room;
	g_hash_table_remove_all(fair->parts);
}

static struct part *find_or_add(struct fair *fair, const struct cfg *cfg,
				const char *tenant)
{
	struct part *part = g_hash_table_lookup(fair->parts, tenant);
	const struct cfg_tenant *configured;

	if (part)
		return part;
	part = g_new0(struct part, 1);
	configured = cfg_tenant_find(cfg, tenant);
	/* Jobs without an organisation share as one of weight 1. */
	part->weight = configured ? configured->weight : 1;
	g_hash_table_insert(fair->parts, (char *)tenant, part);
	return part;
}

static void add(struct cfg_room *room, const struct job_step *step,
		int32_t count)
{
	if (!step->uses_idle_cpu)
		room->cpu_milli += (int64_t)step->cpu_milli * count;
	room->mem_mib += (int64_t)step->mem_mib * count;
	room->gpu += (int64_t)step->gpu * count;
}

void fair_add_used(struct fair *fair, const struct cfg *cfg, const char *tenant,
		   const struct job_step *step)
{
	add(&find_or_add(fair, cfg, tenant)->used, step, 1);
}

void fair_add_ready(struct fair *fair, const struct cfg *cfg,
		    const char *tenant, const struct job_step *step,
		    int32_t count)
{
	add(&find_or_add(fair, cfg, tenant)->ready, step, count);
}

/* Part of what there is; of a thing that there is none of, 0. */
static double part_of(int64_t used, int64_t all)
{
	return all > 0 ? (double)used / (double)all : 0;
}

static double dominant(const struct cfg_room *used, const struct cfg_room *all)
{
	double cpu = part_of(used->cpu_milli, all->cpu_milli);
	double mem = part_of(used->mem_mib, all->mem_mib);
	double gpu = part_of(used->gpu, all->gpu);

	return MAX(MAX(cpu, mem), gpu);
}

void fair_decide(struct fair *fair)
{
	struct cfg_room all = { 0 };
	GHashTableIter iter;
	void *value;

	fair->weights = 0;
	g_hash_table_iter_init(&iter, fair->parts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct part *part = value;

		fair->weights += part->weight;
		all.cpu_milli += part->used.cpu_milli + part->ready.cpu_milli;
		all.mem_mib += part->used.mem_mib + part->ready.mem_mib;
		all.gpu += part->used.gpu + part->ready.gpu;
	}
	fair->full = dominant(&all, &fair->room) > 1;
}

bool fair_take(struct fair *fair, const char *tenant,
	       const struct job_step *step, int32_t count)
{
	struct part *part = g_hash_table_lookup(fair->parts, tenant);

	if (!part || !fair->full)
		return false;
	if (dominant(&part->used, &fair->room) >
	    FAIR_EXCESS * part->weight / fair->weights)
		return true;
	add(&part->used, step, count);
	return false;
}
