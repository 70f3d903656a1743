/*
 * NAME
 *	clk - clock interface
 *
 * Code that needs the time is passed a struct clk, so that tests can set it.
 * now_ms counts from an arbitrary start, never decreases, and continues while
 * the machine is suspended, so that leases expire during a suspension too.
 * wall_ms is wall-clock time, which may jump in both directions.
 */
#ifndef CLK_H
#define CLK_H

#include <stdint.h>

struct clk {
	int64_t (*now_ms)(const struct clk *clk);
	int64_t (*wall_ms)(const struct clk *clk);
	int64_t manual_ms; /* time of a manual clock */
};

/* clk_system - system clock; must not be freed */
const struct clk *clk_system(void);

/* clk_manual - clock that only changes when manual_ms is set */
struct clk clk_manual(int64_t start_ms);

static inline int64_t clk_now_ms(const struct clk *clk)
{
	return clk->now_ms(clk);
}

static inline int64_t clk_wall_ms(const struct clk *clk)
{
	return clk->wall_ms(clk);
}

#endif
