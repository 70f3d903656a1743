/*
 * Unit tests of answers that servers may give: odd keys, items and hosts in a
 * page, odd addresses. They end no process, and the others of a page hold.
 */

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>
#include <check.h>

#include "call.h"
#include "evloop.h"
#include "host_api.h"
#include "odd_text.h"
#include "store.h"
#include "suite.h"
enum {
	KEY_MAX_BYTES = 255, /* of a record of the log service */
	CALL_TIMEOUT_MS = 2000,
	REQUEST_BYTES = 4096,
};

/* Serves one request with a fixed body. */
struct server {
	int fd;
	char address[32];
	const char *body;
	char request[REQUEST_BYTES];
	pthread_t thread;
};

static void *serve(void *arg)
{
	struct server *server = arg;
	int fd = accept(server->fd, NULL, NULL);
	size_t len = 0;
	char *head = g_strdup_printf("HTTP/1.1 200 OK\r\nConnection: close\r\n"
				     "Content-Length: %zu\r\n\r\n",
				     strlen(server->body));

	while (len + 1 < sizeof(server->request) &&
	       !strstr(server->request, "\r\n\r\n")) {
		ssize_t count = recv(fd, server->request + len,
				     sizeof(server->request) - len - 1, 0);

		if (count <= 0)
			break;
		len += (size_t)count;
	}
	ck_assert_int_gt(send(fd, head, strlen(head), MSG_NOSIGNAL), 0);
	ck_assert_int_ge(
		send(fd, server->body, strlen(server->body), MSG_NOSIGNAL), 0);
	close(fd);
	g_free(head);
	return NULL;
}

static void server_start(struct server *server, const char *body)
{
	struct sockaddr_in at = { .sin_family = AF_INET };
	socklen_t len = sizeof(at);

	memset(server, 0, sizeof(*server));
	server->body = body;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server->fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_ge(server->fd, 0);
	ck_assert_int_eq(bind(server->fd, (struct sockaddr *)&at, sizeof(at)),
			 0);
	ck_assert_int_eq(listen(server->fd, 1), 0);
	ck_assert_int_eq(getsockname(server->fd, (struct sockaddr *)&at, &len),
			 0);
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%d",
		 ntohs(at.sin_port));
	pthread_create(&server->thread, NULL, serve, server);
}

static void server_stop(struct server *server)
{
	pthread_join(server->thread, NULL);
	close(server->fd);
}

/* What a call brought, copied as far as the tests look at it. */
struct answer {
	struct evloop *evloop;
	bool done;
	int outcome;
	uint32_t count;
	size_t key_len;
	bool connected;
	int status;
};

static void answer_done(struct answer *answer)
{
	answer->done = true;
	evloop_stop(answer->evloop);
}

static void on_batch(void *arg, const struct stream_batch *batch)
{
	struct answer *answer = arg;

	answer->outcome = batch->outcome;
	answer->count = batch->count;
	if (batch->count)
		answer->key_len = batch->records[0].key_len;
	answer_done(answer);
}

static void on_hosts(void *arg, const struct host_page *page)
{
	struct answer *answer = arg;

	answer->outcome = page->outcome;
	answer->count = page->count;
	answer_done(answer);
}

static void on_response(void *arg, const struct call_response *response)
{
	struct answer *answer = arg;

	answer->status = response->status;
	answer->connected = response->connected;
	answer_done(answer);
}

/*
 * Reads a page of the newest records that continues after a key, or if from is not
 * negative the records from that offset on.
 */
static struct answer read_store(struct server *server, const char *after_key,
				int64_t from)
{
	const struct stream_id id = { "keyed.servers", 0 };
	struct evloop *evloop = evloop_create(clk_system());
	struct call_client *client = call_client_create(evloop);
	struct store *store = store_create(client, server->address);
	const struct stream_io *io = store_io(store);
	struct answer answer = { .evloop = evloop };

	if (from < 0)
		io->newest(io->io, id, after_key, on_batch, &answer);
	else
		io->read(io->io, id, from, 0, on_batch, &answer);
	evloop_run(evloop);
	ck_assert(answer.done);
	store_destroy(store);
	call_client_destroy(client);
	evloop_destroy(evloop);
	return answer;
}

/*
 * Guards against a key at the end of a page that is too long for the path of
 * the next request: the page is refused or repeated, and the stream is never
 * followed.
 */
START_TEST(a_page_continues_after_the_longest_key)
{
	struct server server;
	char *key = odd_text_repeat("\xff", KEY_MAX_BYTES);
	char *escaped = odd_text_repeat("%FF", KEY_MAX_BYTES);

	server_start(&server, "{\"items\":[],\"more\":false,\"end\":3}");
	ck_assert_int_eq(read_store(&server, key, -1).outcome, STREAM_OK);
	server_stop(&server);
	ck_assert_msg(strstr(server.request, escaped) != NULL, "%.300s",
		      server.request);
	g_free(key);
	g_free(escaped);
}
END_TEST

