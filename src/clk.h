/*
 * NAME
 *	clk - clock interface
 *
 * Code that needs time gets a struct clk. now_ms counts from an arbitrary
 * start, never goes back, and goes on while the machine is suspended, so that
 * a lease cannot outlive a pause. wall_ms is for people only.
 */
#ifndef CLK_H
#define CLK_H

#include <stdint.h>

struct clk {
	int64_t (*now_ms)(const struct clk *clk);
	int64_t (*wall_ms)(const struct clk *clk);
	int64_t manual_ms; /* used by the manual clock only */
};

/* clk_system - clock of the machine; needs no release */
const struct clk *clk_system(void);

/* clk_manual - clock that stands still until manual_ms is changed */
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
