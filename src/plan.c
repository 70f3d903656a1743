#include "plan_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rnd.h"

struct plan *plan_create(const struct plan_config *config)
{
	struct plan *plan = calloc(1, sizeof(*plan));

	if (!plan)
		return NULL;
	plan->config = *config;
	if (!plan->config.reboot_timeout_ms)
		plan->config.reboot_timeout_ms = LIMIT_REBOOT_TIMEOUT_MS;
	if (!plan->config.move_hold_ms)
		plan->config.move_hold_ms = LIMIT_MOVE_HOLD_MS;
	plan->pools = table_create(sizeof(struct pool));
	plan->racks = table_create(sizeof(struct rack));
	plan->hosts = table_create(sizeof(struct host));
	return plan;
}

void plan_destroy(struct plan *plan)
{
	if (!plan)
		return;
	table_destroy(plan->pools);
	table_destroy(plan->racks);
	table_destroy(plan->hosts);
	free(plan->waves);
	free(plan->pending);
	free(plan);
}

/*
 * Sets the record to propose for a host. An action that the previous plan
 * already had keeps its due time and the time of its last proposal.
 */
static void set_action(struct plan *plan, struct host *host,
		       const struct record *rec)
{
	bool same = host->planned_seq && host->planned_seq + 1 >= plan->seq &&
		    host->action.type == rec->type &&
		    host->action.drain == rec->drain &&
		    !strcmp(host->action.wave, rec->wave) &&
		    !strcmp(host->action.move_to, rec->move_to);
	int64_t rank;

	if (host->planned_seq == plan->seq)
		return;
	host->planned_seq = plan->seq;
	if (!plan->config.propose)
		return;
	host->action = *rec;
	memcpy(host->action.host, host->name, sizeof(host->action.host));
	if (!same) {
		rank = member_rank(plan->fleet, plan->config.name, host->name);
		host->due_ms = plan->now_ms + rank * LIMIT_RANK_DELAY_MS;
		host->proposed_ms = -1;
	}
	if (plan->pending_count == plan->pending_cap) {
		uint32_t cap = plan->pending_cap * 2 + 16;
		struct host **pending =
			realloc(plan->pending, cap * sizeof(struct host *));

		if (!pending)
			return;
		plan->pending = pending;
		plan->pending_cap = cap;
	}
	plan->pending[plan->pending_count++] = host;
}

static void set_action_with_reason(struct plan *plan, struct host *host,
				   enum record_type type, const char *reason)
{
	struct record rec = { .type = type };

	if (type == RECORD_REBOOT || type == RECORD_RETIRE ||
	    type == RECORD_ASSIGN)
		rec.drain = host->entry->drain_offset;
	if (type == RECORD_ASSIGN)
		memcpy(rec.pool, host->entry->move_to, sizeof(rec.pool));
	snprintf(rec.reason, sizeof(rec.reason), "%s", reason);
	set_action(plan, host, &rec);
}

/* Whether the host's drain was made by a planner and can still be cancelled. */
static bool can_undrain(const struct fleet_host *host)
{
	return (host->state == FLEET_DRAINING ||
		host->state == FLEET_DRAINED) &&
	       (host->wave[0] || host->move_to[0]);
}

static void undrain_newest(struct plan *plan, const struct pool *pool)
{
	struct host *newest = NULL;

	for (uint32_t i = 0; i < table_count(plan->hosts); i++) {
		struct host *host = table_at(plan->hosts, i);

		if (host->seq == plan->seq && host->pool == pool &&
		    can_undrain(host->entry) &&
		    host->planned_seq != plan->seq &&
		    (!newest ||
		     newest->entry->drain_offset < host->entry->drain_offset))
			newest = host;
	}
	if (newest)
		set_action_with_reason(plan, newest, RECORD_UNDRAIN,
				       "the pool is below its budget");
}

