#include "standby.h"

#include "log.h"

void standby_init(struct standby *reserve, const struct nodeconf *settings,
		  int64_t now_ms)
{
	*reserve = (struct standby){
		.small = settings->core_share < settings->decider_core_share ||
			 settings->link_mbps < settings->decider_link_mbps,
		.seen_ms = now_ms,
	};
	reserve->decides = !reserve->small;
}

void standby_seen(struct standby *reserve, int64_t now_ms)
{
	reserve->seen_ms = now_ms;
}

bool standby_decides(struct standby *reserve, int64_t now_ms, bool log_answers)
{
	bool decides;

	if (!reserve->small)
		return true;
	if (!reserve->decides && !log_answers)
		reserve->seen_ms = now_ms;
	decides = now_ms - reserve->seen_ms > STANDBY_SILENCE_MS;
	if (decides != reserve->decides)
		log_info("%s silence_ms=%lld",
			 decides ? "reserve-joins" : "reserve-leaves",
			 (long long)(now_ms - reserve->seen_ms));
	reserve->decides = decides;
	return decides;
}

bool standby_tells(struct standby *reserve, int64_t now_ms)
{
	if (reserve->small || now_ms - reserve->seen_ms < STANDBY_TELL_MS ||
	    now_ms - reserve->told_ms < STANDBY_TELL_MS)
		return false;
	reserve->told_ms = now_ms;
	return true;
}
