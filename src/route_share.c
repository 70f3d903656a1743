/* Shares of the workers' slots among the members. */

#include "route_int.h"

#include <stdlib.h>
#include <string.h>

/* What the shares need of a member. */
struct share_member {
	uint64_t hash;
	bool own;
	bool live;
	bool near; /* counts if only this data centre's members share */
	bool expired;
	const char *data_centre;
};

/* Weight of a member for a slot or connection; the heaviest one owns it. */
static uint64_t share_weight(uint64_t worker, uint32_t number, uint64_t member)
{
	uint64_t mix = worker + number * 0x9e3779b97f4a7c15ull;

	mix = (mix ^ (mix >> 30)) * 0xbf58476d1ce4e5b9ull;
	mix = (mix ^ (mix >> 27)) * 0x94d049bb133111ebull;
	mix ^= (mix >> 31) ^ member;
	mix = (mix ^ (mix >> 30)) * 0xbf58476d1ce4e5b9ull;
	mix = (mix ^ (mix >> 27)) * 0x94d049bb133111ebull;
	return mix ^ (mix >> 31);
}

/*
 * Connection n has the owner of slot n, so that a member never owns fewer
 * connections than slots: one of each is used by a request.
 */
static void share_worker(struct route_worker *worker,
			 const struct share_member *members, uint32_t count)
{
	uint64_t hash =
		rnd_hash(RND_HASH_START, worker->name, strlen(worker->name));
	uint32_t numbers = worker->slots > worker->connections
				   ? worker->slots
				   : worker->connections;

	worker->own_slots = worker->own_connections = 0;
	worker->near_slots = worker->near_connections = 0;
	for (uint32_t n = 0; n < numbers; n++) {
		uint64_t best = 0, near_best = 0;
		bool own = false, near_own = false;

		for (uint32_t i = 0; i < count; i++) {
			uint64_t weight =
				share_weight(hash, n, members[i].hash);

			if (members[i].live && weight >= best) {
				best = weight;
				own = members[i].own;
			}
			if (members[i].near && weight >= near_best) {
				near_best = weight;
				near_own = members[i].own;
			}
		}
		worker->own_slots += own && n < worker->slots;
		worker->own_connections += own && n < worker->connections;
		worker->near_slots += near_own && n < worker->slots;
		worker->near_connections += near_own && n < worker->connections;
	}
}

static bool data_centre_live(const char *name,
			     const struct share_member *members, uint32_t count)
{
	bool has_member = false;

	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(members[i].data_centre, name) != 0)
			continue;
		if (!members[i].expired)
			return true;
		has_member = true;
	}
	return !has_member;
}

static void share_workers(struct route *route,
			  const struct share_member *members, uint32_t count,
			  bool is_member)
{
	for (uint32_t i = 0; i < table_count(route->workers); i++) {
		struct route_worker *worker = table_at(route->workers, i);
		const uint32_t limits[] = { worker->slots,
					    worker->connections };
		uint64_t shares_of =
			rnd_hash(route->members_of, limits, sizeof(limits));

		worker->data_centre_live =
			data_centre_live(worker->data_centre, members, count);
		if (shares_of == worker->shares_of)
			continue;
		worker->shares_of = shares_of;
		if (is_member) {
			share_worker(worker, members, count);
			continue;
		}
		worker->own_slots = worker->near_slots = worker->slots;
		worker->own_connections = worker->connections;
		worker->near_connections = worker->connections;
	}
}

/* The slots of a pool's available workers, each with its owner. */
struct pool_slots {
	struct route_worker **workers; /* by slot */
	uint32_t *owners;	       /* index of the member, by slot */
	uint32_t count;
	uint32_t *owned; /* number, by member */
};

static uint32_t owner_of(const struct route_worker *worker, uint32_t number,
			 const struct share_member *members, uint32_t count,
			 bool near)
{
	uint64_t hash =
		rnd_hash(RND_HASH_START, worker->name, strlen(worker->name));
	uint64_t best = 0;
	uint32_t owner = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t weight = share_weight(hash, number, members[i].hash);

		if ((near ? members[i].near : members[i].live) &&
		    weight >= best) {
			best = weight;
			owner = i;
		}
	}
	return owner;
}

static void collect_slots(struct route *route, const struct fleet *fleet,
			  const struct route_pool *pool,
			  const struct share_member *members, uint32_t count,
			  bool near, struct pool_slots *slots)
{
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);
		struct route_worker *worker =
			table_find(route->workers, host->name);
		uint32_t most;

		if (!worker || worker->pool != pool ||
		    !fleet_host_available(host))
			continue;
		most = worker->slots < worker->connections
			       ? worker->slots
			       : worker->connections;
		for (uint32_t n = 0; n < most; n++) {
			uint32_t owner =
				owner_of(worker, n, members, count, near);

			slots->workers[slots->count] = worker;
			slots->owners[slots->count++] = owner;
			slots->owned[owner]++;
		}
	}
}