static void undrain_pools(struct plan *plan)
{
	for (uint32_t i = 0; i < table_count(plan->pools); i++) {
		struct pool *pool = table_at(plan->pools, i);

		for (int32_t k = 0; pool->seq == plan->seq &&
				    k < pool->to_undrain && pool->planned_out;
		     k++)
			undrain_newest(plan, pool);
	}
}

static bool wave_is_active(const struct wave *wave)
{
	return wave && !wave->settings->paused && !wave->stopped;
}

static void plan_drained(struct plan *plan, struct host *host)
{
	const struct fleet_host *entry = host->entry;
	const struct wave *wave;

	if (entry->move_to[0]) {
		if (entry->state == FLEET_DRAINED)
			set_action_with_reason(plan, host, RECORD_ASSIGN, "");
		return;
	}
	if (!entry->wave[0])
		return;
	wave = plan_find_wave(plan, entry->team, entry->wave);
	if (!wave_is_active(wave))
		set_action_with_reason(
			plan, host, RECORD_UNDRAIN,
			"the wave is paused, stopped or removed");
	else if (entry->state == FLEET_DRAINED)
		set_action_with_reason(plan, host,
				       wave->settings->action == TEAMCONF_RETIRE
					       ? RECORD_RETIRE
					       : RECORD_REBOOT,
				       "");
}

static void plan_rebooting(struct plan *plan, struct host *host)
{
	char reason[LIMIT_REASON_BYTES];

	if (host->entry->boot_id > host->entry->reboot_boot_id) {
		set_action_with_reason(plan, host, RECORD_RETURN, "booted");
		return;
	}
	if (plan->now_ms - host->state_ms < plan->config.reboot_timeout_ms)
		return;
	snprintf(reason, sizeof(reason),
		 "no new boot_id %" PRId64 " s after the reboot",
		 plan->config.reboot_timeout_ms / 1000);
	set_action_with_reason(plan, host, RECORD_FAIL, reason);
}

static void plan_out_hosts(struct plan *plan)
{
	for (uint32_t i = 0; i < table_count(plan->hosts); i++) {
		struct host *host = table_at(plan->hosts, i);

		if (host->seq != plan->seq || host->planned_seq == plan->seq)
			continue;
		if (host->entry->state == FLEET_DRAINING ||
		    host->entry->state == FLEET_DRAINED)
			plan_drained(plan, host);
		else if (host->entry->state == FLEET_REBOOTING)
			plan_rebooting(plan, host);
		if (plan_is_out(host->entry) && host->entry->move_to[0]) {
			struct pool *to = plan_find_pool(
				plan, host->entry->team, host->entry->move_to);

			if (to)
				to->receives_host = true;
		}
	}
}

static void report(const struct plan *plan, const struct wave *wave,
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

	if (plan->row)
		plan->row(plan->row_arg, &row);
}

/*
 * Whether a host of the pool may be taken out in a data centre: at least
 * half of the pool's hosts there stay available, unless it has only one.
 */
static bool data_centre_allows(const struct pool *pool, uint32_t data_centre_no)
{
	uint32_t hosts = pool->data_centres[data_centre_no].hosts;

	return hosts < 2 ||
	       (pool->data_centres[data_centre_no].available &&
		2 * (pool->data_centres[data_centre_no].available - 1) >=
			hosts);
}

static void take_out(struct host *host)
{
	host->pool->drains_left--;
	host->pool->available--;
	host->pool->data_centres[host->data_centre_no].available--;
	host->rack->out++;
}

