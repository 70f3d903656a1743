#include "rtt.h"

#include <glib.h>

enum {
	/* Answers take some 5 ms; three ticks of a node, which notices an
	   answer and a missed one at its ticks only. */
	RTT_MISSED_MIN_MS = 60,
	RTT_MISSED_MAX_MS = 1500,
	/* Of a service that loses answers and is known not to be slow. */
	RTT_MISSED_MAX_LOSSY_MS = 250,
	/* Before the first answer. */
	RTT_MISSED_FIRST_MS = 300,
	/* Least allowance for variation, for a service whose answers have all
	   taken equally long. */
	RTT_VARIATION_MIN_MS = 40,
	RTT_VARIATION_FACTOR = 4,
	/* Outlasts a short pause of the process or the service. */
	RTT_GIVE_UP_MIN_MS = 180,
	/* Of a first attempt, unless answers get lost: it tells at once how
	   slow a service has become that answered in time so far. */
	RTT_GIVE_UP_FIRST_MS = 1000,
	RTT_GIVE_UP_PERCENT = 150,
	/* Attempts before the time doubles; and if answers get lost. With half
	   of the answers lost, 6% of four attempts and 0.4% of eight get none;
	   a service that is slow gets at most four at once, before the first
	   answer tells that it is. */
	RTT_QUICK_ATTEMPTS = 4,
	RTT_QUICK_ATTEMPTS_LOSSY = 8,
	RTT_MAX_DOUBLINGS = 16
};

/* Share of lost answers that one lost answer reaches, and which a dozen requests
   without one undo. */
static const double lossy_share = 0.1;
static const double lost_gain = 1.0 / 8;
static const double smoothed_gain = 1.0 / 8;
static const double variation_gain = 1.0 / 4;

void rtt_add(struct rtt *rtt, int64_t took_ms)
{
	double error_ms = (double)took_ms - rtt->smoothed_ms;

	if (!rtt->measured) {
		rtt->measured = true;
		rtt->smoothed_ms = (double)took_ms;
		rtt->variation_ms = (double)took_ms / 2;
		return;
	}
	rtt->variation_ms +=
		variation_gain * (ABS(error_ms) - rtt->variation_ms);
	rtt->smoothed_ms += smoothed_gain * error_ms;
}

void rtt_count_attempts(struct rtt *rtt, uint32_t number)
{
	for (uint32_t i = 1; i < number; i++)
		rtt->lost += lost_gain * (1 - rtt->lost);
	rtt->lost -= lost_gain * rtt->lost;
}

int64_t rtt_expected_ms(const struct rtt *rtt)
{
	return (int64_t)rtt->smoothed_ms;
}

/* When the answer to a first attempt is missed. */
static int64_t first_missed_ms(const struct rtt *rtt)
{
	double variation_ms = RTT_VARIATION_FACTOR * rtt->variation_ms;
	double missed_ms =
		rtt->smoothed_ms + MAX(variation_ms, RTT_VARIATION_MIN_MS);

	if (!rtt->measured)
		return RTT_MISSED_FIRST_MS;
	return CLAMP((int64_t)missed_ms, RTT_MISSED_MIN_MS, RTT_MISSED_MAX_MS);
}

int64_t rtt_missed_ms(const struct rtt *rtt, uint32_t attempts)
{
	bool lossy = rtt->lost > lossy_share;
	uint32_t quick = lossy ? RTT_QUICK_ATTEMPTS_LOSSY : RTT_QUICK_ATTEMPTS;
	uint32_t doublings = attempts > quick ? attempts - quick : 0;
	int64_t first_ms = first_missed_ms(rtt);
	/* Attempts that all end early would not notice that the service has
	   become slower than that. */
	int64_t max_ms = lossy && !doublings
				 ? MAX(first_ms, RTT_MISSED_MAX_LOSSY_MS)
				 : RTT_MISSED_MAX_MS;

	return MIN(first_ms << MIN(doublings, RTT_MAX_DOUBLINGS), max_ms);
}

int64_t rtt_give_up_ms(const struct rtt *rtt, uint32_t attempts)
{
	bool first = attempts == 1 && rtt->lost <= lossy_share;
	int64_t give_up_ms =
		rtt_missed_ms(rtt, attempts) * RTT_GIVE_UP_PERCENT / 100;

	return CLAMP(give_up_ms,
		     first ? RTT_GIVE_UP_FIRST_MS : RTT_GIVE_UP_MIN_MS,
		     RTT_MISSED_MAX_MS);
}
