#include "cfg.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

void cfg_destroy(struct cfg *cfg)
{
	if (!cfg)
		return;
	for (uint32_t i = 0; i < cfg->tenant_count; i++)
		g_strfreev(cfg->tenants[i].keys);
	if (cfg->tenants_by_key)
		g_hash_table_destroy(cfg->tenants_by_key);
	free(cfg->tenants);
	free(cfg->queues);
	free(cfg->pools);
	free(cfg);
}

/* Compares a Host header, perhaps with a port, to a configured host. */
static bool host_matches(const char *host, const char *expected)
{
	const char *colon = strrchr(host, ':');
	size_t len = colon ? (size_t)(colon - host) : strlen(host);

	return strlen(expected) == len && !strncasecmp(host, expected, len);
}

const struct cfg_queue *cfg_route(const struct cfg *cfg, const char *host,
				  const char *path, const char **suffix)
{
	const struct cfg_queue *best = NULL;
	size_t best_len = 0;

	for (uint32_t i = 0; host && i < cfg->queue_count; i++) {
		const struct cfg_queue *queue = &cfg->queues[i];
		size_t len = strlen(queue->prefix);

		if (best && len <= best_len)
			continue;
		if (!host_matches(host, queue->http_host) ||
		    strncmp(path, queue->prefix, len))
			continue;
		best = queue;
		best_len = len;
	}
	if (best)
		*suffix = path + best_len;
	return best;
}

const struct cfg_queue *cfg_queue_find(const struct cfg *cfg, const char *name)
{
	for (uint32_t i = 0; cfg && i < cfg->queue_count; i++)
		if (!strcmp(cfg->queues[i].name, name))
			return &cfg->queues[i];
	return NULL;
}

const struct cfg_pool *cfg_pool_find(const struct cfg *cfg, const char *name)
{
	for (uint32_t i = 0; cfg && i < cfg->pool_count; i++)
		if (!strcmp(cfg->pools[i].name, name))
			return &cfg->pools[i];
	return NULL;
}

const struct cfg_tenant *cfg_tenant_find(const struct cfg *cfg,
					 const char *name)
{
	for (uint32_t i = 0; cfg && i < cfg->tenant_count; i++)
		if (!strcmp(cfg->tenants[i].name, name))
			return &cfg->tenants[i];
	return NULL;
}

const struct cfg_tenant *cfg_tenant_of_key(const struct cfg *cfg,
					   const char *key)
{
	return cfg->tenants_by_key
		       ? g_hash_table_lookup(cfg->tenants_by_key, key)
		       : NULL;
}

bool cfg_has_limit(const struct cfg_tenant *tenant)
{
	const struct cfg_room *max = &tenant->max_running;

	return max->cpu_milli || max->mem_mib || max->gpu;
}
