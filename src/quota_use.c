#include "quota_use.h"

#include <math.h>

#include <json-c/json.h>

#include "limit.h"

enum {
	/* Changes that others are told of, in 1/QUOTA_WHOLE. */
	QUOTA_USE_STEP = 100,
	QUOTA_USE_MINOR_STEP = 500
};

struct entry {
	struct cfg_room limit;
	int32_t granted;
	bool lowered; /* the limit, since the last pass */
	struct cfg_room used;
	struct cfg_room wanted; /* beyond used */
	int32_t unit;		/* the largest task that is wanted */
	int32_t least;		/* and the smallest one */
};

struct quota_use {
	GHashTable *entries; /* organisation -> struct entry */
	int64_t number;	     /* of the grants */
	bool confirmed;	     /* the configuration */
	/* Organisation -> struct quota_part of the last record; what is held is the
	   most that others have to assume since. */
	GHashTable *told;
	/* Organisation -> struct cfg_room, its limit in the last pass; NULL: there
	   was none in this tenure. */
	GHashTable *limits;
	bool any_lowered;
};

struct quota_use *quota_use_create(void)
{
	struct quota_use *use = g_new0(struct quota_use, 1);

	use->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	use->told =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return use;
}

void quota_use_reset(struct quota_use *use)
{
	g_hash_table_remove_all(use->told);
	g_clear_pointer(&use->limits, g_hash_table_destroy);
}

void quota_use_destroy(struct quota_use *use)
{
	if (!use)
		return;
	g_hash_table_destroy(use->entries);
	g_hash_table_destroy(use->told);
	if (use->limits)
		g_hash_table_destroy(use->limits);
	g_free(use);
}

/* Whether a limit is lower than another one, 0 being none. */
static bool is_lower(int64_t limit, int64_t other)
{
	return limit && (!other || limit < other);
}

/* Whether a limit is lower than that of the last pass. */
static bool was_lowered(const struct quota_use *use, const char *tenant,
			const struct cfg_room *limit)
{
	const struct cfg_room *last;

	if (!use->limits)
		return false;
	last = g_hash_table_lookup(use->limits, tenant);
	return !last || is_lower(limit->cpu_milli, last->cpu_milli) ||
	       is_lower(limit->mem_mib, last->mem_mib) ||
	       is_lower(limit->gpu, last->gpu);
}

/* Notes the limits of this pass, and which of them have been lowered. */
static void compare_limits(struct quota_use *use)
{
	GHashTable *limits =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GHashTableIter iter;
	void *tenant, *value;

	use->any_lowered = false;
	g_hash_table_iter_init(&iter, use->entries);
	while (g_hash_table_iter_next(&iter, &tenant, &value)) {
		struct entry *entry = value;

		entry->lowered = was_lowered(use, tenant, &entry->limit);
		use->any_lowered |= entry->lowered;
		g_hash_table_insert(
			limits, g_strdup(tenant),
			g_memdup2(&entry->limit, sizeof(entry->limit)));
	}
	if (use->limits)
		g_hash_table_destroy(use->limits);
	use->limits = limits;
}

bool quota_use_begin(struct quota_use *use, const struct cfg *cfg,
		     const struct quota_share *share, bool confirmed)
{
	g_hash_table_remove_all(use->entries);
	use->number = share ? share->number : 0;
	use->confirmed = confirmed;
	for (uint32_t i = 0; cfg && i < cfg->tenant_count; i++) {
		const struct cfg_tenant *tenant = &cfg->tenants[i];
		struct entry *entry;

		if (!cfg_has_limit(tenant))
			continue;
		entry = g_new0(struct entry, 1);
		entry->limit = tenant->max_running;
		entry->granted = quota_granted(share, tenant->name);
		g_hash_table_insert(use->entries, g_strdup(tenant->name),
				    entry);
	}
	compare_limits(use);
	return g_hash_table_size(use->entries) > 0;
}

