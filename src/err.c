#include "err.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

static const struct err_answer answers[] = {
	{ ERR_OK, "ok", 200, ERR_RAN_NO, 0, "success" },
	{ ERR_INVALID, "invalid", 400, ERR_RAN_NO, 2, "invalid input" },
	{ ERR_NOT_FOUND, "not-found", 404, ERR_RAN_NO, 3, "not found" },
	{ ERR_CONFLICT, "conflict", 409, ERR_RAN_NO, 4,
	  "based on an outdated version" },
	{ ERR_BUDGET, "budget", 409, ERR_RAN_NO, 5,
	  "would exceed the availability budget" },
	{ ERR_STATE, "state", 409, ERR_RAN_NO, 6,
	  "not possible in the current state" },
	{ ERR_DUPLICATE, "duplicate", 409, ERR_RAN_NO, 7, "already applied" },
	{ ERR_UNAVAILABLE, "unavailable", 503, ERR_RAN_NO, 8,
	  "platform log is not available" },
	{ ERR_TIMEOUT, "timeout", 504, ERR_RAN_MAYBE, 9, "timed out" },
	{ ERR_UNKNOWN, "unknown", 502, ERR_RAN_MAYBE, 10,
	  "outcome is not known" },
	{ ERR_NO_WORKER, "no-worker", 503, ERR_RAN_NO, 11,
	  "no worker can take the request" },
	{ ERR_OVERLOAD, "overload", 503, ERR_RAN_NO, 12, "overloaded" },
	{ ERR_STOPPING, "stopping", 503, ERR_RAN_NO, 13, "shutting down" },
	{ ERR_TOO_LARGE, "too-large", 413, ERR_RAN_NO, 14, "too large" },
	{ ERR_AUTH, "auth", 401, ERR_RAN_NO, 15, "not authenticated" },
	{ ERR_FORBIDDEN, "forbidden", 403, ERR_RAN_NO, 16, "not allowed" },
	{ ERR_IO, "io", 502, ERR_RAN_MAYBE, 17, "input/output error" },
	{ ERR_GONE, "gone", 410, ERR_RAN_NO, 18, "past retention" },
	{ ERR_TRUNCATED, "truncated", 502, ERR_RAN_MAYBE, 19,
	  "answer was truncated" },
	{ ERR_NOT_READY, "not-ready", 503, ERR_RAN_NO, 20, "not ready" },
	{ ERR_NO_MEMORY, "no-memory", 503, ERR_RAN_NO, 21, "out of memory" },
	{ ERR_INTERNAL, "internal", 500, ERR_RAN_MAYBE, 22, "internal error" },
	{ ERR_NO_FIT, "no-fit", 422, ERR_RAN_NO, 23,
	  "no worker is large enough" },
	{ ERR_EXPIRED, "expired", 504, ERR_RAN_NO, 24,
	  "deadline passed before the request was started" },
};

const struct err_answer *err_answer(int kind)
{
	if (kind > ERR_OK || kind < ERR_LAST)
		kind = ERR_INTERNAL;
	return &answers[-kind];
}

const char *err_name(int kind)
{
	return err_answer(kind)->name;
}

int err_by_name(const char *name)
{
	for (int kind = ERR_OK; kind >= ERR_LAST; kind--)
		if (!strcmp(answers[-kind].name, name))
			return kind;
	return ERR_INTERNAL;
}

/* Length in bytes of the UTF-8 character at text; 0 if it is not valid. */
static size_t utf8_len(const unsigned char *text)
{
	size_t len = text[0] < 0x80   ? 1
		     : text[0] < 0xc2 ? 0
		     : text[0] < 0xe0 ? 2
		     : text[0] < 0xf0 ? 3
		     : text[0] < 0xf5 ? 4
				      : 0;

	for (size_t i = 1; i < len; i++)
		if ((text[i] & 0xc0) != 0x80)
			return 0;
	return len;
}

void err_copy_text(char *out, size_t size, const char *text)
{
	size_t used = 0;

	while (*text && used + 1 < size) {
		size_t len = utf8_len((const unsigned char *)text);

		if (len == 0 || used + len >= size) {
			out[used++] = '?';
			text++;
			continue;
		}
		memcpy(out + used, text, len);
		used += len;
		text += len;
	}
	out[used] = 0;
}

int err_set(struct err *err, int kind, const char *fmt, ...)
{
	char text[ERR_TEXT_BYTES];
	va_list ap;

	if (!err)
		return kind;
	err->kind = kind;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	err_copy_text(err->text, sizeof(err->text), text);
	return kind;
}