/* Whether a host of the wave may be taken out; reports the reason if not. */
static bool is_candidate(const struct plan *plan, const struct wave *wave,
			 uint32_t index)
{
	const char *name = wave->batch->hosts.names[index];
	const struct host *host = plan_wave_host(plan, wave, index);
	const struct fleet_host *entry = host ? host->entry : NULL;
	const char *state = "waiting", *text = NULL;

	if (!host) {
		text = "the host is not in the team";
	} else if (plan_wave_done(wave->team->settings, wave->settings,
				  entry)) {
		state = "done";
		text = entry->state == FLEET_RETIRED ? "retired" : "completed";
	} else if (plan_is_out(entry)) {
		state = "out";
		text = fleet_host_state_name(entry->state);
	} else if (entry->state == FLEET_FAILED) {
		text = "the host has failed";
	} else if (entry->state == FLEET_RETIRED) {
		text = "the host is retired";
	} else if (!entry->known) {
		text = "the platform has not listed the host";
	} else if (!strcmp(entry->wave_failed, wave->settings->name)) {
		text = "failed in this wave; publish with a higher resume";
	} else if (wave->hold_reason[0]) {
		text = wave->hold_reason;
	} else if (!host->pool) {
		text = "the host is in no pool";
	}
	if (!text)
		return true;
	report(plan, wave, name, state, text);
	return false;
}

/* Reason why a candidate is not taken out now, or NULL. */
static const char *hold_reason_of(const struct plan *plan,
				  const struct wave *wave,
				  const struct host *host, uint32_t limit,
				  char *text, size_t size)
{
	const struct pool *pool = host->pool;
	const char *spare = wave->team->settings->spare_pool;

	(void)plan;
	if (!limit) {
		snprintf(text, size,
			 "after the canary hosts: %u of %u are back in service",
			 wave->healthy, wave->settings->canary_hosts);
	} else if (plan_pool_room(pool) <= 0 && spare[0] &&
		   strcmp(spare, pool->settings->name)) {
		snprintf(text, size,
			 "pool %s has no host to spare; waiting for a host "
			 "lent by pool %s",
			 pool->settings->name, spare);
	} else if (pool->drains_left <= 0) {
		snprintf(text, size,
			 "pool %s has %u of %u hosts available and needs %u%s",
			 pool->settings->name, pool->available, pool->hosts,
			 pool->settings->min_available,
			 (int32_t)pool->available - (int32_t)pool->settings
							    ->min_available >
					 pool->drains_left
				 ? ", one more is kept for failures"
				 : "");
	} else if (!data_centre_allows(pool, host->data_centre_no)) {
		snprintf(text, size,
			 "half of the hosts of pool %s in %s stay available",
			 pool->settings->name, host->entry->data_centre);
	} else {
		return NULL;
	}
	return text;
}

static void plan_candidate(struct plan *plan, const struct wave *wave,
			   struct host *host, uint32_t *limit)
{
	struct record rec = { .type = RECORD_DRAIN };
	char text[LIMIT_REASON_BYTES];
	const char *why;

	if (host->planned_seq == plan->seq)
		return;
	why = hold_reason_of(plan, wave, host, *limit, text, sizeof(text));
	if (why) {
		report(plan, wave, host->name, "waiting", why);
		return;
	}
	take_out(host);
	--*limit;
	snprintf(rec.reason, sizeof(rec.reason), "wave %s",
		 wave->settings->name);
	snprintf(rec.wave, sizeof(rec.wave), "%s", wave->settings->name);
	set_action(plan, host, &rec);
	report(plan, wave, host->name, "due", "now");
}

static void plan_rack(struct plan *plan, const struct wave *wave,
		      struct rack *rack, uint32_t *limit)
{
	for (struct host *host = rack->first; host; host = host->next)
		plan_candidate(plan, wave, host, limit);
	rack->first = NULL;
}

/*
 * Takes out candidates rack by rack, racks that already have a host out first:
 * the fewer racks are affected, the fewer serving hosts a rack failure costs.
 */
