#include "pln.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mbr.h"
#include "rnd.h"

enum {
	MS_PER_HOUR = 3600 * 1000,
	HOURS_PER_DAY = 24,
	MAX_DATA_CENTRES = 32,
	/* The state's changes start a new plan; time alone one each second. */
	REPLAN_MS = 1000,
	/* A proposal that was refused or got lost is repeated after this. */
	REPEAT_MS = 3000,
	KEY_BYTES = 2 * LIM_NAME_BYTES
};

/* Pool of a team. Counts are of the present plan, need_since_ms persists. */
struct pool {
	char name[LIM_NAME_BYTES]; /* hash of team and pool, see key_of */
	const struct fst_team *team;
	const struct tms_pool *settings;
	uint64_t seq;
	uint32_t hosts;
	uint32_t available;
	uint32_t planned_out;
	int32_t left;  /* hosts that may still be taken out in this plan */
	int32_t undo;  /* hosts missing for the budget */
	bool waits;    /* a wave has hosts to do here */
	bool can_wait; /* such a wave may take out hosts now */
	bool receives; /* a host is being moved here */
	int64_t need_since_ms;
	struct {
		uint32_t hosts;
		uint32_t available;
	} centres[MAX_DATA_CENTRES];
};

struct rack {
	char name[LIM_NAME_BYTES]; /* hash of data centre and rack */
	uint64_t seq;
	uint64_t listed_by; /* wave pass that has it in its list */
	uint32_t out;
	struct host *first; /* candidates of the wave under consideration */
	struct host *last;
};

/* What is kept of a host between plans, and what is planned for it. */
struct host {
	char name[LIM_NAME_BYTES];
	const struct fst_host *fst;
	struct pool *pool; /* present one, or NULL */
	struct rack *rack;
	uint32_t centre;
	uint64_t seq;
	struct host *next; /* in its rack's list */

	int64_t state_offset; /* of the state that it has since state_ms */
	int64_t state_ms;
	int64_t move_since_ms; /* -1: no reason to move */

	uint64_t planned_in; /* plan that gave it the action below */
	struct rec action;   /* text fields only; nothing is owned */
	int64_t due_ms;
	int64_t proposed_ms; /* -1: not proposed */
};

struct wave {
	const struct fst_team *team;
	const struct tms_wave *settings;
	const struct tms_batch *batch;
	uint32_t total;
	uint32_t done;
	uint32_t healthy; /* done, and not failed since */
	uint32_t failed;
	uint32_t out;
	uint32_t todo;
	bool stopped;
	char held[LIM_REASON_BYTES]; /* why no host is taken out now, or "" */
};

struct pln {
	struct pln_config config;
	struct tbl *pools;
	struct tbl *racks;
	struct tbl *hosts;
	char centres[MAX_DATA_CENTRES][LIM_NAME_BYTES];
	uint32_t centre_count;
	struct wave *waves;
	uint32_t wave_count;
	struct host **acting;
	uint32_t acting_count;
	uint32_t acting_cap;
	uint64_t seq;
	uint64_t pass;

	const struct fst *planned_fst;
	uint64_t planned_changes;
	int64_t planned_ms;

	/* Of the plan under way. */
	const struct fst *fst;
	int64_t now_ms;
	int32_t day;
	uint32_t hour;
	void (*row)(void *arg, const struct pln_row *row);
	void *row_arg;
};

struct pln *pln_create(const struct pln_config *config)
{
	struct pln *pln = calloc(1, sizeof(*pln));

	if (!pln)
		return NULL;
	pln->config = *config;
	if (!pln->config.reboot_timeout_ms)
		pln->config.reboot_timeout_ms = LIM_REBOOT_TIMEOUT_MS;
	if (!pln->config.move_hold_ms)
		pln->config.move_hold_ms = LIM_MOVE_HOLD_MS;
	pln->pools = tbl_create(sizeof(struct pool));
	pln->racks = tbl_create(sizeof(struct rack));
	pln->hosts = tbl_create(sizeof(struct host));
	return pln;
}

void pln_destroy(struct pln *pln)
{
	if (!pln)
		return;
	tbl_destroy(pln->pools);
	tbl_destroy(pln->racks);
	tbl_destroy(pln->hosts);
	free(pln->waves);
	free(pln->acting);
	free(pln);
}

/* Fixed-length key of two names for a table. */
static void key_of(char *key, const char *first, const char *second)
{
	uint64_t hash = rnd_hash(RND_HASH_START, first, strlen(first) + 1);

	snprintf(key, LIM_NAME_BYTES, "%016" PRIx64,
		 rnd_hash(hash, second, strlen(second)));
}

static void *entry_of(struct tbl *tbl, const char *name)
{
	void *entry = tbl_find(tbl, name);

	return entry ? entry : tbl_add(tbl, name);
}

