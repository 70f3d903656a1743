#include "quota_plan.h"

#include <string.h>

enum {
	/* Of what nobody needs, kept for the next share that is short. */
	QUOTA_PLAN_KEPT_PERCENT = 20,
	/* Smaller changes are not worth a record. */
	QUOTA_PLAN_STEP = 100,
	/* A share gives up its turn after this time without a raise, for as long:
	   what it waits for does not end soon. Most tasks last 2 s at most. */
	QUOTA_PLAN_TURN_MS = 4000,
	/* A share of a pool that is not configured any more, whose owner does not
	   follow a grant of nothing for so long, has no owner and nothing running:
	   no lease of a worker lasts as long. */
	QUOTA_PLAN_GONE_MS = 30 * 1000
};

struct quota_plan {
	GHashTable *turns; /* struct quota_part -> turn of the last raise */
	int64_t turn;
	GHashTable *firsts; /* organisation -> struct first */
	GHashTable *passed; /* the same -> when it gave up its turn */
	/* Of a share that is not configured -> since when its owner has not followed
	   a grant of nothing. */
	GHashTable *gone;
};

/* The share whose turn it is. */
struct first {
	const struct quota_part *part;
	int64_t since_ms;
};

/* Input and result of a decision. */
struct decision {
	int64_t now_ms;
	const GPtrArray *keys; /* of the configured shares */
	GPtrArray *shares;     /* their struct quota_share, or NULL */
	GPtrArray *others;     /* struct quota_share of all others */
	/* Share -> table from organisations to new grants. */
	GHashTable *changes;
};

/* A share's part of the limit that is being divided. */
struct part {
	const char *key;
	const struct quota_part *known;
	int32_t granted;
	int32_t may_use;
	int32_t used;
	int32_t wanted;
	int32_t unit;
	int32_t least;
	int64_t turn;
	bool passed; /* it has given up its turn */
	int32_t target;
	int32_t next; /* new grant */
};

struct quota_plan *quota_plan_create(void)
{
	struct quota_plan *plan = g_new0(struct quota_plan, 1);

	plan->turns = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	plan->passed = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	plan->firsts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	plan->gone = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	return plan;
}

void quota_plan_destroy(struct quota_plan *plan)
{
	if (!plan)
		return;
	g_hash_table_destroy(plan->turns);
	g_hash_table_destroy(plan->firsts);
	g_hash_table_destroy(plan->passed);
	g_hash_table_destroy(plan->gone);
	g_free(plan);
}

void quota_plan_reset(struct quota_plan *plan)
{
	g_hash_table_remove_all(plan->turns);
	g_hash_table_remove_all(plan->firsts);
	g_hash_table_remove_all(plan->passed);
	g_hash_table_remove_all(plan->gone);
}

/*
 * Numbers are kept by the address of what the table has of a share and an
 * organisation, which stays as it is while the table exists.
 */
static void keep_number(GHashTable *table, const struct quota_part *known,
			int64_t number)
{
	g_hash_table_insert(table, (struct quota_part *)known,
			    g_memdup2(&number, sizeof(number)));
}

/* The number that is kept for a part, or the fallback. */
static int64_t kept_number(GHashTable *table, const struct quota_part *known,
			   int64_t fallback)
{
	const int64_t *number = g_hash_table_lookup(table, known);

	return number ? *number : fallback;
}

/* Whether a share has given up its turn a short time ago. */
static bool has_passed(const struct quota_plan *plan,
		       const struct quota_part *known, int64_t now_ms)
{
	int64_t at_ms = kept_number(plan->passed, known, -1);

	return at_ms >= 0 && now_ms - at_ms < QUOTA_PLAN_TURN_MS;
}

/* Reads the parts; false if some share has not reported this limit yet. */
static bool read_parts(const struct quota_plan *plan,
		       const struct decision *decision, const char *tenant,
		       struct part *parts)
{
	for (guint i = 0; i < decision->shares->len; i++) {
		const struct quota_share *share = decision->shares->pdata[i];
		const struct quota_part *known = quota_part_find(share, tenant);

		if (!known || !known->reported)
			return false;
		parts[i] = (struct part){
			.key = decision->keys->pdata[i],
			.known = known,
			.granted = known->granted,
			.may_use = quota_may_use(share, tenant),
			.used = known->used,
			.wanted = MAX(known->wanted, known->used),
			.unit = known->unit,
			.least = known->least,
			.turn = kept_number(plan->turns, known, 0),
			.passed = has_passed(plan, known, decision->now_ms),
			.next = known->granted,
		};
	}
	return true;
}

