#include "standby.h"

#include <glib.h>

#include "log.h"

void standby_init(struct standby *standby, const struct nodeconf *settings,
		  int64_t now_ms)
{
	*standby = (struct standby){
		.small = settings->core_share < settings->decider_core_share ||
			 settings->link_mbps < settings->decider_link_mbps,
		.last_announce_ms = now_ms,
		.heard_ms = now_ms,
	};
	standby->decides = !standby->small;
}

void standby_note_announcement(struct standby *standby, int64_t now_ms)
{
	standby->last_announce_ms = now_ms;
}

bool standby_decides(struct standby *standby, int64_t heard_ms)
{
	bool outage = heard_ms - standby->heard_ms > STANDBY_OUTAGE_MS;
	bool decides;

	standby->heard_ms = heard_ms;
	if (!standby->small)
		return true;
	if (outage && !standby->decides)
		standby->last_announce_ms =
			MAX(standby->last_announce_ms, heard_ms);
	decides = heard_ms - standby->last_announce_ms > STANDBY_SILENCE_MS;
	if (decides != standby->decides)
		log_info("%s silence_ms=%lld",
			 decides ? "reserve-joins" : "reserve-leaves",
			 (long long)(heard_ms - standby->last_announce_ms));
	standby->decides = decides;
	return decides;
}

bool standby_must_announce(struct standby *standby, int64_t now_ms)
{
	if (standby->small ||
	    now_ms - standby->last_announce_ms < STANDBY_ANNOUNCE_MS ||
	    now_ms - standby->own_announce_ms < STANDBY_ANNOUNCE_MS)
		return false;
	standby->own_announce_ms = now_ms;
	return true;
}
