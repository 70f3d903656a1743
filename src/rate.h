/*
 * NAME
 *	rate - jobs that organisations have submitted lately, against what they are
 *	entitled to
 *
 * Each node counts the accepted jobs that it reads in the index, so that all nodes
 * know the rates of all organisations without asking each other.
 */
#ifndef RATE_H
#define RATE_H

#include <stdbool.h>
#include <stdint.h>

struct rate;

struct rate_config {
	int64_t window_ms; /* in which jobs are counted */
	double overage;	   /* part of the rate that is tolerated beyond it */
	double slack_jobs; /* and jobs, in a window */
};

struct rate *rate_create(const struct rate_config *config);
void rate_destroy(struct rate *rate);

/* rate_note - count an accepted job */
void rate_note(struct rate *rate, const char *tenant, int64_t now_ms);

/*
 * rate_wait_ms - how long until one more job is within the entitled rate
 *
 * Of an organisation that is entitled to weight jobs a second, if it submits no
 * other job meanwhile.
 *
 * RETURN VALUE
 *	0 if it is now.
 */
int64_t rate_wait_ms(struct rate *rate, const char *tenant, double weight,
		     int64_t now_ms);

#endif
