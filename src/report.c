#include "report.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "jcursor.h"
#include "limit.h"

enum {
	LAST_ENTRIES = 8,
	/* A host list or log that is silent for longer is called stale. */
	STALE_MS = 10000,
	LINE_BYTES = 1024
};

static const char *text_of(struct json_object *row, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(row, key, &value);
	return value ? json_object_get_string(value) : "";
}

static int64_t int_of(struct json_object *row, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(row, key, &value);
	return json_object_get_int64(value);
}

static bool has(struct json_object *row, const char *key, const char *text)
{
	return !strcmp(text_of(row, key), text);
}

static size_t length(struct json_object *list)
{
	return json_object_is_type(list, json_type_array)
		       ? json_object_array_length(list)
		       : 0;
}

static void add_line(struct json_object *list, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void add_line(struct json_object *list, const char *fmt, ...)
{
	char line[LINE_BYTES];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	json_object_array_add(list, json_object_new_string(line));
}

static struct json_object *find(struct json_object *list, const char *key,
				const char *text)
{
	for (size_t i = 0; i < length(list); i++) {
		struct json_object *row = json_object_array_get_idx(list, i);

		if (has(row, key, text))
			return row;
	}
	return NULL;
}

static void add_entry(struct json_object *list, struct json_object *entry)
{
	add_line(
		list, "offset %" PRId64 ": %s %s by %s%s%s%s%s: %s%s%s",
		int_of(entry, "offset"), text_of(entry, "action"),
		text_of(entry, "target"), text_of(entry, "author"),
		*text_of(entry, "before") ? ", " : "", text_of(entry, "before"),
		*text_of(entry, "after") ? " -> " : "", text_of(entry, "after"),
		text_of(entry, "result"), *text_of(entry, "detail") ? ", " : "",
		text_of(entry, "detail"));
}

/* The last audit entries of a target. */
static struct json_object *last_entries(const struct report_input *input,
					const char *target)
{
	struct json_object *list = json_object_new_array();
	size_t count = length(input->audit);
	size_t first = count, found = 0;

	while (first > 0 && found < LAST_ENTRIES) {
		first--;
		found += has(json_object_array_get_idx(input->audit, first),
			     "target", target);
	}
	for (size_t i = first; i < count; i++) {
		struct json_object *entry =
			json_object_array_get_idx(input->audit, i);

		if (has(entry, "target", target))
			add_entry(list, entry);
	}
	return list;
}

static void add_budget(struct json_object *list, struct json_object *pool)
{
	int64_t spare =
		int_of(pool, "available") - int_of(pool, "min_available");

	add_line(list,
		 "pool %s/%s: %" PRId64 " of %" PRId64
		 " hosts available, %" PRId64 " wanted, %" PRId64
		 " out for maintenance, %" PRId64 " failed; %s",
		 text_of(pool, "team"), text_of(pool, "pool"),
		 int_of(pool, "available"), int_of(pool, "hosts"),
		 int_of(pool, "min_available"), int_of(pool, "planned_out"),
		 int_of(pool, "failed"),
		 spare > 0   ? "another host may be drained"
		 : spare < 0 ? "below its budget, no host may be drained"
			     : "at its budget, no host may be drained");
}

static void add_waits(const struct report_input *input,
		      struct json_object *list, struct json_object *host)
{
	struct json_object *waits = NULL;

	json_object_object_get_ex(host, "waits_for", &waits);
	for (size_t i = 0; i < length(waits); i++) {
		const char *name = json_object_get_string(
			json_object_array_get_idx(waits, i));
		struct json_object *member =
			find(input->members, "member", name);

		if (has(member, "state", "expired"))
			add_line(list,
				 "%s waits for %s in %s, which sends no "
				 "heartbeats: it may still send to its own "
				 "data centre until it is back, or stopped "
				 "and no longer a member",
				 text_of(host, "host"), name,
				 text_of(member, "data_centre"));
		else
			add_line(list,
				 "%s waits for %s in %s to end its requests",
				 text_of(host, "host"), name,
				 text_of(member, "data_centre"));
	}
}

/* What the operator may do about a host's state. */
static const char *next_step(struct json_object *host)
{
	static const char *const steps[][2] = {
		{ "serving", "serves; `drain` takes it out of service" },
		{ "draining", "gets nothing new; `undrain` takes it back" },
		{ "drained", "may be rebooted, retired or undrained" },
		{ "rebooting", "out until `return` says that it is back" },
		{ "failed", "out until `return` says that it is back" },
		{ "retired", "out for good" },
	};

	for (size_t i = 0; i < sizeof(steps) / sizeof(steps[0]); i++)
		if (has(host, "state", steps[i][0]))
			return steps[i][1];
	return "";
}

static void add_host(const struct report_input *input, struct json_object *list,
		     struct json_object *host)
{
	struct json_object *known = NULL;

	add_line(list, "%s is %s since offset %" PRId64 "%s%s%s: %s",
		 text_of(host, "host"), text_of(host, "state"),
		 int_of(host, "changed"), *text_of(host, "reason") ? " (" : "",
		 text_of(host, "reason"), *text_of(host, "reason") ? ")" : "",
		 next_step(host));
	json_object_object_get_ex(host, "known", &known);
	if (known && !json_object_get_boolean(known))
		add_line(list,
			 "the platform's list has never named %s, so it counts "
			 "as unavailable",
			 text_of(host, "host"));
	add_waits(input, list, host);
}

static struct json_object *stale(const struct report_input *input)
{
	struct json_object *list = json_object_new_array();
	struct json_object *status = input->status;
	int64_t list_age_ms = int_of(status, "host_list_age_ms");

	if (!has(status, "platform_ok", "true"))
		add_line(list,
			 "the platform log does not answer %s, for %" PRId64
			 " ms (-1: never)",
			 text_of(status, "name"),
			 int_of(status, "platform_age_ms"));
	if (list_age_ms < 0 || list_age_ms > STALE_MS)
		add_line(list,
			 "the host list of %s is %" PRId64
			 " ms old (-1: never read)",
			 text_of(status, "name"), list_age_ms);
	if (has(status, "records_lost_to_retention", "true"))
		add_line(list, "%s needs records that have passed retention",
			 text_of(status, "name"));
	return list;
}

static struct json_object *explain_host(const struct report_input *input,
					struct json_object *host)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *why = json_object_new_array();

	add_host(input, why, host);
	for (size_t i = 0; i < length(input->pools); i++) {
		struct json_object *pool =
			json_object_array_get_idx(input->pools, i);

		if (has(pool, "team", text_of(host, "team")) &&
		    has(pool, "pool", text_of(host, "pool")))
			add_budget(why, pool);
	}
	if (!*text_of(host, "team"))
		add_line(why, "it is in no pool; no team's settings list it");
	jcursor_put_string(obj, "host", text_of(host, "host"));
	json_object_object_add(obj, "why", why);
	return obj;
}

