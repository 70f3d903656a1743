/*
 * NAME
 *	log - log lines of a process, by GLib's structured logging
 *
 * Lines go to standard output as "time level process: event key=value ...".
 * Writing never blocks: a line is left out if the reader leaves no room for it,
 * or if it exceeds the process's budget of bytes per second. Once a second the
 * number of lines left out is logged by their first word. Warnings and errors
 * have a separate budget, so that other lines do not displace them.
 */
#ifndef LOG_H
#define LOG_H

#include <stdbool.h>
#include <stdint.h>

enum {
	LOG_LINE_BYTES = 1024, /* a longer line is truncated */
	LOG_BUFFER_BYTES = 64 * 1024,
	LOG_INFO_BYTES_PER_S = 64 * 1024,
	LOG_WARN_BYTES_PER_S = 64 * 1024
};

/* log_init - set the process name; quiet logs only warnings and errors */
void log_init(const char *process, bool quiet);

/*
 * log_buffered - buffer lines until log_flush, to save system calls
 *
 * Errors are still written at once.
 */
void log_buffered(bool buffered);

/* log_flush - write as many buffered lines as the reader has room for */
void log_flush(void);

/* log_left_out - number of lines left out since the start */
int64_t log_left_out(void);

/* log_info, log_warn, log_error - write one line */
void log_info(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_warn(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
void log_error(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

#endif
