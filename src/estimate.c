#include "estimate.h"

#include <stdlib.h>
#include <string.h>

#include <glib.h>

struct history {
	double ratios[ESTIMATE_SAMPLES];
	uint32_t count;
	uint32_t next;
	double median; /* 1 with too few samples */
};

struct estimate {
	GHashTable *queues; /* name -> struct history */
};

struct estimate *estimate_create(void)
{
	struct estimate *estimate = g_new0(struct estimate, 1);

	estimate->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return estimate;
}

void estimate_destroy(struct estimate *estimate)
{
	if (!estimate)
		return;
	g_hash_table_destroy(estimate->queues);
	g_free(estimate);
}

static struct history *find_or_add(struct estimate *estimate, const char *queue)
{
	struct history *history = g_hash_table_lookup(estimate->queues, queue);

	if (history ||
	    g_hash_table_size(estimate->queues) >= ESTIMATE_MAX_QUEUES)
		return history;
	history = g_new0(struct history, 1);
	history->median = 1;
	g_hash_table_insert(estimate->queues, g_strdup(queue), history);
	return history;
}

static int compare(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static double median(const struct history *history)
{
	double sorted[ESTIMATE_SAMPLES];

	if (history->count < ESTIMATE_MIN_SAMPLES)
		return 1;
	memcpy(sorted, history->ratios, sizeof(sorted));
	qsort(sorted, history->count, sizeof(sorted[0]), compare);
	return CLAMP(sorted[history->count / 2], 1.0 / ESTIMATE_MAX_RATIO,
		     (double)ESTIMATE_MAX_RATIO);
}

void estimate_note(struct estimate *estimate, const char *queue,
		   int64_t estimated_ms, int64_t real_ms)
{
	struct history *history;

	if (!estimate || estimated_ms <= 0 || real_ms < 0)
		return;
	history = find_or_add(estimate, queue);
	if (!history)
		return;
	history->ratios[history->next] =
		(double)MAX(real_ms, 1) / (double)estimated_ms;
	history->next = (history->next + 1) % ESTIMATE_SAMPLES;
	history->count = MIN(history->count + 1, ESTIMATE_SAMPLES);
	history->median = median(history);
}

double estimate_ratio(const struct estimate *estimate, const char *queue)
{
	const struct history *history =
		estimate ? g_hash_table_lookup(estimate->queues, queue) : NULL;

	return history ? history->median : 1;
}

int64_t estimate_ms(const struct estimate *estimate, const char *queue,
		    int64_t estimated_ms)
{
	double ms = (double)estimated_ms * estimate_ratio(estimate, queue);

	return MAX((int64_t)ms, 1);
}