static struct json_object *explain_team(const struct report_input *input,
					const char *name)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *why = json_object_new_array();

	for (size_t i = 0; i < length(input->pools); i++) {
		struct json_object *pool =
			json_object_array_get_idx(input->pools, i);

		if (!has(pool, "team", name))
			continue;
		add_budget(why, pool);
		for (size_t k = 0; k < length(input->hosts); k++) {
			struct json_object *host =
				json_object_array_get_idx(input->hosts, k);

			if (has(host, "team", name) &&
			    has(host, "pool", text_of(pool, "pool")) &&
			    (!has(host, "state", "serving") ||
			     has(host, "known", "false")))
				add_host(input, why, host);
		}
	}
	jcursor_put_string(obj, "team", name);
	json_object_object_add(obj, "why", why);
	return obj;
}

struct json_object *report_explain(const struct report_input *input,
				   const char *name)
{
	struct json_object *host = find(input->hosts, "host", name);
	struct json_object *obj;

	if (!host && !find(input->pools, "team", name))
		return NULL;
	obj = host ? explain_host(input, host) : explain_team(input, name);
	json_object_object_add(obj, "last_changes", last_entries(input, name));
	json_object_object_add(obj, "stale", stale(input));
	return obj;
}

/* Sorts the entries of the period by what they tell. */
static void sum_audit(const struct report_input *input, int64_t since_ms,
		      struct json_object *obj)
{
	struct json_object *changes = json_object_new_array();
	struct json_object *refusals = json_object_new_array();
	struct json_object *failures = json_object_new_array();
	struct json_object *expired = json_object_new_array();

