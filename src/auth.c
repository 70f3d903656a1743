#include "auth.h"

enum auth_outcome auth_check(const struct cfg *cfg,
			     const struct cfg_queue *queue, const char *key,
			     const char **tenant)
{
	const struct cfg_tenant *holder;

	*tenant = g_intern_static_string("");
	if (!cfg->has_tenants)
		return AUTH_ALLOWED;
	if (!key)
		return queue->is_public ? AUTH_ALLOWED : AUTH_NO_KEY;
	holder = cfg_tenant_of_key(cfg, key);
	if (!holder)
		return AUTH_UNKNOWN_KEY;
	if (!queue->is_public)
		*tenant = g_intern_string(holder->name);
	return AUTH_ALLOWED;
}

const char *auth_name(enum auth_outcome outcome)
{
	static const char *const names[] = {
		[AUTH_ALLOWED] = "allowed",
		[AUTH_NO_KEY] = "no-key",
		[AUTH_UNKNOWN_KEY] = "unknown-key",
	};

	return names[outcome];
}
