/*
 * Stand-in for a worker that breaks connections. The target tells how:
 *
 *	/GROUP/read/HOW/N	N bytes of the request are read, then HOW
 *	/GROUP/KIND/HOW/N	N bytes of a response of KIND are sent, then HOW
 *	/GROUP/late/MS/N	the response is sent after MS milliseconds
 *	/GROUP/exit/x/N		the process ends after reading the request
 *
 * HOW is reset or close; KIND is length, chunked, none (no length), identity
 * or refuse. Other targets are answered. The body of a response is the
 * target. Each request of which a byte was read gives a line at the output:
 * its key, which is the target, and whole or part.
 */

#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum { HEAD_MAX = 16384, WAIT_MS = 10000 };

struct plan {
	char target[256];
	char kind[16];
	char how[16];
	long bytes;
};

/* Waits for a whole request without reading it; 0 if there will be none. */
static size_t peek_request(int fd, char *head)
{
	struct pollfd ready = { .fd = fd, .events = POLLIN };

	for (int waited = 0; waited < WAIT_MS; waited++) {
		const char *end, *length;
		ssize_t len;
		size_t total;

		if (poll(&ready, 1, WAIT_MS) <= 0)
			return 0;
		len = recv(fd, head, HEAD_MAX, MSG_PEEK);
		if (len <= 0)
			return 0;
		head[len] = 0;
		end = strstr(head, "\r\n\r\n");
		length = strcasestr(head, "\r\ncontent-length:");
		total = end ? (size_t)(end + 4 - head) : 0;
		if (end && length && length < end)
			total += strtoul(length + 17, NULL, 10);
		if (end && (size_t)len >= total)
			return total;
		usleep(1000);
	}
	return 0;
}

static void parse_plan(struct plan *plan, const char *head)
{
	memset(plan, 0, sizeof(*plan));
	if (sscanf(head, "%*s %255s", plan->target) != 1 ||
	    sscanf(plan->target, "/%*[^/]/%15[^/]/%15[^/]/%ld", plan->kind,
		   plan->how, &plan->bytes) != 3) {
		strcpy(plan->kind, "length");
		plan->bytes = HEAD_MAX;
	}
}

/* Reads len bytes and reports them; false if they did not come. */
static bool read_request(int fd, const struct plan *plan, size_t len,
			 bool whole)
{
	char buffer[HEAD_MAX], line[300];
	int line_len = snprintf(line, sizeof(line), "%s %s\n", plan->target,
				whole ? "whole" : "part");

	if (len && recv(fd, buffer, len, MSG_WAITALL) != (ssize_t)len)
		return false;
	return !len || write(STDOUT_FILENO, line, (size_t)line_len) > 0;
}

/* Ends the connection so that the peer sees a reset, or an orderly end. */
static void cut(int fd, const char *how)
{
	const struct linger now = { .l_onoff = 1 };
	struct pollfd ready = { .fd = fd, .events = POLLIN };
	char buffer[HEAD_MAX];

	if (strcmp(how, "reset") == 0) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
	} else {
		shutdown(fd, SHUT_WR);
		while (poll(&ready, 1, WAIT_MS) > 0 &&
		       recv(fd, buffer, sizeof(buffer), 0) > 0)
			;
	}
	close(fd);
}

static size_t response(const struct plan *plan, char *out, size_t size)
{
	const char *kind = plan->kind;
	size_t len = strlen(plan->target);

	if (strcmp(kind, "chunked") == 0)
		snprintf(out, size,
			 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			 "%zx\r\n%s\r\n0\r\n\r\n",
			 len, plan->target);
	else if (strcmp(kind, "none") == 0 || strcmp(kind, "identity") == 0)
		snprintf(out, size, "HTTP/1.1 200 OK\r\n%s\r\n%s",
			 *kind == 'i' ? "Transfer-Encoding: identity\r\n" : "",
			 plan->target);
	else
		snprintf(out, size,
			 "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s",
			 strcmp(kind, "refuse") == 0
				 ? "503 Busy\r\nPlank-Refused: full"
				 : "200 OK",
			 len, plan->target);
	return strlen(out);
}

/* One request; false if the connection has ended. */
static bool serve(int fd)
{
	char head[HEAD_MAX + 1], text[1024];
	size_t total = peek_request(fd, head), len;
	struct plan plan;
	bool late;

	if (!total) {
		close(fd);
		return false;
	}
	parse_plan(&plan, head);
	if (strcmp(plan.kind, "read") == 0 && plan.bytes < (long)total) {
		read_request(fd, &plan, (size_t)plan.bytes, false);
		cut(fd, plan.how);
		return false;
	}
	read_request(fd, &plan, total, true);
	if (strcmp(plan.kind, "exit") == 0)
		_exit(0);
	late = strcmp(plan.kind, "late") == 0;
	if (late)
		usleep((useconds_t)(1000 * atoi(plan.how)));
	len = response(&plan, text, sizeof(text));
	if (strcmp(plan.kind, "read") == 0)
		len = 0;
	else if (!late && plan.bytes < (long)len)
		len = (size_t)plan.bytes;
	else if (strcmp(plan.kind, "none") && strcmp(plan.kind, "identity"))
		return send(fd, text, len, MSG_NOSIGNAL) == (ssize_t)len;
	if (len)
		send(fd, text, len, MSG_NOSIGNAL);
	cut(fd, plan.how);
	return false;
}

static void *connection(void *arg)
{
	int fd = (int)(long)arg;

	while (serve(fd))
		;
	return NULL;
}

int main(int argc, char **argv)
{
	struct sockaddr_in address = { .sin_family = AF_INET };
	int one = 1, fd = socket(AF_INET, SOCK_STREAM, 0);

	if (argc != 2) {
		fprintf(stderr, "usage: faultd PORT\n");
		return 2;
	}
	signal(SIGPIPE, SIG_IGN);
	address.sin_port = htons((uint16_t)atoi(argv[1]));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
	    listen(fd, 256) < 0) {
		perror("faultd");
		return 1;
	}
	for (;;) {
		int client = accept(fd, NULL, NULL);
		pthread_t thread;

		if (client < 0)
			continue;
		if (pthread_create(&thread, NULL, connection,
				   (void *)(long)client))
			close(client);
		else
			pthread_detach(thread);
	}
}
