/*
 * NAME
 *	reboot - asks the platform to reboot the hosts in state rebooting
 *
 * Every fleet daemon does so, delayed by its rank. The offset of the drain
 * record is the token by which the platform recognises a repeated call.
 */
#ifndef REBOOT_H
#define REBOOT_H

#include <stdint.h>

#include "fleet.h"
#include "platclient.h"

struct reboot;

/* reboot_create - name is the name of this fleet daemon's host */
struct reboot *reboot_create(struct platclient *platclient, const char *name);
void reboot_destroy(struct reboot *reboot);

/* reboot_tick - make the calls that are due; each repeats until it succeeds */
void reboot_tick(struct reboot *reboot, const struct fleet *fleet,
		 int64_t now_ms);

#endif
