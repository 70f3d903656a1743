#include "log.h"

#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define G_LOG_DOMAIN "plank"
#define G_LOG_USE_STRUCTURED
#include <glib.h>

enum {
	LOG_KINDS = 16, /* kinds of lines that are counted separately */
	LOG_KIND_BYTES = 32,
	/* A pipe that polls as writable accepts this many bytes without
	   blocking. */
	LOG_WRITE_BYTES = 4096
};

/* Number of lines of one kind left out in the current second. */
struct left_out {
	char kind[LOG_KIND_BYTES];
	int64_t count;
};

static GMutex lock;
static const char *process_name = "plank";
static bool warnings_only;
static bool buffering;
static char buffer[LOG_BUFFER_BYTES];
static size_t buffer_bytes;
static time_t second;
static size_t info_bytes, warn_bytes; /* written in the current second */
static struct left_out left_out[LOG_KINDS];
static int left_out_kinds;
static int64_t left_out_total;

static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_CRITICAL)
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	return "info";
}

/* Writes the buffer as far as the reader accepts it without blocking. */
static void write_buffer(void)
{
	size_t done = 0;

	while (done < buffer_bytes) {
		struct pollfd pollfd = { .fd = STDOUT_FILENO,
					 .events = POLLOUT };
		size_t len = MIN(buffer_bytes - done, (size_t)LOG_WRITE_BYTES);
		ssize_t written;

		if (poll(&pollfd, 1, 0) < 1 || !(pollfd.revents & POLLOUT))
			break;
		written = write(STDOUT_FILENO, buffer + done, len);
		if (written <= 0)
			break;
		done += (size_t)written;
	}
	memmove(buffer, buffer + done, buffer_bytes - done);
	buffer_bytes -= done;
}

static void count_left_out(const char *text)
{
	size_t len = strcspn(text, " ");
	char kind[LOG_KIND_BYTES];
	int index = 0;

	g_strlcpy(kind, text, MIN(len + 1, sizeof(kind)));
	left_out_total++;
	while (index < left_out_kinds && strcmp(left_out[index].kind, kind))
		index++;
	if (index == LOG_KINDS)
		index--; /* the last one counts all other kinds */
	else if (index == left_out_kinds) {
		left_out_kinds++;
		g_strlcpy(left_out[index].kind, kind, LOG_KIND_BYTES);
		left_out[index].count = 0;
	}
	left_out[index].count++;
}

static size_t format_line(char *line, GLogLevelFlags level, const char *text)
{
	struct timespec now;
	char stamp[32];
	struct tm tm;
	int len;

	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	len = snprintf(line, LOG_LINE_BYTES, "%s.%03ldZ %s %s: %s\n", stamp,
		       now.tv_nsec / 1000000, level_name(level), process_name,
		       text);
	if (len < LOG_LINE_BYTES)
		return (size_t)len;
	line[LOG_LINE_BYTES - 2] = '\n';
	return LOG_LINE_BYTES - 1;
}

static void add_line(GLogLevelFlags level, const char *text)
{
	bool info = !(level & (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_CRITICAL));
	size_t *bytes = info ? &info_bytes : &warn_bytes;
	size_t budget = info ? LOG_INFO_BYTES_PER_S : LOG_WARN_BYTES_PER_S;
	char line[LOG_LINE_BYTES];
	size_t len = format_line(line, level, text);

	if (*bytes + len > budget || buffer_bytes + len > LOG_BUFFER_BYTES) {
		count_left_out(text);
		return;
	}
	*bytes += len;
	memcpy(buffer + buffer_bytes, line, len);
	buffer_bytes += len;
}

/* Starts a new second: resets the budgets and logs what was left out. */
static void start_second(time_t now)
{
	int kinds = left_out_kinds;

	second = now;
	info_bytes = 0;
	warn_bytes = 0;
	left_out_kinds = 0;
	for (int i = 0; i < kinds; i++) {
		char text[LOG_KIND_BYTES + 64];

		snprintf(text, sizeof(text),
			 "log-left-out kind=%s lines=%" G_GINT64_FORMAT,
			 left_out[i].kind, left_out[i].count);
		add_line(G_LOG_LEVEL_WARNING, text);
	}
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer data)
{
	const char *text = "";
	time_t now = time(NULL);

	(void)data;
	if (warnings_only &&
	    !(level & (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_CRITICAL)))
		return G_LOG_WRITER_HANDLED;
	for (gsize i = 0; i < count; i++)
		if (!strcmp(fields[i].key, "MESSAGE"))
			text = fields[i].value;
	g_mutex_lock(&lock);
	if (now != second)
		start_second(now);
	add_line(level, text);
	if (!buffering || (level & G_LOG_LEVEL_CRITICAL))
		write_buffer();
	g_mutex_unlock(&lock);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *process, bool quiet)
{
	process_name = process;
	warnings_only = quiet;
	g_log_set_writer_func(write_line, NULL, NULL);
}

void log_buffered(bool buffered)
{
	buffering = buffered;
	log_flush();
}

void log_flush(void)
{
	g_mutex_lock(&lock);
	if (left_out_kinds && time(NULL) != second)
		start_second(time(NULL));
	if (buffer_bytes)
		write_buffer();
	g_mutex_unlock(&lock);
}

int64_t log_left_out(void)
{
	return left_out_total;
}

static void log_text(GLogLevelFlags level, const char *fmt, va_list ap)
{
	char *text = g_strdup_vprintf(fmt, ap);

	g_log_structured(G_LOG_DOMAIN, level, "MESSAGE", "%s", text);
	g_free(text);
}

void log_info(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	log_text(G_LOG_LEVEL_MESSAGE, fmt, ap);
	va_end(ap);
}

void log_warn(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	log_text(G_LOG_LEVEL_WARNING, fmt, ap);
	va_end(ap);
}

void log_error(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	log_text(G_LOG_LEVEL_CRITICAL, fmt, ap);
	va_end(ap);
}
