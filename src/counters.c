#include "counters.h"

#include <apr_strings.h>
#include <apr_tables.h>

struct counters *counters_create(apr_pool_t *pool,
				 const struct counters_def *defs, size_t count)
{
	struct counters *counters = apr_pcalloc(pool, sizeof(*counters));

	counters->defs = defs;
	counters->count = count;
	counters->values = apr_pcalloc(pool, count * sizeof(*counters->values));
	return counters;
}

char *counters_format(const struct counters *counters, apr_pool_t *pool)
{
	static const char *const kinds[] = { "counter", "gauge" };
	apr_array_header_t *lines =
		apr_array_make(pool, (int)counters->count, sizeof(char *));

	for (size_t i = 0; i < counters->count; i++) {
		const struct counters_def *def = &counters->defs[i];

		APR_ARRAY_PUSH(lines, char *) = apr_psprintf(
			pool,
			"# HELP plank_%s %s\n# TYPE plank_%s %s\n"
			"plank_%s %" APR_INT64_T_FMT "\n",
			def->name, def->help, def->name, kinds[def->kind],
			def->name, counters_get(counters, i));
	}
	return apr_array_pstrcat(pool, lines, 0);
}
