/*
 * NAME
 *	crowd - many connections to a daemon that misbehave in one way
 *
 * usage: crowd PORT HOST PATH PATTERN CONNECTIONS BODY_BYTES SECONDS
 *
 * Patterns:
 *	short	a body with its length that stops one byte short of its end
 *	pieces	the same, sent in small pieces
 *	chunks	a chunked body in large chunks that never ends
 *	tiny	the same, in chunks of one byte
 *	over	a body announced and sent 64 times as large as BODY_BYTES
 *	flood	a chunked body 16 times as large as BODY_BYTES
 *	mute	pipelined requests without a body, whose answers are not read
 *	pipeline	pipelined requests with a body, whose answers are not read
 *	return	as short; a closed connection is opened again at once
 *
 * Connections stay open until SECONDS have passed or the daemon closes them.
 * Prints how many were opened and closed by the daemon.
 */
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

enum {
	MAX_CLIENTS = 4096,
	PIECE_BYTES = 2048,
	CHUNK_BYTES = 16384,
	PIPELINED = 64,
	OVER_TIMES = 64,
	FLOOD_TIMES = 16,
	STEP_MS = 5
};

struct text {
	char *bytes;
	size_t len;
	size_t cap;
};

struct client {
	int fd; /* -1: closed */
	size_t sent;
};

struct crowd {
	struct sockaddr_in address;
	struct text text; /* what each client sends */
	size_t piece;	  /* bytes per step; 0: all that is taken */
	bool reads;
	bool returns;
	uint32_t count;
	uint32_t opened;
	uint32_t closed;
	struct client clients[MAX_CLIENTS];
	struct pollfd fds[MAX_CLIENTS];
};

static void add(struct text *text, const char *bytes, size_t len)
{
	while (text->len + len > text->cap) {
		text->cap = text->cap ? text->cap * 2 : 4096;
		text->bytes = realloc(text->bytes, text->cap);
		if (!text->bytes)
			abort();
	}
	memcpy(text->bytes + text->len, bytes, len);
	text->len += len;
}

static void add_text(struct text *text, const char *added)
{
	add(text, added, strlen(added));
}

static void add_body(struct text *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		add(text, "a", 1);
}

static void add_chunks(struct text *text, size_t total, size_t chunk)
{
	char size[24];

	snprintf(size, sizeof(size), "%zx\r\n", chunk);
	for (size_t sent = 0; sent + chunk < total; sent += chunk) {
		add_text(text, size);
		add_body(text, chunk);
		add_text(text, "\r\n");
	}
}

/* length: the announced one; 0: chunked; below 0: no body */
static void add_head(struct text *text, const char *method, const char *host,
		     const char *path, long length)
{
	char head[1024];
	char framing[64] = "Transfer-Encoding: chunked\r\n";

	if (length)
		snprintf(framing, sizeof(framing), "Content-Length: %ld\r\n",
			 length);
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nIdempotency-Key: k\r\n%s\r\n",
		 method, path, host, length < 0 ? "" : framing);
	add_text(text, head);
}

static bool prepare(struct crowd *crowd, const char *pattern, const char *host,
		    const char *path, long body)
{
	struct text *text = &crowd->text;

	crowd->reads = true;
	if (!strcmp(pattern, "short") || !strcmp(pattern, "pieces") ||
	    !strcmp(pattern, "return")) {
		add_head(text, "POST", host, path, body);
		add_body(text, (size_t)body - 1);
		crowd->piece = strcmp(pattern, "pieces") ? 0 : PIECE_BYTES;
		crowd->returns = !strcmp(pattern, "return");
	} else if (!strcmp(pattern, "chunks") || !strcmp(pattern, "tiny")) {
		add_head(text, "POST", host, path, 0);
		add_chunks(text, (size_t)body,
			   *pattern == 't' ? 1 : CHUNK_BYTES);
	} else if (!strcmp(pattern, "over")) {
		add_head(text, "POST", host, path, body * OVER_TIMES);
		add_body(text, (size_t)body * OVER_TIMES - 1);
	} else if (!strcmp(pattern, "flood")) {
		add_head(text, "POST", host, path, 0);
		add_chunks(text, (size_t)body * FLOOD_TIMES, CHUNK_BYTES);
	} else if (!strcmp(pattern, "mute")) {
		for (int i = 0; i < PIPELINED * 16; i++)
			add_head(text, "GET", host, path, -1);
		crowd->reads = false;
	} else if (!strcmp(pattern, "pipeline")) {
		for (int i = 0; i < PIPELINED; i++) {
			add_head(text, "POST", host, path, body);
			add_body(text, (size_t)body);
		}
		crowd->reads = false;
	} else {
		return false;
	}
	return true;
}

