/* Divides the workers' slots and connections among the members. */

#include "route_int.h"

#include <stdlib.h>
#include <string.h>

/* The properties of a member that determine the shares. */
struct share_member {
	uint64_t hash;
	bool is_own; /* this entry daemon */
	bool live;
	bool counts_isolated; /* has shares while the data centre is isolated */
	bool expired;
	const char *data_centre;
};

/*
 * Rendezvous weight of a member for a slot or connection: the member with the
 * largest weight owns it. The mixing steps are those of SplitMix64.
 */
static uint64_t share_weight(uint64_t worker, uint32_t index, uint64_t member)
{
	uint64_t mix = worker + index * 0x9e3779b97f4a7c15ull;

	mix = (mix ^ (mix >> 30)) * 0xbf58476d1ce4e5b9ull;
	mix = (mix ^ (mix >> 27)) * 0x94d049bb133111ebull;
	mix ^= (mix >> 31) ^ member;
	mix = (mix ^ (mix >> 30)) * 0xbf58476d1ce4e5b9ull;
	mix = (mix ^ (mix >> 27)) * 0x94d049bb133111ebull;
	return mix ^ (mix >> 31);
}

/*
 * Connection n has the same owner as slot n, so that a member never owns fewer
 * connections than slots: a request uses one of each.
 */
static void assign_worker_shares(struct route_worker *worker,
				 const struct share_member *members,
				 uint32_t count)
{
	uint64_t hash =
		rnd_hash(RND_HASH_START, worker->name, strlen(worker->name));
	uint32_t index_count = worker->slots > worker->connections
				       ? worker->slots
				       : worker->connections;

	worker->own_slots = worker->own_connections = 0;
	worker->isolated_slots = worker->isolated_connections = 0;
	for (uint32_t n = 0; n < index_count; n++) {
		uint64_t best = 0, isolated_best = 0;
		bool own = false, isolated_own = false;

		for (uint32_t i = 0; i < count; i++) {
			uint64_t weight =
				share_weight(hash, n, members[i].hash);

			if (members[i].live && weight >= best) {
				best = weight;
				own = members[i].is_own;
			}
			if (members[i].counts_isolated &&
			    weight >= isolated_best) {
				isolated_best = weight;
				isolated_own = members[i].is_own;
			}
		}
		worker->own_slots += own && n < worker->slots;
		worker->own_connections += own && n < worker->connections;
		worker->isolated_slots += isolated_own && n < worker->slots;
		worker->isolated_connections +=
			isolated_own && n < worker->connections;
	}
}

static bool is_data_centre_live(const char *name,
				const struct share_member *members,
				uint32_t count)
{
	bool member_found = false;

	for (uint32_t i = 0; i < count; i++) {
		if (strcmp(members[i].data_centre, name) != 0)
			continue;
		if (!members[i].expired)
			return true;
		member_found = true;
	}
	return !member_found;
}

static void assign_shares(struct route *route,
			  const struct share_member *members, uint32_t count,
			  bool own_is_member)
{
	for (uint32_t i = 0; i < table_count(route->workers); i++) {
		struct route_worker *worker = table_at(route->workers, i);
		const uint32_t limits[] = { worker->slots,
					    worker->connections };
		uint64_t share_hash =
			rnd_hash(route->members_hash, limits, sizeof(limits));

		worker->data_centre_live = is_data_centre_live(
			worker->data_centre, members, count);
		if (share_hash == worker->shares_hash)
			continue;
		worker->shares_hash = share_hash;
		if (own_is_member) {
			assign_worker_shares(worker, members, count);
			continue;
		}
		worker->own_slots = worker->isolated_slots = worker->slots;
		worker->own_connections = worker->connections;
		worker->isolated_connections = worker->connections;
	}
}

/* The slots of a pool's available workers and their owners. */
struct pool_slots {
	struct route_worker **workers; /* by slot */
	uint32_t *owners;	       /* member index, by slot */
	uint32_t count;
	uint32_t *owned; /* number of slots, by member */
};