static struct entry *find(const struct quota_use *use, const char *tenant)
{
	return *tenant ? g_hash_table_lookup(use->entries, tenant) : NULL;
}

static void add_room(struct cfg_room *room, const struct job_step *step,
		     int32_t count)
{
	if (!step->uses_idle_cpu)
		room->cpu_milli += (int64_t)step->cpu_milli * count;
	room->mem_mib += (int64_t)step->mem_mib * count;
	room->gpu += (int64_t)step->gpu * count;
}

void quota_use_add(struct quota_use *use, const char *tenant,
		   const struct job_step *step)
{
	struct entry *entry = find(use, tenant);

	if (entry)
		add_room(&entry->used, step, 1);
}

void quota_use_remove(struct quota_use *use, const char *tenant,
		      const struct job_step *step, int32_t count)
{
	struct entry *entry = find(use, tenant);

	if (entry)
		add_room(&entry->used, step, -count);
}

bool quota_use_any_lowered(const struct quota_use *use)
{
	return use->any_lowered;
}

bool quota_use_is_lowered(const struct quota_use *use, const char *tenant)
{
	const struct entry *entry = find(use, tenant);

	return entry && entry->lowered;
}

/* Part of a limit, rounded down; the product could exceed 64 bits. */
static int64_t part_of(int64_t limit, int32_t part)
{
	return limit / QUOTA_WHOLE * part +
	       limit % QUOTA_WHOLE * part / QUOTA_WHOLE;
}

static bool within(int64_t used, int64_t limit, int32_t granted)
{
	return !limit || used <= part_of(limit, granted);
}

static bool is_unused(const struct cfg_room *room)
{
	return !room->cpu_milli && !room->mem_mib && !room->gpu;
}

static bool room_fits(const struct entry *entry, const struct cfg_room *room)
{
	return within(room->cpu_milli, entry->limit.cpu_milli,
		      entry->granted) &&
	       within(room->mem_mib, entry->limit.mem_mib, entry->granted) &&
	       within(room->gpu, entry->limit.gpu, entry->granted);
}

bool quota_use_fits(const struct quota_use *use, const char *tenant)
{
	const struct entry *entry = find(use, tenant);

	return !entry || room_fits(entry, &entry->used);
}

bool quota_use_allows(const struct quota_use *use, const char *tenant,
		      const struct job_step *step, int32_t count)
{
	const struct entry *entry = find(use, tenant);
	struct cfg_room after;

	if (!entry)
		return true;
	if (!use->confirmed)
		return false;
	/* A task that is larger than the limit runs alone. */
	if (entry->granted >= QUOTA_WHOLE && count == 1 &&
	    is_unused(&entry->used))
		return true;
	after = entry->used;
	add_room(&after, step, count);
	return room_fits(entry, &after);
}

/* The larger part of a limit, rounded up. */
static int32_t larger_part(int32_t part, int64_t used, int64_t limit)
{
	double exact;

	if (!limit || used <= 0)
		return part;
	exact = ceil((double)used * QUOTA_WHOLE / (double)limit);
	return MAX(part, (int32_t)MIN(exact, (double)INT32_MAX));
}

/* The largest part that any dimension takes of its limit. */
static int32_t dominant_part(const struct cfg_room *used,
			     const struct cfg_room *limit)
{
	int32_t part = larger_part(0, used->cpu_milli, limit->cpu_milli);

	part = larger_part(part, used->mem_mib, limit->mem_mib);
	return larger_part(part, used->gpu, limit->gpu);
}

void quota_use_want(struct quota_use *use, const char *tenant,
		    const struct job_step *step, int32_t count)
{
	struct entry *entry = find(use, tenant);
	/* Tasks of a gang start together or not at all. */
	int32_t together = step->gang ? count : 1;
	struct cfg_room room = { 0 };
	int32_t unit;

	if (!entry)
		return;
	add_room(&room, step, together);
	unit = dominant_part(&room, &entry->limit);
	/* Only a single task may run beyond the limit, and alone. */
	if (unit > QUOTA_WHOLE && together > 1)
		return;
	add_room(&entry->wanted, step, count);
	unit = MIN(unit, QUOTA_WHOLE);
	entry->least = entry->unit ? MIN(entry->least, unit) : unit;
	entry->unit = MAX(entry->unit, unit);
}

