#include <linux/tcp.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include "config-dial.h"
#include "config-source.h"

void config_source_init(config_source_t *source, metrics_t *metrics)
{
	static const char help[] = "bytes of following the configuration, "
				   "without the headers of TCP";

	memset(source, 0, sizeof(*source));
	source->bytes_in = metrics_counter(metrics,
					   "hemlock_config_bytes_total",
					   "direction=\"in\"", help);
	source->bytes_out = metrics_counter(metrics,
					    "hemlock_config_bytes_total",
					    "direction=\"out\"", help);
	source->segments =
		metrics_counter(metrics, "hemlock_config_segments_total", "",
				"TCP segments of following, both directions");
}

int config_source_open(config_source_t *source, const char *address,
		       bool keeper, usec_t timeout, hl_error_t *err)
{
	if (source->client && source->keeper == keeper &&
	    !strcmp(source->address, address))
		return 0;
	config_source_close(source);
	if (keeper)
		source->client = config_dial(address, HEMLOCK_KEEPER,
					     HEMLOCK_KEEPER_V1, timeout, err);
	else
		source->client = config_dial(address, HEMLOCK_FOLLOW,
					     HEMLOCK_FOLLOW_V1, timeout, err);
	if (!source->client)
		return -1;
	source->keeper = keeper;
	strcpy(source->address, address);
	source->counted_in = source->counted_out = source->counted_segments = 0;
	return 0;
}

void config_source_close(config_source_t *source)
{
	if (!source->client)
		return;
	config_source_update_metrics(source);
	clnt_destroy(source->client);
	source->client = NULL;
}

void config_source_update_metrics(config_source_t *source)
{
	struct tcp_info info = { 0 };
	socklen_t size = sizeof(info);
	uint64_t segments;
	int fd;

	if (!source->client ||
	    !clnt_control(source->client, CLGET_FD, (char *)&fd) ||
	    getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &size))
		return;
	segments = (uint64_t)info.tcpi_segs_in + info.tcpi_segs_out;
	metrics_add(source->bytes_in,
		    info.tcpi_bytes_received - source->counted_in);
	metrics_add(source->bytes_out,
		    info.tcpi_bytes_acked - source->counted_out);
	metrics_add(source->segments, segments - source->counted_segments);
	source->counted_in = info.tcpi_bytes_received;
	source->counted_out = info.tcpi_bytes_acked;
	source->counted_segments = segments;
}