static gint compare_turns(gconstpointer a, gconstpointer b)
{
	const struct part *left = *(struct part *const *)a;
	const struct part *right = *(struct part *const *)b;

	if (left->turn != right->turn)
		return left->turn < right->turn ? -1 : 1;
	return strcmp(left->key, right->key);
}

/* Those that are short, the one raised longest ago first; free the array. */
static GPtrArray *short_parts(struct part *parts, guint count)
{
	GPtrArray *found = g_ptr_array_new();

	for (guint i = 0; i < count; i++)
		if (parts[i].unit)
			g_ptr_array_add(found, &parts[i]);
	g_ptr_array_sort(found, compare_turns);
	return found;
}

static int64_t sum_targets(const struct part *parts, guint count)
{
	int64_t sum = 0;

	for (guint i = 0; i < count; i++)
		sum += parts[i].target;
	return sum;
}

/*
 * Sets the targets to what is wanted, but to no more than a level, the highest at
 * which their sum is within left.
 */
static void fill_evenly(struct part *parts, guint count, int64_t left)
{
	guint open = count;
	bool any = true;

	for (guint i = 0; i < count; i++)
		parts[i].target = -1;
	while (open && any) {
		int64_t level = MAX(left, 0) / open;

		any = false;
		for (guint i = 0; i < count; i++) {
			if (parts[i].target >= 0 || parts[i].wanted > level)
				continue;
			parts[i].target = parts[i].wanted;
			left -= parts[i].wanted;
			open--;
			any = true;
		}
	}
	left = open ? MAX(left, 0) / open : 0;
	for (guint i = 0; i < count; i++)
		if (parts[i].target < 0)
			parts[i].target = (int32_t)left;
}

/* Takes some of the largest target of the others; returns how much. */
static int32_t take_from_largest(struct part *parts, guint count,
				 const struct part *taker, int32_t most)
{
	struct part *largest = NULL;
	int32_t taken;

	for (guint i = 0; i < count; i++)
		if (&parts[i] != taker &&
		    (!largest || parts[i].target > largest->target))
			largest = &parts[i];
	if (!largest)
		return 0;
	taken = MIN(largest->target, most);
	largest->target -= taken;
	return taken;
}

/*
 * Gives what is too little for any task of a share to those whose turn it is: a part
 * that no task fits would be of no use to anybody. The first one gets its task's part
 * in any case.
 */
static void make_usable(struct part *parts, guint count, int64_t whole)
{
	GPtrArray *waiting = short_parts(parts, count);
	int64_t left = whole - sum_targets(parts, count);
	bool first = true;

	for (guint i = 0; i < waiting->len; i++) {
		struct part *part = waiting->pdata[i];

		if (part->target >= part->unit)
			continue;
		left += part->target;
		part->target = -1;
	}
	for (guint i = 0; i < waiting->len; i++) {
		struct part *part = waiting->pdata[i];
		int32_t taken = 1;

		if (part->target >= 0)
			continue;
		part->target = 0;
		while (first && !part->passed && left < part->unit &&
		       taken > 0) {
			taken = take_from_largest(parts, count, part,
						  part->unit - (int32_t)left);
			left += taken;
		}
		first = first && part->passed;
		if (left < part->unit)
			continue;
		part->target = part->unit;
		left -= part->unit;
	}
	g_ptr_array_free(waiting, TRUE);
}

/* Divides what nobody needs, half of it equally, half by need. */
static void add_spare(struct part *parts, guint count, int64_t left)
{
	int64_t spare = left * (100 - QUOTA_PLAN_KEPT_PERCENT) / 100;
	int64_t need = 0;

	if (spare <= 0)
		return;
	for (guint i = 0; i < count; i++)
		need += parts[i].target;
	for (guint i = 0; i < count; i++)
		parts[i].target +=
			(int32_t)(need ? spare / 2 / count +
						  spare / 2 * parts[i].target /
							  need
				       : spare / count);
}

/* What each share should have, of what the shares of removed pools do not hold. */
static void set_targets(struct part *parts, guint count, int64_t whole)
{
	fill_evenly(parts, count, whole);
	make_usable(parts, count, whole);
	add_spare(parts, count, whole - sum_targets(parts, count));
}

/* Whether a grant of the target would let the share start something. */
static bool is_useful(const struct part *part, int32_t granted)
{
	return !part->unit || granted >= QUOTA_WHOLE ||
	       granted >= MIN(part->used + part->least, part->target);
}

