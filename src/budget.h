/*
 * NAME
 *	budget - memory and connections that the clients of a process may hold
 *
 * A process has one budget. It decides, from counts and times that are passed
 * in, which request is admitted and which connection is closed; module web
 * carries that out. Sizes are charges: upper bounds of what the process, the
 * HTTP library and the kernel hold for a connection or request.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/* A body of this size or less may use a reserve that larger ones may
	   not, so that ordinary requests pass while a crowd sends bodies. */
	BUDGET_SMALL_BYTES = 16 * 1024,
	/* Longest time without a byte of a body; after it, a body or an answer
	   must reach BUDGET_MIN_RATE on average. */
	BUDGET_GRACE_MS = 10 * 1000,
	BUDGET_MIN_RATE = 4 * 1024, /* bytes per second */
	/* Longest time for a body and for an answer. */
	BUDGET_MAX_TRANSFER_MS = 120 * 1000,
	/* Near the bound, a connection without progress for this long may be
	   closed. */
	BUDGET_STALLED_MS = 500,
	BUDGET_SWEEP_MS = 250,
	BUDGET_MAX_CONNECTIONS = 4096
};

/* Why a request is refused or a connection closed. */
enum budget_reason {
	BUDGET_OK,
	BUDGET_CONNECTIONS, /* too many connections */
	BUDGET_BYTES,	    /* too many bytes held */
	BUDGET_ADDRESS,	    /* one address holds most of either */
	BUDGET_TOO_LARGE,   /* a body over the limit */
	BUDGET_HEAD_LATE,   /* the header was not complete in time */
	BUDGET_IDLE,	    /* no request for the idle time */
	BUDGET_BODY_SLOW,   /* a body below the minimum rate */
	BUDGET_ANSWER_SLOW, /* an answer that is read below it, or not at all */
	BUDGET_STALLED,	    /* least progress, near the bound */
	BUDGET_REASON_COUNT
};

/* Bounds; 0 in a setting: derived from memory and descriptors. */
struct budget_config {
	uint32_t max_connections;
	int64_t max_bytes;
	int64_t connection_bytes; /* charged for each open connection */
	int64_t request_bytes;	  /* charged for each request in addition */
	/* Copies of a body while its request is handled, itself included. */
	uint32_t body_copies;
	int64_t head_ms;
	int64_t idle_ms;
};

enum budget_state {
	BUDGET_STATE_IDLE, /* no byte of a request is known to have come */
	BUDGET_STATE_HEAD,
	BUDGET_STATE_BODY,
	BUDGET_STATE_HANDLED, /* the answer is awaited; never closed */
	BUDGET_STATE_ANSWER   /* the client reads it */
};

struct budget_address;

/* One connection; embedded in the caller's structure, zero before it opens. */
struct budget_client {
	struct budget_client *prev;
	struct budget_client *next;
	struct budget_address *address;
	enum budget_state state;
	/* Set by budget_sweep; BUDGET_OK: is not being closed. */
	enum budget_reason closing;
	bool refused;	     /* opened beyond the bound */
	bool used;	     /* has had a request */
	int64_t held;	     /* charge, without connection_bytes */
	int64_t body_held;   /* part of it for the body */
	int64_t transferred; /* bytes of the body so far, or the answer */
	int64_t since_ms;    /* begin of the state */
	int64_t progress_ms;
	int64_t stalled_ms; /* scratch of budget_sweep */
	int64_t checked_ms; /* by budget_sweep, for a header that is late */
};

/* Counts since the start, and what is held now. */
struct budget_stats {
	int64_t refused[BUDGET_REASON_COUNT];
	int64_t closed[BUDGET_REASON_COUNT];
	int64_t held_bytes;
	int64_t most_held_bytes;
	int64_t connections;
};

struct budget;

/*
 * budget_derive - bounds from the memory and the descriptors of the host
 *
 * Fills in max_bytes and max_connections where they are 0. Half of the memory
 * is for clients; connections alone can take three quarters of that, and half
 * of the descriptors but some.
 */
void budget_derive(struct budget_config *config, int64_t memory_bytes,
		   int64_t max_fds);

struct budget *budget_create(const struct budget_config *config);
void budget_destroy(struct budget *budget);

/* budget_set_times - timeouts of the configuration now in force */
void budget_set_times(struct budget *budget, int64_t head_ms, int64_t idle_ms);

const struct budget_config *budget_config(const struct budget *budget);
const struct budget_stats *budget_stats(const struct budget *budget);

/* budget_open, budget_close - a connection is opened from an address, or ends */
void budget_open(struct budget *budget, struct budget_client *client,
		 uint32_t address, int64_t now_ms);
void budget_close(struct budget *budget, struct budget_client *client);

/* budget_begin - the first line of a request has arrived */
void budget_begin(struct budget *budget, struct budget_client *client,
		  int64_t now_ms);

/*
 * budget_admit - decide a request whose header is complete
 *
 * announced is the length of its body, -1 if that is not known.
 *
 * RETURN VALUE
 *	BUDGET_OK, or why the request is refused; the refusal is counted.
 */
enum budget_reason budget_admit(struct budget *budget,
				struct budget_client *client, int64_t announced,
				int64_t now_ms);

/*
 * budget_grow - decide whether a body may take a buffer of new_size bytes
 *
 * RETURN VALUE
 *	As budget_admit. A buffer may take more than a new request, so that
 *	bodies that have been admitted can end.
 */
enum budget_reason budget_grow(struct budget *budget,
			       struct budget_client *client, int64_t new_size);

/* budget_progress - bytes of a body have arrived */
void budget_progress(struct budget_client *client, int64_t bytes,
		     int64_t now_ms);

/*
 * budget_handle - decide whether a complete request is handled
 *
 * passing_bytes are needed only until its handler returns: they have to fit, and
 * are not charged.
 *
 * RETURN VALUE
 *	As budget_admit.
 */
enum budget_reason budget_handle(struct budget *budget,
				 struct budget_client *client,
				 int64_t passing_bytes, int64_t now_ms);

/* budget_refused - count a refusal that the caller has decided */
void budget_refused(struct budget *budget, enum budget_reason reason);

/*
 * budget_pressed - whether a request was refused for lack of room a moment ago
 *
 * Connections are then closed after their answer, so that clients that send one
 * request after another give way to those that wait.
 */
bool budget_pressed(const struct budget *budget);

/* budget_answer - the answer of so many bytes is being sent */
void budget_answer(struct budget *budget, struct budget_client *client,
		   int64_t bytes, int64_t now_ms);

/* budget_end - the request and its answer have ended */
void budget_end(struct budget *budget, struct budget_client *client,
		int64_t now_ms);

/*
 * budget_sweep - find the connections that are to be closed now
 *
 * Calls fn for those that have exceeded a time and, near a bound, for those that
 * have made least progress for longest, until what is held is well below it.
 * fn returns whether it closes the connection; budget_close follows later. A new
 * connection is named as BUDGET_HEAD_LATE whether or not bytes have come, and fn
 * closes it only if some have. Does nothing if it is called again too soon.
 */
void budget_sweep(struct budget *budget, int64_t now_ms,
		  bool (*fn)(void *arg, struct budget_client *client,
			     enum budget_reason reason),
		  void *arg);

/* budget_reason_name - as in metrics and log lines */
const char *budget_reason_name(enum budget_reason reason);

#endif
