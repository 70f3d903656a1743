/* Measures time and memory of fleet state, snapshot and routing table. */

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <apr_general.h>
#include <json-c/json.h>

#include "fleet.h"
#include "record.h"
#include "rnd.h"
#include "route.h"
#include "fleet_text.h"

enum { HOSTS_PER_POOL = 31, REPEATS = 1000, MEMBERS = 40, SEED = 1 };

static struct fleet *fleet;
static struct rnd rnd;
static int64_t next_offset;

static double now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec * 1e6 + (double)now.tv_nsec / 1e3;
}

static int apply(struct record *rec)
{
	struct err err = { .kind = ERR_OK };
	int status;

	rnd_make_id(&rnd, rec->id);
	snprintf(rec->author, sizeof(rec->author), "bench");
	status = fleet_apply(fleet, next_offset++, rec, &err);
	if (status == 0)
		return 0;
	fprintf(stderr, "state: %s: %s\n", record_type_name(rec->type),
		err.text);
	exit(1);
}

static void add_host(int i)
{
	struct record rec = { .type = RECORD_HOST,
			      .port = 80,
			      .cpu_milli = 32000,
			      .mem_mib = 65536,
			      .slots = 8,
			      .connections = 64 };

	snprintf(rec.host, sizeof(rec.host), "w%d", i);
	snprintf(rec.data_centre, sizeof(rec.data_centre), "dc%d", i % 5);
	snprintf(rec.rack, sizeof(rec.rack), "dc%d-r%d", i % 5, i / 20);
	snprintf(rec.address, sizeof(rec.address), "10.0.%d.%d", i / 250,
		 i % 250);
	apply(&rec);
}

/* Publishes one team for each pool, close to the target's ratio of both. */
static void publish(int team, int hosts, int64_t base)
{
	struct record rec = { .type = RECORD_SETTINGS, .base = base };
	struct json_object *names = json_object_new_array();
	char text[8192];

	for (int i = team * HOSTS_PER_POOL;
	     i < hosts && i < (team + 1) * HOSTS_PER_POOL; i++) {
		snprintf(text, sizeof(text), "w%d", i);
		json_object_array_add(names, json_object_new_string(text));
	}
	snprintf(text, sizeof(text),
		 "{\"pools\":{\"p\":{\"hosts\":%s,\"min_available\":1}}}",
		 json_object_to_json_string(names));
	json_object_put(names);
	snprintf(rec.team, sizeof(rec.team), "t%d", team);
	rec.settings = text;
	apply(&rec);
}

static void heartbeat(int member, int64_t seq)
{
	struct record rec = {
		.type = RECORD_MEMBER, .incarnation = 1, .seq = seq, .port = 1
	};

	snprintf(rec.member, sizeof(rec.member), "e%d", member);
	snprintf(rec.data_centre, sizeof(rec.data_centre), "dc%d", member % 5);
	snprintf(rec.address, sizeof(rec.address), "10.1.0.%d", member);
	apply(&rec);
}

static void host_record(enum record_type type, int i)
{
	struct record rec = { .type = type };

	snprintf(rec.host, sizeof(rec.host), "w%d", i);
	snprintf(rec.reason, sizeof(rec.reason), "bench");
	apply(&rec);
}

static void measure_records(int hosts)
{
	int teams = (hosts + HOSTS_PER_POOL - 1) / HOSTS_PER_POOL;
	double start = now_us();

	for (int i = 0; i < REPEATS; i++)
		heartbeat(i % MEMBERS, 2 + i / MEMBERS);
	printf(" member %.2f", (now_us() - start) / REPEATS);
	start = now_us();
	for (int i = 0; i < REPEATS; i++)
		add_host(i % hosts);
	printf(" host %.2f", (now_us() - start) / REPEATS);
	start = now_us();
	for (int i = 0; i < REPEATS; i++) {
		host_record(RECORD_DRAIN, i % hosts);
		host_record(RECORD_UNDRAIN, i % hosts);
	}
	printf(" drain+undrain %.2f", (now_us() - start) / REPEATS);
	start = now_us();
	for (int i = 0; i < REPEATS; i++) {
		char name[LIMIT_NAME_BYTES];

		snprintf(name, sizeof(name), "t%d", i % teams);
		publish(i % teams, hosts, fleet_team(fleet, name)->version);
	}
	printf(" settings %.2f", (now_us() - start) / REPEATS);
}

static void measure_snapshot(void)
{
	struct err err = { .kind = ERR_OK };
	double start = now_us();
	double encoded;
	struct fleet *copy;
	size_t len;
	char *text = fleet_text_encode(fleet, &len);

	encoded = now_us();
	copy = fleet_text_decode(text, len, &err);
	printf(" encode %.0f decode %.0f bytes %zu", encoded - start,
	       now_us() - encoded, len);
	fleet_destroy(copy);
	free(text);
}

static void measure_routes(void)
{
	struct route *route = route_create("e0", "dc0", &rnd);
	struct route_query query = { .team = "t0",
				     .pool = "p",
				     .remote_allowed = true };
	struct route_worker *worker;
	double start;

	route_sync(route, fleet, false, NULL, 0);
	start = now_us();
	for (int i = 0; i < 20; i++)
		route_sync(route, fleet, false, NULL, 0);
	printf(" rebuild %.0f", (now_us() - start) / 20);
	start = now_us();
	for (int i = 0; i < 100 * REPEATS; i++)
		if (route_pick(route, &query, &worker) == 0)
			route_done(route, worker, ROUTE_ANSWERED, 0);
	printf(" pick %.3f\n", (now_us() - start) / (100 * REPEATS));
	route_destroy(route);
}

static void measure(int hosts)
{
	size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;

	rnd_init(&rnd, SEED);
	next_offset = 0;
	fleet = fleet_create();
	for (int i = 0; i < MEMBERS; i++)
		heartbeat(i, 1);
	for (int i = 0; i < hosts; i++)
		add_host(i);
	for (int i = 0; i * HOSTS_PER_POOL < hosts; i++)
		publish(i, hosts, FLEET_NONE);
	printf("hosts %d: state_bytes %zu; us:", hosts,
	       mallinfo2().uordblks + mallinfo2().hblkhd - before);
	measure_records(hosts);
	measure_snapshot();
	measure_routes();
	fleet_destroy(fleet);
}

int main(void)
{
	static const int sizes[] = { 50, 500, 2600, 10000 };

	apr_initialize();
	printf("seed %d, %d members, %d hosts a pool, %d records a type; "
	       "processor time\n",
	       SEED, MEMBERS, HOSTS_PER_POOL, REPEATS);
	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure(sizes[i]);
	return 0;
}
