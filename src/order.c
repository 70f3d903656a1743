#include "order.h"

const char *order_name(enum order_outcome outcome)
{
	static const char *const names[] = {
		[ORDER_OK] = "ok",
		[ORDER_FENCED] = "fenced",
		[ORDER_OLD_RUN] = "old-run",
		[ORDER_LATE] = "late",
		[ORDER_NO_ROOM] = "no-room",
		[ORDER_UNHEALTHY] = "unhealthy",
		[ORDER_OTHER_WORKER] = "other-life",
		[ORDER_INVALID] = "invalid",
		[ORDER_UNKNOWN] = "no-answer",
	};

	return names[outcome];
}
