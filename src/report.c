#include "report.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "jcursor.h"
#include "limit.h"

enum {
	LAST_ENTRIES = 8, /* audit entries in an explanation */
	STALE_MS = 10000, /* age from which a host list is reported as stale */
	LINE_BYTES = 1024
};

static const char *get_text(struct json_object *row, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(row, key, &value);
	return value ? json_object_get_string(value) : "";
}

static int64_t get_int(struct json_object *row, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(row, key, &value);
	return json_object_get_int64(value);
}

static bool text_is(struct json_object *row, const char *key, const char *text)
{
	return !strcmp(get_text(row, key), text);
}

static size_t array_length(struct json_object *list)
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

static struct json_object *find_row(struct json_object *list, const char *key,
				    const char *text)
{
	for (size_t i = 0; i < array_length(list); i++) {
		struct json_object *row = json_object_array_get_idx(list, i);

		if (text_is(row, key, text))
			return row;
	}
	return NULL;
}

static void add_entry(struct json_object *list, struct json_object *entry)
{
	add_line(list, "offset %" PRId64 ": %s %s by %s%s%s%s%s: %s%s%s",
		 get_int(entry, "offset"), get_text(entry, "action"),
		 get_text(entry, "target"), get_text(entry, "author"),
		 *get_text(entry, "before") ? ", " : "",
		 get_text(entry, "before"),
		 *get_text(entry, "after") ? " -> " : "",
		 get_text(entry, "after"), get_text(entry, "result"),
		 *get_text(entry, "detail") ? ", " : "",
		 get_text(entry, "detail"));
}

/* The newest audit entries of a target, oldest first. */
static struct json_object *newest_entries(const struct report_input *input,
					  const char *target)
{
	struct json_object *list = json_object_new_array();
	size_t count = array_length(input->audit);
	size_t first = count, found = 0;

	while (first > 0 && found < LAST_ENTRIES) {
		first--;
		found += text_is(json_object_array_get_idx(input->audit, first),
				 "target", target);
	}
	for (size_t i = first; i < count; i++) {
		struct json_object *entry =
			json_object_array_get_idx(input->audit, i);

		if (text_is(entry, "target", target))
			add_entry(list, entry);
	}
	return list;
}

static void add_budget(struct json_object *list, struct json_object *pool)
{
	int64_t spare =
		get_int(pool, "available") - get_int(pool, "min_available");

	add_line(list,
		 "pool %s/%s: %" PRId64 " of %" PRId64
		 " hosts available, %" PRId64 " required, %" PRId64
		 " out for maintenance, %" PRId64 " failed; %s",
		 get_text(pool, "team"), get_text(pool, "pool"),
		 get_int(pool, "available"), get_int(pool, "hosts"),
		 get_int(pool, "min_available"), get_int(pool, "planned_out"),
		 get_int(pool, "failed"),
		 spare > 0   ? "another host may be drained"
		 : spare < 0 ? "below its budget, no host may be drained"
			     : "at its budget, no host may be drained");
}

static void add_blockers(const struct report_input *input,
			 struct json_object *list, struct json_object *host)
{
	struct json_object *waits = NULL;

	json_object_object_get_ex(host, "waits_for", &waits);
	for (size_t i = 0; i < array_length(waits); i++) {
		const char *name = json_object_get_string(
			json_object_array_get_idx(waits, i));
		struct json_object *member =
			find_row(input->members, "member", name);

		if (text_is(member, "state", "expired"))
			add_line(list,
				 "%s waits for %s in %s, which sends no "
				 "heartbeats: it may still send requests in "
				 "its own data centre until it is back, or "
				 "is stopped and no longer a member",
				 get_text(host, "host"), name,
				 get_text(member, "data_centre"));
		else
			add_line(list,
				 "%s waits for %s in %s to finish its requests",
				 get_text(host, "host"), name,
				 get_text(member, "data_centre"));
	}
}

