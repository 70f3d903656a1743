#include "schedule.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rnd.h"

enum {
	HOST_COUNT = 6,
	ENTRY_COUNT = 4,
	EVENTS_PER_SESSION = 26,
	MAX_LINES = 512
};

static const char fleet_setup[] =
	"host h0 suva\nhost h1 suva\nhost h2 suva\n"
	"host h3 lautoka\nhost h4 lautoka\nhost h5 lautoka\n"
	"record settings \"team\":\"t\",\"base\":-1,\"settings\":{\"pools\":{"
	"\"a\":{\"hosts\":[\"h0\",\"h1\",\"h3\"],\"min_available\":1},"
	"\"b\":{\"hosts\":[\"h2\",\"h4\"],\"min_available\":1}}}\n"
	"record settings \"team\":\"u\",\"base\":-1,\"settings\":{\"pools\":{"
	"\"c\":{\"hosts\":[\"h5\"],\"min_available\":0}}}\n"
	"entry e0 suva\nentry e1 suva\nentry e2 lautoka\nentry e3 lautoka\n"
	"run 2000\n";

/*
 * Kinds of events of a schedule and their weights. $e, $h and $d stand for a
 * random entry host, worker host and data centre, $E, $H and $D for the one
 * chosen last; $p for a pool, $q for a pool or none; $n is 0 to 2, $k 0 to 11,
 * $r 1 to 5 seconds in milliseconds.
 */
static const struct {
	uint32_t weight;
	const char *text;
} event_kinds[] = {
	{ 14, "run $r\n" },
	{ 10, "send $e t $p $h\nsend $e t $p $H\nsend $e t $p $h\n" },
	{ 6, "send $e t $p $h\nrun $r\n" },
	{ 8, "done $e $h\ndone $e $H\ndone $e $h\ndone $e $H\n" },
	{ 8, "drain $h\nrun $r\n" },
	{ 3, "drain $h\ndrain $h\nrun $r\n" },
	{ 4, "undrain $h\n" },
	{ 4, "return $h\n" },
	{ 2, "reboot $h\nreturn $H\n" },
	{ 2, "reboot $h\n" },
	{ 1, "retire $h\n" },
	{ 1, "fail $h\nfail $h\n" },
	{ 1, "fail $h\nfail $H\nreturn $H\n" },
	{ 1, "fail $h\nreturn $H\n" },
	{ 2, "place $e t $h $q $n\n" },
	{ 2, "place $e t $h $q $n\nplace $e t $h $q $n\n" },
	{ 6, "drain $h\nrun 3000\nplace $e t $H - 0\nrun 1000\n"
	     "place $E t $H $p 1\nrun $r\n" },
	{ 3, "drain $h\nrun 3000\nplace $e t $H - 0\nrun 1000\n"
	     "place $E u $H c 1\nrun $r\nsend $e u c $H\n" },
	{ 2, "drain $h\nrun 3000\nplace $e u $H - 0\nrun 1000\n"
	     "place $E t $H $p 1\nrun $r\n" },
	{ 2, "place $e u $h c $n\n" },
	{ 2, "send $e u c $h\nsend $e u c $h\n" },
	{ 3, "again $k\n" },
	{ 2, "lose $e\n" },
	{ 2, "hold $e\n" },
	{ 2, "release $e\n" },
	{ 3, "lag $e $n\n" },
	{ 2, "lag $e -\n" },
	{ 2, "pause $e\n" },
	{ 4, "resume $e\n" },
	{ 2, "cut $d\n" },
	{ 1, "cut $d\nrun 26000\n" },
	{ 3, "heal $d\n" },
	{ 2, "snapshot $e\n" },
	{ 2, "restore $e\n" },
	{ 2, "adopt $e\n" },
	{ 2, "snapshot $e\nlag $e 0\nrun $r\nadopt $E\n" },
	{ 2, "restart $e\n" },
	/* A new process follows the log before its first heartbeat is stored. */
	{ 1, "restart $e\nhold $E\nrun 2000\nsend $E t $p $h\ndrain $H\n"
	     "run 2000\nrelease $E\n" },
	{ 1, "leave $e\n" },
	/* A confirmation of one drain is stored during the next one. */
	{ 1, "hold $e\ndrain $h\nrun 2000\nundrain $H\nrun 1000\n"
	     "send $E t $p $H\ndrain $H\nrelease $E\nrun 3000\n" },
	/* An expiry is stored after the silent members are back. */
	{ 1, "cut $d\nhold $e\nrun 24000\nheal $D\nrun 3000\n"
	     "release $E\n" },
};

enum { EVENT_KIND_COUNT = sizeof(event_kinds) / sizeof(event_kinds[0]) };

struct generator {
	struct rnd rnd;
	uint32_t entry, host, data_centre;
	FILE *out;
};

static void write_choice(struct generator *generator, char kind)
{
	static const char *const data_centres[] = { "suva", "lautoka" };
	static const char *const pools[] = { "a", "b", "-" };

	switch (kind) {
	case 'e':
		generator->entry = rnd_below(&generator->rnd, ENTRY_COUNT);
		/* fall through */
	case 'E':
		fprintf(generator->out, "e%u", generator->entry);
		break;
	case 'h':
		generator->host = rnd_below(&generator->rnd, HOST_COUNT);
		/* fall through */
	case 'H':
		fprintf(generator->out, "h%u", generator->host);
		break;
	case 'd':
		generator->data_centre = rnd_below(&generator->rnd, 2);
		/* fall through */
	case 'D':
		fputs(data_centres[generator->data_centre], generator->out);
		break;
	case 'r':
		fprintf(generator->out, "%u",
			1000 * (rnd_below(&generator->rnd, 5) + 1));
		break;
	case 'n':
	case 'k':
		fprintf(generator->out, "%u",
			rnd_below(&generator->rnd, kind == 'n' ? 3 : 12));
		break;
	default:
		fputs(pools[rnd_below(&generator->rnd, kind == 'p' ? 2 : 3)],
		      generator->out);
	}
}

