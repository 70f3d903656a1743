/*
 * NAME
 *	estimate - how long the tasks of a queue really take
 *
 * Callers' estimates may be off by a factor of ten either way. For each queue, the
 * ratio of real to estimated durations of its last tasks is kept, and their median
 * corrects estimates: single outliers do not move it. Uses no clock.
 */
#ifndef ESTIMATE_H
#define ESTIMATE_H

#include <stdint.h>

enum {
	ESTIMATE_SAMPLES = 31,	  /* newest tasks of a queue that count */
	ESTIMATE_MIN_SAMPLES = 5, /* with fewer, estimates are not corrected */
	ESTIMATE_MAX_QUEUES = 1024, /* others are not corrected */
	ESTIMATE_MAX_RATIO = 16 /* and its inverse: bounds of the correction */
};

struct estimate;

struct estimate *estimate_create(void);
void estimate_destroy(struct estimate *estimate);

/* estimate_note - note the duration of a task of the queue that has ended */
void estimate_note(struct estimate *estimate, const char *queue,
		   int64_t estimated_ms, int64_t real_ms);

/* estimate_ratio - real by estimated duration; 1 if not known; NULL: 1 */
double estimate_ratio(const struct estimate *estimate, const char *queue);

/* estimate_ms - expected duration of a task of the queue; at least 1 */
int64_t estimate_ms(const struct estimate *estimate, const char *queue,
		    int64_t estimated_ms);

#endif
