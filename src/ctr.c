#include "ctr.h"

#include <apr_strings.h>
#include <apr_tables.h>

struct ctr *ctr_create(apr_pool_t *pool, const struct ctr_def *defs,
		       size_t count)
{
	struct ctr *ctr = apr_pcalloc(pool, sizeof(*ctr));

	ctr->defs = defs;
	ctr->count = count;
	ctr->values = apr_pcalloc(pool, count * sizeof(*ctr->values));
	return ctr;
}

char *ctr_text(const struct ctr *ctr, apr_pool_t *pool)
{
	static const char *const kinds[] = { "counter", "gauge" };
	apr_array_header_t *lines =
		apr_array_make(pool, (int)ctr->count, sizeof(char *));

	for (size_t i = 0; i < ctr->count; i++) {
		const struct ctr_def *def = &ctr->defs[i];

		APR_ARRAY_PUSH(lines, char *) = apr_psprintf(
			pool,
			"# HELP plank_%s %s\n# TYPE plank_%s %s\n"
			"plank_%s %" APR_INT64_T_FMT "\n",
			def->name, def->help, def->name, kinds[def->kind],
			def->name, ctr_get(ctr, i));
	}
	return apr_array_pstrcat(pool, lines, 0);
}
