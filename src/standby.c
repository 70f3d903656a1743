#include "standby.h"

#include <string.h>

#include <glib.h>

#include "log.h"
#include "rnd.h"

/* An announcement is the node's name, after this text if the node is small. */
#define RESERVE_PREFIX "reserve "

void standby_init(struct standby *standby, const struct nodeconf *settings,
		  int64_t now_ms)
{
	*standby = (struct standby){
		.small = settings->core_share < settings->decider_core_share ||
			 settings->link_mbps < settings->decider_link_mbps,
		.group_delay_ms = rnd_hash_name(settings->name) %
				  STANDBY_GROUPS * STANDBY_GROUP_MS,
		.last_announce_ms = now_ms,
		.heard_ms = now_ms,
	};
	standby->decides = !standby->small;
}

char *standby_record(const struct standby *standby, const char *name)
{
	return g_strconcat(standby->small ? RESERVE_PREFIX : "", name, NULL);
}

void standby_apply(struct standby *standby, const char *text, size_t len,
		   int64_t now_ms)
{
	size_t prefix_len = strlen(RESERVE_PREFIX);

	if (len >= prefix_len && !memcmp(text, RESERVE_PREFIX, prefix_len))
		standby->last_reserve_ms = now_ms;
	else
		standby_note_announcement(standby, now_ms);
}

void standby_note_announcement(struct standby *standby, int64_t now_ms)
{
	standby->last_announce_ms = now_ms;
}

/* Whether no group before this node's has joined, though it was its turn. */
static bool is_turn_of_group(const struct standby *standby, int64_t silence_ms)
{
	return silence_ms > STANDBY_SILENCE_MS + standby->group_delay_ms &&
	       (!standby->last_reserve_ms ||
		standby->heard_ms - standby->last_reserve_ms >
			STANDBY_SILENCE_MS);
}

bool standby_decides(struct standby *standby, int64_t heard_ms)
{
	bool outage = heard_ms - standby->heard_ms > STANDBY_OUTAGE_MS;
	int64_t silence_ms;
	bool decides;

	standby->heard_ms = heard_ms;
	if (!standby->small)
		return true;
	if (outage && !standby->decides)
		standby->last_announce_ms =
			MAX(standby->last_announce_ms, heard_ms);
	silence_ms = heard_ms - standby->last_announce_ms;
	decides = silence_ms > STANDBY_SILENCE_MS &&
		  (standby->decides || is_turn_of_group(standby, silence_ms));
	if (decides != standby->decides)
		log_info("%s silence_ms=%lld",
			 decides ? "reserve-joins" : "reserve-leaves",
			 (long long)silence_ms);
	standby->decides = decides;
	return decides;
}

bool standby_must_announce(struct standby *standby, int64_t now_ms)
{
	int64_t last_ms = standby->small ? standby->last_reserve_ms
					 : standby->last_announce_ms;

	if (!standby->decides || now_ms - last_ms < STANDBY_ANNOUNCE_MS ||
	    now_ms - standby->own_announce_ms < STANDBY_ANNOUNCE_MS)
		return false;
	standby->own_announce_ms = now_ms;
	return true;
}