	for (size_t i = 0; i < length(input->audit); i++) {
		struct json_object *entry =
			json_object_array_get_idx(input->audit, i);

		if (int_of(entry, "at_ms") < since_ms)
			continue;
		if (!has(entry, "result", "ok"))
			add_entry(refusals, entry);
		else if (has(entry, "action", "fail"))
			add_entry(failures, entry);
		else if (has(entry, "action", "member-expired"))
			add_entry(expired, entry);
		else if (!has(entry, "action", "host") &&
			 !has(entry, "action", "member"))
			add_entry(changes, entry);
	}
	json_object_object_add(obj, "changes", changes);
	json_object_object_add(obj, "refusals", refusals);
	json_object_object_add(obj, "failures", failures);
	json_object_object_add(obj, "members_expired", expired);
}

static void add_waiting(const struct report_input *input,
			struct json_object *list, struct json_object *host)
{
	struct json_object *waits = NULL;

	if (has(host, "state", "failed") || has(host, "state", "drained") ||
	    has(host, "state", "rebooting"))
		add_line(list, "%s is %s: %s", text_of(host, "host"),
			 text_of(host, "state"), next_step(host));
	json_object_object_get_ex(host, "waits_for", &waits);
	for (size_t i = 0; i < length(waits); i++) {
		const char *name = json_object_get_string(
			json_object_array_get_idx(waits, i));

		if (has(find(input->members, "member", name), "state",
			"expired"))
			add_line(list,
				 "the drain of %s waits for %s, which sends no "
				 "heartbeats",
				 text_of(host, "host"), name);
	}
}

static void sum_state(const struct report_input *input, struct json_object *obj)
{
	struct json_object *out = json_object_new_array();
	struct json_object *pools = json_object_new_array();
	struct json_object *waiting = json_object_new_array();

	for (size_t i = 0; i < length(input->hosts); i++) {
		struct json_object *host =
			json_object_array_get_idx(input->hosts, i);

		if (!has(host, "state", "serving") &&
		    !has(host, "state", "retired"))
			add_line(out, "%s of %s/%s: %s", text_of(host, "host"),
				 text_of(host, "team"), text_of(host, "pool"),
				 text_of(host, "state"));
		add_waiting(input, waiting, host);
	}
	for (size_t i = 0; i < length(input->pools); i++) {
		struct json_object *pool =
			json_object_array_get_idx(input->pools, i);

		if (int_of(pool, "available") <= int_of(pool, "min_available"))
			add_budget(pools, pool);
	}
	json_object_object_add(obj, "hosts_out", out);
	json_object_object_add(obj, "pools_at_budget", pools);
	json_object_object_add(obj, "stale", stale(input));
	json_object_object_add(obj, "waits_for_a_person", waiting);
}

struct json_object *report_summary(const struct report_input *input,
				   int64_t since_ms)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *first =
		length(input->audit)
			? json_object_array_get_idx(input->audit, 0)
			: NULL;

	/* The trail is a ring: older entries of the period may be gone. */
	json_object_object_add(
		obj, "complete",
		json_object_new_boolean(length(input->audit) <
						LIMIT_AUDIT_ENTRIES ||
					int_of(first, "at_ms") < since_ms));
	sum_audit(input, since_ms, obj);
	sum_state(input, obj);
	return obj;
}