static uint32_t centre_of(struct pln *pln, const char *name)
{
	for (uint32_t i = 0; i < pln->centre_count; i++)
		if (!strcmp(pln->centres[i], name))
			return i;
	if (pln->centre_count == MAX_DATA_CENTRES)
		return MAX_DATA_CENTRES - 1;
	snprintf(pln->centres[pln->centre_count], LIM_NAME_BYTES, "%s", name);
	return pln->centre_count++;
}

static bool is_out(const struct fst_host *host)
{
	return host->state == FST_DRAINING || host->state == FST_DRAINED ||
	       host->state == FST_REBOOTING;
}

static struct pool *find_pool(struct pln *pln, const char *team,
			      const char *name)
{
	char key[LIM_NAME_BYTES];
	struct pool *pool;

	key_of(key, team, name);
	pool = tbl_find(pln->pools, key);
	return pool && pool->seq == pln->seq ? pool : NULL;
}

static void start_pools(struct pln *pln)
{
	for (uint32_t i = 0; i < tbl_count(pln->fst->teams); i++) {
		const struct fst_team *team = tbl_at(pln->fst->teams, i);

		for (uint32_t k = 0; k < team->settings->pool_count; k++) {
			const struct tms_pool *settings =
				&team->settings->pools[k];
			char key[LIM_NAME_BYTES];
			struct pool *pool;
			int64_t since_ms;

			key_of(key, team->name, settings->name);
			pool = entry_of(pln->pools, key);
			since_ms = pool->seq ? pool->need_since_ms : -1;
			memset(pool, 0, sizeof(*pool));
			memcpy(pool->name, key, sizeof(key));
			pool->need_since_ms = since_ms;
			pool->team = team;
			pool->settings = settings;
			pool->seq = pln->seq;
		}
	}
}

static void count_host(struct pln *pln, struct host *host)
{
	const struct fst_host *fst = host->fst;
	struct pool *pool = host->pool;
	bool counts;

	if (fst->state == FST_RETIRED)
		return;
	counts = fst_host_counts(pln->fst, fst);
	host->rack->out += !counts;
	if (!pool)
		return;
	pool->hosts++;
	pool->available += counts;
	pool->planned_out += is_out(fst);
	pool->centres[host->centre].hosts++;
	pool->centres[host->centre].available += counts;
}

static void start_host(struct pln *pln, const struct fst_host *fst)
{
	struct host *host = entry_of(pln->hosts, fst->name);
	char key[LIM_NAME_BYTES];

	if (!host->seq) {
		host->move_since_ms = -1;
		host->state_offset = FST_NONE;
	}
	host->seq = pln->seq;
	host->fst = fst;
	if (host->state_offset != fst->changed_offset) {
		host->state_offset = fst->changed_offset;
		host->state_ms = pln->now_ms;
	}
	host->pool = fst->team[0] ? find_pool(pln, fst->team, fst->pool) : NULL;
	host->centre = centre_of(pln, fst->data_centre);
	key_of(key, fst->data_centre, fst->rack);
	host->rack = entry_of(pln->racks, key);
	if (host->rack->seq != pln->seq) {
		host->rack->seq = pln->seq;
		host->rack->out = 0;
	}
	count_host(pln, host);
}

/* Teams that weigh roll-out time most use the whole budget. */
static bool is_rollout_heavy(const struct tms *settings)
{
	return settings->weight_rollout > settings->weight_spare &&
	       settings->weight_rollout > settings->weight_moves;
}

/* Hosts of a pool that could be taken out if nothing planned were out. */
static int32_t pool_room(const struct pool *pool)
{
	return (int32_t)(pool->available + pool->planned_out) -
	       (int32_t)pool->settings->min_available;
}

static void set_budgets(struct pln *pln)
{
	for (uint32_t i = 0; i < tbl_count(pln->pools); i++) {
		struct pool *pool = tbl_at(pln->pools, i);
		int32_t kept;

		if (pool->seq != pln->seq)
			continue;
		kept = pool_room(pool) >= 2 &&
		       !is_rollout_heavy(pool->team->settings);
		pool->left = (int32_t)pool->available -
			     (int32_t)pool->settings->min_available - kept;
		pool->undo = (int32_t)pool->settings->min_available -
			     (int32_t)pool->available;
	}
}

static struct host *host_of(const struct pln *pln, const char *name)
{
	struct host *host = tbl_find(pln->hosts, name);

	return host && host->seq == pln->seq ? host : NULL;
}

/*
 * Whether a host has completed a wave. A host remembers only the last wave
 * that it completed; of several waves of one batch the later ones include the
 * earlier ones, or they would take turns for ever.
 */
static bool wave_done(const struct tms *settings, const struct tms_wave *wave,
		      const struct fst_host *host)
{
	const struct tms_wave *last;

	if (!host->wave_done[0])
		return false;
	if (!strcmp(host->wave_done, wave->name))
		return true;
	last = tms_find_wave(settings, host->wave_done);
	return last && !strcmp(last->batch, wave->batch) &&
	       (last->start_day > wave->start_day ||
		(last->start_day == wave->start_day && last > wave));
}

