#include "web_linger.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <sys/socket.h>

#include "log.h"

enum { LINGER_MS = 1000, DISCARD_BYTES = 4096 };

/* Discards input that has arrived, so that the close resets nothing. */
static void end_slot(struct web_linger *linger, uint32_t i)
{
	char discarded[DISCARD_BYTES];
	int fd = linger->slots[i].fd;

	if (!linger->slots[i].used)
		return;
	linger->slots[i].used = false;
	while (recv(fd, discarded, sizeof(discarded), MSG_DONTWAIT) ==
	       (ssize_t)sizeof(discarded))
		;
	close(fd);
}

void web_linger_add(struct web_linger *linger, int fd, int64_t now_ms)
{
	uint32_t i = linger->next++ % WEB_LINGER_MAX;
	int copy = fd < 0 ? -1 : fcntl(fd, F_DUPFD_CLOEXEC, 0);

	end_slot(linger, i);
	if (copy < 0) {
		log_warn("a refused connection is closed at once: %s",
			 strerror(errno));
		return;
	}
	linger->slots[i].used = true;
	linger->slots[i].fd = copy;
	linger->slots[i].until_ms = now_ms + LINGER_MS;
}

void web_linger_tick(struct web_linger *linger, int64_t now_ms)
{
	for (uint32_t i = 0; i < WEB_LINGER_MAX; i++)
		if (now_ms >= linger->slots[i].until_ms)
			end_slot(linger, i);
}

void web_linger_end(struct web_linger *linger)
{
	for (uint32_t i = 0; i < WEB_LINGER_MAX; i++)
		end_slot(linger, i);
}
