#include "proxy_int.h"

#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

/*
 * A claim of a key. It outlives its request if the caller disconnects or the
 * deadline passes before the log has answered.
 */
struct claim {
	const struct proxy_claim_ops *claims;
	struct forward *forward; /* NULL: the request has been answered */
	bool pending;		 /* the log has not answered yet */
	bool won;
	char *team;
	char *key;
};

static void free_claim(struct claim *claim)
{
	if (!claim)
		return;
	free(claim->team);
	free(claim->key);
	free(claim);
}

void proxy_claim_end(struct forward *forward)
{
	if (!forward->claim)
		return;
	if (forward->claim->pending)
		forward->claim->forward = NULL;
	else
		free_claim(forward->claim);
	forward->claim = NULL;
}

static void on_released(void *arg)
{
	struct claim *claim = arg;

	if (claim->forward)
		proxy_answer_failure(claim->forward);
	else
		free_claim(claim);
}

bool proxy_claim_release(struct forward *forward)
{
	struct claim *claim = forward->claim;

	if (!claim || !claim->won || forward->may_have_run)
		return false;
	forward->stage = FORWARD_RELEASING;
	claim->claims->release(claim->claims->arg, claim->team, claim->key,
			       on_released, claim);
	return true;
}

static void on_claimed(void *arg, const struct err *result)
{
	struct claim *claim = arg;
	const struct proxy_claim_ops *claims = claim->claims;
	struct forward *forward = claim->forward;

	claim->pending = false;
	claim->won = result->kind == 0;
	if (!forward) {
		if (claim->won)
			claims->release(claims->arg, claim->team, claim->key,
					on_released, claim);
		else
			free_claim(claim);
		return;
	}
	if (claim->won) {
		proxy_enqueue(forward);
		return;
	}
	/* The attempt that holds the key may have run the request. */
	forward->may_have_run = result->kind == ERR_DUPLICATE;
	proxy_end_failed(forward, result->kind,
			 apr_pstrdup(forward->pool, result->text));
}

void proxy_claim_start(struct forward *forward,
		       const struct proxy_claim_ops *claims, const char *key,
		       int64_t key_time_ms)
{
	struct claim *claim = calloc(1, sizeof(*claim));

	if (!claim) {
		proxy_end_failed(forward, ERR_NO_MEMORY,
				 "out of memory for the claim of the key");
		return;
	}
	claim->claims = claims;
	claim->pending = true;
	claim->forward = forward;
	claim->team = strdup(forward->team);
	claim->key = strdup(key);
	forward->claim = claim;
	forward->stage = FORWARD_CLAIMING;
	claims->claim(claims->arg, claim->team, claim->key, key_time_ms,
		      forward->entry.deadline_ms, on_claimed, claim);
}