/* What a host's state means and what the operator can do. */
static const char *describe_state(struct json_object *host)
{
	static const char *const descriptions[][2] = {
		{ "serving", "in service; `drain` takes it out of service" },
		{ "draining",
		  "gets no new requests; `undrain` cancels the drain" },
		{ "drained", "may be rebooted, retired or undrained" },
		{ "rebooting", "out until `return` says that it is back" },
		{ "failed", "out until `return` says that it is back" },
		{ "retired", "permanently out of service" },
	};

	for (size_t i = 0; i < sizeof(descriptions) / sizeof(descriptions[0]);
	     i++)
		if (text_is(host, "state", descriptions[i][0]))
			return descriptions[i][1];
	return "";
}

static void add_host(const struct report_input *input, struct json_object *list,
		     struct json_object *host)
{
	struct json_object *known = NULL;

	add_line(list, "%s is %s since offset %" PRId64 "%s%s%s: %s",
		 get_text(host, "host"), get_text(host, "state"),
		 get_int(host, "changed"),
		 *get_text(host, "reason") ? " (" : "",
		 get_text(host, "reason"), *get_text(host, "reason") ? ")" : "",
		 describe_state(host));
	json_object_object_get_ex(host, "known", &known);
	if (known && !json_object_get_boolean(known))
		add_line(list,
			 "the platform's list has never included %s, so it "
			 "counts as unavailable",
			 get_text(host, "host"));
	add_blockers(input, list, host);
}

static struct json_object *stale_inputs(const struct report_input *input)
{
	struct json_object *list = json_object_new_array();
	struct json_object *status = input->status;
	int64_t list_age_ms = get_int(status, "host_list_age_ms");

	if (!text_is(status, "platform_ok", "true"))
		add_line(list,
			 "the platform log does not answer %s; last answer "
			 "%" PRId64 " ms ago (-1: never)",
			 get_text(status, "name"),
			 get_int(status, "platform_age_ms"));
	if (list_age_ms < 0 || list_age_ms > STALE_MS)
		add_line(list,
			 "the host list of %s is %" PRId64
			 " ms old (-1: never read)",
			 get_text(status, "name"), list_age_ms);
	if (text_is(status, "records_lost_to_retention", "true"))
		add_line(list, "%s needs records that are past retention",
			 get_text(status, "name"));
	return list;
}

static struct json_object *explain_host(const struct report_input *input,
					struct json_object *host)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *why = json_object_new_array();

	add_host(input, why, host);
	for (size_t i = 0; i < array_length(input->pools); i++) {
		struct json_object *pool =
			json_object_array_get_idx(input->pools, i);

		if (text_is(pool, "team", get_text(host, "team")) &&
		    text_is(pool, "pool", get_text(host, "pool")))
			add_budget(why, pool);
	}
	if (!*get_text(host, "team"))
		add_line(why, "it is in no pool: no team's settings list it");
	jcursor_put_string(obj, "host", get_text(host, "host"));
	json_object_object_add(obj, "why", why);
	return obj;
}