void schedule_make(uint64_t seed, char text[SCHEDULE_BYTES])
{
	struct generator generator = { .out = fmemopen(text, SCHEDULE_BYTES,
						       "w") };
	uint32_t total = 0;

	rnd_init(&generator.rnd, seed);
	for (int i = 0; i < EVENT_KIND_COUNT; i++)
		total += event_kinds[i].weight;
	fputs(fleet_setup, generator.out);
	for (int i = 0; i < EVENTS_PER_SESSION; i++) {
		uint32_t draw = rnd_below(&generator.rnd, total);
		const char *c;
		size_t k = 0;

		while (draw >= event_kinds[k].weight)
			draw -= event_kinds[k++].weight;
		for (c = event_kinds[k].text; *c; c++)
			if (*c == '$')
				write_choice(&generator, *++c);
			else
				fputc(*c, generator.out);
	}
	fclose(generator.out);
}

static void join_lines(char *text, char *const *lines, uint32_t count,
		       uint32_t drop_from, uint32_t drop)
{
	size_t len = 0;

	text[0] = 0;
	for (uint32_t i = 0; i < count; i++)
		if (i < drop_from || i >= drop_from + drop)
			len += (size_t)snprintf(text + len,
						SCHEDULE_BYTES - len, "%s\n",
						lines[i]);
}

uint32_t schedule_shrink(char text[SCHEDULE_BYTES], uint32_t guards_off,
			 enum oracle_promise promise)
{
	char *copy = strdup(text), *lines[MAX_LINES], *save = NULL;
	struct session_result result;
	uint32_t count = 0;

	for (char *line = strtok_r(copy, "\n", &save);
	     line && count < MAX_LINES; line = strtok_r(NULL, "\n", &save))
		lines[count++] = line;
	for (uint32_t drop = count / 2; drop > 0; drop /= 2)
		for (uint32_t from = 0; from + drop <= count;) {
			join_lines(text, lines, count, from, drop);
			session_run(text, guards_off, 1u << promise, NULL,
				    &result);
			if (!result.violation) {
				from++;
				continue;
			}
			memmove(&lines[from], &lines[from + drop],
				(count - from - drop) * sizeof(lines[0]));
			count -= drop;
		}
	join_lines(text, lines, count, 0, 0);
	free(copy);
	return count;
}

const struct schedule_case schedule_cases[] = {
	{ GUARD_BUDGET, ORACLE_BUDGET,
	  "drains and failures use up a pool's budget" },
	{ GUARD_RAISE, ORACLE_BUDGET,
	  "settings raise a budget while a host is drained" },
	{ GUARD_MOVE, ORACLE_ONE_POOL, "settings list a host elsewhere" },
	{ GUARD_ALL_QUIET, ORACLE_ONE_POOL,
	  "a host moves before all members have confirmed" },
	{ GUARD_LEASE, ORACLE_ONE_POOL,
	  "a host moves while a member is partitioned or paused" },
	{ GUARD_CAUGHT_UP, ORACLE_ONE_POOL,
	  "a member returns with an old state after a move" },
	{ GUARD_LOCAL, ORACLE_ONE_POOL,
	  "a host of a partitioned data centre moves" },
	{ GUARD_IN_FLIGHT, ORACLE_GRACEFUL,
	  "a drain while requests are in flight" },
	{ GUARD_ALL_QUIET, ORACLE_GRACEFUL,
	  "a drain that not all members have confirmed" },
	{ GUARD_LEASE, ORACLE_GRACEFUL,
	  "a drain while a member is partitioned or paused" },
	{ GUARD_CAUGHT_UP, ORACLE_GRACEFUL,
	  "a member renews its lease with an old state" },
	{ GUARD_LOCAL, ORACLE_GRACEFUL,
	  "a drain in a partitioned data centre" },
	{ GUARD_SEEN, ORACLE_GRACEFUL,
	  "an old expiry is stored after a new heartbeat" },
	{ GUARD_JOINED, ORACLE_GRACEFUL,
	  "a new process serves before it has joined" },
	{ GUARD_DRAINING, ORACLE_NO_NEW,
	  "requests for a host that is being drained" },
	{ GUARD_BASE, ORACLE_SETTINGS,
	  "two operators publish on the same base" },
	{ GUARD_TAIL, ORACLE_SETTINGS, "a replica restores an old snapshot" },
	{ GUARD_IDS, ORACLE_ONCE, "a record is stored a second time" },
	{ GUARD_EVERY, ORACLE_SAME, "a replica misses a record" },
	{ GUARD_SNAPSHOT, ORACLE_SAME, "a restored state lacks the ids" },
	{ GUARD_CUT_OFF, ORACLE_GRACEFUL,
	  "not held: a request outlives its member's lease" },
};

const uint32_t schedule_case_count =
	sizeof(schedule_cases) / sizeof(schedule_cases[0]);

uint64_t schedule_find(const struct schedule_case *wanted, uint64_t seeds,
		       char text[SCHEDULE_BYTES])
{
	struct session_result result;

	for (uint64_t seed = 1; seed <= seeds; seed++) {
		schedule_make(seed, text);
		session_run(text, 1u << wanted->guard, 1u << wanted->promise,
			    NULL, &result);
		if (result.violation)
			return seed;
	}
	return 0;
}
