/*
 * NAME
 *	host_view - which workers the platform's hosts run, as its host lists say
 *
 * A node that starts does not know a worker that the registry has dropped before, nor
 * the host of it. But lists name the worker of each host: the worker is up if its id is
 * there, and gone if all hosts that may run one name another. An id belongs to one host.
 */
#ifndef HOST_VIEW_H
#define HOST_VIEW_H

#include <glib.h>

#include "cfg.h"
#include "host.h"

enum host_view_worker {
	HOST_VIEW_UNKNOWN, /* no recent list, or some host does not name its worker */
	HOST_VIEW_UP,
	HOST_VIEW_DOWN, /* no host names it, and some host is down */
	HOST_VIEW_GONE	/* no host names it, and none is down */
};

struct host_view {
	GHashTable *shown_ms; /* id -> request of the last list that names it */
	int64_t asked_ms;     /* request of the last list; 0: none yet */
	/* Request of the first one in a row in which all hosts that may run a
	   worker name it; 0: the last one is not such a list. */
	int64_t complete_since_ms;
	bool any_down;	/* of the hosts in the last list */
	bool is_wanted; /* a list is to be requested */
};

/* host_view_init, host_view_clear - begin without a list; free it */
void host_view_init(struct host_view *view);
void host_view_clear(struct host_view *view);

/*
 * host_view_update - take a list that has been read to its end
 *
 * hosts: name -> struct host. asked_ms: when the list was requested. cfg tells the pools
 * whose hosts run no workers.
 */
void host_view_update(struct host_view *view, GHashTable *hosts,
		      const struct cfg *cfg, int64_t asked_ms);

/*
 * host_view_find - what lists that were requested after since_ms say of a worker
 *
 * A worker is down or gone if all lists of HOST_GONE_MS on end say so.
 */
enum host_view_worker host_view_find(const struct host_view *view,
				     const char *id, int64_t since_ms,
				     int64_t now_ms);

#endif
