#include "clk.h"

#include <time.h>

#include <apr_time.h>

static int64_t system_now_ms(const struct clk *clk)
{
	struct timespec ts;

	(void)clk;
	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t system_wall_ms(const struct clk *clk)
{
	(void)clk;
	return apr_time_as_msec(apr_time_now());
}

static int64_t manual_now_ms(const struct clk *clk)
{
	return clk->manual_ms;
}

const struct clk *clk_system(void)
{
	static const struct clk clk = {
		.now_ms = system_now_ms,
		.wall_ms = system_wall_ms,
	};

	return &clk;
}

struct clk clk_manual(int64_t start_ms)
{
	return (struct clk){
		.now_ms = manual_now_ms,
		.wall_ms = manual_now_ms,
		.manual_ms = start_ms,
	};
}
