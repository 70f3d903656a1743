#include "teamconf.h"

#include <stdio.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_strings.h>

#include "jcursor.h"

enum { MAX_BATCHES = 256, MAX_WAVES = 256, MAX_QUOTA_SLOTS = 1000000 };

/* A JSON object of the settings, with named entries of one kind. */
struct section {
	const char *key;
	size_t max;
	size_t entry_bytes;
	void (*read)(struct teamconf *teamconf, const struct jcursor *at,
		     void *entry);
};

static bool is_leap(int year)
{
	return (year % 4 == 0 && year % 100 != 0) || year % 400 == 0;
}

int teamconf_parse_day(const char *text, int32_t *day)
{
	static const int month_days[] = { 31, 28, 31, 30, 31, 30,
					  31, 31, 30, 31, 30, 31 };
	int year, month, mday, days = 0;

	/* sscanf alone would accept signs and spaces as digits. */
	if (strlen(text) != 10 || strspn(text, "0123456789") != 4 ||
	    strspn(text + 5, "0123456789") != 2 ||
	    strspn(text + 8, "0123456789") != 2 ||
	    sscanf(text, "%4d-%2d-%2d", &year, &month, &mday) != 3 ||
	    year < 1970 || year > 2199 || month < 1 || month > 12 || mday < 1 ||
	    mday > month_days[month - 1] + (month == 2 && is_leap(year)))
		return ERR_INVALID;
	for (int y = 1970; y < year; y++)
		days += 365 + is_leap(y);
	for (int m = 1; m < month; m++)
		days += month_days[m - 1] + (m == 2 && is_leap(year));
	*day = days + mday - 1;
	return 0;
}

static int32_t read_day(const struct jcursor *parent, const char *key)
{
	struct jcursor at = jcursor_member(parent, key);
	char text[16];
	int32_t day = 0;

	jcursor_string(&at, text, sizeof(text), NULL);
	if (parent->err->kind == ERR_OK && teamconf_parse_day(text, &day) < 0)
		jcursor_refuse(&at, "a date YYYY-MM-DD");
	return day;
}

static int64_t read_int(const struct jcursor *parent, const char *key,
			int64_t min, int64_t max, int64_t fallback)
{
	struct jcursor at = jcursor_member(parent, key);

	return jcursor_int(&at, min, max, fallback);
}

static void read_hosts(struct teamconf *teamconf, const struct jcursor *parent,
		       struct teamconf_hosts *hosts)
{
	struct jcursor list = jcursor_member(parent, "hosts");
	size_t count = jcursor_check_array(&list, LIMIT_HOSTS);
	char name[LIMIT_NAME_BYTES];

	hosts->names = apr_pcalloc(teamconf->mem, (count + 1) * sizeof(char *));
	for (size_t i = 0; i < count; i++) {
		struct jcursor at = jcursor_item(&list, i);

		jcursor_name(&at, name, sizeof(name));
		hosts->names[hosts->count++] = apr_pstrdup(teamconf->mem, name);
	}
}

static void read_pool(struct teamconf *teamconf, const struct jcursor *at,
		      void *entry)
{
	static const char *const keys[] = { "hosts", "min_available", NULL };
	struct teamconf_pool *pool = entry;
	struct jcursor min_at = jcursor_member(at, "min_available");

	jcursor_check_keys(at, keys);
	read_hosts(teamconf, at, &pool->hosts);
	pool->min_available =
		(uint32_t)jcursor_int(&min_at, 0, LIMIT_HOSTS, -1);
	if (pool->min_available > pool->hosts.count)
		jcursor_refuse(&min_at, "at most the %u hosts of the pool",
			       pool->hosts.count);
}

static void read_batch(struct teamconf *teamconf, const struct jcursor *at,
		       void *entry)
{
	static const char *const keys[] = { "hosts", "support_ends", NULL };
	struct teamconf_batch *batch = entry;

	jcursor_check_keys(at, keys);
	read_hosts(teamconf, at, &batch->hosts);
	batch->support_ends_day = read_day(at, "support_ends");
}

static void read_wave(struct teamconf *teamconf, const struct jcursor *at,
		      void *entry)
{
	static const char *const keys[] = { "batch",	 "action",  "start",
					    "canary",	 "paused",  "resume",
					    "from_hour", "to_hour", NULL };
	struct jcursor batch_at = jcursor_member(at, "batch");
	struct jcursor action_at = jcursor_member(at, "action");
	struct jcursor paused_at = jcursor_member(at, "paused");
	struct teamconf_wave *wave = entry;
	char action[16];

	(void)teamconf;
	jcursor_check_keys(at, keys);
	jcursor_name(&batch_at, wave->batch, sizeof(wave->batch));
	jcursor_string(&action_at, action, sizeof(action), NULL);
	wave->action =
		strcmp(action, "retire") ? TEAMCONF_REBOOT : TEAMCONF_RETIRE;
	if (strcmp(action, "retire") && strcmp(action, "reboot"))
		jcursor_refuse(&action_at, "\"reboot\" or \"retire\"");
	wave->start_day = read_day(at, "start");
	wave->canary_hosts =
		(uint32_t)read_int(at, "canary", 1, LIMIT_HOSTS, 1);
	wave->paused = jcursor_bool(&paused_at, false);
	wave->resume = read_int(at, "resume", 0, LIMIT_NUMBER_MAX, 0);
	wave->from_hour = (uint32_t)read_int(at, "from_hour", 0, 23, 0);
	wave->to_hour = (uint32_t)read_int(at, "to_hour", 0, 24, 24);
}

