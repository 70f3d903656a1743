/*
 * NAME
 *	log - log lines of a process, by GLib's structured logging
 *
 * Lines go to standard output as "time level process: event key=value ...".
 * Writing never blocks: a line for which the reader leaves no room, or that
 * exceeds the process's budget of bytes a second, is left out. How many were,
 * by their first word, is told once a second. Warnings and errors have a
 * budget of their own and are the last to go.
 */
#ifndef LOG_H
#define LOG_H

#include <stdbool.h>
#include <stdint.h>

enum {
	LOG_LINE_BYTES = 1024, /* a longer line is cut */
	LOG_BUFFER_BYTES = 64 * 1024,
	LOG_INFO_BYTES_S = 64 * 1024,
	LOG_WARN_BYTES_S = 64 * 1024
};

/* log_init - name the process; quiet keeps warnings and errors only */
void log_init(const char *process, bool quiet);

/*
 * log_buffered - keep lines until log_flush, to save calls of the system
 *
 * Errors are written at once all the same.
 */
void log_buffered(bool buffered);

/* log_flush - write what the reader has room for */
void log_flush(void);

/* log_left_out - lines left out since the start */
int64_t log_left_out(void);

/* log_info, log_warn, log_error - write one line */
void log_info(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_warn(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