/* The host if it belongs to the wave's team; others are none of its hosts. */
static struct host *wave_host(const struct pln *pln, const struct wave *wave,
			      uint32_t index)
{
	struct host *host = host_of(pln, wave->batch->hosts.names[index]);

	return host && !strcmp(host->fst->team, wave->team->name) ? host : NULL;
}

static bool in_window(const struct tms_wave *wave, uint32_t hour)
{
	uint32_t from = wave->from_hour, to = wave->to_hour % HOURS_PER_DAY;

	if (from == to)
		return true;
	if (from < to)
		return hour >= from && hour < to;
	return hour >= from || hour < to;
}

static void format_day(char *text, size_t size, int32_t day)
{
	/* Civil date from days since 1970-01-01, by 400-year cycles. */
	int32_t z = day + 719468;
	int32_t era = z / 146097;
	int32_t doe = z - era * 146097;
	int32_t yoe = (doe - doe / 1460 + doe / 36524 - doe / 146096) / 365;
	int32_t doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
	int32_t mp = (5 * doy + 2) / 153;
	int32_t month = mp < 10 ? mp + 3 : mp - 9;

	snprintf(text, size, "%04d-%02d-%02d", yoe + era * 400 + (month <= 2),
		 month, doy - (153 * mp + 2) / 5 + 1);
}

static bool in_canary_stage(const struct wave *wave)
{
	uint32_t canary = wave->settings->canary_hosts;

	return wave->healthy < (canary < wave->total ? canary : wave->total);
}

/* A failed canary host, or more than one host in twenty, at least two. */
static bool failed_too_often(const struct wave *wave)
{
	if (in_canary_stage(wave))
		return wave->failed > 0;
	return wave->failed >= 2 && wave->failed * 20 > wave->total;
}

static void set_held(const struct pln *pln, struct wave *wave)
{
	const struct tms_wave *settings = wave->settings;
	char day[16];

	format_day(day, sizeof(day), settings->start_day);
	wave->stopped = failed_too_often(wave);
	wave->held[0] = 0;
	if (settings->paused)
		snprintf(wave->held, sizeof(wave->held),
			 "the wave is paused by its settings");
	else if (wave->stopped)
		snprintf(wave->held, sizeof(wave->held),
			 "stopped: %u of %u hosts failed%s; publish with a "
			 "higher resume to go on",
			 wave->failed, wave->total,
			 in_canary_stage(wave) ? " in the canary stage" : "");
	else if (pln->day < settings->start_day)
		snprintf(wave->held, sizeof(wave->held),
			 "the wave starts on %s", day);
	else if (!in_window(settings, pln->hour))
		snprintf(wave->held, sizeof(wave->held),
			 "outside of the hours from %u to %u UTC",
			 settings->from_hour, settings->to_hour);
}

static void count_wave(const struct pln *pln, struct wave *wave)
{
	const struct tms *settings = wave->team->settings;

	for (uint32_t i = 0; i < wave->batch->hosts.count; i++) {
		struct host *host = wave_host(pln, wave, i);
		bool done, failed;

		if (!host)
			continue;
		done = wave_done(settings, wave->settings, host->fst);
		if (host->fst->state == FST_RETIRED && !done)
			continue;
		failed = !strcmp(host->fst->wave_failed, wave->settings->name);
		wave->total++;
		wave->done += done;
		wave->healthy += done && !failed;
		wave->failed += failed;
		wave->todo += !done;
		wave->out += !done && is_out(host->fst) &&
			     !strcmp(host->fst->wave, wave->settings->name);
	}
	set_held(pln, wave);
	for (uint32_t i = 0; i < wave->batch->hosts.count; i++) {
		struct host *host = wave_host(pln, wave, i);

		if (!host || !host->pool || host->fst->state == FST_RETIRED ||
		    wave_done(settings, wave->settings, host->fst) ||
		    !strcmp(host->fst->wave_failed, wave->settings->name) ||
		    pln->day < wave->settings->start_day || wave->stopped)
			continue;
		host->pool->waits = true;
		host->pool->can_wait |= !wave->held[0];
	}
}

/* Batches whose support ends first come first. */
static int by_support_end(const void *a, const void *b)
{
	const struct wave *first = a, *second = b;

	if (first->batch->support_ends_day != second->batch->support_ends_day)
		return first->batch->support_ends_day <
				       second->batch->support_ends_day
			       ? -1
			       : 1;
	if (first->settings->start_day != second->settings->start_day)
		return first->settings->start_day < second->settings->start_day
			       ? -1
			       : 1;
	if (first->team != second->team)
		return first->team < second->team ? -1 : 1;
	return first->settings < second->settings ? -1 : 1;
}