static uint32_t find_owner(const struct route_worker *worker, uint32_t index,
			   const struct share_member *members, uint32_t count,
			   bool isolated)
{
	uint64_t hash =
		rnd_hash(RND_HASH_START, worker->name, strlen(worker->name));
	uint64_t best = 0;
	uint32_t owner = 0;

	for (uint32_t i = 0; i < count; i++) {
		uint64_t weight = share_weight(hash, index, members[i].hash);

		if ((isolated ? members[i].counts_isolated : members[i].live) &&
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
			  bool isolated, struct pool_slots *slots)
{
	for (uint32_t i = 0; i < table_count(fleet->hosts); i++) {
		const struct fleet_host *host = table_at(fleet->hosts, i);
		struct route_worker *worker =
			table_find(route->workers, host->name);
		uint32_t max_slots;

		if (!worker || worker->pool != pool ||
		    !fleet_host_available(host))
			continue;
		max_slots = worker->slots < worker->connections
				    ? worker->slots
				    : worker->connections;
		for (uint32_t n = 0; n < max_slots; n++) {
			uint32_t owner =
				find_owner(worker, n, members, count, isolated);

			slots->workers[slots->count] = worker;
			slots->owners[slots->count++] = owner;
			slots->owned[owner]++;
		}
	}
}

static void move_slot(struct pool_slots *slots, uint32_t from, uint32_t to,
		      const struct share_member *members, bool isolated)
{
	uint32_t slot = 0;
	int32_t *correction;

	while (slots->owners[slot] != from)
		slot++;
	slots->owners[slot] = to;
	slots->owned[from]--;
	slots->owned[to]++;
	correction = isolated ? &slots->workers[slot]->isolated_correction
			      : &slots->workers[slot]->own_correction;
	*correction += members[to].is_own - members[from].is_own;
}

/*
 * Moves a slot from the member with the most slots to each member without any,
 * as long as some member has at least two. With hashing alone, a member could
 * have no slot in a pool that serves and would refuse all of its requests; with
 * 8 slots and 6 members, one member in four has none.
 */
static void rebalance_slots(struct pool_slots *slots,
			    const struct share_member *members, uint32_t count,
			    bool isolated)
{
	for (uint32_t i = 0; i < count; i++) {
		uint32_t largest = 0;

		if (!(isolated ? members[i].counts_isolated
			       : members[i].live) ||
		    slots->owned[i])
			continue;
		for (uint32_t k = 1; k < count; k++)
			if (slots->owned[k] > slots->owned[largest])
				largest = k;
		if (slots->owned[largest] < 2)
			return;
		move_slot(slots, largest, i, members, isolated);
	}
}

static void rebalance_pool(struct route *route, const struct fleet *fleet,
			   const struct route_pool *pool,
			   const struct share_member *members, uint32_t count,
			   bool isolated)
{
	struct pool_slots slots = { 0 };
	size_t max_slots = 0;

	for (uint32_t i = 0; i < pool->count; i++)
		max_slots += pool->workers[i]->slots;
	slots.workers = calloc(max_slots + 1, sizeof(struct route_worker *));
	slots.owners = calloc(max_slots + 1, sizeof(*slots.owners));
	slots.owned = calloc(count + 1, sizeof(*slots.owned));
	if (slots.workers && slots.owners && slots.owned) {
		collect_slots(route, fleet, pool, members, count, isolated,
			      &slots);
		rebalance_slots(&slots, members, count, isolated);
	}
	free(slots.workers);
	free(slots.owners);
	free(slots.owned);
}

static void rebalance_pools(struct route *route, const struct fleet *fleet,
			    const struct share_member *members, uint32_t count)
{
	for (uint32_t i = 0; i < table_count(route->workers); i++) {
		struct route_worker *worker = table_at(route->workers, i);

		worker->own_correction = worker->isolated_correction = 0;
	}
	for (apr_hash_index_t *at =
		     apr_hash_first(route->index_pool, route->pools);
	     at; at = apr_hash_next(at)) {
		const struct route_pool *pool = apr_hash_this_val(at);

		rebalance_pool(route, fleet, pool, members, count, false);
		rebalance_pool(route, fleet, pool, members, count, true);
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
		members[i].is_own = member == own;
		members[i].expired = member->expired;
		members[i].live = member == own || !member->expired;
		/* If this member is recorded as expired although it runs, the
		   other members of its data centre may be running as well. */
		members[i].counts_isolated =
			!strcmp(member->data_centre, route->data_centre) &&
			(members[i].live || (own && own->expired));
	}
	assign_shares(route, members, count, own != NULL);
	if (own && route->pools)
		rebalance_pools(route, fleet, members, count);
	free(members);
}
