#include "standby.h"

#include "log.h"

void standby_init(struct standby *standby, const struct nodeconf *settings,
		  int64_t now_ms)
{
	*standby = (struct standby){
		.small = settings->core_share < settings->decider_core_share ||
			 settings->link_mbps < settings->decider_link_mbps,
		.last_announce_ms = now_ms,
	};
	standby->decides = !standby->small;
}

void standby_note_announcement(struct standby *standby, int64_t now_ms)
{
	standby->last_announce_ms = now_ms;
}

bool standby_decides(struct standby *standby, int64_t now_ms, bool log_answers)
{
	bool decides;

	if (!standby->small)
		return true;
	if (!standby->decides && !log_answers)
		standby->last_announce_ms = now_ms;
	decides = now_ms - standby->last_announce_ms > STANDBY_SILENCE_MS;
	if (decides != standby->decides)
		log_info("%s silence_ms=%lld",
			 decides ? "reserve-joins" : "reserve-leaves",
			 (long long)(now_ms - standby->last_announce_ms));
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
