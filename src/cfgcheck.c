#include "cfgcheck.h"

#include <string.h>
#include <strings.h>

enum { PATH_BYTES = 64 };

static void free_finding(void *arg)
{
	struct cfgcheck_finding *finding = arg;

	g_free(finding->path);
	g_free(finding->text);
	g_free(finding);
}

GPtrArray *cfgcheck_new(void)
{
	return g_ptr_array_new_with_free_func(free_finding);
}

void cfgcheck_add(GPtrArray *findings, enum cfgcheck_level level,
		  const char *path, const char *format, ...)
{
	struct cfgcheck_finding *finding = g_new0(struct cfgcheck_finding, 1);
	va_list args;

	va_start(args, format);
	finding->level = level;
	finding->path = g_strdup(path);
	finding->text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(findings, finding);
}

guint cfgcheck_count(const GPtrArray *findings, enum cfgcheck_level level)
{
	guint count = 0;

	for (guint i = 0; i < findings->len; i++) {
		const struct cfgcheck_finding *finding = findings->pdata[i];

		count += finding->level == level;
	}
	return count;
}

const char *cfgcheck_level_name(enum cfgcheck_level level)
{
	static const char *const names[] = {
		[CFGCHECK_ERROR] = "error",
		[CFGCHECK_WARNING] = "warning",
		[CFGCHECK_CHANGE] = "change",
	};

	return names[level];
}

static const char *path_of(char *path, const char *list, uint32_t number,
			   const char *field)
{
	g_snprintf(path, PATH_BYTES, "%s[%u].%s", list, number, field);
	return path;
}

/* Queues and pools that can never be used. */

static void check_route(const struct cfg *cfg, uint32_t number,
			GPtrArray *findings)
{
	const struct cfg_queue *queue = &cfg->queues[number];
	char path[PATH_BYTES];

	for (uint32_t i = 0; i < number; i++) {
		const struct cfg_queue *other = &cfg->queues[i];

		if (strcasecmp(other->http_host, queue->http_host) ||
		    strcmp(other->prefix, queue->prefix))
			continue;
		cfgcheck_add(findings, CFGCHECK_ERROR,
			     path_of(path, "routes", number, "prefix"),
			     "%s given, which is also that of routes[%u] (%s) "
			     "with host %s; another one wanted, as the first "
			     "one gets all requests",
			     queue->prefix, i, other->name, queue->http_host);
		break;
	}
	if (queue->prefix[0] != '/')
		cfgcheck_add(findings, CFGCHECK_ERROR,
			     path_of(path, "routes", number, "prefix"),
			     "%s given, a path from / wanted: no request "
			     "matches",
			     queue->prefix);
	if (strchr(queue->http_host, ':'))
		cfgcheck_add(findings, CFGCHECK_ERROR,
			     path_of(path, "routes", number, "host"),
			     "%s given, a host without a port wanted: requests "
			     "are compared without theirs",
			     queue->http_host);
}

static void check_queue(const struct cfg *cfg, uint32_t number,
			GPtrArray *findings)
{
	const struct cfg_queue *queue = &cfg->queues[number];
	const struct cfg_pool *pool = cfg_pool_find(cfg, queue->pool);
	char path[PATH_BYTES];

	check_route(cfg, number, findings);
	if (cfg_queue_find(cfg, queue->name) != queue)
		cfgcheck_add(findings, CFGCHECK_ERROR,
			     path_of(path, "routes", number, "name"),
			     "%s given, which is also that of routes[%u]; "
			     "another one wanted, as its terms are those of "
			     "the first one",
			     queue->name,
			     (uint32_t)(cfg_queue_find(cfg, queue->name) -
					cfg->queues));
	if (!pool)
		cfgcheck_add(findings, CFGCHECK_ERROR,
			     path_of(path, "routes", number, "service"),
			     "%s given, one of services wanted: jobs of %s "
			     "would never run",
			     queue->pool, queue->name);
	else if (pool->standby)
		cfgcheck_add(findings, CFGCHECK_ERROR,
			     path_of(path, "routes", number, "service"),
			     "%s given, one that is not standby wanted: its "
			     "hosts are powered off",
			     queue->pool);
	if (queue->timeout_ms > 0 && queue->timeout_ms < queue->terms.slack_ms)
		cfgcheck_add(findings, CFGCHECK_WARNING,
			     path_of(path, "routes", number, "timeoutMs"),
			     "%" G_GINT64_FORMAT
			     " given, at least sloMs (%" G_GINT64_FORMAT
			     ") wanted",
			     queue->timeout_ms, queue->terms.slack_ms);
}

