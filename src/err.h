/*
 * NAME
 *	err - fixed list of error kinds, and how each is answered
 *
 * Functions of this project return 0 or a positive value on success and one of
 * the negative numbers below on failure.
 */
#ifndef ERR_H
#define ERR_H

#include <stdbool.h>
#include <stddef.h>

enum err_kind {
	ERR_OK = 0,
	ERR_INVALID = -1,
	ERR_NOT_FOUND = -2,
	ERR_CONFLICT = -3,
	ERR_BUDGET = -4,
	ERR_STATE = -5,
	ERR_DUPLICATE = -6,
	ERR_UNAVAILABLE = -7,
	ERR_TIMEOUT = -8,
	ERR_UNKNOWN = -9,
	ERR_NO_WORKER = -10,
	ERR_OVERLOAD = -11,
	ERR_STOPPING = -12,
	ERR_TOO_LARGE = -13,
	ERR_AUTH = -14,
	ERR_FORBIDDEN = -15,
	ERR_IO = -16,
	ERR_GONE = -17,
	ERR_TRUNCATED = -18,
	ERR_NOT_READY = -19,
	ERR_NO_MEMORY = -20,
	ERR_INTERNAL = -21,
	ERR_NO_FIT = -22,
	ERR_EXPIRED = -23,
	ERR_LAST = -23
};

/* Whether a request that failed may have had an effect. */
enum err_ran { ERR_RAN_NO, ERR_RAN_MAYBE };

struct err_answer {
	enum err_kind kind;
	const char *name;
	int http_status;
	enum err_ran ran;
	int exit_code;
	const char *message;
};

enum { ERR_TEXT_BYTES = 512 };

/* An error kind with a message that says where and what. */
struct err {
	int kind;
	char text[ERR_TEXT_BYTES];
};

/*
 * err_answer - HTTP status, exit code and texts of an error kind
 *
 * RETURN VALUE
 *	The entry of the table; that of ERR_INTERNAL if the number is not in
 *	the list. Never NULL.
 */
const struct err_answer *err_answer(int kind);

/* err_name - short fixed name of a kind, for headers, JSON and logs */
const char *err_name(int kind);

/* err_by_name - kind with that name; ERR_INTERNAL if there is none */
int err_by_name(const char *name);

/*
 * err_copy_text - copy a message, truncated to size - 1 bytes
 *
 * Bytes that are not UTF-8, and a character that is split by the truncation,
 * become '?', so that the copy can be a JSON string.
 */
void err_copy_text(char *out, size_t size, const char *text);

/*
 * err_set - fill in an error
 *
 * err may be NULL. The message is copied as by err_copy_text.
 *
 * RETURN VALUE
 *	kind, so that a function can fail with `return err_set(...)`.
 */
int err_set(struct err *err, int kind, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

#endif
