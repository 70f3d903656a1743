#include "standby.h"

#include "log.h"

void standby_init(struct standby *standby, const struct nodeconf *settings,
		  int64_t now_ms)
{
	*standby = (struct standby){
		.small = settings->core_share < settings->decider_core_share ||
			 settings->link_mbps < settings->decider_link_mbps,
		.seen_ms = now_ms,
	};
	standby->decides = !standby->small;
}

void standby_seen(struct standby *standby, int64_t now_ms)
{
	standby->seen_ms = now_ms;
}

bool standby_decides(struct standby *standby, int64_t now_ms, bool log_answers)
{
	bool decides;

	if (!standby->small)
		return true;
	if (!standby->decides && !log_answers)
		standby->seen_ms = now_ms;
	decides = now_ms - standby->seen_ms > STANDBY_SILENCE_MS;
	if (decides != standby->decides)
		log_info("%s silence_ms=%lld",
			 decides ? "reserve-joins" : "reserve-leaves",
			 (long long)(now_ms - standby->seen_ms));
	standby->decides = decides;
	return decides;
}

bool standby_tells(struct standby *standby, int64_t now_ms)
{
	if (standby->small || now_ms - standby->seen_ms < STANDBY_TELL_MS ||
	    now_ms - standby->told_ms < STANDBY_TELL_MS)
		return false;
	standby->told_ms = now_ms;
	return true;
}
