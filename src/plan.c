#include "plan_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rnd.h"

struct plan *plan_create(const struct plan_config *config)
{
	struct plan *pln = calloc(1, sizeof(*pln));

	if (!pln)
		return NULL;
	pln->config = *config;
	if (!pln->config.reboot_timeout_ms)
		pln->config.reboot_timeout_ms = LIMIT_REBOOT_TIMEOUT_MS;
	if (!pln->config.move_hold_ms)
		pln->config.move_hold_ms = LIMIT_MOVE_HOLD_MS;
	pln->pools = table_create(sizeof(struct pool));
	pln->racks = table_create(sizeof(struct rack));
	pln->hosts = table_create(sizeof(struct host));
	return pln;
}

void plan_destroy(struct plan *pln)
{
	if (!pln)
		return;
	table_destroy(pln->pools);
	table_destroy(pln->racks);
	table_destroy(pln->hosts);
	free(pln->waves);
	free(pln->acting);
	free(pln);
}

/* Plans the record for its host; a matter that goes on keeps its turn. */
static void act(struct plan *pln, struct host *host, const struct record *rec)
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
		rank = member_rank(pln->fleet, pln->config.name, host->name);
		host->due_ms = pln->now_ms + rank * LIMIT_RANK_DELAY_MS;
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

static void act_reason(struct plan *pln, struct host *host,
		       enum record_type type, const char *reason)
{
	struct record rec = { .type = type };

	if (type == RECORD_REBOOT || type == RECORD_RETIRE ||
	    type == RECORD_ASSIGN)
		rec.drain = host->fleet->drain_offset;
	if (type == RECORD_ASSIGN)
		memcpy(rec.pool, host->fleet->move_to, sizeof(rec.pool));
	snprintf(rec.reason, sizeof(rec.reason), "%s", reason);
	act(pln, host, &rec);
}

/* Drains that were made by a planner and may be taken back. */
static bool can_undo(const struct fleet_host *host)
{
	return (host->state == FLEET_DRAINING ||
		host->state == FLEET_DRAINED) &&
	       (host->wave[0] || host->move_to[0]);
}

static void undo_newest(struct plan *pln, const struct pool *pool)
{
	struct host *newest = NULL;

	for (uint32_t i = 0; i < table_count(pln->hosts); i++) {
		struct host *host = table_at(pln->hosts, i);

		if (host->seq == pln->seq && host->pool == pool &&
		    can_undo(host->fleet) && host->planned_in != pln->seq &&
		    (!newest ||
		     newest->fleet->drain_offset < host->fleet->drain_offset))
			newest = host;
	}
	if (newest)
		act_reason(pln, newest, RECORD_UNDRAIN,
			   "the pool is below its budget");
}

