#include "tcp.h"

#include <netinet/in.h>
#include <linux/tcp.h>
#include <sys/socket.h>

enum {
	/* The kernel's TCP states in which the peer's FIN was received. */
	STATE_CLOSE = 7,
	STATE_CLOSE_WAIT = 8,
	STATE_LAST_ACK = 9
};

struct tcp_bytes tcp_bytes(int fd)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	struct tcp_bytes bytes;

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return (struct tcp_bytes){ 0 };
	bytes.received = info.tcpi_bytes_received;
	bytes.sent = info.tcpi_bytes_sent;
	/* The kernel counts the FIN as one byte. */
	if (bytes.received && info.tcpi_state >= STATE_CLOSE &&
	    info.tcpi_state <= STATE_LAST_ACK)
		bytes.received--;
	return bytes;
}