static uint32_t read_section(struct teamconf *teamconf,
			     const struct jcursor *root,
			     const struct section *section, void **entries)
{
	struct jcursor at = jcursor_member(root, section->key);
	uint32_t count = 0;
	char *entry;

	if (!at.value || !jcursor_check_object(&at))
		return 0;
	if ((size_t)json_object_object_length(at.value) > section->max) {
		jcursor_refuse(&at, "at most %zu entries", section->max);
		return 0;
	}
	entry = apr_pcalloc(teamconf->mem,
			    (section->max + 1) * section->entry_bytes);
	*entries = entry;
	json_object_object_foreach(at.value, name, value)
	{
		struct jcursor member = jcursor_member(&at, name);

		(void)value;
		if (!jcursor_valid_name(name)) {
			jcursor_refuse(&member, "a valid name for the entry");
			return count;
		}
		memcpy(entry, name, strlen(name) + 1);
		section->read(teamconf, &member, entry);
		entry += section->entry_bytes;
		count++;
	}
	return count;
}

static void read_weights(struct teamconf *teamconf, const struct jcursor *root)
{
	static const char *const keys[] = { "spare", "rollout", "moves", NULL };
	struct jcursor at = jcursor_member(root, "weights");
	struct jcursor spare = jcursor_member(&at, "spare");
	struct jcursor rollout = jcursor_member(&at, "rollout");
	struct jcursor moves = jcursor_member(&at, "moves");

	if (at.value)
		jcursor_check_keys(&at, keys);
	teamconf->weight_spare = jcursor_double(&spare, 0, 1000, 1);
	teamconf->weight_rollout = jcursor_double(&rollout, 0, 1000, 1);
	teamconf->weight_moves = jcursor_double(&moves, 0, 1000, 1);
}

static void read_root(struct teamconf *teamconf, const struct jcursor *root)
{
	static const char *const keys[] = { "quota", "weights", "spare_pool",
					    "pools", "batches", "waves",
					    NULL };
	static const char *const quota_keys[] = { "slots", NULL };
	static const struct section pools = { "pools", LIMIT_POOLS_PER_TEAM,
					      sizeof(struct teamconf_pool),
					      read_pool };
	static const struct section batches = { "batches", MAX_BATCHES,
						sizeof(struct teamconf_batch),
						read_batch };
	static const struct section waves = { "waves", MAX_WAVES,
					      sizeof(struct teamconf_wave),
					      read_wave };
	struct jcursor quota = jcursor_member(root, "quota");
	struct jcursor spare = jcursor_member(root, "spare_pool");

	jcursor_check_keys(root, keys);
	if (quota.value)
		jcursor_check_keys(&quota, quota_keys);
	teamconf->quota_slots = (uint32_t)read_int(
		&quota, "slots", 1, MAX_QUOTA_SLOTS, MAX_QUOTA_SLOTS);
	read_weights(teamconf, root);
	if (spare.value)
		jcursor_name(&spare, teamconf->spare_pool,
			     sizeof(teamconf->spare_pool));
	teamconf->pool_count =
		read_section(teamconf, root, &pools, (void **)&teamconf->pools);
	teamconf->batch_count = read_section(teamconf, root, &batches,
					     (void **)&teamconf->batches);
	teamconf->wave_count =
		read_section(teamconf, root, &waves, (void **)&teamconf->waves);
}

/* Refuses a host that is listed more than once in a section. */
static void check_unique(const struct teamconf_hosts *hosts, const char *path,
			 apr_hash_t *first_paths, struct err *err)
{
	for (uint32_t i = 0; i < hosts->count; i++) {
		const char *other = apr_hash_get(first_paths, hosts->names[i],
						 APR_HASH_KEY_STRING);

		if (other && err->kind == ERR_OK)
			err_set(err, ERR_INVALID,
				"%s.hosts[%u]: \"%s\" given, a host that %s "
				"does not list yet wanted",
				path, i, hosts->names[i], other);
		apr_hash_set(first_paths, hosts->names[i], APR_HASH_KEY_STRING,
			     path);
	}
}

