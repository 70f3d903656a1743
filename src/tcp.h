/*
 * NAME
 *	tcp - byte counts of a TCP connection, as the kernel keeps them
 *
 * The HTTP and RPC libraries answer or drop some malformed input without
 * telling the program. The counts show that such input arrived.
 */
#ifndef TCP_H
#define TCP_H

#include <stdint.h>

struct tcp_bytes {
	uint64_t received;
	uint64_t sent;
};

/* tcp_bytes - bytes received and sent so far; 0 if fd is no connection */
struct tcp_bytes tcp_bytes(int fd);

#endif
