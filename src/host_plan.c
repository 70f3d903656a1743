#include "host_plan.h"

#include <string.h>

#include "jcursor.h"
#include "rnd.h"

static const char *const work_names[] = {
	[HOST_RESTART] = "restart",
	[HOST_MOVE] = "move",
};

static const char *const step_names[] = {
	[HOST_DRAIN_REQUESTED] = "asked",
	[HOST_DRAINED] = "clear",
	[HOST_ORDER_DONE] = "ordered",
};

struct host_plans *host_plans_create(void)
{
	struct host_plans *plans = g_new0(struct host_plans, 1);

	plans->by_host = g_hash_table_new(g_str_hash, g_str_equal);
	plans->list = g_ptr_array_new_with_free_func(g_free);
	return plans;
}

void host_plans_destroy(struct host_plans *plans)
{
	if (!plans)
		return;
	g_hash_table_destroy(plans->by_host);
	g_ptr_array_free(plans->list, TRUE);
	g_free(plans);
}

struct host_plan *host_plan_find(const struct host_plans *plans,
				 const char *host)
{
	return g_hash_table_lookup(plans->by_host, host);
}

struct host_plan *host_plan_put(struct host_plans *plans,
				const struct host_plan *plan)
{
	struct host_plan *kept = host_plan_find(plans, plan->host);
	int64_t clearing;

	if (!kept) {
		kept = g_new0(struct host_plan, 1);
		g_strlcpy(kept->host, plan->host, sizeof(kept->host));
		g_hash_table_insert(plans->by_host, kept->host, kept);
		g_ptr_array_add(plans->list, kept);
	}
	clearing = kept->drained_number;
	*kept = *plan;
	kept->hash = rnd_hash_name(plan->host);
	kept->drained_number = clearing;
	return kept;
}

int64_t host_plans_last_number(const struct host_plans *plans)
{
	int64_t highest = 0;

	for (guint i = 0; i < plans->list->len; i++) {
		const struct host_plan *plan = plans->list->pdata[i];

		highest = MAX(highest, plan->number);
	}
	return highest;
}

static void drop(struct host_plans *plans, const char *host)
{
	struct host_plan *plan = host_plan_find(plans, host);

	if (!plan)
		return;
	g_hash_table_remove(plans->by_host, host);
	g_ptr_array_remove(plans->list, plan);
}

static int read_name(const struct jcursor *at, const char *const *names,
		     int count)
{
	char text[LIMIT_NAME_BYTES];

	jcursor_name(at, text, sizeof(text));
	for (int i = 0; i < count; i++)
		if (!strcmp(text, names[i]))
			return i;
	jcursor_refuse(at, "a known word");
	return 0;
}

/*
 * Whether a drained plan follows from the plan that is kept: the pool's owner has
 * drained the host for it, or it is a later plan of a host without work.
 */
static bool applies_drained(const struct host_plan *kept,
			    const struct host_plan *drained)
{
	if (drained->number == kept->number)
		return kept->step == HOST_DRAIN_REQUESTED;
	return drained->number > kept->number;
}

/* Whether a drained plan that does not apply is older than the one that is kept. */
static bool is_outdated(const struct host_plan *kept,
			const struct host_plan *drained)
{
	return drained->number < kept->number || kept->step == HOST_ORDER_DONE;
}

int host_plan_apply(struct host_plans *plans, const char *host, int64_t offset,
		    const char *value, size_t len, bool own, int64_t now_ms,
		    struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct host_plan *kept = host_plan_find(plans, host);
	struct host_plan plan = { .offset = offset, .seen_ms = now_ms };
	struct json_object *object;
	struct jcursor root, at;

	if (kept && offset <= kept->offset)
		return 0;
	if (!value) {
		if (!own)
			drop(plans, host);
		return 0;
	}
	g_strlcpy(plan.host, host, sizeof(plan.host));
	object = jcursor_parse(value, len, &fault);
	root = jcursor_root(object, &fault);
	if (object) {
		at = jcursor_member(&root, "work");
		plan.work =
			read_name(&at, work_names, G_N_ELEMENTS(work_names));
		at = jcursor_member(&root, "step");
		plan.step =
			read_name(&at, step_names, G_N_ELEMENTS(step_names));
		at = jcursor_member(&root, "wave");
		plan.wave = jcursor_int(&at, 0, LIMIT_NUMBER_MAX, 0);
		at = jcursor_member(&root, "number");
		plan.number = jcursor_int(&at, 0, LIMIT_NUMBER_MAX, 0);
		at = jcursor_member(&root, "fence");
		plan.fence = jcursor_int(&at, 0, LIMIT_NUMBER_MAX, 0);
		at = jcursor_member(&root, "done_wave");
		plan.done_wave = jcursor_int(&at, 0, LIMIT_NUMBER_MAX, 0);
		at = jcursor_member(&root, "pool");
		jcursor_string(&at, plan.pool, sizeof(plan.pool), "");
		at = jcursor_member(&root, "worker");
		jcursor_string(&at, plan.worker, sizeof(plan.worker), "");
	}
	json_object_put(object);
	if (fault.kind != ERR_OK)
		return err_set(err, fault.kind, "%s", fault.text);
	if (plan.step == HOST_DRAINED && kept &&
	    !applies_drained(kept, &plan)) {
		kept->hidden = is_outdated(kept, &plan);
		return 0;
	}
	if (own && (plan.step != HOST_DRAINED || !kept))
		return 0;
	if (kept && kept->number == plan.number)
		plan.previous_seen_ms = kept->previous_seen_ms;
	host_plan_put(plans, &plan);
	return 0;
}

enum host_next host_plan_next(const struct host_plan *plan,
			      const struct host *host)
{
	if (host->state != HOST_UP)
		return HOST_NEXT_WAIT;
	/* A host in a standby pool has no worker that would tell. */
	if (plan->work == HOST_MOVE && !strcmp(host->pool, plan->pool))
		return HOST_NEXT_REPLAN;
	if (!strcmp(host->worker, plan->worker))
		return HOST_NEXT_ORDER;
	return host->worker[0] ? HOST_NEXT_REPLAN : HOST_NEXT_WAIT;
}

char *host_plan_record(const struct host_plan *plan, size_t *len)
{
	struct json_object *object = json_object_new_object();
	char *text;

	jcursor_put_string(object, "work", work_names[plan->work]);
	jcursor_put_string(object, "step", step_names[plan->step]);
	jcursor_put_int(object, "number", plan->number);
	jcursor_put_int(object, "fence", plan->fence);
	if (plan->work == HOST_RESTART)
		jcursor_put_int(object, "wave", plan->wave);
	else
		jcursor_put_string(object, "pool", plan->pool);
	if (plan->done_wave)
		jcursor_put_int(object, "done_wave", plan->done_wave);
	if (plan->worker[0])
		jcursor_put_string(object, "worker", plan->worker);
	text = g_strdup(
		json_object_to_json_string_ext(object, JSON_C_TO_STRING_PLAIN));
	*len = strlen(text);
	json_object_put(object);
	return text;
}