static int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void open_client(struct crowd *crowd, struct client *client)
{
	client->sent = 0;
	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (client->fd < 0)
		return;
	if (connect(client->fd, (struct sockaddr *)&crowd->address,
		    sizeof(crowd->address)) &&
	    errno != EINPROGRESS) {
		close(client->fd);
		client->fd = -1;
		return;
	}
	crowd->opened++;
}

static void close_client(struct crowd *crowd, struct client *client)
{
	close(client->fd);
	client->fd = -1;
	crowd->closed++;
}

static void send_more(struct crowd *crowd, struct client *client)
{
	size_t left = crowd->text.len - client->sent;
	ssize_t sent;

	if (crowd->piece && left > crowd->piece)
		left = crowd->piece;
	if (!left)
		return;
	sent = send(client->fd, crowd->text.bytes + client->sent, left,
		    MSG_NOSIGNAL | MSG_DONTWAIT);
	if (sent > 0)
		client->sent += (size_t)sent;
	else if (errno != EAGAIN && errno != EINPROGRESS)
		close_client(crowd, client);
}

/* Reads answers, and finds out whether the daemon has closed. */
static void read_some(struct crowd *crowd, struct client *client, short events)
{
	char discarded[4096];
	ssize_t got;

	if (!crowd->reads && !(events & (POLLHUP | POLLERR)))
		return;
	while ((got = recv(client->fd, discarded, sizeof(discarded),
			   MSG_DONTWAIT)) > 0)
		;
	if (!got || (errno != EAGAIN && errno != EINPROGRESS))
		close_client(crowd, client);
}

static void step(struct crowd *crowd)
{
	for (uint32_t i = 0; i < crowd->count; i++) {
		const struct client *client = &crowd->clients[i];
		bool more = client->sent < crowd->text.len;

		crowd->fds[i].fd = client->fd;
		crowd->fds[i].events =
			(crowd->reads ? POLLIN : 0) | (more ? POLLOUT : 0);
	}
	poll(crowd->fds, crowd->count, STEP_MS);
	for (uint32_t i = 0; i < crowd->count; i++) {
		struct client *client = &crowd->clients[i];
		short events = crowd->fds[i].revents;

		if (client->fd >= 0 && events & POLLOUT)
			send_more(crowd, client);
		if (client->fd >= 0 && events & (POLLIN | POLLHUP | POLLERR))
			read_some(crowd, client, events);
		if (client->fd < 0 && crowd->returns)
			open_client(crowd, client);
	}
	if (crowd->piece)
		usleep(STEP_MS * 1000);
}

int main(int argc, char **argv)
{
	static struct crowd crowd;
	int64_t end_ms;

	if (argc != 8 ||
	    !prepare(&crowd, argv[4], argv[2], argv[3], atol(argv[6]))) {
		fprintf(stderr, "usage: crowd PORT HOST PATH PATTERN "
				"CONNECTIONS BODY_BYTES SECONDS\n");
		return 2;
	}
	crowd.address.sin_family = AF_INET;
	crowd.address.sin_port = htons((uint16_t)atoi(argv[1]));
	crowd.address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	crowd.count = (uint32_t)atoi(argv[5]);
	if (crowd.count > MAX_CLIENTS)
		crowd.count = MAX_CLIENTS;
	end_ms = now_ms() + 1000 * atol(argv[7]);
	for (uint32_t i = 0; i < crowd.count; i++)
		open_client(&crowd, &crowd.clients[i]);
	while (now_ms() < end_ms)
		step(&crowd);
	printf("pattern=%s opened=%u closed_by_daemon=%u\n", argv[4],
	       crowd.opened, crowd.closed);
	free(crowd.text.bytes);
	return 0;
}