/* Guards against an odd item that hides the others of its page. */
START_TEST(odd_items_of_a_page_hide_no_others)
{
	static const char body[] =
		"{\"items\":[{\"key\":\"w\\u00001\",\"value\":\"e30=\","
		"\"offset\":0},{\"key\":\"\xff\",\"value\":\"e30=\","
		"\"offset\":1},{\"key\":5},null,7,{\"key\":\"w2\",\"value\":"
		"\"!!\",\"offset\":1e400}],\"more\":false,\"end\":3}";
	struct server server;
	struct answer answer;

	server_start(&server, body);
	answer = read_store(&server, NULL, -1);
	server_stop(&server);
	ck_assert_int_eq(answer.outcome, STREAM_OK);
	ck_assert_uint_ge(answer.count, 3);
	/* The key is not cut at its zero byte. */
	ck_assert_uint_eq(answer.key_len, 3);
}
END_TEST

/*
 * Guards against records that are never read: they were deleted while a read waited
 * for them, and its answer begins with the first offset that is left.
 */
START_TEST(records_deleted_during_a_read_are_not_passed_over)
{
	/* End and first offset, whose bytes are all 1. */
	static const char body[] = "\1\1\1\1\1\1\1\1\1\1\1\1\1\1\1\1";
	const int64_t first = 0x0101010101010101;
	struct server server;

	server_start(&server, body);
	ck_assert_int_eq(read_store(&server, NULL, first - 1).outcome,
			 STREAM_DELETED);
	server_stop(&server);
	server_start(&server, body);
	ck_assert_int_eq(read_store(&server, NULL, first).outcome, STREAM_OK);
	server_stop(&server);
}
END_TEST

static struct answer list_hosts(const char *body)
{
	struct evloop *evloop = evloop_create(clk_system());
	struct call_client *client = call_client_create(evloop);
	struct answer answer = { .evloop = evloop };
	struct server server;
	struct host_api *api;
	const struct host_io *io;

	server_start(&server, body);
	api = host_api_create(client, server.address);
	io = host_api_io(api);
	io->list(io->io, NULL, on_hosts, &answer);
	evloop_run(evloop);
	ck_assert(answer.done);
	server_stop(&server);
	host_api_destroy(api);
	call_client_destroy(client);
	evloop_destroy(evloop);
	return answer;
}

#define HOST "\"pool\":\"p\",\"zone\":\"z\",\"state\":\"up\""

/*
 * Guards against a list that cannot be read and is taken for a complete one
 * without hosts, and against an odd row that hides the others.
 */
START_TEST(odd_lists_of_hosts_are_refused)
{
	static const char *const bodies[] = {
		"",
		"{",
		"null",
		"[]",
		"{\"machines\":5}",
		"{\"machines\":{}}",
		"{}",
	};
	static const char *const rows[] = {
		"{" HOST ",\"machine\":\"m1\",\"capacity\":{\"cpu\":1}}",
		"{" HOST ",\"machine\":\"m2\",\"capacity\":{\"cpu\":-1}}",
		"{" HOST ",\"machine\":\"m3\",\"capacity\":{\"cpu\":1e400}}",
		"{" HOST ",\"machine\":5}",
		"{" HOST ",\"machine\":\"m\\u0000\"}",
		"{" HOST ",\"machine\":\"m4\",\"id\":5}",
		"null",
		"[]",
	};
	GString *body = g_string_new("{\"machines\":[");
	struct answer answer;

	for (size_t i = 0; i < G_N_ELEMENTS(bodies); i++)
		ck_assert_msg(list_hosts(bodies[i]).outcome == HOST_INVALID,
			      "%s", bodies[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(rows); i++)
		g_string_append_printf(body, "%s%s", i ? "," : "", rows[i]);
	g_string_append(body, "]}");
	answer = list_hosts(body->str);
	g_string_free(body, TRUE);
	ck_assert_int_eq(answer.outcome, HOST_OK);
	/* m1, m2 and m3: a capacity may be unknown. */
	ck_assert_uint_eq(answer.count, 3);
}
END_TEST

/* Guards against a call to an odd address that ends the process or never ends. */
START_TEST(calls_to_odd_addresses_end)
{
	static const char *const addresses[] = {
		"127.0.0.1:99999", "127.0.0.1:0", "127.0.0.1:x", ":80", "",
		"a b:80",	   "h\xff:80",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++) {
		struct evloop *evloop = evloop_create(clk_system());
		struct call_client *client = call_client_create(evloop);
		struct answer answer = { .evloop = evloop, .status = -1 };
		struct call_request request = {
			.method = "GET",
			.address = addresses[i],
			.path = "/",
			.timeout_ms = CALL_TIMEOUT_MS,
		};

		call_send(client, &request, on_response, &answer);
		evloop_run(evloop);
		ck_assert(answer.done);
		ck_assert_int_eq(answer.status, 0);
		call_client_destroy(client);
		evloop_destroy(evloop);
	}
}
END_TEST

static void add_tests(Suite *suite)
{
	TCase *tcase = tcase_create("answers");

	tcase_set_timeout(tcase, 120);
	tcase_add_test(tcase, a_page_continues_after_the_longest_key);
	tcase_add_test(tcase, odd_items_of_a_page_hide_no_others);
	tcase_add_test(tcase,
		       records_deleted_during_a_read_are_not_passed_over);
	tcase_add_test(tcase, odd_lists_of_hosts_are_refused);
	tcase_add_test(tcase, calls_to_odd_addresses_end);
	suite_add_tcase(suite, tcase);
}

int main(void)
{
	Suite *suite = suite_create("odd answers");

	apr_initialize();
	add_tests(suite);
	return suite_run(suite);
}
