#include "backlog.h"

#include <string.h>

#include "jcursor.h"
#include "place.h"

/* Upper bounds of the spans but the last, in ms ahead of the survey. */
static const int64_t span_ends_ms[BACKLOG_SPANS - 1] = {
	0, 250, 500, 1000, 1500, 2000, 3000, 4000, 6000, 9000, 15000,
};

int64_t backlog_span_ms(uint32_t span)
{
	return span < BACKLOG_SPANS - 1 ? span_ends_ms[span] : INT64_MAX;
}

void backlog_add_work(struct backlog *backlog, int64_t target_ms, double work)
{
	for (uint32_t i = 0; i < BACKLOG_SPANS; i++)
		if (target_ms - backlog->at_ms <= backlog_span_ms(i))
			backlog->work[i] += (int64_t)work;
}

bool backlog_equal(const struct backlog *a, const struct backlog *b)
{
	return a->own_milli == b->own_milli && a->full_milli == b->full_milli &&
	       a->claimed_milli == b->claimed_milli &&
	       !memcmp(a->work, b->work, sizeof(a->work)) &&
	       !memcmp(a->room_percent, b->room_percent,
		       sizeof(a->room_percent));
}

void backlogs_init(struct backlogs *backlogs)
{
	backlogs->shares =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void backlogs_clear(struct backlogs *backlogs)
{
	g_hash_table_destroy(backlogs->shares);
}

char *backlog_key(const struct share *share)
{
	return g_strdup_printf("%s/%u", share->pool, share->index);
}

char *backlog_record(const struct backlog *backlog)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text,
			"[%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT
			",%" G_GINT64_FORMAT ",%" G_GINT64_FORMAT,
			backlog->at_ms, backlog->own_milli, backlog->full_milli,
			backlog->claimed_milli);
	for (uint32_t i = 0; i < BACKLOG_SPANS; i++)
		g_string_append_printf(text, ",%" G_GINT64_FORMAT,
				       backlog->work[i]);
	for (int i = 0; i < JOB_BOUND_COUNT; i++)
		g_string_append_printf(text, ",%d", backlog->room_percent[i]);
	g_string_append_c(text, ']');
	return g_string_free(text, FALSE);
}

static int64_t read_number(const struct jcursor *row, size_t index)
{
	struct jcursor item = jcursor_item(row, index);

	return jcursor_int(&item, 0, LIMIT_NUMBER_MAX, -1);
}

/* Records of older builds do not have it. */
static void read_room(const struct jcursor *row, struct backlog *backlog)
{
	const size_t first = 4 + BACKLOG_SPANS;

	if (jcursor_check_array(row, first + JOB_BOUND_COUNT) <
	    first + JOB_BOUND_COUNT)
		return;
	for (size_t i = 0; i < JOB_BOUND_COUNT; i++)
		backlog->room_percent[i] =
			(int32_t)MIN(read_number(row, first + i), INT32_MAX);
}

int backlogs_apply(struct backlogs *backlogs, const char *key,
		   const char *value, size_t len, struct err *err)
{
	struct err fault = { .kind = ERR_OK };
	struct json_object *array = jcursor_parse(value, len, &fault);
	struct jcursor row = jcursor_root(array, &fault);
	struct backlog backlog = { 0 };

	if (array) {
		backlog.at_ms = read_number(&row, 0);
		backlog.own_milli = read_number(&row, 1);
		backlog.full_milli = read_number(&row, 2);
		backlog.claimed_milli = read_number(&row, 3);
		for (uint32_t i = 0; i < BACKLOG_SPANS; i++)
			backlog.work[i] = read_number(&row, 4 + i);
		read_room(&row, &backlog);
	}
	json_object_put(array);
	if (fault.kind != ERR_OK)
		return err_set(err, fault.kind, "%s", fault.text);
	g_hash_table_insert(backlogs->shares, g_strdup(key),
			    g_memdup2(&backlog, sizeof(backlog)));
	return 0;
}

const struct backlog *backlogs_find(const struct backlogs *backlogs,
				    const struct share *share)
{
	char *key = backlog_key(share);
	const struct backlog *backlog =
		g_hash_table_lookup(backlogs->shares, key);

	g_free(key);
	return backlog;
}

int32_t backlogs_room_percent(const struct backlogs *backlogs,
			      enum job_bound bound)
{
	GHashTableIter iter;
	int32_t most = 0;
	void *value;

	g_hash_table_iter_init(&iter, backlogs->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		most = MAX(
			most,
			((const struct backlog *)value)->room_percent[bound]);
	return most;
}

int64_t backlogs_full_milli(const struct backlogs *backlogs)
{
	GHashTableIter iter;
	int64_t total_milli = 0;
	void *value;

	g_hash_table_iter_init(&iter, backlogs->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		total_milli += ((const struct backlog *)value)->full_milli;
	return total_milli;
}

/* Work that delays a job with the given target; see PLACE_LATER_WEIGHT. */
static double delaying_work(const struct backlog *backlog, int64_t target_ms)
{
	int64_t ahead_ms = target_ms - backlog->at_ms;
	int64_t all = backlog->work[BACKLOG_SPANS - 1];
	int64_t earlier = 0;

	for (uint32_t i = 0; i < BACKLOG_SPANS; i++)
		if (backlog_span_ms(i) <= ahead_ms)
			earlier = backlog->work[i];
	return (double)earlier + PLACE_LATER_WEIGHT * (double)(all - earlier);
}

int64_t backlogs_delay_ms(const struct backlogs *backlogs,
			  const struct share *share, const struct cfg *cfg,
			  int64_t target_ms, int64_t all_milli)
{
	const struct backlog *own = backlogs_find(backlogs, share);
	int64_t full_milli = 0;
	int64_t lendable_milli = 0;
	int64_t capacity_milli;

	if (!own)
		return 0;
	for (uint32_t i = 0; i < cfg->pool_count; i++) {
		struct share other = *share;
		const struct backlog *backlog;

		other.pool = cfg->pools[i].name;
		backlog = backlogs_find(backlogs, &other);
		if (!backlog)
			continue;
		full_milli += backlog->full_milli;
		if (backlog != own)
			lendable_milli += MAX(
				backlog->own_milli - backlog->claimed_milli, 0);
	}
	capacity_milli = own->own_milli + lendable_milli +
			 MAX(all_milli / share->count - full_milli, 0);
	if (capacity_milli <= 0)
		return INT64_MAX / 2;
	return (int64_t)(delaying_work(own, target_ms) /
			 (double)capacity_milli);
}
