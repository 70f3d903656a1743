#include "oracle_int.h"

#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

static void set_serving(struct oracle_host *host, int64_t offset, bool serving)
{
	host->serving = serving;
	if (host->change_count == ORACLE_MAX_CHANGES)
		return;
	host->changes[host->change_count].offset = offset;
	host->changes[host->change_count++].serving = serving;
}

/* A data centre counts as reachable if it has a live member or no members. */
static bool is_reachable(const struct oracle *oracle, const char *data_centre)
{
	uint32_t members = 0;

	for (uint32_t i = 0; i < table_count(oracle->members); i++) {
		const struct oracle_member *member =
			table_at(oracle->members, i);

		if (strcmp(member->data_centre, data_centre) != 0)
			continue;
		if (!member->expired)
			return true;
		members++;
	}
	return members == 0;
}

static uint32_t count_available(const struct oracle *oracle, const char *pool)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < table_count(oracle->hosts); i++) {
		const struct oracle_host *host = table_at(oracle->hosts, i);

		count += host->serving && host->known &&
			 is_reachable(oracle, host->data_centre) &&
			 !strcmp(host->pool, pool);
	}
	return count;
}

static uint32_t min_available(const struct oracle *oracle, const char *name)
{
	const struct oracle_pool *pool = table_find(oracle->pools, name);

	return pool ? pool->min_available : 0;
}

static void on_drain(struct oracle *oracle, int64_t offset,
		     struct oracle_host *host)
{
	bool was_available = host->serving && host->known &&
			     is_reachable(oracle, host->data_centre);

	set_serving(host, offset, false);
	if (host->pool[0] && was_available &&
	    count_available(oracle, host->pool) <
		    min_available(oracle, host->pool))
		oracle_report(
			oracle, ORACLE_BUDGET,
			"drain of %s at offset %lld leaves %u of %u hosts "
			"needed in %s",
			host->name, (long long)offset,
			count_available(oracle, host->pool),
			min_available(oracle, host->pool), host->pool);
}

static struct json_object *pools_of(struct json_object *settings)
{
	struct json_object *pools = NULL;

	json_object_object_get_ex(settings, "pools", &pools);
	return pools;
}

/* Pool of the settings that lists the host, or NULL. */
static const char *find_listing_pool(struct json_object *settings,
				     const char *host)
{
	json_object_object_foreach(pools_of(settings), name, pool)
	{
		struct json_object *hosts = NULL;

		json_object_object_get_ex(pool, "hosts", &hosts);
		for (size_t i = 0; i < json_object_array_length(hosts); i++)
			if (!strcmp(host, json_object_get_string(
						  json_object_array_get_idx(
							  hosts, i))))
				return name;
	}
	return NULL;
}

/* Whether the host is out of service by plan, not because it failed. */
static bool is_out_by_plan(const struct oracle_host *host)
{
	return !host->serving && (!strcmp(host->observed_state, "draining") ||
				  !strcmp(host->observed_state, "drained") ||
				  !strcmp(host->observed_state, "rebooting"));
}

/* Sets a budget; it must not rise above what a drain under way leaves. */
static void set_budget(struct oracle *oracle, int64_t offset,
		       struct oracle_pool *pool, uint32_t min)
{
	bool out_by_plan = false;

	for (uint32_t i = 0; i < table_count(oracle->hosts); i++) {
		const struct oracle_host *host = table_at(oracle->hosts, i);

		out_by_plan |=
			!strcmp(host->pool, pool->name) && is_out_by_plan(host);
	}
	if (out_by_plan && min > pool->min_available &&
	    count_available(oracle, pool->name) < min)
		oracle_report(
			oracle, ORACLE_BUDGET,
			"settings at offset %lld raise the budget of %s to %u "
			"with %u hosts available",
			(long long)offset, pool->name, min,
			count_available(oracle, pool->name));
	pool->min_available = min;
}

static void set_budgets(struct oracle *oracle, int64_t offset, const char *team,
			struct json_object *settings)
{
	char name[2 * LIMIT_NAME_BYTES];

	json_object_object_foreach(pools_of(settings), key, value)
	{
		struct json_object *min = NULL;
		struct oracle_pool *pool;

		snprintf(name, sizeof(name), "%s/%s", team, key);
		pool = oracle_find_or_add(oracle->pools, name);
		json_object_object_get_ex(value, "min_available", &min);
		set_budget(oracle, offset, pool,
			   (uint32_t)json_object_get_int(min));
	}
}

/* Adds hosts that are in the settings but not in a host record yet. */
static void add_listed_hosts(struct oracle *oracle, int64_t offset,
			     struct json_object *settings)
{
	json_object_object_foreach(pools_of(settings), name, pool)
	{
		struct json_object *hosts = NULL;

		(void)name;
		json_object_object_get_ex(pool, "hosts", &hosts);
		for (size_t i = 0; i < json_object_array_length(hosts); i++) {
			const char *key = json_object_get_string(
				json_object_array_get_idx(hosts, i));

			if (!table_find(oracle->hosts, key))
				set_serving(table_add(oracle->hosts, key),
					    offset, true);
		}
	}
}

static void place_host(struct oracle *oracle, int64_t offset,
		       struct oracle_host *host, const char *team,
		       struct json_object *settings)
{
	const char *name = find_listing_pool(settings, host->name);
	char pool[2 * LIMIT_NAME_BYTES];

