/*
 * NAME
 *	reboot - asks the platform to reboot the hosts that are in state rebooting
 *
 * Every fleet daemon does so, delayed by its rank; the drain's offset is the
 * token with which the platform knows a repeated call.
 */
#ifndef REBOOT_H
#define REBOOT_H

#include <stdint.h>

#include "fleet.h"
#include "platclient.h"

struct reboot;

/* reboot_create - name is that of this fleet daemon's host */
struct reboot *reboot_create(struct platclient *platclient, const char *name);
void reboot_destroy(struct reboot *reboot);

/* reboot_tick - make the calls that are due, until each is answered */
void reboot_tick(struct reboot *reboot, const struct fleet *fleet,
		 int64_t now_ms);

#endif
