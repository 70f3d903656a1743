#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>

#define G_LOG_DOMAIN "plank"
#define G_LOG_USE_STRUCTURED
#include <glib.h>

static const char *process_name = "plank";
static bool warnings_only;

static const char *level_name(GLogLevelFlags level)
{
	if (level & G_LOG_LEVEL_CRITICAL)
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	return "info";
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer data)
{
	const char *text = "";
	struct timespec now;
	char stamp[32];
	struct tm tm;

	(void)data;
	if (warnings_only &&
	    !(level & (G_LOG_LEVEL_WARNING | G_LOG_LEVEL_CRITICAL)))
		return G_LOG_WRITER_HANDLED;
	for (gsize i = 0; i < count; i++)
		if (!strcmp(fields[i].key, "MESSAGE"))
			text = fields[i].value;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &tm);
	strftime(stamp, sizeof(stamp), "%Y-%m-%dT%H:%M:%S", &tm);
	fprintf(stderr, "%s.%03ldZ %s %s: %s\n", stamp, now.tv_nsec / 1000000,
		level_name(level), process_name, text);
	return G_LOG_WRITER_HANDLED;
}

void log_init(const char *process, bool quiet)
{
	process_name = process;
	warnings_only = quiet;
	g_log_set_writer_func(write_line, NULL, NULL);
}

static void write_text(GLogLevelFlags level, const char *fmt, va_list ap)
{
	char *text = g_strdup_vprintf(fmt, ap);

	g_log_structured(G_LOG_DOMAIN, level, "MESSAGE", "%s", text);
	g_free(text);
}

void log_info(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_text(G_LOG_LEVEL_MESSAGE, fmt, ap);
	va_end(ap);
}

void log_warn(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_text(G_LOG_LEVEL_WARNING, fmt, ap);
	va_end(ap);
}

void log_error(const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	write_text(G_LOG_LEVEL_CRITICAL, fmt, ap);
	va_end(ap);
}