static void start_waves(struct pln *pln)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < tbl_count(pln->fst->teams); i++)
		count += ((struct fst_team *)tbl_at(pln->fst->teams, i))
				 ->settings->wave_count;
	free(pln->waves);
	pln->wave_count = 0;
	pln->waves = calloc(count + 1, sizeof(*pln->waves));
	for (uint32_t i = 0; pln->waves && i < tbl_count(pln->fst->teams);
	     i++) {
		const struct fst_team *team = tbl_at(pln->fst->teams, i);

		for (uint32_t k = 0; k < team->settings->wave_count; k++) {
			struct wave *wave = &pln->waves[pln->wave_count++];

			wave->team = team;
			wave->settings = &team->settings->waves[k];
			wave->batch = tms_find_batch(team->settings,
						     wave->settings->batch);
			count_wave(pln, wave);
		}
	}
	if (pln->waves)
		qsort(pln->waves, pln->wave_count, sizeof(*pln->waves),
		      by_support_end);
}

static const struct wave *find_wave(const struct pln *pln, const char *team,
				    const char *name)
{
	for (uint32_t i = 0; i < pln->wave_count; i++)
		if (!strcmp(pln->waves[i].settings->name, name) &&
		    !strcmp(pln->waves[i].team->name, team))
			return &pln->waves[i];
	return NULL;
}

/* Plans the record for its host; a matter that goes on keeps its turn. */
static void act(struct pln *pln, struct host *host, const struct rec *rec)
{
	bool same = host->planned_in && host->planned_in + 1 >= pln->seq &&
		    host->action.type == rec->type &&
		    host->action.drain == rec->drain &&
		    !strcmp(host->action.wave, rec->wave) &&
		    !strcmp(host->action.move_to, rec->move_to);
	int64_t rank;

	if (host->planned_in == pln->seq)
		return;
	host->planned_in = pln->seq;
	if (!pln->config.propose)
		return;
	host->action = *rec;
	memcpy(host->action.host, host->name, sizeof(host->action.host));
	if (!same) {
		rank = mbr_rank(pln->fst, pln->config.name, host->name);
		host->due_ms = pln->now_ms + rank * LIM_RANK_DELAY_MS;
		host->proposed_ms = -1;
	}
	if (pln->acting_count == pln->acting_cap) {
		uint32_t cap = pln->acting_cap * 2 + 16;
		struct host **acting =
			realloc(pln->acting, cap * sizeof(struct host *));

		if (!acting)
			return;
		pln->acting = acting;
		pln->acting_cap = cap;
	}
	pln->acting[pln->acting_count++] = host;
}

static void act_reason(struct pln *pln, struct host *host, enum rec_type type,
		       const char *reason)
{
	struct rec rec = { .type = type };

	if (type == REC_REBOOT || type == REC_RETIRE || type == REC_ASSIGN)
		rec.drain = host->fst->drain_offset;
	if (type == REC_ASSIGN)
		memcpy(rec.pool, host->fst->move_to, sizeof(rec.pool));
	snprintf(rec.reason, sizeof(rec.reason), "%s", reason);
	act(pln, host, &rec);
}

/* Drains that were made by a planner and may be taken back. */
static bool can_undo(const struct fst_host *host)
{
	return (host->state == FST_DRAINING || host->state == FST_DRAINED) &&
	       (host->wave[0] || host->move_to[0]);
}

static void undo_newest(struct pln *pln, const struct pool *pool)
{
	struct host *newest = NULL;

	for (uint32_t i = 0; i < tbl_count(pln->hosts); i++) {
		struct host *host = tbl_at(pln->hosts, i);

		if (host->seq == pln->seq && host->pool == pool &&
		    can_undo(host->fst) && host->planned_in != pln->seq &&
		    (!newest ||
		     newest->fst->drain_offset < host->fst->drain_offset))
			newest = host;
	}
	if (newest)
		act_reason(pln, newest, REC_UNDRAIN,
			   "the pool is below its budget");
}

static void undo_drains(struct pln *pln)
{
	for (uint32_t i = 0; i < tbl_count(pln->pools); i++) {
		struct pool *pool = tbl_at(pln->pools, i);

		for (int32_t k = 0; pool->seq == pln->seq && k < pool->undo &&
				    pool->planned_out;
		     k++)
			undo_newest(pln, pool);
	}
}

/* Whether the wave that a host was drained for still wants it. */
static bool wave_wants(const struct wave *wave)
{
	return wave && !wave->settings->paused && !wave->stopped;
}

static void plan_drained(struct pln *pln, struct host *host)
{
	const struct fst_host *fst = host->fst;
	const struct wave *wave;

	if (fst->move_to[0]) {
		if (fst->state == FST_DRAINED)
			act_reason(pln, host, REC_ASSIGN, "");
		return;
	}
	if (!fst->wave[0])
		return;
	wave = find_wave(pln, fst->team, fst->wave);
	if (!wave_wants(wave))
		act_reason(pln, host, REC_UNDRAIN,
			   "the wave does not go on at present");
	else if (fst->state == FST_DRAINED)
		act_reason(pln, host,
			   wave->settings->action == TMS_RETIRE ? REC_RETIRE
								: REC_REBOOT,
			   "");
}