static bool is_used(const struct cfg *cfg, const struct cfg_pool *pool)
{
	for (uint32_t i = 0; i < cfg->queue_count; i++)
		if (!strcmp(cfg->queues[i].pool, pool->name))
			return true;
	return pool->standby;
}

static void check_pool(const struct cfg *cfg, uint32_t number,
		       GPtrArray *findings)
{
	const struct cfg_pool *pool = &cfg->pools[number];
	const struct cfg_pool *first = cfg_pool_find(cfg, pool->name);
	char path[PATH_BYTES];

	path_of(path, "services", number, "name");
	if (first != pool)
		cfgcheck_add(findings, CFGCHECK_ERROR, path,
			     "%s given, which is also that of services[%u]; "
			     "another one wanted",
			     pool->name, (uint32_t)(first - cfg->pools));
	else if (!is_used(cfg, pool))
		cfgcheck_add(findings, CFGCHECK_WARNING, path,
			     "%s given, the service of some route wanted: it "
			     "gets no jobs",
			     pool->name);
}

/* Organisations. */

struct dimension {
	const char *field;
	size_t offset; /* in struct cfg_room */
};

static const struct dimension dimensions[] = {
	{ "maxCount.cpu", offsetof(struct cfg_room, cpu_milli) },
	{ "maxCount.memMb", offsetof(struct cfg_room, mem_mib) },
	{ "maxCount.gpu", offsetof(struct cfg_room, gpu) },
};

static int64_t amount(const struct cfg_room *room, size_t i)
{
	return *(const int64_t *)((const char *)room + dimensions[i].offset);
}

static void check_tenant(const struct cfgcheck_input *input, uint32_t number,
			 GPtrArray *findings)
{
	const struct cfg_tenant *tenant = &input->cfg->tenants[number];
	char path[PATH_BYTES];

	if (!tenant->key_count)
		cfgcheck_add(findings, CFGCHECK_WARNING,
			     path_of(path, "tenants", number, "keys"),
			     "none given, one or more wanted: %s can send no "
			     "request",
			     tenant->name);
	for (size_t i = 0; i < G_N_ELEMENTS(dimensions); i++) {
		int64_t limit = amount(&tenant->max_running, i);
		int64_t task = amount(&input->largest_task, i);

		if (limit && task > limit)
			cfgcheck_add(findings, CFGCHECK_WARNING,
				     path_of(path, "tenants", number,
					     dimensions[i].field),
				     "%" G_GINT64_FORMAT
				     " given, at least the largest task "
				     "(%" G_GINT64_FORMAT
				     ") wanted: such a task of %s runs only "
				     "alone, and a gang of them never",
				     limit, task, tenant->name);
	}
}

/* One limit beyond the workers limits nothing; their sum may be, on purpose. */
static void check_sums(const struct cfgcheck_input *input, GPtrArray *findings)
{
	const struct cfg *cfg = input->cfg;
	char path[PATH_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(dimensions); i++) {
		int64_t all = amount(&input->workers, i);
		double sum = 0;

		for (uint32_t k = 0; all && k < cfg->tenant_count; k++) {
			int64_t limit = amount(&cfg->tenants[k].max_running, i);

			sum += (double)limit;
			if (limit > all)
				cfgcheck_add(findings, CFGCHECK_WARNING,
					     path_of(path, "tenants", k,
						     dimensions[i].field),
					     "%" G_GINT64_FORMAT
					     " given, at most what all workers "
					     "have (%" G_GINT64_FORMAT
					     ") wanted: it limits nothing",
					     limit, all);
		}
		if (all && sum > (double)all)
			cfgcheck_add(findings, CFGCHECK_WARNING, "tenants",
				     "the sum of %s is %.0f, workers have "
				     "%" G_GINT64_FORMAT
				     ": not all organisations can reach their "
				     "limits at once",
				     dimensions[i].field, sum, all);
	}
}

