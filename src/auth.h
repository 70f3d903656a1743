/*
 * NAME
 *	auth - which organisation a request comes from, by its key
 */
#ifndef AUTH_H
#define AUTH_H

#include "cfg.h"

enum auth_outcome {
	AUTH_ALLOWED,
	AUTH_NO_KEY,	 /* the queue is not public */
	AUTH_UNKNOWN_KEY /* of no organisation; refused at public queues, too */
};

/*
 * auth_check - whether a request to the queue is allowed
 *
 * key is that of the request; NULL: none. Without a list of organisations in the
 * configuration, every request is allowed. *tenant is set to the name of the
 * organisation that the request acts for, interned: "" if the queue is public or
 * no keys are used.
 */
enum auth_outcome auth_check(const struct cfg *cfg,
			     const struct cfg_queue *queue, const char *key,
			     const char **tenant);

/* auth_name - name of an outcome, for logs */
const char *auth_name(enum auth_outcome outcome);

#endif
