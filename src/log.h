/*
 * NAME
 *	log - log lines of a process, by GLib's structured logging
 *
 * A line is written when a state changes, not for each request; counters tell
 * of those. Lines go to standard error as "time level process: text".
 */
#ifndef LOG_H
#define LOG_H

#include <stdbool.h>

/* log_init - name the process; quiet keeps warnings and errors only */
void log_init(const char *process, bool quiet);

/* log_info, log_warn, log_error - write one line */
void log_info(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_warn(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