static void check_hosts(const struct teamconf *teamconf, struct err *err)
{
	apr_hash_t *pool_paths = apr_hash_make(teamconf->mem);
	apr_hash_t *batch_paths = apr_hash_make(teamconf->mem);

	for (uint32_t i = 0; i < teamconf->pool_count; i++)
		check_unique(&teamconf->pools[i].hosts,
			     apr_pstrcat(teamconf->mem, "pools.",
					 teamconf->pools[i].name, NULL),
			     pool_paths, err);
	for (uint32_t i = 0; i < teamconf->batch_count; i++) {
		const struct teamconf_batch *batch = &teamconf->batches[i];
		const char *path = apr_pstrcat(teamconf->mem, "batches.",
					       batch->name, NULL);

		check_unique(&batch->hosts, path, batch_paths, err);
		for (uint32_t k = 0; k < batch->hosts.count; k++)
			if (err->kind == ERR_OK &&
			    !apr_hash_get(pool_paths, batch->hosts.names[k],
					  APR_HASH_KEY_STRING))
				err_set(err, ERR_INVALID,
					"%s.hosts[%u]: \"%s\" given, a host of "
					"one of the team's pools wanted",
					path, k, batch->hosts.names[k]);
	}
}

static void check_references(const struct teamconf *teamconf, struct err *err)
{
	if (teamconf->spare_pool[0] &&
	    !teamconf_find_pool(teamconf, teamconf->spare_pool) &&
	    err->kind == ERR_OK)
		err_set(err, ERR_INVALID,
			"spare_pool: \"%s\" given, one of the team's pools "
			"wanted",
			teamconf->spare_pool);
	for (uint32_t i = 0; i < teamconf->wave_count; i++) {
		const struct teamconf_wave *wave = &teamconf->waves[i];
		const struct teamconf_batch *batch = NULL;

		for (uint32_t k = 0; k < teamconf->batch_count && !batch; k++)
			if (!strcmp(teamconf->batches[k].name, wave->batch))
				batch = &teamconf->batches[k];
		if (err->kind != ERR_OK)
			return;
		if (!batch)
			err_set(err, ERR_INVALID,
				"waves.%s.batch: \"%s\" given, one of the "
				"team's batches wanted",
				wave->name, wave->batch);
		else if (wave->start_day > batch->support_ends_day)
			err_set(err, ERR_INVALID,
				"waves.%s.start: day after the end of support "
				"given, a day up to batches.%s.support_ends "
				"wanted",
				wave->name, batch->name);
	}
}

struct teamconf *teamconf_parse(const char *text, size_t len, struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct json_object *value = NULL;
	struct teamconf *teamconf = NULL;
	apr_pool_t *mem;
	struct jcursor root;

	if (len > LIMIT_SETTINGS_BYTES)
		err_set(&fault, ERR_TOO_LARGE,
			"settings of %zu bytes given, at most %d wanted", len,
			LIMIT_SETTINGS_BYTES);
	else
		value = jcursor_parse(text, len, &fault);
	if (value) {
		apr_pool_create(&mem, NULL);
		teamconf = apr_pcalloc(mem, sizeof(*teamconf));
		teamconf->mem = mem;
		teamconf->text = apr_pstrdup(
			mem, json_object_to_json_string_ext(
				     value, JSON_C_TO_STRING_PLAIN));
		root = jcursor_root(value, &fault);
		read_root(teamconf, &root);
		if (fault.kind == ERR_OK) {
			check_hosts(teamconf, &fault);
			check_references(teamconf, &fault);
		}
		json_object_put(value);
	}
	if (fault.kind == ERR_OK)
		return teamconf;
	teamconf_destroy(teamconf);
	if (err)
		*err = fault;
	return NULL;
}

void teamconf_destroy(struct teamconf *teamconf)
{
	if (teamconf)
		apr_pool_destroy(teamconf->mem);
}

static bool contains_host(const struct teamconf_hosts *hosts, const char *host)
{
	for (uint32_t i = 0; i < hosts->count; i++)
		if (!strcmp(hosts->names[i], host))
			return true;
	return false;
}

const struct teamconf_pool *teamconf_pool_of(const struct teamconf *teamconf,
					     const char *host)
{
	for (uint32_t i = 0; i < teamconf->pool_count; i++)
		if (contains_host(&teamconf->pools[i].hosts, host))
			return &teamconf->pools[i];
	return NULL;
}

const struct teamconf_pool *teamconf_find_pool(const struct teamconf *teamconf,
					       const char *name)
{
	for (uint32_t i = 0; i < teamconf->pool_count; i++)
		if (!strcmp(teamconf->pools[i].name, name))
			return &teamconf->pools[i];
	return NULL;
}

const struct teamconf_batch *
teamconf_find_batch(const struct teamconf *teamconf, const char *name)
{
	for (uint32_t i = 0; i < teamconf->batch_count; i++)
		if (!strcmp(teamconf->batches[i].name, name))
			return &teamconf->batches[i];
	return NULL;
}

const struct teamconf_wave *teamconf_find_wave(const struct teamconf *teamconf,
					       const char *name)
{
	for (uint32_t i = 0; i < teamconf->wave_count; i++)
		if (!strcmp(teamconf->waves[i].name, name))
			return &teamconf->waves[i];
	return NULL;
}
