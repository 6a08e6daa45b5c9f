#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdint.h>
#include <sys/socket.h>
#include "entry-io.h"

/* The round trip time of a connection, as the kernel measures it. */

usec_t entry_conn_round_trip(int fd)
{
	struct tcp_info info = { 0 };
	socklen_t length = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &length) ||
	    info.tcpi_min_rtt == UINT32_MAX)
		return 0;
	return info.tcpi_min_rtt;
}