static bool is_short(const struct part *part)
{
	return part->unit && part->next < part->target;
}

/* Whether little is left of a grant, or the share has none. */
static bool is_low(const struct part *part)
{
	int32_t spare = part->target - part->wanted;

	return part->target - part->next >= QUOTA_PLAN_STEP &&
	       part->next - part->wanted < spare / 2;
}

/* Raises a grant out of what no share may use; returns the rest of that. */
static int64_t raise_part(struct part *part, int64_t free)
{
	/* A share that uses more than its grant holds that already. */
	int64_t most = MAX(part->may_use, part->granted) + free;
	int32_t next = (int32_t)MIN(part->target, most);

	if (next <= part->granted || !is_useful(part, next))
		return free;
	part->next = next;
	return free - MAX(next - MAX(part->may_use, part->granted), 0);
}

static int64_t raise_parts(struct quota_plan *plan, struct part *parts,
			   guint count, int64_t free)
{
	GPtrArray *waiting = short_parts(parts, count);

	for (guint i = 0; i < waiting->len; i++)
		free = raise_part(waiting->pdata[i], free);
	for (guint i = 0; i < count; i++)
		if (!parts[i].unit && is_low(&parts[i]))
			free = raise_part(&parts[i], free);
	g_ptr_array_free(waiting, TRUE);
	plan->turn++;
	return free;
}

/* Whether no task at all fits what a share that is short has been granted. */
static bool has_nothing(const struct part *part)
{
	return is_short(part) && part->next < part->unit;
}

/* The share whose turn it is; NULL: none that has nothing. */
static const struct part *find_first(struct part *parts, guint count)
{
	GPtrArray *waiting = short_parts(parts, count);
	const struct part *first = NULL;

	for (guint i = 0; !first && i < waiting->len; i++) {
		const struct part *part = waiting->pdata[i];

		if (has_nothing(part) && !part->passed)
			first = part;
	}
	g_ptr_array_free(waiting, TRUE);
	return first;
}

/* Ends the turn of a share that it has not helped for long. */
static void pass_turn(struct quota_plan *plan, struct part *parts, guint count,
		      const char *tenant, int64_t now_ms)
{
	const struct part *part = find_first(parts, count);
	struct first *first = g_hash_table_lookup(plan->firsts, tenant);

	if (!part) {
		g_hash_table_remove(plan->firsts, tenant);
	} else if (!first || first->part != part->known) {
		first = g_new0(struct first, 1);
		first->part = part->known;
		first->since_ms = now_ms;
		g_hash_table_insert(plan->firsts, g_strdup(tenant), first);
	} else if (now_ms - first->since_ms >= QUOTA_PLAN_TURN_MS) {
		keep_number(plan->passed, part->known, now_ms);
		g_hash_table_remove(plan->firsts, tenant);
	}
}

static void lower_parts(struct part *parts, guint count)
{
	bool any_short = false;
	int32_t step = QUOTA_PLAN_STEP;

	for (guint i = 0; i < count; i++) {
		any_short |= is_short(&parts[i]);
		/* Many that each have a little too much could keep it out. */
		if (has_nothing(&parts[i]))
			step = 1;
	}
	for (guint i = 0; any_short && i < count; i++)
		if (parts[i].granted - parts[i].target >= step)
			parts[i].next = parts[i].target;
}

/*
 * More than the whole may be running, as a limit was lowered: no share keeps a part
 * by which it could start something.
 */
static void lower_to_used(struct part *parts, guint count)
{
	for (guint i = 0; i < count; i++)
		parts[i].next = MIN(parts[i].next, parts[i].used);
}

/* Whether nothing runs in a share that is not configured, as it has no owner. */
static bool is_gone(struct quota_plan *plan, const struct quota_share *share,
		    const struct quota_part *known, int64_t now_ms)
{
	int64_t since_ms;

	if (share->applied >= share->number) {
		g_hash_table_remove(plan->gone, known);
		return false;
	}
	since_ms = kept_number(plan->gone, known, -1);
	if (since_ms < 0)
		keep_number(plan->gone, known, now_ms);
	return since_ms >= 0 && now_ms - since_ms >= QUOTA_PLAN_GONE_MS;
}

static void change_grant(const char *key, const char *tenant, int32_t granted,
			 GHashTable *changes)
{
	GHashTable *of_share = g_hash_table_lookup(changes, key);

	if (!of_share) {
		of_share = g_hash_table_new(g_str_hash, g_str_equal);
		g_hash_table_insert(changes, (char *)key, of_share);
	}
	g_hash_table_insert(of_share, (char *)tenant, GINT_TO_POINTER(granted));
}