	if (!name) {
		if (strcmp(host->team, team))
			return;
		if (host->serving)
			oracle_report(
				oracle, ORACLE_ONE_POOL,
				"%s left %s at offset %lld while it serves",
				host->name, host->pool, (long long)offset);
		host->team[0] = host->pool[0] = 0;
		return;
	}
	snprintf(pool, sizeof(pool), "%s/%s", team, name);
	/* A drained host without a pool serves again once settings list it. */
	if (!host->pool[0] && !strcmp(host->observed_state, "drained"))
		set_serving(host, offset, true);
	/* A host stays in its pool until an assign record moves it. */
	if (host->pool[0] && strcmp(host->observed_state, "retired") != 0)
		return;
	snprintf(host->team, sizeof(host->team), "%s", team);
	snprintf(host->pool, sizeof(host->pool), "%s", pool);
}

static void on_assign(struct oracle *oracle, int64_t offset,
		      struct oracle_host *host, const struct record *rec)
{
	if (host->serving)
		oracle_report(
			oracle, ORACLE_ONE_POOL,
			"%s is assigned to %s at offset %lld while it serves",
			host->name, rec->pool, (long long)offset);
	snprintf(host->pool, sizeof(host->pool), "%s/%s", host->team,
		 rec->pool);
	set_serving(host, offset, true);
}

static void on_member(struct oracle *oracle, const struct record *rec)
{
	struct oracle_member *member =
		oracle_find_or_add(oracle->members, rec->member);

	memcpy(member->data_centre, rec->data_centre,
	       sizeof(member->data_centre));
	member->expired = false;
}

static void on_settings(struct oracle *oracle, int64_t offset,
			const struct record *rec)
{
	struct json_object *settings = json_tokener_parse(rec->settings);
	struct oracle_version *version =
		oracle_find_or_add(oracle->versions, rec->team);

	version->version = offset;
	add_listed_hosts(oracle, offset, settings);
	for (uint32_t i = 0; i < table_count(oracle->hosts); i++)
		place_host(oracle, offset, table_at(oracle->hosts, i),
			   rec->team, settings);
	set_budgets(oracle, offset, rec->team, settings);
	json_object_put(settings);
}

/* Whether the settings list a host that is in another team's pool. */
static bool lists_host_of_other_team(const struct oracle *oracle,
				     const struct record *rec)
{
	struct json_object *settings = json_tokener_parse(rec->settings);
	bool found = false;

	for (uint32_t i = 0; i < table_count(oracle->hosts); i++) {
		const struct oracle_host *host = table_at(oracle->hosts, i);

		found |= host->team[0] && strcmp(host->team, rec->team) &&
			 find_listing_pool(settings, host->name);
	}
	json_object_put(settings);
	return found;
}

/* Of two changes with one base, the first is accepted and the other refused. */
static void check_base(struct oracle *oracle, int64_t offset,
		       const struct record *rec, int status)
{
	const struct oracle_version *version =
		table_find(oracle->versions, rec->team);
	int64_t in_force = version ? version->version : -1;

	if (status == ERR_CONFLICT && rec->base == in_force &&
	    !lists_host_of_other_team(oracle, rec))
		oracle_report(
			oracle, ORACLE_SETTINGS,
			"settings at offset %lld refused on base %lld, which "
			"was in force",
			(long long)offset, (long long)rec->base);
	if (status == 0 && rec->base != in_force)
		oracle_report(oracle, ORACLE_SETTINGS,
			      "settings at offset %lld accepted on base %lld; "
			      "version %lld was in force",
			      (long long)offset, (long long)rec->base,
			      (long long)in_force);
}

static void on_host(struct oracle *oracle, int64_t offset,
		    const struct record *rec)
{
	struct oracle_host *host = table_find(oracle->hosts, rec->host);

	if (!host) {
		host = table_add(oracle->hosts, rec->host);
		set_serving(host, offset, true);
	}
	host->known = true;
	memcpy(host->data_centre, rec->data_centre, sizeof(host->data_centre));
}

static void on_accepted(struct oracle *oracle, int64_t offset,
			const struct record *rec)
{
	struct oracle_host *host = table_find(oracle->hosts, rec->host);

	switch (rec->type) {
	case RECORD_SETTINGS:
		on_settings(oracle, offset, rec);
		break;
	case RECORD_HOST:
		on_host(oracle, offset, rec);
		break;
	case RECORD_DRAIN:
		on_drain(oracle, offset, host);
		break;
	case RECORD_ASSIGN:
		on_assign(oracle, offset, host, rec);
		break;
	case RECORD_MEMBER:
		on_member(oracle, rec);
		break;
	case RECORD_MEMBER_EXPIRED:
		((struct oracle_member *)oracle_find_or_add(oracle->members,
							    rec->member))
			->expired = true;
		break;
	case RECORD_MEMBER_LEFT:
		table_remove(oracle->members, rec->member);
		break;
	case RECORD_UNDRAIN:
	case RECORD_RETURN:
		set_serving(host, offset, true);
		break;
	case RECORD_FAIL:
	case RECORD_REBOOT:
	case RECORD_RETIRE:
		set_serving(host, offset, false);
		break;
	default:
		break;
	}
}

void oracle_record(struct oracle *oracle, int64_t offset,
		   const struct record *rec, int status)
{
	if (rec->type == RECORD_SETTINGS)
		check_base(oracle, offset, rec, status);
	if (status != 0)
		return;
	if (rec->type != RECORD_MEMBER && !table_add(oracle->ids, rec->id))
		oracle_report(oracle, ORACLE_ONCE,
			      "%s at offset %lld took effect a second time",
			      record_type_name(rec->type), (long long)offset);
	on_accepted(oracle, offset, rec);
}
