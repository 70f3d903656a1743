#include <string.h>

#include "log.h"
#include "maint_int.h"

/* Stands for all hosts: no owner has ordered any since. */
#define MAINT_ANY_HOST "*"

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

void maint_bound_acquired(struct maint *maint)
{
	int64_t end_ms = ownership_earlier_end_ms(&maint->ownership);

	bound_acquired(&maint->bound);
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

static bool is_needed(void *arg, const char *subject)
{
	const struct maint *maint = arg;
	const struct host_plan *plan;

	if (!strcmp(subject, MAINT_ANY_HOST))
		return !maint->has_ordered;
	plan = host_plan_find(maint->env->plans, subject);
	return plan && is_unordered(maint, plan);
}

void maint_bound_orders(struct maint *maint)
{
	const GPtrArray *plans = maint->env->plans->list;

	for (guint i = 0; i < plans->len; i++) {
		const struct host_plan *plan = plans->pdata[i];

		if (is_unordered(maint, plan))
			bound_withhold(
				&maint->bound, plan->host,
				maint_earlier_orders_end_ms(maint, plan));
	}
	bound_allow_unless(&maint->bound, is_needed, maint);
	bound_store(&maint->bound, ownership_writer(&maint->ownership, 0),
		    clk_now_ms(maint->env->clk));
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
