#include <string.h>

#include "log.h"
#include "maint_int.h"

/* Stands for all hosts: no owner has ordered any since. */
#define MAINT_ANY_HOST "*"

/* Before a number: stands for all plans up to it. */
#define MAINT_SETTLED '#'

enum {
	/* Between two looks for plans that are settled; each may store a list. */
	MAINT_SETTLED_GAP_MS = 1000,
	/* An order may be under way for that long after it was sent. */
	MAINT_ORDER_TIMEOUT_MS = 1500
};

static void on_fenced(void *arg)
{
	struct maint *maint = arg;

	ownership_lose(&maint->ownership, "an append was fenced");
}

void maint_bound_init(struct maint *maint)
{
	struct bound_config config = {
		.table = maint->env->bounds,
		.key = "hosts",
		.fenced = on_fenced,
		.arg = maint,
	};

	bound_init(&maint->bound, &config);
}

static void read_settled(void *arg, const char *subject, int64_t end_ms)
{
	struct maint *maint = arg;
	int64_t number;

	if (subject[0] != MAINT_SETTLED)
		return;
	number = g_ascii_strtoll(subject + 1, NULL, 10);
	if (number <= maint->settled_plan)
		return;
	maint->settled_plan = number;
	maint->settled_end_ms = end_ms;
}

void maint_bound_acquired(struct maint *maint)
{
	int64_t end_ms = ownership_earlier_end_ms(&maint->ownership);

	bound_acquired(&maint->bound);
	maint->settled_plan = 0;
	bound_foreach(&maint->bound, read_settled, maint);
	/* Plans up to it need not have been stored; their numbers are used up. */
	maint->last_plan = MAX(maint->last_plan, maint->settled_plan);
	if (bound_find_end(&maint->bound, MAINT_ANY_HOST, &end_ms))
		log_info("order-bounds-read hosts=%u "
			 "left_ms=%" G_GINT64_FORMAT,
			 g_hash_table_size(maint->bound.subjects),
			 end_ms - clk_now_ms(maint->env->clk));
	bound_withhold(&maint->bound, MAINT_ANY_HOST, end_ms);
	maint->earlier_end_ms = end_ms;
	maint->has_ordered = false;
	maint->handing_over = false;
}

int64_t maint_earlier_orders_end_ms(const struct maint *maint,
				    const struct host_plan *plan)
{
	int64_t lease_ms = maint->env->order_lease_ms;
	int64_t end_ms = maint->earlier_end_ms + lease_ms;

	if (bound_find_end(&maint->bound, plan->host, &end_ms))
		return end_ms;
	/* Made in this tenure. An earlier owner may have ordered the host for its
	   previous plan, or for one that it could not store. */
	if (plan->fence == maint->ownership.fence)
		return MIN(end_ms, plan->previous_seen_ms + lease_ms);
	return end_ms;
}

/* Whether this owner may have ordered the host; no other one does meanwhile. */
static bool may_have_ordered(const struct maint *maint,
			     const struct host_plan *plan)
{
	const struct known_host *known = maint_find_host(maint, plan->host);

	if (maint->handing_over)
		return known && (known->ordering || known->unanswered);
	return plan->fence == maint->ownership.fence ||
	       (known && known->order_fence == maint->ownership.fence);
}

/* Whether the host's plan waits for an order that this owner has not given. */
static bool is_unordered(const struct maint *maint,
			 const struct host_plan *plan)
{
	return plan->step != HOST_ORDER_DONE && !may_have_ordered(maint, plan);
}

static void settled_name(int64_t number, char *name, size_t size)
{
	g_snprintf(name, size, "%c%" G_GINT64_FORMAT, MAINT_SETTLED, number);
}

/* Whether no order for the host of the plan, if any, can be recent. */
static bool is_settled(const struct maint *maint, const struct host_plan *plan,
		       int64_t now_ms)
{
	const struct known_host *known = maint_find_host(maint, plan->host);
	int64_t last_ms = MAX(plan->seen_ms, plan->previous_seen_ms);

	if (plan->step != HOST_ORDER_DONE ||
	    (known && (known->ordering || known->unanswered)))
		return false;
	if (known)
		last_ms = MAX(last_ms, known->sent_ms + MAINT_ORDER_TIMEOUT_MS);
	return now_ms - last_ms >= maint->env->order_lease_ms;
}

/* Number up to which all plans are settled. */
static int64_t find_settled(const struct maint *maint, int64_t now_ms)
{
	const GPtrArray *plans = maint->env->plans->list;
	int64_t number = maint->last_plan;

	for (guint i = 0; i < plans->len; i++) {
		const struct host_plan *plan = plans->pdata[i];

		if (plan->number > maint->settled_plan &&
		    !is_settled(maint, plan, now_ms))
			number = MIN(number, plan->number - 1);
	}
	return number;
}

static void bound_settled_plans(struct maint *maint, int64_t now_ms)
{
	char name[LIMIT_NAME_BYTES];
	int64_t number;

	if (maint->handing_over || now_ms < maint->settled_due_ms)
		return;
	maint->settled_due_ms = now_ms + MAINT_SETTLED_GAP_MS;
	number = find_settled(maint, now_ms);
	if (number <= maint->settled_plan)
		return;
	settled_name(number, name, sizeof(name));
	if (!bound_withhold(&maint->bound, name, now_ms))
		return;
	maint->settled_plan = number;
	maint->settled_end_ms = now_ms;
}

static bool is_needed(void *arg, const char *subject)
{
	const struct maint *maint = arg;
	const struct host_plan *plan;
	char name[LIMIT_NAME_BYTES];

	settled_name(maint->settled_plan, name, sizeof(name));
	if (subject[0] == MAINT_SETTLED)
		return !strcmp(subject, name);
	if (!strcmp(subject, MAINT_ANY_HOST))
		return !maint->has_ordered;
	plan = host_plan_find(maint->env->plans, subject);
	return plan && is_unordered(maint, plan);
}

void maint_bound_orders(struct maint *maint)
{
	const GPtrArray *plans = maint->env->plans->list;
	int64_t now_ms = clk_now_ms(maint->env->clk);

	for (guint i = 0; i < plans->len; i++) {
		const struct host_plan *plan = plans->pdata[i];

		if (is_unordered(maint, plan))
			bound_withhold(
				&maint->bound, plan->host,
				maint_earlier_orders_end_ms(maint, plan));
	}
	bound_settled_plans(maint, now_ms);
	bound_allow_unless(&maint->bound, is_needed, maint);
	bound_store(&maint->bound, ownership_writer(&maint->ownership, 0),
		    now_ms);
}

bool maint_prepare_order(struct maint *maint, struct known_host *known)
{
	maint->has_ordered = true;
	known->order_fence = maint->ownership.fence;
	bound_allow(&maint->bound, MAINT_ANY_HOST);
	bound_allow(&maint->bound, known->host.name);
	return !bound_withholds(&maint->bound, MAINT_ANY_HOST) &&
	       !bound_withholds(&maint->bound, known->host.name);
}

void maint_hand_over(struct maint *maint)
{
	int64_t now_ms = clk_now_ms(maint->env->clk);

	if (!ownership_held(&maint->ownership) || maint->handing_over)
		return;
	maint->handing_over = true;
	if (maint->has_ordered)
		bound_withhold(&maint->bound, MAINT_ANY_HOST, now_ms);
	maint->has_ordered = false;
	maint_bound_orders(maint);
}

bool maint_handed_over(const struct maint *maint)
{
	return !ownership_held(&maint->ownership) ||
	       (maint->handing_over && bound_stored(&maint->bound));
}