static void plan_rebooting(struct pln *pln, struct host *host)
{
	char reason[LIM_REASON_BYTES];

	if (host->fst->boot_id > host->fst->reboot_boot_id) {
		act_reason(pln, host, REC_RETURN, "booted");
		return;
	}
	if (pln->now_ms - host->state_ms < pln->config.reboot_timeout_ms)
		return;
	snprintf(reason, sizeof(reason), "not back %" PRId64 " s after reboot",
		 pln->config.reboot_timeout_ms / 1000);
	act_reason(pln, host, REC_FAIL, reason);
}

static void plan_out(struct pln *pln)
{
	for (uint32_t i = 0; i < tbl_count(pln->hosts); i++) {
		struct host *host = tbl_at(pln->hosts, i);

		if (host->seq != pln->seq || host->planned_in == pln->seq)
			continue;
		if (host->fst->state == FST_DRAINING ||
		    host->fst->state == FST_DRAINED)
			plan_drained(pln, host);
		else if (host->fst->state == FST_REBOOTING)
			plan_rebooting(pln, host);
		if (is_out(host->fst) && host->fst->move_to[0]) {
			struct pool *to = find_pool(pln, host->fst->team,
						    host->fst->move_to);

			if (to)
				to->receives = true;
		}
	}
}

static void report(const struct pln *pln, const struct wave *wave,
		   const char *host, const char *state, const char *text)
{
	struct pln_row row = {
		.team = wave->team->name,
		.wave = wave->settings->name,
		.batch = wave->batch->name,
		.host = host,
		.state = state,
		.text = text,
	};

	if (pln->row)
		pln->row(pln->row_arg, &row);
}

/* At least half of a pool's hosts in a data centre stay, if it has two. */
static bool centre_allows(const struct pool *pool, uint32_t centre)
{
	uint32_t hosts = pool->centres[centre].hosts;

	return hosts < 2 ||
	       (pool->centres[centre].available &&
		2 * (pool->centres[centre].available - 1) >= hosts);
}

static void take_out(struct host *host)
{
	host->pool->left--;
	host->pool->available--;
	host->pool->centres[host->centre].available--;
	host->rack->out++;
}

/* Why a host of the wave is no candidate; reports what it is instead. */
static bool is_candidate(const struct pln *pln, const struct wave *wave,
			 uint32_t index)
{
	const char *name = wave->batch->hosts.names[index];
	const struct host *host = wave_host(pln, wave, index);
	const struct fst_host *fst = host ? host->fst : NULL;
	const char *state = "waiting", *text = NULL;

	if (!host) {
		text = "the host is not in the team";
	} else if (wave_done(wave->team->settings, wave->settings, fst)) {
		state = "done";
		text = fst->state == FST_RETIRED ? "retired" : "completed";
	} else if (is_out(fst)) {
		state = "out";
		text = fst_host_state_name(fst->state);
	} else if (fst->state == FST_FAILED) {
		text = "the host has failed";
	} else if (fst->state == FST_RETIRED) {
		text = "the host is retired";
	} else if (!fst->known) {
		text = "the platform has not listed the host";
	} else if (!strcmp(fst->wave_failed, wave->settings->name)) {
		text = "failed in this wave; publish with a higher resume";
	} else if (wave->held[0]) {
		text = wave->held;
	} else if (!host->pool) {
		text = "the host is in no pool";
	}
	if (!text)
		return true;
	report(pln, wave, name, state, text);
	return false;
}

/* Why a candidate is not taken out now, or NULL. */
static const char *refusal(const struct pln *pln, const struct wave *wave,
			   const struct host *host, uint32_t limit, char *text,
			   size_t size)
{
	const struct pool *pool = host->pool;
	const char *spare = wave->team->settings->spare_pool;

	(void)pln;
	if (!limit) {
		snprintf(text, size, "after the canary hosts, %u of %u back",
			 wave->healthy, wave->settings->canary_hosts);
	} else if (pool_room(pool) <= 0 && spare[0] &&
		   strcmp(spare, pool->settings->name)) {
		snprintf(text, size,
			 "pool %s has no host to spare; after a host of pool "
			 "%s is lent",
			 pool->settings->name, spare);
	} else if (pool->left <= 0) {
		snprintf(text, size,
			 "pool %s has %u of %u hosts available and needs %u%s",
			 pool->settings->name, pool->available, pool->hosts,
			 pool->settings->min_available,
			 (int32_t)pool->available - (int32_t)pool->settings
							    ->min_available >
					 pool->left
				 ? ", one more is kept for failures"
				 : "");
	} else if (!centre_allows(pool, host->centre)) {
		snprintf(text, size,
			 "half of the hosts of pool %s in %s stay available",
			 pool->settings->name, host->fst->data_centre);
	} else {
		return NULL;
	}
	return text;
}

static void plan_candidate(struct pln *pln, const struct wave *wave,
			   struct host *host, uint32_t *limit)
{
	struct rec rec = { .type = REC_DRAIN };
	char text[LIM_REASON_BYTES];
	const char *why;

