#include "reserve.h"

#include "log.h"

void reserve_init(struct reserve *reserve, const struct nodeconf *settings,
		  int64_t now_ms)
{
	*reserve = (struct reserve){
		.small = settings->core_share < settings->decider_core_share ||
			 settings->link_mbps < settings->decider_link_mbps,
		.seen_ms = now_ms,
	};
	reserve->decides = !reserve->small;
}

void reserve_seen(struct reserve *reserve, int64_t now_ms)
{
	reserve->seen_ms = now_ms;
}

bool reserve_decides(struct reserve *reserve, int64_t now_ms, bool log_answers)
{
	bool decides;

	if (!reserve->small)
		return true;
	if (!reserve->decides && !log_answers)
		reserve->seen_ms = now_ms;
	decides = now_ms - reserve->seen_ms > RESERVE_SILENCE_MS;
	if (decides != reserve->decides)
		log_info("%s silence_ms=%lld",
			 decides ? "reserve-joins" : "reserve-leaves",
			 (long long)(now_ms - reserve->seen_ms));
	reserve->decides = decides;
	return decides;
}

bool reserve_tells(struct reserve *reserve, int64_t now_ms)
{
	if (reserve->small || now_ms - reserve->seen_ms < RESERVE_TELL_MS ||
	    now_ms - reserve->told_ms < RESERVE_TELL_MS)
		return false;
	reserve->told_ms = now_ms;
	return true;
}