/*
 * What shares of pools that are not configured may still use. They are granted
 * nothing, so that a pool that comes back begins with nothing.
 */
static int64_t held_by_others(struct quota_plan *plan,
			      const struct decision *decision,
			      const char *tenant)
{
	int64_t held = 0;

	for (guint i = 0; i < decision->others->len; i++) {
		const struct quota_share *share = decision->others->pdata[i];
		const struct quota_part *known = quota_part_find(share, tenant);

		if (!known)
			continue;
		if (known->granted)
			change_grant(share->key, tenant, 0, decision->changes);
		if (known->granted ||
		    !is_gone(plan, share, known, decision->now_ms))
			held += MAX(known->granted,
				    quota_may_use(share, tenant));
	}
	return held;
}

static void note_changes(struct quota_plan *plan, const struct part *parts,
			 guint count, const char *tenant, GHashTable *changes)
{
	for (guint i = 0; i < count; i++) {
		const struct part *part = &parts[i];

		if (part->next == part->granted)
			continue;
		if (part->next > part->granted)
			keep_number(plan->turns, part->known, plan->turn);
		change_grant(part->key, tenant, part->next, changes);
	}
}

static void decide_tenant(struct quota_plan *plan,
			  const struct decision *decision, const char *tenant)
{
	guint count = decision->shares->len;
	struct part *parts = g_new0(struct part, count + 1);
	int64_t whole = QUOTA_WHOLE - held_by_others(plan, decision, tenant);
	int64_t free = whole;

	if (read_parts(plan, decision, tenant, parts)) {
		for (guint i = 0; i < count; i++)
			free -= MAX(parts[i].may_use, parts[i].granted);
		set_targets(parts, count, whole);
		if (free >= 0)
			raise_parts(plan, parts, count, free);
		pass_turn(plan, parts, count, tenant, decision->now_ms);
		lower_parts(parts, count);
		if (free < 0)
			lower_to_used(parts, count);
		note_changes(plan, parts, count, tenant, decision->changes);
	}
	g_free(parts);
}

/* Sorts the shares by whether they are configured. */
static void find_shares(struct quota_plan *plan,
			const struct quota_table *table,
			struct decision *decision)
{
	GHashTable *configured = g_hash_table_new(NULL, NULL);
	GHashTableIter iter, parts;
	void *share, *part;

	for (guint i = 0; i < decision->keys->len; i++) {
		share = (void *)quota_find(table, decision->keys->pdata[i]);
		g_ptr_array_add(decision->shares, share);
		if (!share)
			continue;
		g_hash_table_add(configured, share);
		if (!g_hash_table_size(plan->gone))
			continue;
		g_hash_table_iter_init(&parts,
				       ((struct quota_share *)share)->parts);
		while (g_hash_table_iter_next(&parts, NULL, &part))
			g_hash_table_remove(plan->gone, part);
	}
	g_hash_table_iter_init(&iter, table->shares);
	while (g_hash_table_iter_next(&iter, NULL, &share))
		if (!g_hash_table_contains(configured, share))
			g_ptr_array_add(decision->others, share);
	g_hash_table_destroy(configured);
}

static void free_changes(void *changes)
{
	g_hash_table_destroy(changes);
}

void quota_plan_decide(
	struct quota_plan *plan, const struct quota_table *table,
	const struct cfg *cfg, const GPtrArray *keys, int64_t now_ms,
	void (*fn)(void *arg, const char *key, GHashTable *changes), void *arg)
{
	struct decision decision = {
		.now_ms = now_ms,
		.keys = keys,
		.shares = g_ptr_array_new(),
		.others = g_ptr_array_new(),
		.changes = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_changes),
	};
	GHashTableIter iter;
	void *key, *of_share;

	find_shares(plan, table, &decision);
	for (uint32_t i = 0; i < cfg->tenant_count; i++)
		if (cfg_has_limit(&cfg->tenants[i]))
			decide_tenant(plan, &decision, cfg->tenants[i].name);
	g_hash_table_iter_init(&iter, decision.changes);
	while (g_hash_table_iter_next(&iter, &key, &of_share))
		fn(arg, key, of_share);
	g_hash_table_destroy(decision.changes);
	g_ptr_array_free(decision.shares, TRUE);
	g_ptr_array_free(decision.others, TRUE);
}