	if (host->planned_in == pln->seq)
		return;
	why = refusal(pln, wave, host, *limit, text, sizeof(text));
	if (why) {
		report(pln, wave, host->name, "waiting", why);
		return;
	}
	take_out(host);
	--*limit;
	snprintf(rec.reason, sizeof(rec.reason), "wave %s",
		 wave->settings->name);
	snprintf(rec.wave, sizeof(rec.wave), "%s", wave->settings->name);
	act(pln, host, &rec);
	report(pln, wave, host->name, "due", "now");
}

static void plan_rack(struct pln *pln, const struct wave *wave,
		      struct rack *rack, uint32_t *limit)
{
	for (struct host *host = rack->first; host; host = host->next)
		plan_candidate(pln, wave, host, limit);
	rack->first = NULL;
}

/*
 * Candidates are taken rack by rack, those of racks that have a host out
 * first, so that a failing rack takes fewer hosts that still serve.
 */
static void plan_wave(struct pln *pln, const struct wave *wave)
{
	uint32_t count = wave->batch->hosts.count;
	struct rack **racks = calloc(count + 1, sizeof(struct rack *));
	uint32_t rack_count = 0, limit = UINT32_MAX;

	if (in_canary_stage(wave)) {
		uint32_t canary = wave->settings->canary_hosts;
		uint32_t used = wave->healthy + wave->out;

		limit = canary > used ? canary - used : 0;
	}
	pln->pass++;
	for (uint32_t i = 0; racks && i < count; i++) {
		struct host *host;

		if (!is_candidate(pln, wave, i))
			continue;
		host = wave_host(pln, wave, i);
		host->next = NULL;
		if (host->rack->listed_by != pln->pass) {
			host->rack->listed_by = pln->pass;
			host->rack->first = NULL;
			racks[rack_count++] = host->rack;
		}
		if (host->rack->first)
			host->rack->last->next = host;
		else
			host->rack->first = host;
		host->rack->last = host;
	}
	for (uint32_t i = 0; i < rack_count; i++)
		if (racks[i]->out)
			plan_rack(pln, wave, racks[i], &limit);
	for (uint32_t i = 0; i < rack_count; i++)
		plan_rack(pln, wave, racks[i], &limit);
	free(racks);
}

/* Drains a host for a pool, within the budget of the one that it leaves. */
static void move(struct pln *pln, struct host *host, const char *pool,
		 const char *why)
{
	struct rec rec = { .type = REC_DRAIN };

	if (host->pool->available <= host->pool->settings->min_available)
		return;
	take_out(host);
	snprintf(rec.reason, sizeof(rec.reason), "%s", why);
	snprintf(rec.move_to, sizeof(rec.move_to), "%s", pool);
	act(pln, host, &rec);
}

/* A host that serves outside of its home pool without a reason to. */
static void plan_home(struct pln *pln, struct host *host)
{
	const struct fst_host *fst = host->fst;
	bool lent, wants;

	if (!host->pool)
		return;
	lent = !strcmp(fst->home_pool, host->pool->team->settings->spare_pool);
	wants = fst->state == FST_SERVING && fst->home_pool[0] &&
		strcmp(fst->pool, fst->home_pool) && !fst->stays &&
		!(lent && host->pool->waits);
	if (!wants) {
		host->move_since_ms = -1;
		return;
	}
	if (host->move_since_ms < 0)
		host->move_since_ms = pln->now_ms;
	if (host->planned_in != pln->seq &&
	    pln->now_ms - host->move_since_ms >= pln->config.move_hold_ms)
		move(pln, host, fst->home_pool, "to its home pool");
}

/* A host of the spare pool that a wave does not need soon, if there is one. */
static struct host *spare_host(struct pln *pln, const struct pool *spare)
{
	struct host *best = NULL;

	for (uint32_t i = 0; i < tbl_count(pln->hosts); i++) {
		struct host *host = tbl_at(pln->hosts, i);

		if (host->seq != pln->seq || host->pool != spare ||
		    host->planned_in == pln->seq ||
		    strcmp(host->fst->home_pool, spare->settings->name) ||
		    !fst_host_counts(pln->fst, host->fst) ||
		    !centre_allows(spare, host->centre))
			continue;
		if (!best ||
		    (!best->fst->wave_done[0] && host->fst->wave_done[0]))
			best = host;
	}
	return best;
}

/* Lends a host to a pool of a wave that has none to take out. */
static void plan_lending(struct pln *pln, struct pool *pool)
{
	const char *name = pool->team->settings->spare_pool;
	char why[LIM_REASON_BYTES];
	struct pool *spare;
	struct host *host;

	if (!pool->can_wait || pool->receives || pool_room(pool) > 0 ||
	    !name[0] || !strcmp(name, pool->settings->name)) {
		pool->need_since_ms = -1;
		return;
	}
	if (pool->need_since_ms < 0)
		pool->need_since_ms = pln->now_ms;
	if (pln->now_ms - pool->need_since_ms < pln->config.move_hold_ms)
		return;
	spare = find_pool(pln, pool->team->name, name);
	host = spare ? spare_host(pln, spare) : NULL;
	if (!host)
		return;
	snprintf(why, sizeof(why), "lent to pool %s", pool->settings->name);
	move(pln, host, pool->settings->name, why);
}