bool quota_use_wants(const struct quota_use *use, const char *tenant)
{
	const struct entry *entry = find(use, tenant);

	return entry && entry->unit;
}

static int32_t used_part(const struct entry *entry)
{
	return dominant_part(&entry->used, &entry->limit);
}

static int32_t held_part(const struct entry *entry)
{
	return MAX(used_part(entry), entry->granted);
}

static int32_t wanted_part(const struct entry *entry)
{
	struct cfg_room all = entry->used;

	all.cpu_milli += entry->wanted.cpu_milli;
	all.mem_mib += entry->wanted.mem_mib;
	all.gpu += entry->wanted.gpu;
	return dominant_part(&all, &entry->limit);
}

/* Whether a change is the first of its kind or at least so large. */
static bool differs(int32_t now, int32_t before, int32_t step)
{
	return (now == 0) != (before == 0) || ABS(now - before) >= step;
}

static bool is_news(const struct entry *entry, struct quota_part *told,
		    bool minor)
{
	int32_t held = held_part(entry);

	if (!told)
		return true;
	told->held = MAX(told->held, held);
	if (held < told->held &&
	    (held == entry->granted || told->held - held >= QUOTA_USE_STEP))
		return true;
	if (differs(entry->unit, told->unit, QUOTA_USE_STEP) ||
	    differs(entry->least, told->least, QUOTA_USE_STEP))
		return true;
	if (entry->unit &&
	    differs(wanted_part(entry), told->wanted, QUOTA_USE_MINOR_STEP))
		return true;
	return minor &&
	       differs(used_part(entry), told->used, QUOTA_USE_MINOR_STEP);
}

bool quota_use_is_news(struct quota_use *use, bool minor)
{
	GHashTableIter iter;
	void *tenant, *value;
	bool news = false;

	g_hash_table_iter_init(&iter, use->entries);
	while (use->confirmed && g_hash_table_iter_next(&iter, &tenant, &value))
		news |= is_news(value, g_hash_table_lookup(use->told, tenant),
				minor);
	return news;
}

static void note_told(struct quota_use *use, const char *tenant,
		      const struct entry *entry)
{
	struct quota_part told = {
		.held = held_part(entry),
		.used = used_part(entry),
		.wanted = wanted_part(entry),
		.unit = entry->unit,
		.least = entry->least,
	};

	g_hash_table_insert(use->told, g_strdup(tenant),
			    g_memdup2(&told, sizeof(told)));
}

char *quota_use_record(struct quota_use *use)
{
	struct json_object *root = json_object_new_object();
	struct json_object *rows = json_object_new_array();
	GHashTableIter iter;
	void *tenant, *value;
	char *text;

	json_object_object_add(root, "n", json_object_new_int64(use->number));
	g_hash_table_remove_all(use->told);
	g_hash_table_iter_init(&iter, use->entries);
	while (g_hash_table_iter_next(&iter, &tenant, &value)) {
		const struct entry *entry = value;
		const int32_t numbers[] = { held_part(entry), used_part(entry),
					    wanted_part(entry), entry->unit,
					    entry->least };
		struct json_object *row =
			json_object_new_array_ext(1 + G_N_ELEMENTS(numbers));

		json_object_array_add(row, json_object_new_string(tenant));
		for (size_t i = 0; i < G_N_ELEMENTS(numbers); i++)
			json_object_array_add(row,
					      json_object_new_int(numbers[i]));
		json_object_array_add(rows, row);
		note_told(use, tenant, entry);
	}
	json_object_object_add(root, "u", rows);
	text = g_strdup(
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return text;
}
