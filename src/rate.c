#include "rate.h"

#include <string.h>

#include <glib.h>

/* The window moves on by so many steps a window. */
enum { RATE_BUCKETS = 20 };

/* Jobs of an organisation, by the time of their acceptance. */
struct count {
	int64_t newest; /* number of the newest bucket, since time 0 */
	int32_t jobs[RATE_BUCKETS];
};

struct rate {
	struct rate_config config;
	int64_t bucket_ms;
	GHashTable *counts; /* organisation -> struct count */
};

struct rate *rate_create(const struct rate_config *config)
{
	struct rate *rate = g_new0(struct rate, 1);

	rate->config = *config;
	rate->bucket_ms = MAX(config->window_ms / RATE_BUCKETS, 1);
	rate->counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return rate;
}

void rate_destroy(struct rate *rate)
{
	if (!rate)
		return;
	g_hash_table_destroy(rate->counts);
	g_free(rate);
}

/* Empties the buckets that have left the window. */
static void advance(struct count *count, int64_t bucket)
{
	if (bucket - count->newest >= RATE_BUCKETS) {
		memset(count->jobs, 0, sizeof(count->jobs));
		count->newest = bucket;
	}
	while (count->newest < bucket)
		count->jobs[++count->newest % RATE_BUCKETS] = 0;
}

void rate_note(struct rate *rate, const char *tenant, int64_t now_ms)
{
	struct count *count = g_hash_table_lookup(rate->counts, tenant);
	int64_t bucket = now_ms / rate->bucket_ms;

	if (!count) {
		count = g_new0(struct count, 1);
		g_hash_table_insert(rate->counts, g_strdup(tenant), count);
	}
	advance(count, bucket);
	count->jobs[bucket % RATE_BUCKETS]++;
}

/* Jobs of a window that are within the rate. */
static double entitled_jobs(const struct rate *rate, double weight)
{
	const struct rate_config *config = &rate->config;

	return weight * (double)config->window_ms / 1000 *
		       (1 + config->overage) +
	       config->slack_jobs;
}

int64_t rate_wait_ms(struct rate *rate, const char *tenant, double weight,
		     int64_t now_ms)
{
	struct count *count = g_hash_table_lookup(rate->counts, tenant);
	double entitled = entitled_jobs(rate, weight);
	int64_t bucket = now_ms / rate->bucket_ms;
	int64_t jobs = 0;

	if (!count)
		return 0;
	advance(count, bucket);
	for (int i = 0; i < RATE_BUCKETS; i++)
		jobs += count->jobs[i];
	if ((double)(jobs + 1) <= entitled)
		return 0;
	/* The oldest buckets leave first, each a window after its end. */
	for (int64_t i = 1; i <= RATE_BUCKETS; i++) {
		jobs -= count->jobs[(bucket + i) % RATE_BUCKETS];
		if ((double)(jobs + 1) <= entitled)
			return (bucket + i) * rate->bucket_ms - now_ms;
	}
	return rate->config.window_ms;
}
