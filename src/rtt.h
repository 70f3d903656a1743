/*
 * NAME
 *	rtt - measured time of a service's answers, and when one is missed
 *
 * The estimate is that of RFC 6298: a smoothed time and its mean variation. A
 * call whose answer is missed is repeated without waiting for its end, since a
 * lost answer never comes; the estimate follows a service that becomes slow, so
 * that repeats do not multiply its load. Repeats of one request come at growing
 * intervals, but not soon while the service is known to lose answers: what waits
 * for a request waits for the longest of its intervals.
 *
 * Pure: time is passed in. A zeroed struct is valid and has measured nothing.
 */
#ifndef RTT_H
#define RTT_H

#include <stdbool.h>
#include <stdint.h>

struct rtt {
	bool measured;
	double smoothed_ms;
	double variation_ms;
	double lost; /* smoothed share of answers that are lost */
};

/* rtt_add - count the answer of a call that took so long */
void rtt_add(struct rtt *rtt, int64_t took_ms);

/*
 * rtt_count_attempts - count a request that was answered
 *
 * number: of the attempt that was answered first, from 1 on. Those before it are
 * lost, as a service that is only slow answers the earliest one first.
 */
void rtt_count_attempts(struct rtt *rtt, uint32_t number);

/* rtt_expected_ms - smoothed time of an answer; 0 if none was measured */
int64_t rtt_expected_ms(const struct rtt *rtt);

/*
 * rtt_missed_ms - when an answer is missed, counted from the call
 *
 * attempts: calls made of the same request, at least 1. After some attempts,
 * more of them if answers get lost, each one doubles the time.
 */
int64_t rtt_missed_ms(const struct rtt *rtt, uint32_t attempts);

/*
 * rtt_give_up_ms - when a call is ended, so that its connection is free again
 *
 * Later than rtt_missed_ms, as an answer that is only slow still counts and
 * tells how slow the service is.
 */
int64_t rtt_give_up_ms(const struct rtt *rtt, uint32_t attempts);

#endif