static void check_access(const struct cfg *cfg, GPtrArray *findings)
{
	char path[PATH_BYTES];
	bool any_key = false;

	for (uint32_t i = 0; i < cfg->tenant_count; i++)
		any_key |= cfg->tenants[i].key_count > 0;
	for (uint32_t i = 0; i < cfg->queue_count; i++) {
		if (cfg->has_tenants && !any_key && !cfg->queues[i].is_public)
			cfgcheck_add(findings, CFGCHECK_WARNING,
				     path_of(path, "routes", i, "public"),
				     "false given, true or an organisation "
				     "with a key wanted: all requests to %s "
				     "get 401",
				     cfg->queues[i].name);
	}
}

/* What a new version changes. */

static void compare_terms(const struct cfg_queue *now,
			  const struct cfg_queue *before, uint32_t number,
			  GPtrArray *findings)
{
	const struct {
		const char *field;
		double now, before;
		const char *effect;
	} terms[] = {
		{ "priority", now->terms.priority, before->terms.priority,
		  "of jobs that are accepted from then on" },
		{ "attempts", now->terms.attempts, before->terms.attempts,
		  "of tasks of jobs that are accepted from then on" },
		{ "sloMs", (double)now->terms.slack_ms,
		  (double)before->terms.slack_ms,
		  "jobs have more or less time before they are late" },
		{ "stretch", now->terms.stretch, before->terms.stretch,
		  "jobs have more or less time before they are late" },
		{ "timeoutMs", (double)now->timeout_ms,
		  (double)before->timeout_ms, "as clients are told" },
	};
	char path[PATH_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(terms); i++)
		if (terms[i].now < terms[i].before ||
		    terms[i].now > terms[i].before)
			cfgcheck_add(
				findings, CFGCHECK_CHANGE,
				path_of(path, "routes", number, terms[i].field),
				"%s: %.15g -> %.15g (%s)", now->name,
				terms[i].before, terms[i].now, terms[i].effect);
}

static void compare_queue(const struct cfg_queue *now,
			  const struct cfg_queue *before, uint32_t number,
			  GPtrArray *findings)
{
	char path[PATH_BYTES];

	if (strcasecmp(now->http_host, before->http_host) ||
	    strcmp(now->prefix, before->prefix))
		cfgcheck_add(findings, CFGCHECK_CHANGE,
			     path_of(path, "routes", number, "prefix"),
			     "%s: %s%s -> %s%s: requests to the former address "
			     "get 404, or go to another queue",
			     now->name, before->http_host, before->prefix,
			     now->http_host, now->prefix);
	if (strcmp(now->pool, before->pool))
		cfgcheck_add(findings, CFGCHECK_CHANGE,
			     path_of(path, "routes", number, "service"),
			     "%s: %s -> %s: new jobs run there; those that are "
			     "accepted stay",
			     now->name, before->pool, now->pool);
	if (now->is_public != before->is_public)
		cfgcheck_add(findings, CFGCHECK_CHANGE,
			     path_of(path, "routes", number, "public"),
			     "%s: requests need %s", now->name,
			     now->is_public ? "no key any more"
					    : "a key, or get 401");
	compare_terms(now, before, number, findings);
}

