/* Unit tests of the host list in combination with the fleet state. */

#include <stdio.h>
#include <string.h>

#include <apr_general.h>
#include <check.h>

#include "hostlist.h"
#include "suite.h"

static void (*answer)(void *arg, int status,
		      const struct platclient_host *hosts, uint32_t count);
static void *answer_arg;

void platclient_hosts(struct platclient *platclient,
		      void (*fn)(void *arg, int status,
				 const struct platclient_host *hosts,
				 uint32_t count),
		      void *arg)
{
	(void)platclient;
	answer = fn;
	answer_arg = arg;
}

static int64_t now_ms;

static int64_t read_clock(const struct clk *clk)
{
	(void)clk;
	return now_ms;
}

static const struct clk clk = { .now_ms = read_clock, .wall_ms = read_clock };

/* Answers the request for the host list with one host in this state. */
static void answer_list(const char *state)
{
	struct platclient_host host = { .kind = "worker" };

	snprintf(host.name, sizeof(host.name), "w1");
	snprintf(host.state, sizeof(host.state), "%s", state);
	answer(answer_arg, 0, &host, 1);
}

static void apply(struct fleet *fleet, enum record_type type)
{
	struct record rec = { .type = type };
	struct err err;

	snprintf(rec.id, sizeof(rec.id), "%lld", (long long)fleet->next);
	snprintf(rec.host, sizeof(rec.host), "w1");
	snprintf(rec.author, sizeof(rec.author), "e1");
	snprintf(rec.address, sizeof(rec.address), "127.0.0.1");
	ck_assert_int_eq(fleet_apply(fleet, fleet->next, &rec, &err), 0);
}

static bool leaving(struct hostlist *hostlist, const struct fleet *fleet)
{
	uint32_t count;
	proto_host *rows = hostlist_rows(hostlist, fleet, &count);

	ck_assert_uint_eq(count, 1);
	return rows[0].leaving;
}

/*
 * Guards against an outdated host list that overrides a recorded return. A wave
 * restarts two hosts of a pool one after the other. A fleet daemon that read
 * the list just before the first host was back learns from the log of its
 * return and of the second host's drain; the first must not stay marked as
 * leaving.
 */
START_TEST(older_list_does_not_undo_a_return)
{
	struct evloop *evloop = evloop_create(&clk);
	struct hostlist *hostlist = hostlist_create(evloop, NULL);
	struct fleet *fleet = fleet_create();
	int64_t before;

	apply(fleet, RECORD_HOST);
	apply(fleet, RECORD_FAIL);
	hostlist_tick(hostlist, fleet->next);
	answer_list("down");
	ck_assert(leaving(hostlist, fleet));
	before = hostlist_version(hostlist, fleet);

	apply(fleet, RECORD_RETURN);
	ck_assert(!leaving(hostlist, fleet));
	ck_assert(hostlist_version(hostlist, fleet) != before);

	/* A list that was requested after the return is authoritative again. */
	now_ms += LIMIT_HOST_LIST_INTERVAL_MS;
	hostlist_tick(hostlist, fleet->next);
	ck_assert(!leaving(hostlist, fleet));
	answer(answer_arg, PLATCLIENT_UNCHANGED, NULL, 0);
	ck_assert(leaving(hostlist, fleet));
	ck_assert(hostlist_version(hostlist, fleet) == before);

	fleet_destroy(fleet);
	hostlist_destroy(hostlist);
	evloop_destroy(evloop);
}
END_TEST

START_TEST(leaving_host_stays_marked)
{
	const struct member_host down = { .live = false };
	const struct member_host live = { .live = true };
	struct fleet_host host = { .state = FLEET_SERVING,
				   .changed_offset = 7 };

	ck_assert(hostlist_leaving(&down, NULL, 0));
	ck_assert(!hostlist_leaving(&live, NULL, 0));
	ck_assert(!hostlist_leaving(&down, &host, 7));
	ck_assert(hostlist_leaving(&down, &host, 8));
	host.state = FLEET_REBOOTING;
	ck_assert(hostlist_leaving(&down, &host, 7));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("hostlist");
	TCase *tcase = tcase_create("hostlist");

	apr_initialize();
	tcase_add_test(tcase, older_list_does_not_undo_a_return);
	tcase_add_test(tcase, leaving_host_stays_marked);
	suite_add_tcase(suite, tcase);
	return suite_run(suite);
}
