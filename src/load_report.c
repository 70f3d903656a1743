#include "load_report.h"

#include <inttypes.h>
#include <stdio.h>

#include "jcursor.h"

const char *const load_priority_names[LOAD_PRIORITIES] = { "urgent", "normal",
							   "long" };
static const char *const outcome_names[] = { "answered", "not_run", "unknown",
					     "none", "cancelled" };

static struct json_object *percentiles(const struct histo *histo)
{
	static const struct {
		const char *name;
		double percent;
	} list[] = { { "p50_us", 50 },
		     { "p90_us", 90 },
		     { "p99_us", 99 },
		     { "p999_us", 99.9 },
		     { "max_us", 100 } };
	struct json_object *obj = json_object_new_object();

	jcursor_put_int(obj, "count", (int64_t)histo->count);
	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++)
		jcursor_put_int(
			obj, list[i].name,
			(int64_t)histo_percentile(histo, list[i].percent));
	return obj;
}

struct json_object *load_report_json(const struct load_result *result)
{
	struct json_object *obj = json_object_new_object();
	struct json_object *outcomes = json_object_new_object();
	struct json_object *status = json_object_new_object();
	struct json_object *priorities = json_object_new_object();
	struct json_object *pools = json_object_new_object();
	char name[8];

	jcursor_put_int(obj, "seed", (int64_t)result->seed);
	jcursor_put_int(obj, "sent", (int64_t)result->sent);
	for (int i = 0; i < LOAD_OUTCOMES; i++)
		jcursor_put_int(outcomes, outcome_names[i],
				(int64_t)result->outcomes[i]);
	for (int i = 0; i < LOAD_MAX_STATUS; i++) {
		snprintf(name, sizeof(name), "%d", i);
		if (result->status[i])
			jcursor_put_int(status, name,
					(int64_t)result->status[i]);
	}
	for (int i = 0; i < LOAD_PRIORITIES; i++)
		json_object_object_add(
			priorities, load_priority_names[i],
			percentiles(&result->latency_us_by_priority[i]));
	for (uint32_t i = 0; i < result->pool_count; i++)
		json_object_object_add(
			pools, result->pools[i],
			percentiles(&result->latency_us_by_pool[i]));
	json_object_object_add(obj, "outcomes", outcomes);
	json_object_object_add(obj, "status", status);
	json_object_object_add(obj, "late",
			       percentiles(&result->send_delay_us));
	json_object_object_add(obj, "latency",
			       percentiles(&result->latency_us));
	json_object_object_add(obj, "priorities", priorities);
	json_object_object_add(obj, "pools", pools);
	return obj;
}

static void print_row(const char *name, const struct histo *histo)
{
	printf("%-20s %9" PRIu64 " %9.1f %9.1f %9.1f %9.1f %9.1f\n", name,
	       histo->count, (double)histo_percentile(histo, 50) / 1e3,
	       (double)histo_percentile(histo, 90) / 1e3,
	       (double)histo_percentile(histo, 99) / 1e3,
	       (double)histo_percentile(histo, 99.9) / 1e3,
	       (double)histo->max / 1e3);
}

void load_report_print(const struct load_result *result)
{
	printf("seed %" PRIu64 ", %" PRIu64 " requests\noutcomes:",
	       result->seed, result->sent);
	for (int i = 0; i < LOAD_OUTCOMES; i++)
		printf(" %s %" PRIu64, outcome_names[i], result->outcomes[i]);
	printf("\nHTTP status (0: no response):");
	for (int i = 0; i < LOAD_MAX_STATUS; i++)
		if (result->status[i])
			printf(" %d: %" PRIu64, i, result->status[i]);
	printf("\n\n%-20s %9s %9s %9s %9s %9s %9s\n", "latency in ms", "count",
	       "p50", "p90", "p99", "p99.9", "max");
	print_row("all", &result->latency_us);
	for (int i = 0; i < LOAD_PRIORITIES; i++)
		print_row(load_priority_names[i],
			  &result->latency_us_by_priority[i]);
	for (uint32_t i = 0; i < result->pool_count; i++)
		print_row(result->pools[i], &result->latency_us_by_pool[i]);
	print_row("send delay", &result->send_delay_us);
}