static void plan_wave(struct plan *plan, const struct wave *wave)
{
	uint32_t count = wave->batch->hosts.count;
	struct rack **racks = calloc(count + 1, sizeof(struct rack *));
	uint32_t rack_count = 0, limit = UINT32_MAX;

	if (plan_in_canary_stage(wave)) {
		uint32_t canary = wave->settings->canary_hosts;
		uint32_t used = wave->healthy + wave->out;

		limit = canary > used ? canary - used : 0;
	}
	plan->pass++;
	for (uint32_t i = 0; racks && i < count; i++) {
		struct host *host;

		if (!is_candidate(plan, wave, i))
			continue;
		host = plan_wave_host(plan, wave, i);
		host->next = NULL;
		if (host->rack->listed_pass != plan->pass) {
			host->rack->listed_pass = plan->pass;
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
			plan_rack(plan, wave, racks[i], &limit);
	for (uint32_t i = 0; i < rack_count; i++)
		plan_rack(plan, wave, racks[i], &limit);
	free(racks);
}

/* Drains a host to move it to a pool, within the budget of its present pool. */
static void move(struct plan *plan, struct host *host, const char *pool,
		 const char *why)
{
	struct record rec = { .type = RECORD_DRAIN };

	if (host->pool->available <= host->pool->settings->min_available)
		return;
	take_out(host);
	snprintf(rec.reason, sizeof(rec.reason), "%s", why);
	snprintf(rec.move_to, sizeof(rec.move_to), "%s", pool);
	set_action(plan, host, &rec);
}

/*
 * Moves a host back to its home pool once it has served in another pool for
 * move_hold_ms without a reason to stay there.
 */
static void plan_return_home(struct plan *plan, struct host *host)
{
	const struct fleet_host *entry = host->entry;
	bool is_lent, should_move;

	if (!host->pool)
		return;
	is_lent = !strcmp(entry->home_pool,
			  host->pool->team->settings->spare_pool);
	should_move = entry->state == FLEET_SERVING && entry->home_pool[0] &&
		      strcmp(entry->pool, entry->home_pool) &&
		      !entry->keep_in_pool &&
		      !(is_lent && host->pool->has_wave_hosts);
	if (!should_move) {
		host->move_since_ms = -1;
		return;
	}
	if (host->move_since_ms < 0)
		host->move_since_ms = plan->now_ms;
	if (host->planned_seq != plan->seq &&
	    plan->now_ms - host->move_since_ms >= plan->config.move_hold_ms)
		move(plan, host, entry->home_pool, "to its home pool");
}

/* An available host of the spare pool, preferably one that completed a wave. */
static struct host *find_spare_host(struct plan *plan, const struct pool *spare)
{
	struct host *best = NULL;

	for (uint32_t i = 0; i < table_count(plan->hosts); i++) {
		struct host *host = table_at(plan->hosts, i);

		if (host->seq != plan->seq || host->pool != spare ||
		    host->planned_seq == plan->seq ||
		    strcmp(host->entry->home_pool, spare->settings->name) ||
		    !fleet_host_counts_available(plan->fleet, host->entry) ||
		    !data_centre_allows(spare, host->data_centre_no))
			continue;
		if (!best ||
		    (!best->entry->wave_done[0] && host->entry->wave_done[0]))
			best = host;
	}
	return best;
}

/* Lends a spare host to a pool whose wave cannot take out any host. */
static void plan_lending(struct plan *plan, struct pool *pool)
{
	const char *name = pool->team->settings->spare_pool;
	char why[LIMIT_REASON_BYTES];
	struct pool *spare;
	struct host *host;

	if (!pool->has_open_wave || pool->receives_host ||
	    plan_pool_room(pool) > 0 || !name[0] ||
	    !strcmp(name, pool->settings->name)) {
		pool->shortage_since_ms = -1;
		return;
	}
	if (pool->shortage_since_ms < 0)
		pool->shortage_since_ms = plan->now_ms;
	if (plan->now_ms - pool->shortage_since_ms < plan->config.move_hold_ms)
		return;
	spare = plan_find_pool(plan, pool->team->name, name);
	host = spare ? find_spare_host(plan, spare) : NULL;
	if (!host)
		return;
	snprintf(why, sizeof(why), "lent to pool %s", pool->settings->name);
	move(plan, host, pool->settings->name, why);
}

static void plan_moves(struct plan *plan)
{
	for (uint32_t i = 0; i < table_count(plan->pools); i++) {
		struct pool *pool = table_at(plan->pools, i);

		if (pool->seq == plan->seq)
			plan_lending(plan, pool);
	}
	for (uint32_t i = 0; i < table_count(plan->hosts); i++) {
		struct host *host = table_at(plan->hosts, i);

		if (host->seq == plan->seq)
			plan_return_home(plan, host);
	}
}

static void make_plan(struct plan *plan, const struct plan_input *input)
{
	plan->fleet = input->fleet;
	plan->now_ms = input->now_ms;
	plan->day = (int32_t)(input->utc_ms / MS_PER_HOUR / HOURS_PER_DAY);
	plan->hour = (uint32_t)(input->utc_ms / MS_PER_HOUR % HOURS_PER_DAY);
	plan->pending_count = 0;
	plan->seq++;
	plan_reset_pools(plan);
	for (uint32_t i = 0; i < table_count(plan->fleet->hosts); i++)
		plan_count_host(plan, table_at(plan->fleet->hosts, i));
	plan_set_budgets(plan);
	plan_count_waves(plan);
	undrain_pools(plan);
	plan_out_hosts(plan);
	for (uint32_t i = 0; i < plan->wave_count; i++)
		plan_wave(plan, &plan->waves[i]);
	plan_moves(plan);
	plan->planned_fleet = input->fleet;
	plan->planned_changes = input->fleet->changes;
	plan->planned_ms = input->now_ms;
}

static void propose(struct plan *plan, struct host *host)
{
	struct record rec = host->action;
	char key[KEY_BYTES];

	snprintf(key, sizeof(key), "plan/%s", host->name);
	host->proposed_ms = plan->now_ms;
	plan->config.propose(plan->config.arg, key, &rec);
}

void plan_tick(struct plan *plan, const struct plan_input *input)
{
	if (!plan->seq || plan->planned_fleet != input->fleet ||
	    plan->planned_changes != input->fleet->changes ||
	    input->now_ms - plan->planned_ms >= REPLAN_MS)
		make_plan(plan, input);
	plan->now_ms = input->now_ms;
	for (uint32_t i = 0; i < plan->pending_count; i++) {
		struct host *host = plan->pending[i];

		if (input->now_ms >= host->due_ms &&
		    (host->proposed_ms < 0 ||
		     input->now_ms - host->proposed_ms >= REPEAT_MS))
			propose(plan, host);
	}
}

static void report_alarms(const struct plan *plan,
			  const struct fleet_team *team,
			  const struct teamconf_batch *batch)
{
	struct plan_row row = { .team = team->name,
				.batch = batch->name,
				.state = "alarm" };
	char text[LIMIT_REASON_BYTES], day[16];

	if (plan->day < batch->support_ends_day - LIMIT_SUPPORT_ALARM_DAYS)
		return;
	plan_format_day(day, sizeof(day), batch->support_ends_day);
	for (uint32_t i = 0; i < batch->hosts.count; i++) {
		const struct host *host =
			plan_find_host(plan, batch->hosts.names[i]);

		if (!host || !host->pool ||
		    host->entry->state == FLEET_RETIRED ||
		    strcmp(host->entry->team, team->name))
			continue;
		snprintf(text, sizeof(text),
			 "support ends on %s and the host is still in pool %s",
			 day, host->entry->pool);
		row.host = host->name;
		row.text = text;
		plan->row(plan->row_arg, &row);
	}
}

void plan_explain(const struct fleet *fleet, int64_t utc_ms,
		  void (*row)(void *arg, const struct plan_row *row), void *arg)
{
	struct plan_config config = { .name = "" };
	struct plan_input input = { .fleet = fleet, .utc_ms = utc_ms };
	struct plan *plan = plan_create(&config);

	if (!plan)
		return;
	plan->row = row;
	plan->row_arg = arg;
	make_plan(plan, &input);
	for (uint32_t i = 0; i < table_count(fleet->teams); i++) {
		const struct fleet_team *team = table_at(fleet->teams, i);

		for (uint32_t k = 0; k < team->settings->batch_count; k++)
			report_alarms(plan, team, &team->settings->batches[k]);
	}
	plan_destroy(plan);
}
