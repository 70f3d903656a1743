/*
 * NAME
 *	web_linger - connections that stay open until their caller has the answer
 *
 * Internal to module web. Closing a refused connection while input arrives
 * would reset it, and the caller would lose the answer.
 */
#ifndef WEB_LINGER_H
#define WEB_LINGER_H

#include <stdbool.h>
#include <stdint.h>

enum { WEB_LINGER_MAX = 16 };

struct web_linger {
	struct {
		bool used;
		int fd;
		int64_t until_ms;
	} slots[WEB_LINGER_MAX];
	uint32_t next;
};

/*
 * web_linger_add - keep a connection that is shut down for writing
 *
 * fd is duplicated, as the library is about to close it. The oldest connection
 * is closed if there are too many.
 */
void web_linger_add(struct web_linger *linger, int fd, int64_t now_ms);

/* web_linger_tick - close connections that have been kept for long enough */
void web_linger_tick(struct web_linger *linger, int64_t now_ms);

/* web_linger_end - close all */
void web_linger_end(struct web_linger *linger);

#endif
