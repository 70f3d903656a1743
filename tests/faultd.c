/*
 * Stand-in for a worker that breaks connections. The request target says how:
 *
 *	/GROUP/read/HOW/N	read N bytes of the request, then HOW
 *	/GROUP/KIND/HOW/N	send N bytes of a response of KIND, then HOW
 *	/GROUP/late/MS/N	send the response after MS milliseconds
 *	/GROUP/exit/x/N		exit after reading the request
 *
 * HOW is reset or close; KIND is length, chunked, none (no length), identity
 * or refuse. Other targets get a complete response. The body of a response is
 * the target. For each request of which at least one byte was read, a line on
 * standard output gives its target and whole or part.
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

struct fault {
	char target[256];
	char kind[16];
	char how[16];
	long bytes;
};

/* Waits for a whole request without consuming it; returns its size or 0. */
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

static void parse_fault(struct fault *fault, const char *head)
{
	memset(fault, 0, sizeof(*fault));
	if (sscanf(head, "%*s %255s", fault->target) != 1 ||
	    sscanf(fault->target, "/%*[^/]/%15[^/]/%15[^/]/%ld", fault->kind,
		   fault->how, &fault->bytes) != 3) {
		strcpy(fault->kind, "length");
		fault->bytes = HEAD_MAX;
	}
}

/* Reads len bytes and prints a line for them; false if they did not arrive. */
static bool read_request(int fd, const struct fault *fault, size_t len,
			 bool whole)
{
	char buffer[HEAD_MAX], line[300];
	int line_len = snprintf(line, sizeof(line), "%s %s\n", fault->target,
				whole ? "whole" : "part");

	if (len && recv(fd, buffer, len, MSG_WAITALL) != (ssize_t)len)
		return false;
	return !len || write(STDOUT_FILENO, line, (size_t)line_len) > 0;
}

/* Closes the connection with a reset or with an orderly shutdown. */
static void end_connection(int fd, const char *how)
{
	const struct linger reset = { .l_onoff = 1 };
	struct pollfd ready = { .fd = fd, .events = POLLIN };
	char buffer[HEAD_MAX];

	if (strcmp(how, "reset") == 0) {
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	} else {
		shutdown(fd, SHUT_WR);
		while (poll(&ready, 1, WAIT_MS) > 0 &&
		       recv(fd, buffer, sizeof(buffer), 0) > 0)
			;
	}
	close(fd);
}

static size_t format_response(const struct fault *fault, char *out, size_t size)
{
	const char *kind = fault->kind;
	size_t len = strlen(fault->target);

	if (strcmp(kind, "chunked") == 0)
		snprintf(out, size,
			 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
			 "%zx\r\n%s\r\n0\r\n\r\n",
			 len, fault->target);
	else if (strcmp(kind, "none") == 0 || strcmp(kind, "identity") == 0)
		snprintf(out, size, "HTTP/1.1 200 OK\r\n%s\r\n%s",
			 *kind == 'i' ? "Transfer-Encoding: identity\r\n" : "",
			 fault->target);
	else
		snprintf(out, size,
			 "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n%s",
			 strcmp(kind, "refuse") == 0
				 ? "503 Busy\r\nPlank-Refused: full"
				 : "200 OK",
			 len, fault->target);
	return strlen(out);
}

/* Serves one request; false if the connection was closed. */
static bool serve_request(int fd)
{
	char head[HEAD_MAX + 1], text[1024];
	size_t total = peek_request(fd, head), len;
	struct fault fault;
	bool is_late;

	if (!total) {
		close(fd);
		return false;
	}
	parse_fault(&fault, head);
	if (strcmp(fault.kind, "read") == 0 && fault.bytes < (long)total) {
		read_request(fd, &fault, (size_t)fault.bytes, false);
		end_connection(fd, fault.how);
		return false;
	}
	read_request(fd, &fault, total, true);
	if (strcmp(fault.kind, "exit") == 0)
		_exit(0);
	is_late = strcmp(fault.kind, "late") == 0;
	if (is_late)
		usleep((useconds_t)(1000 * atoi(fault.how)));
	len = format_response(&fault, text, sizeof(text));
	if (strcmp(fault.kind, "read") == 0)
		len = 0;
	else if (!is_late && fault.bytes < (long)len)
		len = (size_t)fault.bytes;
	else if (strcmp(fault.kind, "none") && strcmp(fault.kind, "identity"))
		return send(fd, text, len, MSG_NOSIGNAL) == (ssize_t)len;
	if (len)
		send(fd, text, len, MSG_NOSIGNAL);
	end_connection(fd, fault.how);
	return false;
}

static void *serve_connection(void *arg)
{
	int fd = (int)(long)arg;

	while (serve_request(fd))
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
		if (pthread_create(&thread, NULL, serve_connection,
				   (void *)(long)client))
			close(client);
		else
			pthread_detach(thread);
	}
}