static void shift_slot(struct pool_slots *slots, uint32_t from, uint32_t to,
		       const struct share_member *members, bool near)
{
	uint32_t slot = 0;
	int32_t *shift;

	while (slots->owners[slot] != from)
		slot++;
	slots->owners[slot] = to;
	slots->owned[from]--;
	slots->owned[to]++;
	shift = near ? &slots->workers[slot]->near_shift
		     : &slots->workers[slot]->own_shift;
	*shift += members[to].own - members[from].own;
}

/*
 * Gives a slot of the member with the most to each member with none, while
 * one has two or more. By hashing alone a member could have none while the
 * pool serves, and would refuse each of its requests; with 8 slots and 6
 * members that happens to one member in four.
 */
static void spread_slots(struct pool_slots *slots,
			 const struct share_member *members, uint32_t count,
			 bool near)
{
	for (uint32_t i = 0; i < count; i++) {
		uint32_t most = 0;

		if (!(near ? members[i].near : members[i].live) ||
		    slots->owned[i])
			continue;
		for (uint32_t k = 1; k < count; k++)
			if (slots->owned[k] > slots->owned[most])
				most = k;
		if (slots->owned[most] < 2)
			return;
		shift_slot(slots, most, i, members, near);
	}
}

static void spread_pool(struct route *route, const struct fleet *fleet,
			const struct route_pool *pool,
			const struct share_member *members, uint32_t count,
			bool near)
{
	struct pool_slots slots = { 0 };
	size_t most = 0;

	for (uint32_t i = 0; i < pool->count; i++)
		most += pool->workers[i]->slots;
	slots.workers = calloc(most + 1, sizeof(struct route_worker *));
	slots.owners = calloc(most + 1, sizeof(*slots.owners));
	slots.owned = calloc(count + 1, sizeof(*slots.owned));
	if (slots.workers && slots.owners && slots.owned) {
		collect_slots(route, fleet, pool, members, count, near, &slots);
		spread_slots(&slots, members, count, near);
	}
	free(slots.workers);
	free(slots.owners);
	free(slots.owned);
}

static void spread_pools(struct route *route, const struct fleet *fleet,
			 const struct share_member *members, uint32_t count)
{
	for (uint32_t i = 0; i < table_count(route->workers); i++) {
		struct route_worker *worker = table_at(route->workers, i);

		worker->own_shift = worker->near_shift = 0;
	}
	for (apr_hash_index_t *at =
		     apr_hash_first(route->index_pool, route->pools);
	     at; at = apr_hash_next(at)) {
		const struct route_pool *pool = apr_hash_this_val(at);

		spread_pool(route, fleet, pool, members, count, false);
		spread_pool(route, fleet, pool, members, count, true);
	}
}

uint64_t route_hash_members(const struct fleet *fleet)
{
	uint64_t hash = RND_HASH_START;

	for (uint32_t i = 0; i < table_count(fleet->members); i++) {
		const struct fleet_member *member = table_at(fleet->members, i);

		hash = rnd_hash(hash, member->name, strlen(member->name) + 1);
		hash = rnd_hash(hash, member->data_centre,
				strlen(member->data_centre) + 1);
		hash = rnd_hash(hash, &member->expired,
				sizeof(member->expired));
	}
	return hash;
}

void route_share_slots(struct route *route, const struct fleet *fleet)
{
	const struct fleet_member *own = fleet_member(fleet, route->member);
	uint32_t count = table_count(fleet->members);
	struct share_member *members = calloc(count + 1, sizeof(*members));

	if (!members)
		return;
	for (uint32_t i = 0; i < count; i++) {
		const struct fleet_member *member = table_at(fleet->members, i);

		members[i].hash = rnd_hash(RND_HASH_START, member->name,
					   strlen(member->name));
		members[i].data_centre = member->data_centre;
		members[i].own = member == own;
		members[i].expired = member->expired;
		members[i].live = member == own || !member->expired;
		/* If this one is recorded as expired though it runs, so may
		   the others of its data centre. */
		members[i].near =
			!strcmp(member->data_centre, route->data_centre) &&
			(members[i].live || (own && own->expired));
	}
	share_workers(route, members, count, own != NULL);
	if (own && route->pools)
		spread_pools(route, fleet, members, count);
	free(members);
}