static void compare_queues(const struct cfg *now, const struct cfg *before,
			   GPtrArray *findings)
{
	char path[PATH_BYTES];

	for (uint32_t i = 0; i < now->queue_count; i++) {
		const struct cfg_queue *queue = &now->queues[i];
		const struct cfg_queue *old =
			cfg_queue_find(before, queue->name);

		if (old)
			compare_queue(queue, old, i, findings);
		else
			cfgcheck_add(findings, CFGCHECK_CHANGE,
				     path_of(path, "routes", i, "name"),
				     "%s is new, at %s%s", queue->name,
				     queue->http_host, queue->prefix);
	}
	for (uint32_t i = 0; i < before->queue_count; i++)
		if (!cfg_queue_find(now, before->queues[i].name))
			cfgcheck_add(findings, CFGCHECK_CHANGE, "routes",
				     "%s is removed: requests to %s%s get 404, "
				     "or go to another queue",
				     before->queues[i].name,
				     before->queues[i].http_host,
				     before->queues[i].prefix);
}

static void compare_pools(const struct cfg *now, const struct cfg *before,
			  GPtrArray *findings)
{
	char path[PATH_BYTES];

	for (uint32_t i = 0; i < now->pool_count; i++) {
		const struct cfg_pool *pool = &now->pools[i];
		const struct cfg_pool *old = cfg_pool_find(before, pool->name);

		path_of(path, "services", i, "name");
		if (!old)
			cfgcheck_add(findings, CFGCHECK_CHANGE, path,
				     "%s is new", pool->name);
		else if (pool->standby != old->standby)
			cfgcheck_add(findings, CFGCHECK_CHANGE, path,
				     "%s: hosts in it are %s", pool->name,
				     pool->standby ? "powered off" : "in use");
	}
	for (uint32_t i = 0; i < before->pool_count; i++)
		if (!cfg_pool_find(now, before->pools[i].name))
			cfgcheck_add(findings, CFGCHECK_CHANGE, "services",
				     "%s is removed: jobs that it has may not "
				     "be completed",
				     before->pools[i].name);
}

/* How many keys an organisation has that it did not have in the other version. */
static uint32_t count_other_keys(const struct cfg_tenant *tenant,
				 const struct cfg *other)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < tenant->key_count; i++) {
		const struct cfg_tenant *holder =
			cfg_tenant_of_key(other, tenant->keys[i]);

		count += !holder || strcmp(holder->name, tenant->name) != 0;
	}
	return count;
}

static void compare_limits(const struct cfg_tenant *now,
			   const struct cfg_tenant *before, uint32_t number,
			   GPtrArray *findings)
{
	char path[PATH_BYTES];

	for (size_t i = 0; i < G_N_ELEMENTS(dimensions); i++) {
		int64_t limit = amount(&now->max_running, i);
		int64_t old = amount(&before->max_running, i);

		if (limit != old)
			cfgcheck_add(
				findings, CFGCHECK_CHANGE,
				path_of(path, "tenants", number,
					dimensions[i].field),
				"%s: %" G_GINT64_FORMAT " -> %" G_GINT64_FORMAT
				"%s",
				now->name, old, limit,
				!limit ? " (no limit)"
				: !old || limit < old
					? ": what runs goes on; nothing starts "
					  "while more is running"
					: "");
	}
}

static void compare_tenant(const struct cfg *cfg, const struct cfg *old_cfg,
			   uint32_t number, const struct cfg_tenant *before,
			   GPtrArray *findings)
{
	const struct cfg_tenant *now = &cfg->tenants[number];
	uint32_t added = count_other_keys(now, old_cfg);
	uint32_t removed = count_other_keys(before, cfg);
	char path[PATH_BYTES];

	if (added || removed)
		cfgcheck_add(findings, CFGCHECK_CHANGE,
			     path_of(path, "tenants", number, "keys"),
			     "%s: %u added, %u removed%s", now->name, added,
			     removed,
			     removed ? ": requests with the removed "
				       "ones get 401, or act for "
				       "another organisation"
				     : "");
	if (now->weight < before->weight || now->weight > before->weight)
		cfgcheck_add(findings, CFGCHECK_CHANGE,
			     path_of(path, "tenants", number, "weight"),
			     "%s: %g -> %g jobs a second, and as its part of a "
			     "full pool",
			     now->name, before->weight, now->weight);
	compare_limits(now, before, number, findings);
}