static void undo_drains(struct plan *pln)
{
	for (uint32_t i = 0; i < table_count(pln->pools); i++) {
		struct pool *pool = table_at(pln->pools, i);

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

static void plan_drained(struct plan *pln, struct host *host)
{
	const struct fleet_host *fleet = host->fleet;
	const struct wave *wave;

	if (fleet->move_to[0]) {
		if (fleet->state == FLEET_DRAINED)
			act_reason(pln, host, RECORD_ASSIGN, "");
		return;
	}
	if (!fleet->wave[0])
		return;
	wave = plan_find_wave(pln, fleet->team, fleet->wave);
	if (!wave_wants(wave))
		act_reason(pln, host, RECORD_UNDRAIN,
			   "the wave does not go on at present");
	else if (fleet->state == FLEET_DRAINED)
		act_reason(pln, host,
			   wave->settings->action == TEAMCONF_RETIRE
				   ? RECORD_RETIRE
				   : RECORD_REBOOT,
			   "");
}

static void plan_rebooting(struct plan *pln, struct host *host)
{
	char reason[LIMIT_REASON_BYTES];

	if (host->fleet->boot_id > host->fleet->reboot_boot_id) {
		act_reason(pln, host, RECORD_RETURN, "booted");
		return;
	}
	if (pln->now_ms - host->state_ms < pln->config.reboot_timeout_ms)
		return;
	snprintf(reason, sizeof(reason), "not back %" PRId64 " s after reboot",
		 pln->config.reboot_timeout_ms / 1000);
	act_reason(pln, host, RECORD_FAIL, reason);
}

static void plan_out(struct plan *pln)
{
	for (uint32_t i = 0; i < table_count(pln->hosts); i++) {
		struct host *host = table_at(pln->hosts, i);

		if (host->seq != pln->seq || host->planned_in == pln->seq)
			continue;
		if (host->fleet->state == FLEET_DRAINING ||
		    host->fleet->state == FLEET_DRAINED)
			plan_drained(pln, host);
		else if (host->fleet->state == FLEET_REBOOTING)
			plan_rebooting(pln, host);
		if (plan_is_out(host->fleet) && host->fleet->move_to[0]) {
			struct pool *to = plan_find_pool(pln, host->fleet->team,
							 host->fleet->move_to);

			if (to)
				to->receives = true;
		}
	}
}

static void report(const struct plan *pln, const struct wave *wave,
		   const char *host, const char *state, const char *text)
{
	struct plan_row row = {
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
static bool is_candidate(const struct plan *pln, const struct wave *wave,
			 uint32_t index)
{
	const char *name = wave->batch->hosts.names[index];
	const struct host *host = plan_wave_host(pln, wave, index);
	const struct fleet_host *fleet = host ? host->fleet : NULL;
	const char *state = "waiting", *text = NULL;

	if (!host) {
		text = "the host is not in the team";
	} else if (plan_wave_done(wave->team->settings, wave->settings,
				  fleet)) {
		state = "done";
		text = fleet->state == FLEET_RETIRED ? "retired" : "completed";
	} else if (plan_is_out(fleet)) {
		state = "out";
		text = fleet_host_state_name(fleet->state);
	} else if (fleet->state == FLEET_FAILED) {
		text = "the host has failed";
	} else if (fleet->state == FLEET_RETIRED) {
		text = "the host is retired";
	} else if (!fleet->known) {
		text = "the platform has not listed the host";
	} else if (!strcmp(fleet->wave_failed, wave->settings->name)) {
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
static const char *refusal(const struct plan *pln, const struct wave *wave,
			   const struct host *host, uint32_t limit, char *text,
			   size_t size)
{
	const struct pool *pool = host->pool;
	const char *spare = wave->team->settings->spare_pool;

	(void)pln;
	if (!limit) {
		snprintf(text, size, "after the canary hosts, %u of %u back",
			 wave->healthy, wave->settings->canary_hosts);
	} else if (plan_pool_room(pool) <= 0 && spare[0] &&
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
			 pool->settings->name, host->fleet->data_centre);
	} else {
		return NULL;
	}
	return text;
}

static void plan_candidate(struct plan *pln, const struct wave *wave,
			   struct host *host, uint32_t *limit)
{
	struct record rec = { .type = RECORD_DRAIN };
	char text[LIMIT_REASON_BYTES];
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

static void plan_rack(struct plan *pln, const struct wave *wave,
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
static void plan_wave(struct plan *pln, const struct wave *wave)
{
	uint32_t count = wave->batch->hosts.count;
	struct rack **racks = calloc(count + 1, sizeof(struct rack *));
	uint32_t rack_count = 0, limit = UINT32_MAX;

	if (plan_in_canary_stage(wave)) {
		uint32_t canary = wave->settings->canary_hosts;
		uint32_t used = wave->healthy + wave->out;

		limit = canary > used ? canary - used : 0;
	}
	pln->pass++;
	for (uint32_t i = 0; racks && i < count; i++) {
		struct host *host;

		if (!is_candidate(pln, wave, i))
			continue;
		host = plan_wave_host(pln, wave, i);
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
static void move(struct plan *pln, struct host *host, const char *pool,
		 const char *why)
{
	struct record rec = { .type = RECORD_DRAIN };

	if (host->pool->available <= host->pool->settings->min_available)
		return;
	take_out(host);
	snprintf(rec.reason, sizeof(rec.reason), "%s", why);
	snprintf(rec.move_to, sizeof(rec.move_to), "%s", pool);
	act(pln, host, &rec);
}

/* A host that serves outside of its home pool without a reason to. */
static void plan_home(struct plan *pln, struct host *host)
{
	const struct fleet_host *fleet = host->fleet;
	bool lent, wants;

	if (!host->pool)
		return;
	lent = !strcmp(fleet->home_pool,
		       host->pool->team->settings->spare_pool);
	wants = fleet->state == FLEET_SERVING && fleet->home_pool[0] &&
		strcmp(fleet->pool, fleet->home_pool) && !fleet->stays &&
		!(lent && host->pool->waits);
	if (!wants) {
		host->move_since_ms = -1;
		return;
	}
	if (host->move_since_ms < 0)
		host->move_since_ms = pln->now_ms;
	if (host->planned_in != pln->seq &&
	    pln->now_ms - host->move_since_ms >= pln->config.move_hold_ms)
		move(pln, host, fleet->home_pool, "to its home pool");
}

/* A host of the spare pool that a wave does not need soon, if there is one. */
static struct host *spare_host(struct plan *pln, const struct pool *spare)
{
	struct host *best = NULL;

	for (uint32_t i = 0; i < table_count(pln->hosts); i++) {
		struct host *host = table_at(pln->hosts, i);

		if (host->seq != pln->seq || host->pool != spare ||
		    host->planned_in == pln->seq ||
		    strcmp(host->fleet->home_pool, spare->settings->name) ||
		    !fleet_host_counts(pln->fleet, host->fleet) ||
		    !centre_allows(spare, host->centre))
			continue;
		if (!best ||
		    (!best->fleet->wave_done[0] && host->fleet->wave_done[0]))
			best = host;
	}
	return best;
}

/* Lends a host to a pool of a wave that has none to take out. */
static void plan_lending(struct plan *pln, struct pool *pool)
{
	const char *name = pool->team->settings->spare_pool;
	char why[LIMIT_REASON_BYTES];
	struct pool *spare;
	struct host *host;

	if (!pool->can_wait || pool->receives || plan_pool_room(pool) > 0 ||
	    !name[0] || !strcmp(name, pool->settings->name)) {
		pool->need_since_ms = -1;
		return;
	}
	if (pool->need_since_ms < 0)
		pool->need_since_ms = pln->now_ms;
	if (pln->now_ms - pool->need_since_ms < pln->config.move_hold_ms)
		return;
	spare = plan_find_pool(pln, pool->team->name, name);
	host = spare ? spare_host(pln, spare) : NULL;
	if (!host)
		return;
	snprintf(why, sizeof(why), "lent to pool %s", pool->settings->name);
	move(pln, host, pool->settings->name, why);
}

static void plan_moves(struct plan *pln)
{
	for (uint32_t i = 0; i < table_count(pln->pools); i++) {
		struct pool *pool = table_at(pln->pools, i);

		if (pool->seq == pln->seq)
			plan_lending(pln, pool);
	}
	for (uint32_t i = 0; i < table_count(pln->hosts); i++) {
		struct host *host = table_at(pln->hosts, i);

		if (host->seq == pln->seq)
			plan_home(pln, host);
	}
}

static void plan(struct plan *pln, const struct plan_input *input)
{
	pln->fleet = input->fleet;
	pln->now_ms = input->now_ms;
	pln->day = (int32_t)(input->utc_ms / MS_PER_HOUR / HOURS_PER_DAY);
	pln->hour = (uint32_t)(input->utc_ms / MS_PER_HOUR % HOURS_PER_DAY);
	pln->acting_count = 0;
	pln->seq++;
	plan_start_pools(pln);
	for (uint32_t i = 0; i < table_count(pln->fleet->hosts); i++)
		plan_start_host(pln, table_at(pln->fleet->hosts, i));
	plan_set_budgets(pln);
	plan_start_waves(pln);
	undo_drains(pln);
	plan_out(pln);
	for (uint32_t i = 0; i < pln->wave_count; i++)
		plan_wave(pln, &pln->waves[i]);
	plan_moves(pln);
	pln->planned_fst = input->fleet;
	pln->planned_changes = input->fleet->changes;
	pln->planned_ms = input->now_ms;
}

static void propose(struct plan *pln, struct host *host)
{
	struct record rec = host->action;
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "plan/%s", host->name);
	host->proposed_ms = pln->now_ms;
	pln->config.propose(pln->config.arg, key, &rec);
}

void plan_tick(struct plan *pln, const struct plan_input *input)
{
	if (!pln->seq || pln->planned_fst != input->fleet ||
	    pln->planned_changes != input->fleet->changes ||
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

static void report_alarms(const struct plan *pln, const struct fleet_team *team,
			  const struct teamconf_batch *batch)
{
	struct plan_row row = { .team = team->name,
				.batch = batch->name,
				.state = "alarm" };
	char text[LIMIT_REASON_BYTES], day[16];

	if (pln->day < batch->support_ends_day - LIMIT_SUPPORT_ALARM_DAYS)
		return;
	plan_format_day(day, sizeof(day), batch->support_ends_day);
	for (uint32_t i = 0; i < batch->hosts.count; i++) {
		const struct host *host =
			plan_host_of(pln, batch->hosts.names[i]);

		if (!host || !host->pool ||
		    host->fleet->state == FLEET_RETIRED ||
		    strcmp(host->fleet->team, team->name))
			continue;
		snprintf(text, sizeof(text),
			 "support ends on %s and the host is still in pool %s",
			 day, host->fleet->pool);
		row.host = host->name;
		row.text = text;
		pln->row(pln->row_arg, &row);
	}
}

void plan_explain(const struct fleet *fleet, int64_t utc_ms,
		  void (*row)(void *arg, const struct plan_row *row), void *arg)
{
	struct plan_config config = { .name = "" };
	struct plan_input input = { .fleet = fleet, .utc_ms = utc_ms };
	struct plan *pln = plan_create(&config);

	if (!pln)
		return;
	pln->row = row;
	pln->row_arg = arg;
	plan(pln, &input);
	for (uint32_t i = 0; i < table_count(fleet->teams); i++) {
		const struct fleet_team *team = table_at(fleet->teams, i);

		for (uint32_t k = 0; k < team->settings->batch_count; k++)
			report_alarms(pln, team, &team->settings->batches[k]);
	}
	plan_destroy(pln);
}