static void plan_moves(struct pln *pln)
{
	for (uint32_t i = 0; i < tbl_count(pln->pools); i++) {
		struct pool *pool = tbl_at(pln->pools, i);

		if (pool->seq == pln->seq)
			plan_lending(pln, pool);
	}
	for (uint32_t i = 0; i < tbl_count(pln->hosts); i++) {
		struct host *host = tbl_at(pln->hosts, i);

		if (host->seq == pln->seq)
			plan_home(pln, host);
	}
}

static void plan(struct pln *pln, const struct pln_input *input)
{
	pln->fst = input->fst;
	pln->now_ms = input->now_ms;
	pln->day = (int32_t)(input->utc_ms / MS_PER_HOUR / HOURS_PER_DAY);
	pln->hour = (uint32_t)(input->utc_ms / MS_PER_HOUR % HOURS_PER_DAY);
	pln->acting_count = 0;
	pln->seq++;
	start_pools(pln);
	for (uint32_t i = 0; i < tbl_count(pln->fst->hosts); i++)
		start_host(pln, tbl_at(pln->fst->hosts, i));
	set_budgets(pln);
	start_waves(pln);
	undo_drains(pln);
	plan_out(pln);
	for (uint32_t i = 0; i < pln->wave_count; i++)
		plan_wave(pln, &pln->waves[i]);
	plan_moves(pln);
	pln->planned_fst = input->fst;
	pln->planned_changes = input->fst->changes;
	pln->planned_ms = input->now_ms;
}

static void propose(struct pln *pln, struct host *host)
{
	struct rec rec = host->action;
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "plan/%s", host->name);
	host->proposed_ms = pln->now_ms;
	pln->config.propose(pln->config.arg, key, &rec);
}

void pln_tick(struct pln *pln, const struct pln_input *input)
{
	if (!pln->seq || pln->planned_fst != input->fst ||
	    pln->planned_changes != input->fst->changes ||
	    input->now_ms - pln->planned_ms >= REPLAN_MS)
		plan(pln, input);
	pln->now_ms = input->now_ms;
	for (uint32_t i = 0; i < pln->acting_count; i++) {
		struct host *host = pln->acting[i];

		if (input->now_ms >= host->due_ms &&
		    (host->proposed_ms < 0 ||
		     input->now_ms - host->proposed_ms >= REPEAT_MS))
			propose(pln, host);
	}
}

static void report_alarms(const struct pln *pln, const struct fst_team *team,
			  const struct tms_batch *batch)
{
	struct pln_row row = { .team = team->name,
			       .batch = batch->name,
			       .state = "alarm" };
	char text[LIM_REASON_BYTES], day[16];

	if (pln->day < batch->support_ends_day - LIM_SUPPORT_ALARM_DAYS)
		return;
	format_day(day, sizeof(day), batch->support_ends_day);
	for (uint32_t i = 0; i < batch->hosts.count; i++) {
		const struct host *host = host_of(pln, batch->hosts.names[i]);

		if (!host || !host->pool || host->fst->state == FST_RETIRED ||
		    strcmp(host->fst->team, team->name))
			continue;
		snprintf(text, sizeof(text),
			 "support ends on %s and the host is still in pool %s",
			 day, host->fst->pool);
		row.host = host->name;
		row.text = text;
		pln->row(pln->row_arg, &row);
	}
}

void pln_explain(const struct fst *fst, int64_t utc_ms,
		 void (*row)(void *arg, const struct pln_row *row), void *arg)
{
	struct pln_config config = { .name = "" };
	struct pln_input input = { .fst = fst, .utc_ms = utc_ms };
	struct pln *pln = pln_create(&config);

	if (!pln)
		return;
	pln->row = row;
	pln->row_arg = arg;
	plan(pln, &input);
	for (uint32_t i = 0; i < tbl_count(fst->teams); i++) {
		const struct fst_team *team = tbl_at(fst->teams, i);

		for (uint32_t k = 0; k < team->settings->batch_count; k++)
			report_alarms(pln, team, &team->settings->batches[k]);
	}
	pln_destroy(pln);
}

static bool is_retired(const struct fst *fst, const char *name)
{
	const struct fst_host *host = fst_host(fst, name);

	return host && host->state == FST_RETIRED;
}

static bool is_listed(const struct tms_hosts *hosts, const char *name)
{
	for (uint32_t i = 0; i < hosts->count; i++)
		if (!strcmp(hosts->names[i], name))
			return true;
	return false;
}

static uint32_t pool_size(const struct fst *fst, const struct tms_pool *pool)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < pool->hosts.count; i++)
		count += !is_retired(fst, pool->hosts.names[i]);
	return count;
}

