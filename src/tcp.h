/*
 * NAME
 *	tcp - byte counts of a TCP connection, from the kernel
 *
 * The HTTP and RPC libraries answer or drop some malformed input without
 * calling the program. The counts reveal that such input arrived.
 */
#ifndef TCP_H
#define TCP_H

#include <stdint.h>

struct tcp_bytes {
	uint64_t received;
	uint64_t sent;
};

/* tcp_bytes - bytes received and sent so far; 0 if fd is not a TCP socket */
struct tcp_bytes tcp_bytes(int fd);

#endif