static struct json_object *explain_team(const struct report_input *input,
					const char *name)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *why = json_object_new_array();

	for (size_t i = 0; i < array_length(input->pools); i++) {
		struct json_object *pool =
			json_object_array_get_idx(input->pools, i);

		if (!text_is(pool, "team", name))
			continue;
		add_budget(why, pool);
		for (size_t k = 0; k < array_length(input->hosts); k++) {
			struct json_object *host =
				json_object_array_get_idx(input->hosts, k);

			if (text_is(host, "team", name) &&
			    text_is(host, "pool", get_text(pool, "pool")) &&
			    (!text_is(host, "state", "serving") ||
			     text_is(host, "known", "false")))
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
	struct json_object *host = find_row(input->hosts, "host", name);
	struct json_object *obj;

	if (!host && !find_row(input->pools, "team", name))
		return NULL;
	obj = host ? explain_host(input, host) : explain_team(input, name);
	json_object_object_add(obj, "last_changes",
			       newest_entries(input, name));
	json_object_object_add(obj, "stale", stale_inputs(input));
	return obj;
}

/* Groups the audit entries of the period by kind. */
static void summarize_audit(const struct report_input *input, int64_t since_ms,
			    struct json_object *obj)
{
	struct json_object *changes = json_object_new_array();
	struct json_object *refusals = json_object_new_array();
	struct json_object *failures = json_object_new_array();
	struct json_object *expired = json_object_new_array();

	for (size_t i = 0; i < array_length(input->audit); i++) {
		struct json_object *entry =
			json_object_array_get_idx(input->audit, i);

		if (get_int(entry, "at_ms") < since_ms)
			continue;
		if (!text_is(entry, "result", "ok"))
			add_entry(refusals, entry);
		else if (text_is(entry, "action", "fail"))
			add_entry(failures, entry);
		else if (text_is(entry, "action", "member-expired"))
			add_entry(expired, entry);
		else if (!text_is(entry, "action", "host") &&
			 !text_is(entry, "action", "member"))
			add_entry(changes, entry);
	}
	json_object_object_add(obj, "changes", changes);
	json_object_object_add(obj, "refusals", refusals);
	json_object_object_add(obj, "failures", failures);
	json_object_object_add(obj, "members_expired", expired);
}

/* Adds what keeps a host out of service or its drain from completing. */
static void add_needed_actions(const struct report_input *input,
			       struct json_object *list,
			       struct json_object *host)
{
	struct json_object *waits = NULL;

	if (text_is(host, "state", "failed") ||
	    text_is(host, "state", "drained") ||
	    text_is(host, "state", "rebooting"))
		add_line(list, "%s is %s: %s", get_text(host, "host"),
			 get_text(host, "state"), describe_state(host));
	json_object_object_get_ex(host, "waits_for", &waits);
	for (size_t i = 0; i < array_length(waits); i++) {
		const char *name = json_object_get_string(
			json_object_array_get_idx(waits, i));

		if (text_is(find_row(input->members, "member", name), "state",
			    "expired"))
			add_line(list,
				 "the drain of %s waits for %s, which sends no "
				 "heartbeats",
				 get_text(host, "host"), name);
	}
}

static void summarize_state(const struct report_input *input,
			    struct json_object *obj)
{
	struct json_object *out = json_object_new_array();
	struct json_object *pools = json_object_new_array();
	struct json_object *waiting = json_object_new_array();

	for (size_t i = 0; i < array_length(input->hosts); i++) {
		struct json_object *host =
			json_object_array_get_idx(input->hosts, i);

		if (!text_is(host, "state", "serving") &&
		    !text_is(host, "state", "retired"))
			add_line(out, "%s of %s/%s: %s", get_text(host, "host"),
				 get_text(host, "team"), get_text(host, "pool"),
				 get_text(host, "state"));
		add_needed_actions(input, waiting, host);
	}
	for (size_t i = 0; i < array_length(input->pools); i++) {
		struct json_object *pool =
			json_object_array_get_idx(input->pools, i);

		if (get_int(pool, "available") <=
		    get_int(pool, "min_available"))
			add_budget(pools, pool);
	}
	json_object_object_add(obj, "hosts_out", out);
	json_object_object_add(obj, "pools_at_budget", pools);
	json_object_object_add(obj, "stale", stale_inputs(input));
	json_object_object_add(obj, "waits_for_a_person", waiting);
}

struct json_object *report_summary(const struct report_input *input,
				   int64_t since_ms)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *first =
		array_length(input->audit)
			? json_object_array_get_idx(input->audit, 0)
			: NULL;

	/* The audit trail is a ring: it may have lost entries of the period. */
	json_object_object_add(
		obj, "complete",
		json_object_new_boolean(array_length(input->audit) <
						LIMIT_AUDIT_ENTRIES ||
					get_int(first, "at_ms") < since_ms));
	summarize_audit(input, since_ms, obj);
	summarize_state(input, obj);
	return obj;
}