/* Hosts of the pool that the wave has to do. */
static uint32_t pool_todo(const struct fst *fst, const struct tms *settings,
			  const struct tms_wave *wave,
			  const struct tms_pool *pool)
{
	const struct tms_batch *batch = tms_find_batch(settings, wave->batch);
	uint32_t count = 0;

	for (uint32_t i = 0; batch && i < batch->hosts.count; i++) {
		const char *name = batch->hosts.names[i];
		const struct fst_host *host = fst_host(fst, name);

		count += !is_retired(fst, name) &&
			 is_listed(&pool->hosts, name) &&
			 !(host && wave_done(settings, wave, host));
	}
	return count;
}

/* Hosts that the spare pool can lend to another pool. */
static uint32_t spare_size(const struct fst *fst, const struct tms *settings,
			   const struct tms_pool *pool)
{
	const struct tms_pool *spare =
		settings->spare_pool[0]
			? tms_find_pool(settings, settings->spare_pool)
			: NULL;
	uint32_t size = spare && spare != pool ? pool_size(fst, spare) : 0;

	return size > (spare ? spare->min_available : 0)
		       ? size - spare->min_available
		       : 0;
}

static int check_budget(const struct fst *fst, const struct tms *settings,
			const struct tms_wave *wave,
			const struct tms_pool *pool, uint32_t todo,
			struct err *err)
{
	uint32_t size = pool_size(fst, pool);

	if (wave->action == TMS_RETIRE && size < pool->min_available + todo)
		return err_set(err, ERR_INVALID,
			       "waves.%s: pool %s has %u hosts, %u of them to "
			       "be retired, and min_available %u; list %u more "
			       "hosts, or lower min_available to %u",
			       wave->name, pool->name, size, todo,
			       pool->min_available,
			       pool->min_available + todo - size, size - todo);
	if (size > pool->min_available || spare_size(fst, settings, pool))
		return 0;
	return err_set(
		err, ERR_INVALID,
		"waves.%s: pool %s has %u hosts and min_available %u, so "
		"none can be taken out; lower min_available to %u, list "
		"another host, or name a spare_pool that has a host more "
		"than its min_available",
		wave->name, pool->name, size, pool->min_available,
		size ? size - 1 : 0);
}

/* Rounds of a pool that fit a night if each takes the longest reboot. */
static uint32_t rounds_per_night(const struct tms_wave *wave)
{
	uint32_t from = wave->from_hour, to = wave->to_hour % HOURS_PER_DAY;
	uint32_t hours = from == to
				 ? HOURS_PER_DAY
				 : (to + HOURS_PER_DAY - from) % HOURS_PER_DAY;

	return hours * (MS_PER_HOUR / LIM_REBOOT_TIMEOUT_MS);
}

static int check_support_end(const struct fst *fst, const struct tms *settings,
			     const struct tms_wave *wave,
			     const struct tms_pool *pool, uint32_t todo,
			     int32_t today, struct err *err)
{
	const struct tms_batch *batch = tms_find_batch(settings, wave->batch);
	int32_t first = wave->start_day > today ? wave->start_day : today;
	int32_t nights = batch->support_ends_day - first + 1;
	uint32_t size = pool_size(fst, pool);
	uint32_t at_once =
		size > pool->min_available ? size - pool->min_available : 1;
	uint32_t per_night = at_once * rounds_per_night(wave);
	int32_t needed = (int32_t)((todo + per_night - 1) / per_night);
	char day[16];

	if (needed <= nights)
		return 0;
	format_day(day, sizeof(day), first + needed - 1);
	return err_set(err, ERR_INVALID,
		       "waves.%s: %u hosts of pool %s, %u at a time, take %d "
		       "nights of %u rounds, %d are left before the support of "
		       "batch %s ends; a support end from %s on, a lower "
		       "min_available, longer hours or an earlier start would "
		       "make it possible",
		       wave->name, todo, pool->name, at_once, needed,
		       rounds_per_night(wave), nights > 0 ? nights : 0,
		       batch->name, day);
}

static int check_wave(const struct fst *fst, const struct tms *settings,
		      const struct tms_wave *wave, int32_t today,
		      struct err *err)
{
	int status = 0;

	for (uint32_t i = 0; i < settings->pool_count && status == 0; i++) {
		const struct tms_pool *pool = &settings->pools[i];
		uint32_t todo = pool_todo(fst, settings, wave, pool);

		if (!todo)
			continue;
		status = check_budget(fst, settings, wave, pool, todo, err);
		if (status == 0)
			status = check_support_end(fst, settings, wave, pool,
						   todo, today, err);
	}
	return status;
}

int pln_check(const struct fst *fst, const char *team_name,
	      const struct tms *settings, int32_t today, struct err *err)
{
	const struct fst_team *team = fst_team(fst, team_name);
	struct err fault = { .kind = ERR_OK };

	for (uint32_t i = 0; i < settings->wave_count; i++) {
		const struct tms_wave *wave = &settings->waves[i];
		const struct tms_wave *before =
			team ? tms_find_wave(team->settings, wave->name) : NULL;

		if (check_wave(fst, settings, wave, today, &fault) == 0)
			continue;
		if (before &&
		    check_wave(fst, team->settings, before, today, NULL) < 0)
			continue;
		if (err)
			*err = fault;
		return fault.kind;
	}
	return 0;
}