static void compare_tenants(const struct cfg *now, const struct cfg *before,
			    GPtrArray *findings)
{
	char path[PATH_BYTES];

	if (now->has_tenants != before->has_tenants)
		cfgcheck_add(findings, CFGCHECK_CHANGE, "tenants",
			     now->has_tenants
				     ? "requests to queues that are not public "
				       "need a key, or get 401"
				     : "keys are not checked any more; jobs of "
				       "organisations can be asked for by "
				       "nobody");
	for (uint32_t i = 0; i < now->tenant_count; i++) {
		const struct cfg_tenant *old =
			cfg_tenant_find(before, now->tenants[i].name);

		if (old)
			compare_tenant(now, before, i, old, findings);
		else
			cfgcheck_add(findings, CFGCHECK_CHANGE,
				     path_of(path, "tenants", i, "name"),
				     "%s is new, with %u keys",
				     now->tenants[i].name,
				     now->tenants[i].key_count);
	}
	for (uint32_t i = 0; now->has_tenants && i < before->tenant_count; i++)
		if (!cfg_tenant_find(now, before->tenants[i].name))
			cfgcheck_add(findings, CFGCHECK_CHANGE, "tenants",
				     "%s is removed: its requests get 401, its "
				     "jobs run on and nobody can ask for them",
				     before->tenants[i].name);
}

static void compare(const struct cfg *now, const struct cfg *before,
		    GPtrArray *findings)
{
	if (now->version <= before->version)
		cfgcheck_add(findings, CFGCHECK_ERROR, "version",
			     "%" G_GINT64_FORMAT
			     " given, a number above %" G_GINT64_FORMAT
			     " wanted: nodes ignore the configuration",
			     now->version, before->version);
	if (now->max_body_bytes != before->max_body_bytes)
		cfgcheck_add(findings, CFGCHECK_CHANGE, "limits.maxBodyBytes",
			     "%" G_GINT64_FORMAT " -> %" G_GINT64_FORMAT
			     ": larger requests get 413",
			     before->max_body_bytes, now->max_body_bytes);
	compare_queues(now, before, findings);
	compare_pools(now, before, findings);
	compare_tenants(now, before, findings);
}

static gint compare_levels(gconstpointer a, gconstpointer b)
{
	const struct cfgcheck_finding *left =
		*(const struct cfgcheck_finding *const *)a;
	const struct cfgcheck_finding *right =
		*(const struct cfgcheck_finding *const *)b;

	return (gint)left->level - (gint)right->level;
}

GPtrArray *cfgcheck_run(const struct cfgcheck_input *input)
{
	const struct cfg *cfg = input->cfg;
	GPtrArray *findings = cfgcheck_new();

	if (!cfg->queue_count)
		cfgcheck_add(findings, CFGCHECK_WARNING, "routes",
			     "none given, one or more wanted: all requests get "
			     "404");
	if (cfg->max_body_bytes <= 0)
		cfgcheck_add(findings, CFGCHECK_ERROR, "limits.maxBodyBytes",
			     "%" G_GINT64_FORMAT
			     " given, a number above 0 wanted: all jobs are "
			     "refused",
			     cfg->max_body_bytes);
	for (uint32_t i = 0; i < cfg->queue_count; i++)
		check_queue(cfg, i, findings);
	for (uint32_t i = 0; i < cfg->pool_count; i++)
		check_pool(cfg, i, findings);
	for (uint32_t i = 0; i < cfg->tenant_count; i++)
		check_tenant(input, i, findings);
	check_sums(input, findings);
	check_access(cfg, findings);
	if (input->in_force)
		compare(cfg, input->in_force, findings);
	/* The sort keeps the order of equal ones. */
	g_ptr_array_sort(findings, compare_levels);
	return findings;
}
